"""Slots and queue of one agent: which request runs, waits or is refused."""

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
class _ArrivalOrder:
    """First come, first served; the baseline.

    :param early: whether requests that would miss their deadline are
        refused on arrival.
    :param separates: whether long work is kept from taking every slot.
    """

    early: bool = False
    separates: bool = False

    def rank(self, now, deadline):
        """Return the sort key of a request; the lowest starts first."""
        return now


@registry.register(policies_by_name, "deadline")
@attrs.frozen
class _DeadlineOrder:
    """Earliest deadline first, with early refusal and reserved slots."""

    early: bool = True
    separates: bool = True

    def rank(self, now, deadline):
        """Return the sort key of a request; the lowest starts first."""
        return deadline


@attrs.frozen
class Load:
    """What an agent tells the other agents of its service.

    :param address: where the agent takes requests.
    :param slots: slots of the agent.
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
    load: Load
    received_at: float
    hints: int = 0


@attrs.define
class AdmissionQueue:
    """Decides which request runs, waits or is refused.

    :param slots: requests that may run at the same time, at least 1.
    :param rng: breaks ties between equally loaded peers.
    :param policy: a key of ``policies_by_name``.
    :param queue_limit: requests that may wait.
    :param long_factor: work is long from this many median run times on.
    :param long_content_bytes: bodies from this size on are long work.

    .. versionadded:: 0.1
    """

    slots: int
    rng: random.Random
    policy: str = "deadline"
    queue_limit: int = defaults.QUEUE_LIMIT
    long_factor: float = defaults.LONG_FACTOR
    long_content_bytes: int = defaults.LONG_CONTENT_BYTES
    draining: bool = attrs.field(default=False, init=False)
    _rules: object = attrs.field(init=False)
    _history: history.History = attrs.field(init=False)
    _running_by_id: dict = attrs.field(factory=dict, init=False)
    _short: backlog.Backlog = attrs.field(factory=backlog.Backlog, init=False)
    _long: backlog.Backlog = attrs.field(factory=backlog.Backlog, init=False)
    _peers_by_id: dict = attrs.field(factory=dict, init=False)
    _used_short: float = attrs.field(default=0.0, init=False)
    _used_long: float = attrs.field(default=0.0, init=False)
    _used_at: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self):
        if self.slots < 1:
            raise exceptions.StateError("%d slots" % self.slots)
        self._history = history.History(self.long_factor)
        self._rules = registry.lookup(
            policies_by_name, self.policy, "admission policy"
        )()

    @property
    def busy_slots(self):
        """Slots in use."""
        return len(self._running_by_id)

    @property
    def queued(self):
        """Requests that wait."""
        return len(self._short) + len(self._long)

    def load(self, now, agent_id, address):
        """Return the :class:`Load` of this agent for its peers."""
        return Load(
            agent_id,
            address,
            self.slots,
            self._long_running(),
            self._wait(now, math.inf, long=False),
            self._wait(now, math.inf, long=True),
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
        """Admit, queue or refuse a request.

        :param deadline: local time by which the answer must be complete.
        :param work_class: ``short``, ``long`` or empty.
        :param content_length: bytes of the body, or -1 when unknown.
        :param route: see :func:`limpetlift.state.history.route_of`.
        :param movable: whether the sender can send it to another agent.
        :raises StateError: when the id is in use.
        """
        if self._knows(request_id):
            raise exceptions.StateError("request %s is known" % request_id)
        due = self.tick(now)
        entry = self._entry(
            now, request_id, deadline, work_class, content_length, route
        )
        code, wait = self._judge(now, entry)
        if not code and movable and self._should_move(now, entry, wait):
            code = "peer_free"
        if code:
            return due + [self._refuse(now, entry, code, wait)]
        entry.movable = movable
        self._backlog_of(entry).push(now, entry)
        return due + self._start(now)

    def on_finished(self, now, request_id, seconds):
        """Free the slot of a request that ran for ``seconds``."""
        entry = self._running_by_id.pop(request_id, None)
        if entry is not None:
            self._history.add(entry.route, seconds, entry.long)
            self._charge(now, entry.holds_long, seconds - entry.seconds)
        return self._start(now)

    def on_cancel(self, now, request_id):
        """Forget a request, whether it waits or runs."""
        entry = self._running_by_id.pop(request_id, None)
        if entry is None:
            self._short.remove(request_id)
            self._long.remove(request_id)
        return self._start(now)

    def on_peer_loads(self, now, loads):
        """Take the loads of other agents of the service.

        :param loads: :class:`Load` objects, possibly old.
        """
        # Agents that were replaced must not pile up.
        self._peers_by_id = dict(self._fresh_peers(now))
        for load in loads:
            self._peers_by_id[load.agent_id] = _Peer(load, now)
        return []

    def drain(self, now):
        """Refuse what waits and whatever comes; running work finishes."""
        self.draining = True
        refused = []
        for waiting in (self._short, self._long):
            while waiting:
                entry = waiting.pop()
                refused.append(self._refuse(now, entry, "draining", math.inf))
        return refused

    def tick(self, now):
        """Refuse what waited past its deadline; recognise long work."""
        refused = []
        for waiting in (self._short, self._long):
            entry = waiting.pop_expired(now)
            while entry is not None:
                refused.append(
                    actions.Refused(entry.request_id, "deadline_passed")
                )
                entry = waiting.pop_expired(now)
        if self._rules.separates and self._recognise(now):
            refused += self._move_waiting(now)
        return refused

    def _recognise(self, now):
        """Mark running long work; return whether there is more of it."""
        found = False
        for entry in self._running_by_id.values():
            ran = now - entry.started_at
            if not entry.holds_long and ran > self._history.long_after:
                entry.overdue = found = True
        return found

    def _move_waiting(self, now):
        """Send waiting requests away from slots that long work holds."""
        moved = []
        for entry in self._short.movable():
            wait = self._wait(now, entry.deadline, long=False)
            if self._should_move(now, entry, wait):
                self._short.remove(entry.request_id)
                moved.append(self._refuse(now, entry, "peer_free", wait))
        return moved

    def _knows(self, request_id):
        return (
            request_id in self._running_by_id
            or request_id in self._short
            or request_id in self._long
        )

    def _entry(
        self, now, request_id, deadline, work_class, content_length, route
    ):
        if work_class not in (SHORT, LONG):
            work_class = ""
        # A declared class has its own history, as a route may serve both.
        key = (route, work_class)
        long = self._rules.separates and (
            work_class == LONG
            or content_length >= self.long_content_bytes
            or self._history.is_long(key)
        )
        return backlog.Entry(
            request_id=request_id,
            deadline=deadline,
            rank=self._rules.rank(now, deadline),
            long=long,
            seconds=self._history.estimate(key, long),
            route=key,
        )

    def _judge(self, now, entry):
        """Return a refusal code, or an empty text, and the wait."""
        if self.draining:
            return "draining", math.inf
        if entry.deadline <= now:
            return "deadline_passed", 0.0
        if self._has_room(entry.long):
            return "", 0.0
        wait = self._wait(now, entry.deadline, entry.long)
        if self.queued >= self.queue_limit:
            return "queue_full", wait
        latest = entry.deadline - defaults.RUN_MARGIN_FACTOR * entry.seconds
        if (
            self._rules.early
            and now + defaults.WAIT_MARGIN_FACTOR * wait > latest
        ):
            return "deadline_unreachable", wait
        return "", wait

    def _should_move(self, now, entry, wait):
        """Whether a peer is likely to start the request much earlier."""
        if not self._rules.early or wait == 0.0:
            return False
        if wait < defaults.MOVE_WAIT_SHARE * entry.seconds:
            return False
        peer = self._best_peer(now, entry)
        return peer is not None and self._peer_wait(peer, entry) < wait / 2

    def _start(self, now):
        results = []
        while self.busy_slots < self.slots:
            entry = self._next(now)
            if entry is None:
                break
            code = self._late(now, entry)
            if code:
                results.append(self._refuse(now, entry, code, math.inf))
                continue
            entry.started_at = now
            self._running_by_id[entry.request_id] = entry
            self._charge(now, entry.long, entry.seconds)
            results.append(actions.Admit(entry.request_id))
        return results

    def _next(self, now):
        """Remove and return the request whose turn it is, or None."""
        long_waits = self._long and self._long_running() < self._long_slots()
        if not long_waits:
            return self._short.pop()
        self._charge(now, long=True, seconds=0.0)
        if self._short and self._used_short <= self._used_long:
            return self._short.pop()
        return self._long.pop()

    def _late(self, now, entry):
        if entry.deadline <= now:
            return "deadline_passed"
        # Without others waiting, a small chance is better than an idle slot.
        if self._rules.early and self._backlog_of(entry):
            margin = defaults.START_MARGIN_FACTOR * entry.seconds
            if now + margin > entry.deadline:
                return "deadline_unreachable"
        return ""

    def _charge(self, now, long, seconds):
        """Add run time to a class; old run time fades away."""
        fade = math.exp(
            min(self._used_at - now, 0.0) / defaults.FAIR_SHARE_DECAY_S
        )
        self._used_at = now
        self._used_short *= fade
        self._used_long *= fade
        if long:
            self._used_long = max(self._used_long + seconds, 0.0)
        else:
            self._used_short = max(self._used_short + seconds, 0.0)

    def _backlog_of(self, entry):
        return self._long if entry.long else self._short

    def _long_slots(self):
        if not self._rules.separates:
            return self.slots
        return max(self.slots - 1, 1)

    def _long_running(self):
        return sum(entry.holds_long for entry in self._running_by_id.values())

    def _has_room(self, long):
        """Whether a request of this class would start at once."""
        if self.busy_slots >= self.slots or (
            self._long if long else self._short
        ):
            return False
        return not long or self._long_running() < self._long_slots()

    def _wait(self, now, deadline, long):
        """Estimate the seconds until a request of this class starts."""
        if self._has_room(long):
            return 0.0
        waiting = self._long if long else self._short
        held = self._long_running()
        servers = self._long_slots() if long else self.slots - held
        ahead = waiting.seconds_before(now, deadline)
        if long or servers < 1:
            return self._next_end(now) + ahead / max(servers, 1)
        return (ahead + self._short_residual(now) / servers) / servers

    def _short_residual(self, now):
        """Return the run time left to running short work."""
        history = self._history
        return sum(
            history.short.residual(now - entry.started_at, history.long_after)
            for entry in self._running_by_id.values()
            if not entry.holds_long
        )

    def _next_end(self, now):
        """Estimate the seconds until the next slot of long work is free."""
        return min(
            (
                # What has run past its estimate may run as long again.
                max(entry.seconds - ran, ran if ran > entry.seconds else 0.0)
                for entry in self._running_by_id.values()
                if entry.holds_long
                for ran in (now - entry.started_at,)
            ),
            default=self._history.estimate(None, False),
        )

    def _refuse(self, now, entry, code, wait):
        peer = self._best_peer(now, entry)
        if peer is None or self._peer_wait(peer, entry) >= wait:
            return actions.Refused(entry.request_id, code)
        peer.hints += 1
        return actions.Refused(entry.request_id, code, peer.load.address)

    def _fresh_peers(self, now):
        return [
            (agent_id, peer)
            for agent_id, peer in self._peers_by_id.items()
            if now - peer.received_at <= defaults.PEER_LOAD_MAX_AGE_S
        ]

    def _best_peer(self, now, entry):
        fresh = [peer for _, peer in self._fresh_peers(now)]
        if not fresh:
            return None
        waits = [self._peer_wait(peer, entry) for peer in fresh]
        least = min(waits)
        return self.rng.choice(
            [peer for peer, wait in zip(fresh, waits) if wait == least]
        )

    def _peer_wait(self, peer, entry):
        """Estimate the wait at a peer, with the requests hinted to it."""
        load = peer.load
        wait = load.long_wait_s if entry.long else load.wait_s
        return wait + peer.hints * entry.seconds / load.slots
