"""Simulation of keyed requests to the agents of a service under faults.

It runs :class:`~limpetlift.state.claims.ClaimTable` objects on virtual time.
The network loses, duplicates, delays and reorders messages, the store may be
down or lose the answer to a write, and callers repeat keys.
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

_TICK_S = 0.02
# Mean times between two accesses of an agent to the store, without and with a
# requested read of the roster.
_STORE_ACCESS_INTERVAL_S = 0.3
_AFTER_REQUESTED_READ_S = 2.0
_CALLER_TIMEOUT_S = 3.0
_SECRET = b"s" * 16


@attrs.define
class Network:
    """Properties of the network.

    :param loss: probability that a message is lost.
    :param double: probability that a message is sent twice.
    :param delay_s: shortest delay.
    :param jitter_s: largest random addition to the delay.
    :param late: probability that a message is delayed by up to ``late_s``
        more.
    """

    loss: float = 0.0
    double: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.0
    late: float = 0.0
    late_s: float = 3.0


@attrs.define
class Attempt:
    """One attempt of a caller.

    :param connection_delay_s: one-way delay between caller and agent.
    :param granted: whether the agent has claimed the key for it.
    :param ended: whether the agent has answered, refused or cancelled it.
    :param ran: whether it began to run.
    :param outcome: outcome that the caller received, or ``timeout``.
    :param answer: the answer of its run, or the replayed answer.
    """

    id: str
    key: str
    agent: object
    sent_at: float
    connection_delay_s: float
    granted: bool = False
    ended: bool = False
    ran: bool = False
    outcome: str = ""
    answer: object = None


@attrs.define
class Agent:
    """One agent process.

    :param alive: whether it runs.
    :param leaving: whether it leaves the service.
    :param side: agents on different sides of a partition cannot communicate.
    :param reads_store: whether it can reach the store.
    :param next_store_access_at: when it next accesses the store without a
        request to read the roster.
    :param is_read_requested: whether its table has requested a read.
    :param pending_calls: calls that arrived while it was paused.
    """

    id: str
    incarnation: int
    table: claims.ClaimTable
    alive: bool = True
    paused: bool = False
    leaving: bool = False
    side: int = 0
    reads_store: bool = True
    next_store_access_at: float = 0.0
    is_read_requested: bool = True
    pending_calls: list = attrs.field(factory=list)
    attempts_by_id: dict = attrs.field(factory=dict)


class Store:
    """A store of one value, the roster, with compare-and-swap.

    It can be down, or lose the answer to the next write.
    """

    def __init__(self):
        self.value = b""
        self.up = True
        self.lose_answer = False

    def read(self):
        """Return the stored roster.

        :raises StoreUnavailable: if the store is down.
        """
        if not self.up:
            raise exceptions.StoreUnavailable("simulated store is down")
        return rosters.decode(self.value) if self.value else rosters.Roster()

    def swap(self, previous, after):
        """Replace the roster ``previous`` by ``after``.

        :raises StoreConflict: if another roster is stored.
        :raises StoreOutcomeUnknown: if the answer is lost.
        """
        current = self.read()
        if current != previous:
            raise exceptions.StoreConflict("roster changed since it was read")
        self.value = rosters.encode(after)
        if self.lose_answer:
            self.lose_answer = False
            raise exceptions.StoreOutcomeUnknown(
                "answer to the write was lost"
            )


class Simulation:
    """A service with ``count`` agents.

    :param seed: seed of the random choices of the network and of timing.
    :param network: the :class:`Network`; without faults if None.
    :param window_s: the retry window of the claim tables.
    :param margin_s: the margin of the claim tables.

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
        self._event_count = 0
        self._incarnation = 1000
        self._sealer = envelope.Sealer("agent-0", 1_800_000_000_000, [_SECRET])
        self.agents_by_id = {}
        self.cut_links = set()
        for number in range(count):
            self.start("agent-%d" % number)

    # Time.

    def at(self, delay_s, call, *arguments):
        """Schedule ``call(*arguments)`` after ``delay_s``."""
        self._event_count += 1
        event = (self.now + delay_s, self._event_count, call, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = end

    # Agents.

    def start(self, agent_id):
        """Start a new incarnation of an agent with an empty claim table."""
        self.kill(agent_id)
        self._incarnation += 1
        previous = self.agents_by_id.get(agent_id)
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
        if previous is not None:
            agent.side = previous.side
            agent.reads_store = previous.reads_store
        self.agents_by_id[agent_id] = agent
        self.at(self.random.random() * _TICK_S, self._tick, agent)
        return agent

    def kill(self, agent_id):
        """Stop an agent at once, without leaving the roster."""
        agent = self.agents_by_id.get(agent_id)
        if agent is not None:
            agent.alive = False

    def pause(self, agent_id):
        """Pause an agent; calls to it are kept until it resumes."""
        self.agents_by_id[agent_id].paused = True

    def resume(self, agent_id):
        """Resume a paused agent and deliver the calls that were kept.

        Events of connections keep their order; datagrams are delivered in
        random order.
        """
        agent = self.agents_by_id[agent_id]
        if not agent.paused:
            return
        agent.paused = False
        pending_calls, agent.pending_calls = agent.pending_calls, []
        for call, arguments in pending_calls:
            delay_s = self.random.random() * _TICK_S
            if call != self._receive:
                delay_s = 0.0
            self.at(delay_s, self._deliver, agent, call, *arguments)

    def _deliver(self, agent, call, *arguments):
        """Run ``call`` at an agent; keep it while the agent is paused."""
        if agent.paused:
            agent.pending_calls.append((call, arguments))
        elif agent.alive:
            call(*arguments)

    def _tick(self, agent):
        if not agent.alive:
            return
        if not agent.paused:
            self._access_store(agent)
            self._perform(agent, agent.table.tick(self.now))
        self.at(_TICK_S, self._tick, agent)

    def _access_store(self, agent):
        """Read the roster and add the agent to it if it is missing.

        Does nothing before the next access is due, unless the claim table
        has requested a read.
        """
        if (
            self.now < agent.next_store_access_at
            and not agent.is_read_requested
        ):
            return
        mean_wait_s = (
            _STORE_ACCESS_INTERVAL_S
            if not agent.is_read_requested
            else _AFTER_REQUESTED_READ_S
        )
        agent.next_store_access_at = self.now + mean_wait_s * (
            0.5 + self.random.random()
        )
        agent.is_read_requested = False
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
        """Change the roster by compare-and-swap on behalf of an agent.

        :param function: called with the stored roster, ``arguments`` and the
            settled epoch of the agent; returns the new roster.
        """
        agent = self.agents_by_id[agent_id]
        if not (agent.alive and agent.reads_store) or agent.paused:
            return
        try:
            previous = self.store.read()
            after = function(previous, *arguments, agent.table.settled_epoch)
            self.store.swap(previous, after)
        except exceptions.LimpetliftError:
            return
        self._perform(agent, agent.table.on_roster(self.now, after))

    def leave(self, agent_id):
        """Remove an agent without running requests from the service."""
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
                agent.is_read_requested = True
            elif isinstance(step, actions.Granted):
                self._on_granted(agent, agent.attempts_by_id[step.request_id])
            elif isinstance(step, actions.Denied):
                attempt = agent.attempts_by_id[step.request_id]
                self._end_attempt(attempt, step.code)
            elif isinstance(step, actions.Replay):
                attempt = agent.attempts_by_id[step.request_id]
                attempt.answer = step.answer
                self._end_attempt(attempt, "replay")

    # Callers. A caller sends the body only after the agent has admitted the
    # request, and the agent runs a request only after receiving its body.

    def request(self, key, agent_id):
        """Send an attempt with ``key`` to an agent and return it."""
        agent = self.agents_by_id[agent_id]
        connection_delay_s = 0.001 + 0.02 * self.random.random()
        attempt = Attempt(
            "a%d" % len(self.attempts),
            key,
            agent,
            self.now,
            connection_delay_s,
        )
        self.attempts.append(attempt)
        self.at(
            connection_delay_s, self._deliver, agent, self._on_request, attempt
        )
        self.at(_CALLER_TIMEOUT_S, self._on_caller_timeout, attempt)
        return attempt

    def _on_request(self, attempt):
        agent = attempt.agent
        agent.attempts_by_id[attempt.id] = attempt
        deadline = self.now + _CALLER_TIMEOUT_S
        self._perform(
            agent,
            agent.table.on_request(
                self.now, attempt.key, attempt.id, deadline
            ),
        )

    def _on_caller_timeout(self, attempt):
        if not attempt.outcome:
            attempt.outcome = "timeout"
        self.at(
            attempt.connection_delay_s,
            self._deliver,
            attempt.agent,
            self._close_connection,
            attempt,
        )

    def _close_connection(self, attempt):
        """Cancel an attempt at the agent after the caller has disconnected."""
        if attempt.ended or attempt.ran:
            return
        attempt.ended = True
        table = attempt.agent.table
        if attempt.granted:
            steps = table.on_failed(self.now, attempt.key, False)
        else:
            steps = table.on_cancel(self.now, attempt.id)
        self._perform(attempt.agent, steps)

    def _end_attempt(self, attempt, outcome):
        if attempt.ended:
            raise AssertionError("attempt %s ended twice" % attempt.id)
        attempt.ended = True
        if not attempt.outcome:
            attempt.outcome = outcome

    def _on_granted(self, agent, attempt):
        if attempt.ended or attempt.granted:
            raise AssertionError(
                "attempt %s was granted twice or after it had ended"
                % attempt.id
            )
        attempt.granted = True
        self.at(attempt.connection_delay_s, self._send_body, attempt)

    def _send_body(self, attempt):
        if not attempt.outcome:
            self.at(
                attempt.connection_delay_s,
                self._deliver,
                attempt.agent,
                self._on_body,
                attempt,
            )

    def _on_body(self, attempt):
        if attempt.ended:
            return
        attempt.ran = True
        runs = self.runs_by_key.setdefault(attempt.key, [])
        runs.append((self.now, attempt.id))
        # Some requests run for longer than the votes for them are kept.
        longest_s = 2 * (self.window_s + self.margin_s)
        draw = self.random.random()
        duration_s = longest_s if draw < 0.1 else draw
        self.at(
            duration_s,
            self._deliver,
            attempt.agent,
            self._on_run_finished,
            attempt,
        )

    def _on_run_finished(self, attempt):
        table = attempt.agent.table
        attempt.ended = True
        if self.random.random() < 0.1:
            self._perform(
                attempt.agent, table.on_outcome_unknown(self.now, attempt.key)
            )
            return
        answer_bytes = self.random.choice(
            [10, 3000, defaults.MAX_STORED_ANSWER_BYTES]
        )
        answer = actions.Answer(
            200, (("X", "y"),), b"%d" % answer_bytes * (answer_bytes // 4)
        )
        attempt.answer = answer
        attempt.outcome = attempt.outcome or "done"
        self._perform(
            attempt.agent, table.on_done(self.now, attempt.key, answer)
        )

    # Invariants.

    def violations(self):
        """Return a line for each violated invariant.

        No key runs twice, an attempt that was reported as not run has not
        run, and a replayed answer is that of a run with the same key.
        """
        descriptions = [
            "key %s ran %d times: %s" % (key, len(runs), runs)
            for key, runs in self.runs_by_key.items()
            if len(runs) > 1
        ]
        for attempt in self.attempts:
            entry = refusal.refusals_by_code.get(attempt.outcome)
            if entry and entry.outcome == refusal.NOT_RUN and attempt.ran:
                descriptions.append(
                    "attempt %s was reported as not run but ran" % attempt.id
                )
            if attempt.outcome == "replay":
                descriptions += self._check_replay(attempt)
        return descriptions

    def _check_replay(self, attempt):
        answers = [
            other.answer
            for other in self.attempts
            if other.key == attempt.key and other.ran
        ]
        if attempt.answer in answers:
            return []
        return [
            "attempt %s: no run of its key gave the replayed answer"
            % attempt.id
        ]
