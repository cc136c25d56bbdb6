"""A service of agents on virtual time, for keyed requests under faults.

The simulation runs real :class:`ClaimTable` objects over a network that
loses, doubles, delays and reorders messages, with a store that can be down
or lose the answer of a write, and callers that repeat keys.
"""

import heapq
import random

import attrs

from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import envelope
from limpetlift.protocol import messages
from limpetlift.protocol import refusal
from limpetlift.state import actions
from limpetlift.state import claims

TICK_S = 0.02
JOIN_S = 0.3
POLL_S = 2.0
CALLER_TIMEOUT_S = 3.0
SECRET = b"s" * 16


@attrs.define
class Network:
    """Properties of the network; probabilities are per message."""

    loss: float = 0.0
    double: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.0
    late: float = 0.0
    late_s: float = 3.0


@attrs.define
class Attempt:
    """One attempt of a caller; ``outcome`` is what the caller was told."""

    id: str
    key: str
    agent: object
    sent_at: float
    link_s: float
    granted: bool = False
    ended: bool = False
    ran: bool = False
    outcome: str = ""
    answer: object = None


@attrs.define
class Agent:
    """One agent process and what arrived while it was paused."""

    id: str
    incarnation: int
    table: claims.ClaimTable
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    side: int = 0
    reads_store: bool = True
    joining_at: float = 0.0
    read_wanted: bool = True
    backlog: list = attrs.field(factory=list)
    attempts_by_id: dict = attrs.field(factory=dict)


class Store:
    """One key with compare-and-swap; may be down or lose an answer."""

    def __init__(self):
        self.value = b""
        self.up = True
        self.lose_answer = False

    def read(self):
        """Return the roster.

        :raises StoreUnavailable: while the store is down.
        """
        if not self.up:
            raise exceptions.StoreUnavailable("down")
        return rosters.decode(self.value) if self.value else rosters.Roster()

    def swap(self, before, after):
        """Replace the roster ``before`` by ``after``.

        :raises StoreConflict: when another roster is stored.
        :raises StoreOutcomeUnknown: when the answer is lost.
        """
        current = self.read()
        if current != before:
            raise exceptions.StoreConflict("changed")
        self.value = rosters.encode(after)
        if self.lose_answer:
            self.lose_answer = False
            raise exceptions.StoreOutcomeUnknown("answer lost")


