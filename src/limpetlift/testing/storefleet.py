"""A fleet whose configuration tasks share one store, on virtual time.

The decisions of all processes run against the store's own state; the data
centres and relay slots are the same at each size.
"""

import collections
import random

import attrs

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


class Process:
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
        """Start with no memory."""
        rng = random.Random(self.id)
        self.decisions = distribution.Distribution(
            self.id, 1, rng, is_balancer=self.is_balancer
        )
        self.slot = relays.RelaySlot(self.id, rng)

    def perform(self, steps):
        """Carry out actions of the distribution."""
        for step in steps:
            if isinstance(step, distribution.ReadStore):
                head, data = _result(publication.read_current(self.store))
                self.perform(
                    self.decisions.on_store_read(
                        self.fleet.now, head, data, True
                    )
                )
            elif isinstance(step, distribution.PutInForce):
                self.fleet.in_force[self.id] = self.fleet.now
            else:
                self.fleet.messages.append((self, step))

    def relay(self):
        """Run the relay slot and its watch."""
        now = self.fleet.now
        for step in self.slot.tick(now):
            if isinstance(step, relays.KeepAlive):
                remaining = _result(self.store.keep_alive(self.lease))
                self.slot.on_keep_alive(now, remaining)
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
            head = publication.head_from_entry(
                _result(self.fleet.reader.get("config/head"))
            )
            if head.revision > self.decisions.held.revision:
                data = _result(publication.read_data(self.store, head))
                self.perform(
                    self.decisions.on_store_read(now, head, data, False)
                )


class Fleet:
    """Balancers and agents with one store.

    :param balancers: number of balancers.
    :param agents: number of agents.
    """

    def __init__(self, balancers, agents):
        self.now = 0.0
        self.state = standin.StoreState(clock=lambda: self.now)
        self.reader = store.Store(standin.DirectTransport(self.state, "-"))
        self.messages = collections.deque()
        self.in_force = {}
        self.publish(b"one")
        self.balancers = [Process(self, n, True) for n in range(balancers)]
        self.agents = [Process(self, n, False) for n in range(agents)]
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
        """Return the ids of the balancers and of the agents."""
        return self.ids, [process.id for process in self.agents]

    def publish(self, content):
        """Apply a configuration."""
        publisher = publication.Publisher(
            store.Store(standin.DirectTransport(self.state, "operator")),
            lambda: self.now,
            None,
            new_token=lambda: "token",
        )
        _result(publisher.publish(lambda data: content))

    def run(self, seconds):
        """Let virtual time pass."""
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


@attrs.frozen
class Calls:
    """What :func:`measure` counts.

    :param by_role: calls in 10 minutes with 2 changes.
    :param slowest_s: seconds until the last process had a change.
    :param at_start_by_role: calls in the first minute.
    """

    by_role: dict
    slowest_s: float
    at_start_by_role: dict


def measure(scale):
    """Return the :class:`Calls` of a fleet of 28 processes times ``scale``."""
    fleet = Fleet(balancers=10 * scale, agents=18 * scale)
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
    return Calls(calls, slowest, before)
