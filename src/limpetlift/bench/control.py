"""Control traffic and processor time of one process in a full-size fleet."""

import attrs

from limpetlift.bench import figures
from limpetlift.bench import fleet as fleets
from limpetlift.bench import view as views
from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages

# Rates of changes and processor limit that the design plans for.
RESTARTS_PER_DAY = 2_300
CHANGES_PER_DAY = 1_500
MAX_PROCESSOR_SHARE = 0.019
_DAY_S = 86_400.0
# States that one restart publishes: draining, left, joining, active.
_RESTART_STATES = (
    members.DRAINING,
    members.LEFT,
    members.JOINING,
    members.ACTIVE,
)
# Records that one restart publishes, with the steps of the slow start.
RECORDS_PER_RESTART = len(_RESTART_STATES) + 9
# Virtual time of a run with planned changes, and of one in which an event
# affects many members at once.
RUN_S = 60.0
EVENT_S = 60.0
# Records and revisions published in one run, to compute the cost of each.
PUBLISHED_RECORDS = 300
PUBLISHED_REVISIONS = 30


def _run(build, scale, seconds, make_tick=None):
    """Let a fleet settle, then measure it for ``seconds``.

    :param build: function that returns the fleet.
    :param make_tick: function that takes the settled fleet and returns the
        function to call at each tick, or None.
    :returns: the fleet with its usage in the measured time.
    """
    fleet = build()
    fleet.run(scale.count(10))
    fleet.usage = fleets.Usage()
    fleet.run(seconds, make_tick and make_tick(fleet))
    return fleet


def _publish_records(base, count, seconds):
    """Return a function for :func:`_run` that publishes ``count`` records.

    They are spread evenly over the run.
    """

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
        next_due = fleet.now + interval

        def tick():
            nonlocal next_due
            if pending and fleet.now >= next_due:
                next_due += interval
                record = pending.pop()
                gossip = messages.structs.Gossip(
                    members=[record.to_message()],
                    config_revision=fleet.peer.config_revision,
                )
                sender_id = views.balancer(2).agent_id
                fleet.deliver_from_peer(
                    fleet.peer.on_message(fleet.now, sender_id, 1, gossip)
                )

        return tick

    return start


def _publish_revisions(count, seconds):
    """Return a function for :func:`_run` that publishes ``count`` revisions.

    Both memberships get each new configuration revision. The revisions are
    spread evenly over the run.
    """

    def start(fleet):
        interval = seconds / (count + 1)
        next_due = fleet.now + interval
        revision = 0

        def tick():
            nonlocal next_due, revision
            if revision < count and fleet.now >= next_due:
                next_due += interval
                revision += 1
                for process in (fleet.peer, fleet.subject):
                    process.set_config_revision(fleet.now, revision)

        return tick

    return start


def _lose_data_centre(data_centre):
    """Return a function for :func:`_run` that makes a data centre silent."""

    def start(fleet):
        fleet.silent_data_centres.add(data_centre)
        fleet.heartbeat_ids = [
            agent_id
            for agent_id in fleet.heartbeat_ids
            if fleet.base.get(agent_id).data_centre != data_centre
        ]
        return lambda: None

    return start


def _restart_agents(base):
    """Return a function for :func:`_run` that restarts all agents at once.

    The peer publishes a record with a new incarnation for each agent.
    """

    def start(fleet):
        records = [
            attrs.evolve(
                record, incarnation=record.incarnation + 1_000_000_000
            )
            for record in base.all_records()
            if record.kind == members.AGENT
        ]
        for record in records:
            fleet.peer.view.merge(fleet.now, record)
            fleet.peer.dissemination.enqueue(fleet.now, record.agent_id)
        return lambda: None

    return start


def _measure_costs(build, base, scale):
    """Return the :class:`_ControlCosts` of a process.

    The cost of a record or revision is the usage in a run that publishes them
    less the usage in an idle run, divided by their number.
    """
    records, revisions = scale.count(PUBLISHED_RECORDS), scale.count(
        PUBLISHED_REVISIONS
    )
    seconds = scale.count(RUN_S)
    idle = _run(build, scale, seconds)
    busy = _run(
        build, scale, seconds, _publish_records(base, records, seconds)
    )
    changed = _run(
        build, scale, seconds, _publish_revisions(revisions, seconds)
    )
    return _ControlCosts(
        *(amount / seconds for amount in _usage_amounts(idle)),
        *_cost_per_change(busy, idle, records),
        *_cost_per_change(changed, idle, revisions),
    )


def _usage_amounts(fleet):
    usage = fleet.usage
    return usage.sent, usage.received, usage.processor_s


def _cost_per_change(fleet, idle, count):
    return [
        (amount - base) / count
        for amount, base in zip(_usage_amounts(fleet), _usage_amounts(idle))
    ]


@attrs.frozen
class _ControlCosts:
    """Bytes sent and received, and processor time in seconds.

    ``idle_`` is per second in a run without changes, ``record_`` is per
    published record and ``revision_`` per configuration revision.
    """

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
        """Return the usage per second at the planned rates of changes.

        :param amount: ``sent``, ``received`` or ``s`` (processor time).
        """
        records = RESTARTS_PER_DAY * RECORDS_PER_RESTART / _DAY_S
        revisions = CHANGES_PER_DAY / _DAY_S
        return (
            getattr(self, "idle_" + amount)
            + records * getattr(self, "record_" + amount)
            + revisions * getattr(self, "revision_" + amount)
        )


def _cost_figures(role, runs):
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
            at_most=MAX_PROCESSOR_SHARE * 100,
        ),
    ]


def _event_figures(name, runs, seconds):
    """Return the figures of an event that affects many members at once.

    :param name: name of the event.
    :param runs: fleets after the runs.
    :param seconds: virtual time of a run.
    """
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
            [_count_differing_records(run) for run in runs],
        ),
    ]


def _count_differing_records(fleet):
    """Return the number of records in which subject and peer differ."""
    return sum(
        fleet.subject.view.get(record.agent_id) != record
        for record in fleet.peer.view.all_records()
    )


@figures.measurement("control")
def measure(scale):
    """Measure a balancer and an agent in a fleet in virtual time."""
    base = fleets.build_view(scale)

    def balancer():
        return fleets.balancer_fleet(base, scale)

    def agent():
        return fleets.agent_fleet(base)

    results = []
    for role, build in (("balancer", balancer), ("agent", agent)):
        runs = [
            _measure_costs(build, base, scale) for _ in range(scale.repeats)
        ]
        results += _cost_figures(role, runs)
    seconds = scale.count(EVENT_S)
    events_by_name = {
        "loss of a data centre": _lose_data_centre("dc-3"),
        "restart of all agents": _restart_agents(base),
    }
    for name, event in events_by_name.items():
        runs = [_run(balancer, scale, seconds, event)]
        results += _event_figures(name, runs, seconds)
    return results