class Simulation:
    """A service with ``count`` agents.

    :param seed: of the random generator of network and timing.
    :param window_s: the retry window.

    .. versionadded:: 0.1
    """

    def __init__(self, count, seed, network=None, window_s=6.0, margin_s=6.0):
        self.random = random.Random(seed)
        self.network = network or Network()
        self.window_s = window_s
        self.margin_s = margin_s
        self.store = Store()
        self.now = 0.0
        self.attempts = []
        self.runs_by_key = {}
        self.message_count = 0
        self.byte_count = 0
        self.largest = 0
        self._events = []
        self._order = 0
        self._incarnation = 1000
        self._sealer = envelope.Sealer("agent-0", 1_800_000_000_000, [SECRET])
        self.agents_by_id = {}
        self.cut_links = set()
        for number in range(count):
            self.start("agent-%d" % number)

    # Time.

    def at(self, delay_s, call, *arguments):
        """Run ``call`` after ``delay_s``."""
        self._order += 1
        event = (self.now + delay_s, self._order, call, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advance virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = end

    # Agents.

    def start(self, agent_id):
        """Start a new incarnation of an agent with no memory."""
        self.kill(agent_id)
        self._incarnation += 1
        before = self.agents_by_id.get(agent_id)
        agent = Agent(
            agent_id,
            self._incarnation,
            claims.ClaimTable(
                agent_id,
                self._incarnation,
                retry_window_s=self.window_s,
                margin_s=self.margin_s,
            ),
        )
        if before is not None:
            agent.side = before.side
            agent.reads_store = before.reads_store
        self.agents_by_id[agent_id] = agent
        self.at(self.random.random() * TICK_S, self._tick, agent)
        return agent

    def kill(self, agent_id):
        """End an agent at once."""
        agent = self.agents_by_id.get(agent_id)
        if agent is not None:
            agent.alive = False

    def pause(self, agent_id):
        """Stop an agent without ending it."""
        self.agents_by_id[agent_id].paused = True

    def resume(self, agent_id):
        """Let an agent work off what arrived.

        Each connection keeps its order; datagrams come in any order.
        """
        agent = self.agents_by_id[agent_id]
        if not agent.paused:
            return
        agent.paused = False
        backlog, agent.backlog = agent.backlog, []
        for call, arguments in backlog:
            delay_s = self.random.random() * TICK_S
            if call != self._receive:
                delay_s = 0.0
            self.at(delay_s, self._deliver, agent, call, *arguments)

    def _deliver(self, agent, call, *arguments):
        """Run ``call`` at an agent, or keep it while the agent is paused."""
        if agent.paused:
            agent.backlog.append((call, arguments))
        elif agent.alive:
            call(*arguments)

    def _tick(self, agent):
        if not agent.alive:
            return
        if not agent.paused:
            self._use_store(agent)
            self._perform(agent, agent.table.tick(self.now))
        self.at(TICK_S, self._tick, agent)

    def _use_store(self, agent):
        """Join, or read the roster that another agent named."""
        if self.now < agent.joining_at and not agent.read_wanted:
            return
        wait = JOIN_S if not agent.read_wanted else POLL_S
        agent.joining_at = self.now + wait * (0.5 + self.random.random())
        agent.read_wanted = False
        if not agent.reads_store:
            return
        try:
            roster = self.store.read()
            self._perform(agent, agent.table.on_roster(self.now, roster))
            if not agent.leaving and not roster.contains(
                agent.id, agent.incarnation
            ):
                self.change(agent.id, rosters.add, agent.id, agent.incarnation)
        except exceptions.LimpetliftError:
            return

    def change(self, agent_id, function, *arguments):
        """Let an agent change the roster by compare-and-swap."""
        agent = self.agents_by_id[agent_id]
        if not (agent.alive and agent.reads_store) or agent.paused:
            return
        try:
            before = self.store.read()
            after = function(before, *arguments, agent.table.settled_epoch)
            self.store.swap(before, after)
        except exceptions.LimpetliftError:
            return
        self._perform(agent, agent.table.on_roster(self.now, after))

    def leave(self, agent_id):
        """Let an agent without running requests leave and stop."""
        agent = self.agents_by_id[agent_id]
        running = any(
            a.granted and not a.ended for a in agent.attempts_by_id.values()
        )
        if running or agent.paused or not agent.alive:
            return
        agent.leaving = True
        self._perform(agent, agent.table.on_leave(self.now))
        self.change(agent_id, rosters.leave, agent.id, agent.incarnation)

    # Network.

    def _send(self, sender, action):
        receiver = self.agents_by_id.get(action.agent_id)
        data = self._sealer.seal(action.message, 1.8e9)
        self.message_count += 1
        self.byte_count += len(data)
        self.largest = max(self.largest, len(data))
        link = frozenset((sender.id, action.agent_id))
        if receiver is None or link in self.cut_links:
            return
        if receiver.side != sender.side:
            return
        network = self.network
        copies = 1 + (self.random.random() < network.double)
        for _ in range(copies):
            if self.random.random() < network.loss:
                continue
            delay_s = network.delay_s
            delay_s += network.jitter_s * self.random.random()
            if self.random.random() < network.late:
                delay_s += network.late_s * self.random.random()
            self.at(
                delay_s,
                self._deliver,
                receiver,
                self._receive,
                receiver,
                sender.id,
                type(action.message).__name__,
                messages.encode(action.message),
            )

    def _receive(self, agent, sender_id, kind, data):
        message = messages.decode(kind, data)
        self._perform(
            agent, agent.table.on_message(self.now, sender_id, message)
        )

    def _perform(self, agent, steps):
        for step in steps:
            if isinstance(step, actions.Send):
                self._send(agent, step)
            elif isinstance(step, actions.ReadRoster):
                agent.read_wanted = True
            elif isinstance(step, actions.Granted):
                self._on_granted(agent, agent.attempts_by_id[step.request_id])
            elif isinstance(step, actions.Denied):
                attempt = agent.attempts_by_id[step.request_id]
                self._end(attempt, step.code)
            elif isinstance(step, actions.Replay):
                attempt = agent.attempts_by_id[step.request_id]
                attempt.answer = step.answer
                self._end(attempt, "replay")

    # Callers. A caller sends the body only after the agent admitted the
    # request, and the agent runs a request only after its body.

    def request(self, key, agent_id):
        """Send one attempt for ``key`` to an agent."""
        agent = self.agents_by_id[agent_id]
        link_s = 0.001 + 0.02 * self.random.random()
        attempt = Attempt(
            "a%d" % len(self.attempts), key, agent, self.now, link_s
        )
        self.attempts.append(attempt)
        self.at(link_s, self._deliver, agent, self._arrive, attempt)
        self.at(CALLER_TIMEOUT_S, self._give_up, attempt)
        return attempt

    def _arrive(self, attempt):
        agent = attempt.agent
        agent.attempts_by_id[attempt.id] = attempt
        deadline = self.now + CALLER_TIMEOUT_S
        self._perform(
            agent,
            agent.table.on_request(
                self.now, attempt.key, attempt.id, deadline
            ),
        )

    def _give_up(self, attempt):
        if not attempt.outcome:
            attempt.outcome = "timeout"
        self.at(
            attempt.link_s, self._deliver, attempt.agent, self._cut, attempt
        )

    def _cut(self, attempt):
        """The caller's connection is closed."""
        if attempt.ended or attempt.ran:
            return
        attempt.ended = True
        table = attempt.agent.table
        if attempt.granted:
            steps = table.on_failed(self.now, attempt.key, False)
        else:
            steps = table.on_cancel(self.now, attempt.id)
        self._perform(attempt.agent, steps)

    def _end(self, attempt, outcome):
        if attempt.ended:
            raise AssertionError("two answers for %s" % attempt.id)
        attempt.ended = True
        if not attempt.outcome:
            attempt.outcome = outcome

    def _on_granted(self, agent, attempt):
        if attempt.ended or attempt.granted:
            raise AssertionError("granted after its end: %s" % attempt.id)
        attempt.granted = True
        self.at(attempt.link_s, self._admit, attempt)

    def _admit(self, attempt):
        if not attempt.outcome:
            self.at(
                attempt.link_s, self._deliver, attempt.agent, self._execute,
                attempt,
            )  # fmt: skip

    def _execute(self, attempt):
        if attempt.ended:
            return
        attempt.ran = True
        runs = self.runs_by_key.setdefault(attempt.key, [])
        runs.append((self.now, attempt.id))
        # Some requests run longer than the votes for them are kept.
        longest_s = 2 * (self.window_s + self.margin_s)
        choice = self.random.random()
        duration_s = longest_s if choice < 0.1 else choice
        self.at(duration_s, self._deliver, attempt.agent, self._done, attempt)

    def _done(self, attempt):
        table = attempt.agent.table
        attempt.ended = True
        if self.random.random() < 0.1:
            self._perform(
                attempt.agent, table.on_outcome_unknown(self.now, attempt.key)
            )
            return
        size = self.random.choice([10, 3000, defaults.MAX_STORED_ANSWER_BYTES])
        answer = actions.Answer(200, (("X", "y"),), b"%d" % size * (size // 4))
        attempt.answer = answer
        attempt.outcome = attempt.outcome or "done"
        self._perform(
            attempt.agent, table.on_done(self.now, attempt.key, answer)
        )

    # What must hold.

    def violations(self):
        """Return one line for each broken promise."""
        found = [
            "%s ran %d times: %s" % (key, len(runs), runs)
            for key, runs in self.runs_by_key.items()
            if len(runs) > 1
        ]
        for attempt in self.attempts:
            entry = refusal.refusals_by_code.get(attempt.outcome)
            if entry and entry.outcome == refusal.NOT_RUN and attempt.ran:
                found.append("%s: not run, but ran" % attempt.id)
            if attempt.outcome == "replay":
                found += self._check_replay(attempt)
        return found

    def _check_replay(self, attempt):
        answers = [
            other.answer
            for other in self.attempts
            if other.key == attempt.key and other.ran
        ]
        if attempt.answer in answers:
            return []
        return ["%s: replay of an answer that no run gave" % attempt.id]
