"""Admission control of one agent: a number of slots and a queue for them."""

import math
import random

import attrs

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import registry
from limpetlift.state import actions
from limpetlift.state import backlog
from limpetlift.state import history

SHORT = "short"
LONG = "long"

policies_by_name = {}


@registry.register(policies_by_name, "fifo")
@attrs.frozen
class _FifoPolicy:
    """First come, first served; the baseline.

    :param refuses_early: whether a request that is likely to miss its
        deadline is refused before that, or sent to another agent.
    :param limits_long_work: whether long work is recognised and kept from
        taking every slot.
    """

    refuses_early: bool = False
    limits_long_work: bool = False

    def rank(self, now, deadline):
        """Return the sort key of a request; the lowest one starts first."""
        return now


@registry.register(policies_by_name, "deadline")
@attrs.frozen
class _DeadlinePolicy:
    """Earliest deadline first, with early refusal and a limit on long work."""

    refuses_early: bool = True
    limits_long_work: bool = True

    def rank(self, now, deadline):
        """Return the sort key of a request; the lowest one starts first."""
        return deadline


@attrs.frozen
class Load:
    """The load that an agent reports to the other agents of its service.

    :param address: address at which the agent takes requests.
    :param slots: number of slots of the agent.
    :param long_running: slots held by long work.
    :param wait_s: estimated seconds until new short work would start.
    :param long_wait_s: the same for new long work.
    """

    agent_id: str
    address: str
    slots: int
    long_running: int
    wait_s: float
    long_wait_s: float


@attrs.define
class _Peer:
    """What is known of another agent of the service.

    :param load: its last reported load.
    :param received_at: when the load arrived.
    :param hints: refused requests that were pointed to it since.
    """

    load: Load
    received_at: float
    hints: int = 0


