"""Calls on the store by role, for fleets of 28, 56 and 112 processes.

The decisions of all processes run in virtual time against one store. The
data centres and relay slots are the same at each size.
"""

import collections
import random

import pytest

from limpetlift.coordination import distribution
from limpetlift.coordination import publication
from limpetlift.coordination import relays
from limpetlift.coordination import store
from limpetlift.testing import store as standin

_DATA_CENTRES = ("a", "b", "c")
_STEP_S = 0.25


def _result(coroutine):
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the direct transport never waits")


class _Process:
    """A balancer or an agent; a balancer may be a relay."""

    def __init__(self, fleet, number, is_balancer):
        role = "balancer" if is_balancer else "agent"
        self.fleet = fleet
        self.id = "%s-%d" % (role, number)
        self.data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        self.is_balancer = is_balancer
        self.store = store.Store(standin.DirectTransport(fleet.state, role))
        self.seen = 0
        self.lease = 0
        self.start()

    def start(self):
        rng = random.Random(self.id)
        self.decisions = distribution.Distribution(
            self.id, 1, rng, is_balancer=self.is_balancer
        )
        self.slot = relays.RelaySlot(self.id, rng)

    def perform(self, steps):
        for step in steps:
            if isinstance(step, distribution.AskStore):
                head, data = _result(publication.read_current(self.store))
                self.perform(
                    self.decisions.on_store(self.fleet.now, head, data, True)
                )
            elif isinstance(step, distribution.PutInForce):
                self.fleet.in_force[self.id] = self.fleet.now
            else:
                self.fleet.messages.append((self, step))

    def relay(self):
        now = self.fleet.now
        for step in self.slot.tick(now):
            if isinstance(step, relays.KeepAlive):
                remaining = _result(self.store.keep_alive(self.lease))
                self.slot.on_kept(now, remaining)
                continue
            assert isinstance(step, relays.Acquire)
            key = relays.slot_key(self.data_centre, step.slot)
            if _result(self.store.get(key)) is not None:
                self.slot.on_taken(now)
                continue
            self.lease = _result(self.store.grant(15))
            _result(self.store.compare_and_swap(key, 0, b"", self.lease))
            self.slot.on_acquired(now, step.slot)
        # The open watch reports a change at once, without another call.
        revision = self.fleet.state.revision
        if self.slot.slot is not None and self.seen != revision:
            self.seen = revision
            head = publication.head_of(
                _result(self.fleet.reader.get("config/head"))
            )
            if head.revision > self.decisions.held.revision:
                data = _result(publication.read_data(self.store, head))
                self.perform(self.decisions.on_store(now, head, data, False))


class _Fleet:
    def __init__(self, balancers, agents):
        self.now = 0.0
        self.state = standin.StoreState(clock=lambda: self.now)
        self.reader = store.Store(standin.DirectTransport(self.state, "-"))
        self.messages = collections.deque()
        self.in_force = {}
        self.publish(b"one")
        self.balancers = [_Process(self, n, True) for n in range(balancers)]
        self.agents = [_Process(self, n, False) for n in range(agents)]
        self.by_id = {p.id: p for p in self.balancers + self.agents}
        self.ids = [process.id for process in self.balancers]
        for process in self.by_id.values():
            process.perform(process.decisions.on_view(0.0, *self.view()))
        for process in self.balancers:
            process.slot.on_view(
                0.0,
                [
                    other.id
                    for other in self.balancers
                    if other.data_centre == process.data_centre
                ],
            )

    def view(self):
        return self.ids, [process.id for process in self.agents]

    def publish(self, content):
        publisher = publication.Publisher(
            store.Store(standin.DirectTransport(self.state, "operator")),
            lambda: self.now,
            None,
            new_token=lambda: "token",
        )
        _result(publisher.publish(lambda data: content))

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_S
            self.state.lapse()
            for process in self.by_id.values():
                process.perform(process.decisions.tick(self.now))
            for process in self.balancers:
                process.relay()
            # Messages of one step arrive with the next one.
            for _ in range(len(self.messages)):
                self._deliver(*self.messages.popleft())

    def _deliver(self, sender, step):
        receiver = self.by_id[step.agent_id]
        if isinstance(step, distribution.Notify):
            receiver.perform(
                receiver.decisions.on_notice(
                    self.now, sender.id, 1, step.notice
                )
            )
        elif receiver.decisions.held == step.head:
            data = receiver.decisions.data
            sender.perform(
                sender.decisions.on_pulled(self.now, step.head, data)
            )
        else:
            sender.perform(sender.decisions.on_pull_failed(self.now))


def _measure(scale):
    """Return calls by role in 10 minutes with 2 changes, and the slowest."""
    fleet = _Fleet(balancers=10 * scale, agents=18 * scale)
    fleet.run(60)
    before = {
        role: sum(calls.values())
        for role, calls in fleet.state.calls_by_role.items()
    }
    slowest = 0.0
    for change in range(2):
        started = fleet.now
        fleet.publish(b"change %d" % change)
        fleet.run(300)
        times = [fleet.in_force[name] for name in fleet.by_id]
        assert min(times) > started, "a process missed the change"
        slowest = max(slowest, max(times) - started)
    calls = {
        role: sum(counts.values()) - before.get(role, 0)
        for role, counts in fleet.state.calls_by_role.items()
    }
    return calls, slowest, before


@pytest.mark.parametrize("scale", [1, 2, 4])
def test_calls_do_not_grow_with_the_fleet(scale):
    """More processes must not mean more calls on the store."""
    calls, slowest, at_start = _measure(scale)
    # 9 relays renew each 5 s and read one chunk for each change.
    renewals = 9 * 600 // 5
    assert calls["balancer"] <= renewals + 9 * 2 + 9
    assert calls.get("agent", 0) == 0
    assert calls["operator"] <= 2 * 5
    # Four steps of virtual time a second, so this bounds the rounds needed.
    assert slowest <= 4.0
    print("calls=%s slowest=%s at start=%s" % (calls, slowest, at_start))
