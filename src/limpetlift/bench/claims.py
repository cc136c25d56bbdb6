"""Messages, bytes and processor time of requests with idempotency keys."""

import collections
import gc
import time

import attrs

from limpetlift.bench import figures
from limpetlift.coordination import roster as rosters
from limpetlift.protocol import envelope
from limpetlift.state import actions
from limpetlift.state import claims

_MEMBER_COUNTS = (3, 7)
_KEY_COUNT = 4500
_WALL_CLOCK_S = 1.8e9
_REQUEST_TIMEOUT_S = 30.0
_ANSWER = actions.Answer(200, (("Content-Type", "text/plain"),), b"booked")


@attrs.define
class _ClaimCluster:
    """The claim tables of a service, which exchange sealed messages directly.

    :param tables_by_id: claim table of each agent.
    :param sealers_by_id: envelope sealer of each agent.
    :param message_count: messages sent since the last reset.
    :param byte_count: total size of these messages.
    """

    tables_by_id: dict = attrs.field(factory=dict)
    sealers_by_id: dict = attrs.field(factory=dict)
    message_count: int = 0
    byte_count: int = 0

    def add(self, agent_id, incarnation):
        """Add an agent, or replace it after a restart; it has no roster."""
        key = b"k" * 16
        table = claims.ClaimTable(agent_id, incarnation)
        self.tables_by_id[agent_id] = table
        self.sealers_by_id[agent_id] = envelope.Sealer(
            agent_id, incarnation, [key]
        )

    def deliver(self, now, sender, steps):
        """Deliver the messages of ``steps`` and all that they cause.

        :param now: virtual time.
        :param sender: id of the agent that produced the steps.
        """
        undelivered = collections.deque((sender, step) for step in steps)
        while undelivered:
            sender, step = undelivered.popleft()
            if not isinstance(step, actions.Send):
                continue
            data = self.sealers_by_id[sender].seal(step.message, _WALL_CLOCK_S)
            self.message_count += 1
            self.byte_count += len(data)
            receiver = step.agent_id
            sealed, message = self.sealers_by_id[receiver].open(
                data, _WALL_CLOCK_S
            )
            table = self.tables_by_id[receiver]
            answers = table.on_message(now, sealed.sender, message)
            undelivered.extend((receiver, answer) for answer in answers)

    def install_roster(self, now, roster):
        """Install the roster at its agents, which then synchronize.

        The timers of all agents run once, 0.1 s later.
        """
        for agent_id in roster.current.incarnations_by_id:
            table = self.tables_by_id[agent_id]
            self.deliver(now, agent_id, table.on_roster(now, roster))
        for agent_id, table in self.tables_by_id.items():
            self.deliver(now + 0.1, agent_id, table.tick(now + 0.1))

    def reset_counts(self):
        """Set the counts of messages and bytes to 0."""
        self.message_count = self.byte_count = 0


def _build_cluster(count):
    cluster = _ClaimCluster()
    members = {"agent-%d" % n: 1_800_000_000_000 + n for n in range(count)}
    for agent_id, incarnation in members.items():
        cluster.add(agent_id, incarnation)
    roster = rosters.Roster(rosters.Generation(1, members))
    cluster.install_roster(0.0, roster)
    cluster.reset_counts()
    return cluster, roster


def _run_keys(cluster, count):
    """Run requests with distinct keys, and return the processor time used.

    :param count: number of requests, which the agents receive in turn.
    """
    agents = list(cluster.tables_by_id.items())
    gc.collect()
    started = time.process_time()
    for number in range(count):
        now = 1.0 + number * 0.01
        agent_id, table = agents[number % len(agents)]
        key = "5f1d7a52-0000-4000-8000-%012d" % number
        steps = table.on_request(now, key, key, now + _REQUEST_TIMEOUT_S)
        cluster.deliver(now, agent_id, steps)
        table.on_done(now, key, _ANSWER)
    return time.process_time() - started


@figures.measurement("claims")
def measure(scale):
    """Measure keyed requests without faults, and the restart of a member."""
    results = []
    for members in _MEMBER_COUNTS:
        runs = [_measure_one(scale, members) for _ in range(scale.repeats)]
        for index, (name, unit) in enumerate(_QUANTITIES):
            values = [run[index] for run in runs]
            figure_name = "%s, %d members" % (name, members)
            results.append(figures.Figure(figure_name, unit, values))
    return results


_QUANTITIES = (
    ("messages per keyed request", "messages"),
    ("bytes per keyed request", "B"),
    ("processor time per keyed request, all agents", "us"),
    ("messages after a restart with full vote tables", "messages"),
    ("bytes after a restart with full vote tables", "B"),
    ("processor time after a restart, all agents", "ms"),
)


def _measure_one(scale, members):
    cluster, roster = _build_cluster(members)
    keys = scale.count(_KEY_COUNT)
    seconds = _run_keys(cluster, keys)
    per_key = (
        cluster.message_count / keys,
        cluster.byte_count / keys,
        seconds / keys * 1e6,
    )
    cluster.reset_counts()
    incarnation = 1_900_000_000_000
    cluster.add("agent-0", incarnation)
    roster = rosters.add(roster, "agent-0", incarnation)
    started = time.process_time()
    cluster.install_roster(1.0 + keys * 0.01, roster)
    seconds = time.process_time() - started
    if not all(table.may_vote for table in cluster.tables_by_id.values()):
        raise figures.NotRun("a member is not synced")
    return *per_key, cluster.message_count, cluster.byte_count, seconds * 1e3