@attrs.define
class AdmissionQueue:
    """Decides which request runs, waits or is refused.

    All methods take ``now`` in seconds (monotonic). Under a policy that limits
    long work, a request that is classified as long on arrival is not started
    in the last slot that no long work holds, so that it cannot block short
    work; an agent with a single slot is exempt. When requests of both classes
    can start, the class that has used less run time recently is next.

    :param slots: requests that may run at the same time, at least 1.
    :param rng: breaks ties between equally loaded peers.
    :param policy: a key of ``policies_by_name``.
    :param queue_limit: requests that may wait.
    :param long_factor: work is long from this many median run times of short
        work on.
    :param long_content_bytes: a request with a body of at least this size is
        long work.
    :raises StateError: when ``slots`` is below 1 or ``policy`` is unknown.

    .. versionadded:: 0.1
    """

    slots: int
    rng: random.Random
    policy: str = "deadline"
    queue_limit: int = defaults.QUEUE_LIMIT
    long_factor: float = defaults.LONG_FACTOR
    long_content_bytes: int = defaults.LONG_CONTENT_BYTES
    draining: bool = attrs.field(default=False, init=False)
    _selected_policy: object = attrs.field(init=False)
    _history: history.RunTimeHistory = attrs.field(init=False)
    _running_by_id: dict = attrs.field(factory=dict, init=False)
    _short_backlog: backlog.Backlog = attrs.field(
        factory=backlog.Backlog, init=False
    )
    _long_backlog: backlog.Backlog = attrs.field(
        factory=backlog.Backlog, init=False
    )
    _peers_by_id: dict = attrs.field(factory=dict, init=False)
    _short_usage_s: float = attrs.field(default=0.0, init=False)
    _long_usage_s: float = attrs.field(default=0.0, init=False)
    _usage_updated_at: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self):
        if self.slots < 1:
            raise exceptions.StateError(
                "slots must be at least 1, got %d" % self.slots
            )
        self._history = history.RunTimeHistory(self.long_factor)
        self._selected_policy = registry.lookup(
            policies_by_name, self.policy, "admission policy"
        )()

    @property
    def busy_slots(self):
        """Number of slots in use."""
        return len(self._running_by_id)

    @property
    def queued(self):
        """Number of waiting requests."""
        return len(self._short_backlog) + len(self._long_backlog)

    def load(self, now, agent_id, address):
        """Return the :class:`Load` to report to the other agents."""
        return Load(
            agent_id,
            address,
            self.slots,
            self._long_running(),
            self._estimate_wait_s(now, math.inf, is_long=False),
            self._estimate_wait_s(now, math.inf, is_long=True),
        )

    def on_request(
        self,
        now,
        request_id,
        deadline,
        work_class="",
        content_length=0,
        route="",
        movable=False,
    ):
        """Admit, queue or refuse a request; return the actions.

        :param deadline: local time by which the answer must be complete.
        :param work_class: class that the caller declares: ``short``, ``long``
            or empty.
        :param content_length: bytes of the body, or -1 when unknown.
        :param route: see :func:`limpetlift.state.history.route_of`.
        :param movable: whether the sender can send it to another agent.
        :raises StateError: when the id is in use.
        """
        if self._is_known(request_id):
            raise exceptions.StateError(
                "request id %s is already in use" % request_id
            )
        results = self.tick(now)
        entry = self._make_entry(
            now, request_id, deadline, work_class, content_length, route
        )
        code, wait_s = self._check_arrival(now, entry)
        if not code and movable and self._should_move(now, entry, wait_s):
            code = "peer_free"
        if code:
            return results + [self._refuse(now, entry, code, wait_s)]
        entry.movable = movable
        self._backlog_of(entry).push(now, entry)
        return results + self._start(now)

    def on_finished(self, now, request_id, run_time_s):
        """Free the slot of a request that ran for ``run_time_s``."""
        entry = self._running_by_id.pop(request_id, None)
        if entry is not None:
            self._history.add(entry.history_key, run_time_s, entry.is_long)
            self._charge(
                now, entry.counts_as_long, run_time_s - entry.estimate_s
            )
        return self._start(now)

    def on_cancel(self, now, request_id):
        """Remove a request, whether it waits or runs."""
        entry = self._running_by_id.pop(request_id, None)
        if entry is None:
            self._short_backlog.remove(request_id)
            self._long_backlog.remove(request_id)
        return self._start(now)

    def on_peer_loads(self, now, loads):
        """Record the loads of other agents of the service.

        :param loads: :class:`Load` objects, which may be out of date.
        """
        # Drops agents that no longer report, such as replaced ones, so that
        # the table stays bounded.
        self._peers_by_id = dict(self._fresh_peers(now))
        for load in loads:
            self._peers_by_id[load.agent_id] = _Peer(load, now)
        return []

    def drain(self, now):
        """Refuse all waiting and new requests; running ones continue."""
        self.draining = True
        refused = []
        for waiting in (self._short_backlog, self._long_backlog):
            while waiting:
                entry = waiting.pop()
                refused.append(self._refuse(now, entry, "draining", math.inf))
        return refused

    def tick(self, now):
        """Run the timers.

        Refuses requests whose deadline passed while they waited. Marks running
        requests that take much longer than the median as long work; if there
        are new ones, refuses those waiting short requests that can be moved to
        a peer that would start them much earlier.
        """
        refused = []
        for waiting in (self._short_backlog, self._long_backlog):
            entry = waiting.pop_expired(now)
            while entry is not None:
                refused.append(
                    actions.Refused(entry.request_id, "deadline_passed")
                )
                entry = waiting.pop_expired(now)
        if self._selected_policy.limits_long_work and self._detect_long_work(
            now
        ):
            refused += self._move_waiting(now)
        return refused

    def _detect_long_work(self, now):
        """Mark long-running requests; return whether there are new ones."""
        found = False
        for entry in self._running_by_id.values():
            elapsed_s = now - entry.started_at
            if (
                not entry.counts_as_long
                and elapsed_s > self._history.long_after_s
            ):
                entry.became_long = found = True
        return found

    def _move_waiting(self, now):
        """Refuse movable requests that a peer is likely to start earlier."""
        moved = []
        for entry in self._short_backlog.movable_entries():
            wait_s = self._estimate_wait_s(now, entry.deadline, is_long=False)
            if self._should_move(now, entry, wait_s):
                self._short_backlog.remove(entry.request_id)
                moved.append(self._refuse(now, entry, "peer_free", wait_s))
        return moved

    def _is_known(self, request_id):
        return (
            request_id in self._running_by_id
            or request_id in self._short_backlog
            or request_id in self._long_backlog
        )

    def _make_entry(
        self, now, request_id, deadline, work_class, content_length, route
    ):
        if work_class not in (SHORT, LONG):
            work_class = ""
        # Each declared class has its own history, because one route may serve
        # both short and long work.
        history_key = (route, work_class)
        is_long = self._selected_policy.limits_long_work and (
            work_class == LONG
            or content_length >= self.long_content_bytes
            or self._history.is_long(history_key)
        )
        return backlog.Entry(
            request_id=request_id,
            deadline=deadline,
            rank=self._selected_policy.rank(now, deadline),
            is_long=is_long,
            estimate_s=self._history.estimate_s(history_key, is_long),
            history_key=history_key,
        )

    def _check_arrival(self, now, entry):
        """Check whether a new request may wait for a slot.

        :returns: a refusal code, empty if it may, and the estimated wait in
            seconds.
        """
        if self.draining:
            return "draining", math.inf
        if entry.deadline <= now:
            return "deadline_passed", 0.0
        if self._has_free_slot(entry.is_long):
            return "", 0.0
        wait_s = self._estimate_wait_s(now, entry.deadline, entry.is_long)
        if self.queued >= self.queue_limit:
            return "queue_full", wait_s
        latest_start = (
            entry.deadline - defaults.RUN_MARGIN_FACTOR * entry.estimate_s
        )
        if (
            self._selected_policy.refuses_early
            and now + defaults.WAIT_MARGIN_FACTOR * wait_s > latest_start
        ):
            return "deadline_unreachable", wait_s
        return "", wait_s

    def _should_move(self, now, entry, wait_s):
        """Whether a peer is likely to halve the wait of the request.

        :param wait_s: estimated wait at this agent.
        """
        if not self._selected_policy.refuses_early or wait_s == 0.0:
            return False
        if wait_s < defaults.MOVE_WAIT_SHARE * entry.estimate_s:
            return False
        peer = self._best_peer(now, entry)
        return (
            peer is not None
            and self._estimate_peer_wait_s(peer, entry) < wait_s / 2
        )

    def _start(self, now):
        """Start waiting requests while there are free slots."""
        results = []
        while self.busy_slots < self.slots:
            entry = self._pop_next(now)
            if entry is None:
                break
            code = self._check_start(now, entry)
            if code:
                results.append(self._refuse(now, entry, code, math.inf))
                continue
            entry.started_at = now
            self._running_by_id[entry.request_id] = entry
            self._charge(now, entry.is_long, entry.estimate_s)
            results.append(actions.Admit(entry.request_id))
        return results

    def _pop_next(self, now):
        """Remove and return the entry to start next, or None."""
        long_may_start = (
            self._long_backlog and self._long_running() < self._long_slots()
        )
        if not long_may_start:
            return self._short_backlog.pop()
        self._charge(now, is_long=True, run_time_s=0.0)
        if self._short_backlog and self._short_usage_s <= self._long_usage_s:
            return self._short_backlog.pop()
        return self._long_backlog.pop()

    def _check_start(self, now, entry):
        """Return a refusal code, empty if the request may start now."""
        if entry.deadline <= now:
            return "deadline_passed"
        # If no other request of the class waits, a small chance of ending in
        # time is better than an idle slot.
        if self._selected_policy.refuses_early and self._backlog_of(entry):
            margin_s = defaults.START_MARGIN_FACTOR * entry.estimate_s
            if now + margin_s > entry.deadline:
                return "deadline_unreachable"
        return ""

    def _charge(self, now, is_long, run_time_s):
        """Add run time to the usage of a class; older usage decays.

        :param run_time_s: negative to correct an estimate that was too high.
        """
        decay = math.exp(
            min(self._usage_updated_at - now, 0.0)
            / defaults.FAIR_SHARE_DECAY_S
        )
        self._usage_updated_at = now
        self._short_usage_s *= decay
        self._long_usage_s *= decay
        if is_long:
            self._long_usage_s = max(self._long_usage_s + run_time_s, 0.0)
        else:
            self._short_usage_s = max(self._short_usage_s + run_time_s, 0.0)

    def _backlog_of(self, entry):
        return self._long_backlog if entry.is_long else self._short_backlog

    def _long_slots(self):
        """Return how many slots long work may hold."""
        if not self._selected_policy.limits_long_work:
            return self.slots
        return max(self.slots - 1, 1)

    def _long_running(self):
        """Return how many slots long work holds."""
        return sum(
            entry.counts_as_long for entry in self._running_by_id.values()
        )

    def _has_free_slot(self, is_long):
        """Whether a request of this class would start at once."""
        if self.busy_slots >= self.slots or (
            self._long_backlog if is_long else self._short_backlog
        ):
            return False
        return not is_long or self._long_running() < self._long_slots()

    def _estimate_wait_s(self, now, deadline, is_long):
        """Estimate the seconds until a request of this class starts."""
        if self._has_free_slot(is_long):
            return 0.0
        waiting = self._long_backlog if is_long else self._short_backlog
        held = self._long_running()
        usable_slots = self._long_slots() if is_long else self.slots - held
        ahead_s = waiting.run_time_until(now, deadline)
        if is_long or usable_slots < 1:
            return self._next_long_end_s(now) + ahead_s / max(usable_slots, 1)
        return (
            ahead_s + self._short_residual_s(now) / usable_slots
        ) / usable_slots

    def _short_residual_s(self, now):
        """Estimate the total run time left to running short work."""
        history = self._history
        return sum(
            history.short.mean_residual(
                now - entry.started_at, history.long_after_s
            )
            for entry in self._running_by_id.values()
            if not entry.counts_as_long
        )

    def _next_long_end_s(self, now):
        """Estimate the seconds until long work frees its next slot."""
        return min(
            (
                # Work that has exceeded its estimate is expected to run for
                # the same time again.
                max(
                    entry.estimate_s - elapsed_s,
                    elapsed_s if elapsed_s > entry.estimate_s else 0.0,
                )
                for entry in self._running_by_id.values()
                if entry.counts_as_long
                for elapsed_s in (now - entry.started_at,)
            ),
            default=self._history.estimate_s(None, False),
        )

    def _refuse(self, now, entry, code, wait_s):
        """Return a refusal, with a hint if a peer has a shorter wait.

        :param wait_s: estimated wait at this agent.
        """
        peer = self._best_peer(now, entry)
        if peer is None or self._estimate_peer_wait_s(peer, entry) >= wait_s:
            return actions.Refused(entry.request_id, code)
        peer.hints += 1
        return actions.Refused(entry.request_id, code, peer.load.address)

    def _fresh_peers(self, now):
        """Return ids and peers whose load is recent enough to be used."""
        return [
            (agent_id, peer)
            for agent_id, peer in self._peers_by_id.items()
            if now - peer.received_at <= defaults.PEER_LOAD_MAX_AGE_S
        ]

    def _best_peer(self, now, entry):
        """Return a peer with the shortest estimated wait, or None."""
        fresh = [peer for _, peer in self._fresh_peers(now)]
        if not fresh:
            return None
        waits_s = [self._estimate_peer_wait_s(peer, entry) for peer in fresh]
        shortest_s = min(waits_s)
        return self.rng.choice(
            [
                peer
                for peer, wait_s in zip(fresh, waits_s)
                if wait_s == shortest_s
            ]
        )

    def _estimate_peer_wait_s(self, peer, entry):
        """Estimate the wait at a peer, with the requests pointed to it."""
        load = peer.load
        wait_s = load.long_wait_s if entry.is_long else load.wait_s
        return wait_s + peer.hints * entry.estimate_s / load.slots
