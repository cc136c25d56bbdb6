"""Control bytes and processor time of one process in a full-size fleet."""

import attrs

from limpetlift.bench import figures
from limpetlift.bench import fleet as fleets
from limpetlift.bench import view as views
from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages

# The plan of the design page.
RESTARTS_PER_DAY = 2_300
CHANGES_PER_DAY = 1_500
PROCESSOR_LIMIT = 0.019
_DAY_S = 86_400.0
# States that one restart publishes: draining, left, joining, active.
_STATES = (members.DRAINING, members.LEFT, members.JOINING, members.ACTIVE)
# Records of one restart, with the steps of the slow start.
RECORDS_PER_RESTART = len(_STATES) + 9
# Virtual seconds of a run, and of the bad moments.
RUN_S = 60.0
EVENT_S = 60.0
# Records published in one run, for the cost of each.
RECORDS = 300
REVISIONS = 30


def _run(build, scale, seconds, each_tick=None):
    """Return a fleet with its usage over ``seconds`` after it settled."""
    fleet = build()
    fleet.run(scale.count(10))
    fleet.usage = fleets.Usage()
    fleet.run(seconds, each_tick and each_tick(fleet))
    return fleet


def _publisher(base, count, seconds):
    """Return what publishes ``count`` records, evenly over the run."""

    def start(fleet):
        pending = [
            attrs.evolve(
                base.get(views.agent(number, 1).agent_id),
                sequence=1,
                weight=0.5,
            )
            for number in range(1, count + 1)
            if base.get(views.agent(number, 1).agent_id) is not None
        ]
        interval = seconds / (count + 1)
        due = fleet.now + interval

        def tick():
            nonlocal due
            if pending and fleet.now >= due:
                due += interval
                record = pending.pop()
                gossip = messages.structs.Gossip(
                    members=[record.to_message()],
                    config_revision=fleet.twin.config_revision,
                )
                other = views.balancer(2).agent_id
                fleet.from_twin(
                    fleet.twin.on_message(fleet.now, other, 1, gossip)
                )

        return tick

    return start


def _configurer(count, seconds):
    """Return what puts ``count`` configurations in force over the run."""

    def start(fleet):
        interval = seconds / (count + 1)
        due = fleet.now + interval
        revision = 0

        def tick():
            nonlocal due, revision
            if revision < count and fleet.now >= due:
                due += interval
                revision += 1
                for process in (fleet.twin, fleet.subject):
                    process.set_config_revision(fleet.now, revision)

        return tick

    return start


def _loser(data_centre):
    """Return what makes a data centre fall silent at once."""

    def start(fleet):
        fleet.silent.add(data_centre)
        fleet.beats = [
            agent_id
            for agent_id in fleet.beats
            if fleet.base.get(agent_id).data_centre != data_centre
        ]
        return lambda: None

    return start


def _restarter(base):
    """Return what publishes new incarnations of all agents at once."""

    def start(fleet):
        records = [
            attrs.evolve(
                record, incarnation=record.incarnation + 1_000_000_000
            )
            for record in base.all_records()
            if record.kind == members.AGENT
        ]
        for record in records:
            fleet.twin.view.merge(fleet.now, record)
            fleet.twin.dissemination.enqueue(fleet.now, record.agent_id)
        return lambda: None

    return start


def _slopes(build, base, scale):
    """Return bytes and processor time, idle, per record and per revision."""
    records, revisions = scale.count(RECORDS), scale.count(REVISIONS)
    seconds = scale.count(RUN_S)
    idle = _run(build, scale, seconds)
    busy = _run(build, scale, seconds, _publisher(base, records, seconds))
    changed = _run(build, scale, seconds, _configurer(revisions, seconds))
    return _Slopes(
        *(amount / seconds for amount in _amounts(idle)),
        *_each(busy, idle, records),
        *_each(changed, idle, revisions),
    )


def _amounts(fleet):
    usage = fleet.usage
    return usage.sent, usage.received, usage.processor_s


