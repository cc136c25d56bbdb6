"""Messages, bytes and processor time of keyed requests."""

import collections
import gc
import time

import attrs

from limpetlift.bench import figures
from limpetlift.coordination import roster as rosters
from limpetlift.protocol import envelope
from limpetlift.state import actions
from limpetlift.state import claims

_COUNTS = (3, 7)
_KEYS = 4500
_WALL_S = 1.8e9
_DEADLINE_S = 30.0
_ANSWER = actions.Answer(200, (("Content-Type", "text/plain"),), b"booked")


@attrs.define
class _Service:
    """Claim tables that exchange sealed messages in one process."""

    tables_by_id: dict = attrs.field(factory=dict)
    sealers_by_id: dict = attrs.field(factory=dict)
    messages: int = 0
    bytes: int = 0

    def add(self, agent_id, incarnation):
        """Add an agent without a roster."""
        key = b"k" * 16
        table = claims.ClaimTable(agent_id, incarnation)
        self.tables_by_id[agent_id] = table
        self.sealers_by_id[agent_id] = envelope.Sealer(
            agent_id, incarnation, [key]
        )

    def carry(self, now, sender, steps):
        """Deliver all messages that follow from ``steps``."""
        pending = collections.deque((sender, step) for step in steps)
        while pending:
            sender, step = pending.popleft()
            if not isinstance(step, actions.Send):
                continue
            data = self.sealers_by_id[sender].seal(step.message, _WALL_S)
            self.messages += 1
            self.bytes += len(data)
            receiver = step.agent_id
            sealed, message = self.sealers_by_id[receiver].open(data, _WALL_S)
            table = self.tables_by_id[receiver]
            answers = table.on_message(now, sealed.sender, message)
            pending.extend((receiver, answer) for answer in answers)

    def adopt(self, now, roster):
        """Give the roster to all agents, then let them synchronize."""
        for agent_id in roster.current.incarnations_by_id:
            table = self.tables_by_id[agent_id]
            self.carry(now, agent_id, table.on_roster(now, roster))
        for agent_id, table in self.tables_by_id.items():
            self.carry(now + 0.1, agent_id, table.tick(now + 0.1))

    def reset(self):
        """Start to count from 0."""
        self.messages = self.bytes = 0


def _service(count):
    service = _Service()
    members = {"agent-%d" % n: 1_800_000_000_000 + n for n in range(count)}
    for agent_id, incarnation in members.items():
        service.add(agent_id, incarnation)
    roster = rosters.Roster(rosters.Generation(1, members))
    service.adopt(0.0, roster)
    service.reset()
    return service, roster


def _run_keys(service, count):
    """Run keys at the agents in turn; return the processor time."""
    agents = list(service.tables_by_id.items())
    gc.collect()
    started = time.process_time()
    for number in range(count):
        now = 1.0 + number * 0.01
        agent_id, table = agents[number % len(agents)]
        key = "5f1d7a52-0000-4000-8000-%012d" % number
        steps = table.on_request(now, key, key, now + _DEADLINE_S)
        service.carry(now, agent_id, steps)
        table.on_done(now, key, _ANSWER)
    return time.process_time() - started


@figures.measurement("claims")
def measure(scale):
    """Measure keyed requests without faults, and a member that joins."""
    results = []
    for members in _COUNTS:
        runs = [_measure_one(scale, members) for _ in range(scale.repeats)]
        for index, (name, unit) in enumerate(_NAMES):
            values = [run[index] for run in runs]
            title = "%s, %d members" % (name, members)
            results.append(figures.Figure(title, unit, values))
    return results


_NAMES = (
    ("messages per keyed request", "messages"),
    ("bytes per keyed request", "B"),
    ("processor time per keyed request, all agents", "us"),
    ("messages after a restart with full vote tables", "messages"),
    ("bytes after a restart with full vote tables", "B"),
    ("processor time after a restart, all agents", "ms"),
)


def _measure_one(scale, members):
    service, roster = _service(members)
    keys = scale.count(_KEYS)
    seconds = _run_keys(service, keys)
    per_key = (
        service.messages / keys,
        service.bytes / keys,
        seconds / keys * 1e6,
    )
    service.reset()
    incarnation = 1_900_000_000_000
    service.add("agent-0", incarnation)
    roster = rosters.add(roster, "agent-0", incarnation)
    started = time.process_time()
    service.adopt(1.0 + keys * 0.01, roster)
    seconds = time.process_time() - started
    if not all(table.may_vote for table in service.tables_by_id.values()):
        raise figures.NotRun("a member is not synced")
    return *per_key, service.messages, service.bytes, seconds * 1e3
