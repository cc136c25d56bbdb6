"""Counts the calls that a fleet makes to the store, on virtual time.

The configuration tasks of all processes use one
:class:`~limpetlift.testing.store.StoreState` directly. The number of data
centres, and so of relay slots, is the same for each size of the fleet.
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
_TICK_S = 0.25


def _run_coroutine(coroutine):
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("a coroutine of the direct transport waited")


class Process:
    """A balancer, which may be a relay, or an agent.

    :param fleet: its :class:`Fleet`.
    :param number: its number among the processes of its role.
    """

    def __init__(self, fleet, number, is_balancer):
        role = "balancer" if is_balancer else "agent"
        self.fleet = fleet
        self.id = "%s-%d" % (role, number)
        self.data_centre = _DATA_CENTRES[number % len(_DATA_CENTRES)]
        self.is_balancer = is_balancer
        self.store = store.Store(standin.DirectTransport(fleet.state, role))
        self.seen_revision = 0
        self.lease = 0
        self.start()

    def start(self):
        """Start with empty state."""
        rng = random.Random(self.id)
        self.distribution_state = distribution.Distribution(
            self.id, 1, rng, is_balancer=self.is_balancer
        )
        self.relay_slot = relays.RelaySlot(self.id, rng)

    def perform(self, steps):
        """Carry out actions that the distribution has returned."""
        for step in steps:
            if isinstance(step, distribution.ReadStore):
                head, data = _run_coroutine(
                    publication.read_current(self.store)
                )
                self.perform(
                    self.distribution_state.on_store_read(
                        self.fleet.now, head, data, True
                    )
                )
            elif isinstance(step, distribution.PutInForce):
                self.fleet.in_force_at_by_id[self.id] = self.fleet.now
            else:
                self.fleet.messages.append((self, step))

    def tick_relay(self):
        """Tick the relay slot; if it is held, read a changed configuration."""
        now = self.fleet.now
        for step in self.relay_slot.tick(now):
            if isinstance(step, relays.KeepAlive):
                remaining = _run_coroutine(self.store.keep_alive(self.lease))
                self.relay_slot.on_keep_alive(now, remaining)
                continue
            assert isinstance(step, relays.Acquire)
            key = relays.slot_key(self.data_centre, step.slot)
            if _run_coroutine(self.store.get(key)) is not None:
                self.relay_slot.on_taken(now)
                continue
            self.lease = _run_coroutine(self.store.grant(15))
            _run_coroutine(
                self.store.compare_and_swap(key, 0, b"", self.lease)
            )
            self.relay_slot.on_acquired(now, step.slot)
        # The open watch of a relay reports a change without another call.
        revision = self.fleet.state.revision
        if self.relay_slot.slot is not None and self.seen_revision != revision:
            self.seen_revision = revision
            head = publication.head_from_entry(
                _run_coroutine(self.fleet.config_reader.get("config/head"))
            )
            if head.revision > self.distribution_state.held.revision:
                data = _run_coroutine(publication.read_data(self.store, head))
                self.perform(
                    self.distribution_state.on_store_read(
                        now, head, data, False
                    )
                )


class Fleet:
    """Balancers and agents that use one store.

    :param balancers: number of balancers.
    :param agents: number of agents.
    """

    def __init__(self, balancers, agents):
        self.now = 0.0
        self.state = standin.StoreState(clock=lambda: self.now)
        self.config_reader = store.Store(
            standin.DirectTransport(self.state, "-")
        )
        self.messages = collections.deque()
        self.in_force_at_by_id = {}
        self.publish(b"one")
        self.balancers = [Process(self, n, True) for n in range(balancers)]
        self.agents = [Process(self, n, False) for n in range(agents)]
        self.processes_by_id = {p.id: p for p in self.balancers + self.agents}
        self.balancer_ids = [process.id for process in self.balancers]
        for process in self.processes_by_id.values():
            process.perform(
                process.distribution_state.on_view(0.0, *self.view())
            )
        for process in self.balancers:
            process.relay_slot.on_view(
                0.0,
                [
                    other.id
                    for other in self.balancers
                    if other.data_centre == process.data_centre
                ],
            )

    def view(self):
        """Return the ids of the balancers and of the agents."""
        return self.balancer_ids, [process.id for process in self.agents]

    def publish(self, content):
        """Publish a configuration in the store."""
        publisher = publication.Publisher(
            store.Store(standin.DirectTransport(self.state, "operator")),
            lambda: self.now,
            None,
            new_token=lambda: "token",
        )
        _run_coroutine(publisher.publish(lambda data: content))

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        while self.now < end:
            self.now += _TICK_S
            self.state.lapse()
            for process in self.processes_by_id.values():
                process.perform(process.distribution_state.tick(self.now))
            for process in self.balancers:
                process.tick_relay()
            # Messages sent during one tick are delivered in the next one.
            for _ in range(len(self.messages)):
                self._deliver(*self.messages.popleft())

    def _deliver(self, sender, step):
        receiver = self.processes_by_id[step.agent_id]
        if isinstance(step, distribution.Notify):
            receiver.perform(
                receiver.distribution_state.on_notice(
                    self.now, sender.id, 1, step.notice
                )
            )
        elif receiver.distribution_state.held == step.head:
            data = receiver.distribution_state.data
            sender.perform(
                sender.distribution_state.on_pulled(self.now, step.head, data)
            )
        else:
            sender.perform(sender.distribution_state.on_pull_failed(self.now))


@attrs.frozen
class Calls:
    """Results of :func:`measure`.

    :param by_role: calls to the store in 10 minutes with 2 changes, by role.
    :param slowest_s: longest time until a change was in force everywhere.
    :param at_start_by_role: calls in the first minute, by role.
    """

    by_role: dict
    slowest_s: float
    at_start_by_role: dict


def measure(scale):
    """Count the calls of a fleet of 28 processes times ``scale``.

    :returns: the :class:`Calls`.
    """
    fleet = Fleet(balancers=10 * scale, agents=18 * scale)
    fleet.run(60)
    calls_at_start = {
        role: sum(calls.values())
        for role, calls in fleet.state.calls_by_role.items()
    }
    slowest_s = 0.0
    for change in range(2):
        started = fleet.now
        fleet.publish(b"change %d" % change)
        fleet.run(300)
        in_force_times = [
            fleet.in_force_at_by_id[name] for name in fleet.processes_by_id
        ]
        assert (
            min(in_force_times) > started
        ), "a process has not put the change in force"
        slowest_s = max(slowest_s, max(in_force_times) - started)
    calls = {
        role: sum(counts.values()) - calls_at_start.get(role, 0)
        for role, counts in fleet.state.calls_by_role.items()
    }
    return Calls(calls, slowest_s, calls_at_start)
