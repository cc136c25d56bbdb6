"""Processes and datagrams on virtual time, for tests and experiments."""

import heapq

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import fleet


@attrs.define
class Traffic:
    """What one process sent and received, in bytes and datagrams."""

    sent: int = 0
    received: int = 0
    datagrams: int = 0
    largest: int = 0


@attrs.define
class Network:
    """Runs membership objects and delivers their messages.

    :param rng: a ``random.Random`` for loss, delay and order.
    :param loss: share of datagrams lost.
    :param doubled: share of datagrams delivered twice.
    :param latency: ``(least, most)`` one-way delay in seconds.
    :param tick_s: seconds between the ticks of a process.
    """

    rng: object
    loss: float = 0.0
    doubled: float = 0.0
    latency: tuple = (0.0005, 0.04)
    tick_s: float = 0.1
    now: float = 0.0
    members_by_id: dict = attrs.field(factory=dict)
    traffic_by_id: dict = attrs.field(factory=dict)
    # Pairs of process ids for which this returns true cannot communicate.
    is_cut: object = None
    # Called with (now, id, action) for actions that are not messages.
    on_action: object = None
    _ids_by_address: dict = attrs.field(factory=dict)
    _held_by_id: dict = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _count: int = 0
    _sized: tuple = (None, 0)

    def add(self, member):
        """Start a process at the present time, or replace it."""
        agent_id = member.own.agent_id
        self.members_by_id[agent_id] = member
        self._ids_by_address[member.own.address] = agent_id
        self.traffic_by_id.setdefault(agent_id, Traffic())
        self._at(self.rng.random() * self.tick_s, self._tick, member)

    def kill(self, agent_id):
        """End a process without notice."""
        del self.members_by_id[agent_id]
        self._held_by_id.pop(agent_id, None)

    def pause(self, agent_id):
        """Stop a process; its datagrams wait."""
        self._held_by_id[agent_id] = []

    def resume(self, agent_id, kept=True):
        """Continue a paused process.

        :param kept: whether the datagrams that wait are delivered.
        """
        for arguments in self._held_by_id.pop(agent_id):
            if kept:
                self._deliver(*arguments)

    def run(self, seconds):
        """Run until ``seconds`` later."""
        end = self.now + seconds
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, call, arguments = heapq.heappop(events)
            call(*arguments)
        self.now = end

    def carry_out(self, agent_id, found):
        """Carry out the actions of a process."""
        for action in found:
            if isinstance(action, actions.Send):
                self._send(agent_id, action.agent_id, action.message)
            elif isinstance(action, actions.SendAddress):
                receiver = self._ids_by_address.get(action.address)
                self._send(agent_id, receiver, action.message)
            elif self.on_action is not None:
                self.on_action(self.now, agent_id, action)

    def _at(self, delay, call, *arguments):
        self._count += 1
        heapq.heappush(
            self._events, (self.now + delay, self._count, call, arguments)
        )

    def _tick(self, member):
        agent_id = member.own.agent_id
        if self.members_by_id.get(agent_id) is not member:
            return
        self._at(self.tick_s, self._tick, member)
        if agent_id not in self._held_by_id:
            self.carry_out(agent_id, member.tick(self.now))

    def _send(self, sender, receiver, message):
        if self._sized[0] is not message:
            self._sized = (message, budget.wire_size_bytes(message))
        size = self._sized[1]
        traffic = self.traffic_by_id[sender]
        traffic.sent += size
        traffic.datagrams += 1
        traffic.largest = max(traffic.largest, size)
        if receiver not in self.members_by_id:
            return
        if self.is_cut is not None and self.is_cut(sender, receiver):
            return
        incarnation = self.members_by_id[sender].own.incarnation
        copies = 2 if self.rng.random() < self.doubled else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self._at(
                    self.rng.uniform(*self.latency),
                    self._deliver,
                    sender,
                    receiver,
                    incarnation,
                    message,
                    size,
                )

    def _deliver(self, sender, receiver, incarnation, message, size):
        member = self.members_by_id.get(receiver)
        if member is None:
            return
        held = self._held_by_id.get(receiver)
        if held is not None:
            held.append((sender, receiver, incarnation, message, size))
            return
        self.traffic_by_id[receiver].received += size
        source = ""
        if sender in self.members_by_id:
            source = self.members_by_id[sender].own.address
        self.carry_out(
            receiver,
            member.on_message(self.now, sender, incarnation, message, source),
        )


def is_balancer(member):
    """Return whether a process is a balancer."""
    return isinstance(member, fleet.BalancerMembership)