def _each(fleet, idle, count):
    return [
        (amount - base) / count
        for amount, base in zip(_amounts(fleet), _amounts(idle))
    ]


@attrs.frozen
class _Slopes:
    """Bytes sent and received, and processor seconds."""

    idle_sent: float
    idle_received: float
    idle_s: float
    record_sent: float
    record_received: float
    record_s: float
    revision_sent: float
    revision_received: float
    revision_s: float

    def planned(self, amount):
        """Return ``amount`` a second at the rates of the plan."""
        records = RESTARTS_PER_DAY * RECORDS_PER_RESTART / _DAY_S
        revisions = CHANGES_PER_DAY / _DAY_S
        return (
            getattr(self, "idle_" + amount)
            + records * getattr(self, "record_" + amount)
            + revisions * getattr(self, "revision_" + amount)
        )


def _slope_figures(role, runs):
    def figure(name, unit, value, **limits):
        return figures.Figure(
            "%s, %s" % (role, name),
            unit,
            [value(run) for run in runs],
            **limits,
        )

    return [
        figure("idle, sent", "B/s", lambda run: run.idle_sent),
        figure("idle, received", "B/s", lambda run: run.idle_received),
        figure("idle, core", "%", lambda run: run.idle_s * 100),
        figure("each record, sent", "B", lambda run: run.record_sent),
        figure("each record, received", "B", lambda run: run.record_received),
        figure("each record, core", "ms", lambda run: run.record_s * 1e3),
        figure("each revision, sent", "B", lambda run: run.revision_sent),
        figure(
            "each revision, received", "B", lambda run: run.revision_received
        ),
        figure("each revision, core", "ms", lambda run: run.revision_s * 1e3),
        figure(
            "plan, sent",
            "B/s",
            lambda run: run.planned("sent"),
            at_most=defaults.CONTROL_BYTES_PER_S,
        ),
        figure(
            "plan, sent and received",
            "B/s",
            lambda run: run.planned("sent") + run.planned("received"),
            at_most=defaults.CONTROL_BYTES_PER_S,
        ),
        figure(
            "plan, core",
            "%",
            lambda run: run.planned("s") * 100,
            at_most=PROCESSOR_LIMIT * 100,
        ),
    ]


def _event_figures(name, runs, seconds):
    """Return the figures of a bad moment, over ``seconds``."""
    return [
        figures.Figure(
            "balancer, %s, sent over %d s" % (name, seconds),
            "B/s",
            [run.usage.sent / seconds for run in runs],
            at_most=defaults.CONTROL_BYTES_PER_S,
        ),
        figures.Figure(
            "balancer, %s, received" % name,
            "B/s",
            [run.usage.received / seconds for run in runs],
        ),
        figures.Figure(
            "balancer, %s, core" % name,
            "%",
            [run.usage.processor_s / seconds * 100 for run in runs],
        ),
        figures.Figure(
            "balancer, %s, records that differ at the end" % name,
            "",
            [_differing(run) for run in runs],
        ),
    ]


def _differing(fleet):
    """Return how many records the subject has in another version."""
    return sum(
        fleet.subject.view.get(record.agent_id) != record
        for record in fleet.twin.view.all_records()
    )


@figures.measurement("control")
def measure(scale):
    """Run a balancer and an agent in a fleet on virtual time."""
    base = fleets.build_view(scale)

    def balancer():
        return fleets.balancer_fleet(base, scale)

    def agent():
        return fleets.agent_fleet(base)

    results = []
    for role, build in (("balancer", balancer), ("agent", agent)):
        runs = [_slopes(build, base, scale) for _ in range(scale.repeats)]
        results += _slope_figures(role, runs)
    seconds = scale.count(EVENT_S)
    events = {
        "loss of a data centre": _loser("dc-3"),
        "restart of all agents": _restarter(base),
    }
    for name, event in events.items():
        runs = [_run(balancer, scale, seconds, event)]
        results += _event_figures(name, runs, seconds)
    return results
