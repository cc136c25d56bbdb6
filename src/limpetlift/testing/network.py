"""Simulated processes and datagrams between them on virtual time."""

import heapq

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import fleet


@attrs.define
class Traffic:
    """The traffic of one process.

    :param sent: bytes sent.
    :param received: bytes received.
    :param datagrams: number of datagrams sent.
    :param largest: bytes of the largest datagram sent.
    """

    sent: int = 0
    received: int = 0
    datagrams: int = 0
    largest: int = 0


@attrs.define
class Network:
    """Runs the memberships of processes and delivers their messages.

    :param rng: a ``random.Random`` for losses, delays and ticks.
    :param loss: share of datagrams lost.
    :param doubled: share of datagrams delivered twice.
    :param latency: shortest and longest one-way delay in seconds.
    :param tick_s: seconds between the ticks of a process.
    :param now: virtual time in seconds.
    :param members_by_id: the memberships of the running processes.
    :param is_cut: function of a sender's and a receiver's id that returns
        whether datagrams between them are lost, or None.
    :param on_action: called with ``(now, id, action)`` for each action that
        is not a message, or None.
    """

    rng: object
    loss: float = 0.0
    doubled: float = 0.0
    latency: tuple = (0.0005, 0.04)
    tick_s: float = 0.1
    now: float = 0.0
    members_by_id: dict = attrs.field(factory=dict)
    traffic_by_id: dict = attrs.field(factory=dict)
    is_cut: object = None
    on_action: object = None
    _ids_by_address: dict = attrs.field(factory=dict)
    # Deliveries to paused processes.
    _delayed_by_id: dict = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _event_count: int = 0
    # The last message and its size in bytes, since a process sends the same
    # message to many receivers.
    _last_message_size: tuple = (None, 0)

    def add(self, member):
        """Start a process, or replace the one with the same id."""
        agent_id = member.own.agent_id
        self.members_by_id[agent_id] = member
        self._ids_by_address[member.own.address] = agent_id
        self.traffic_by_id.setdefault(agent_id, Traffic())
        self._schedule(self.rng.random() * self.tick_s, self._tick, member)

    def kill(self, agent_id):
        """Stop a process without a message to the others."""
        del self.members_by_id[agent_id]
        self._delayed_by_id.pop(agent_id, None)

    def pause(self, agent_id):
        """Pause a process; datagrams to it are kept until it resumes."""
        self._delayed_by_id[agent_id] = []

    def resume(self, agent_id, kept=True):
        """Continue a paused process.

        :param kept: whether the datagrams kept during the pause are delivered;
            else they are lost.
        """
        for arguments in self._delayed_by_id.pop(agent_id):
            if kept:
                self._deliver(*arguments)

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        events = self._events
        while events and events[0][0] <= end:
            self.now, _, callback, arguments = heapq.heappop(events)
            callback(*arguments)
        self.now = end

    def carry_out(self, agent_id, results):
        """Carry out the actions that a process has returned."""
        for action in results:
            if isinstance(action, actions.Send):
                self._send(agent_id, action.agent_id, action.message)
            elif isinstance(action, actions.SendAddress):
                receiver = self._ids_by_address.get(action.address)
                self._send(agent_id, receiver, action.message)
            elif self.on_action is not None:
                self.on_action(self.now, agent_id, action)

    def _schedule(self, delay_s, callback, *arguments):
        self._event_count += 1
        heapq.heappush(
            self._events,
            (self.now + delay_s, self._event_count, callback, arguments),
        )

    def _tick(self, member):
        agent_id = member.own.agent_id
        if self.members_by_id.get(agent_id) is not member:
            return
        self._schedule(self.tick_s, self._tick, member)
        if agent_id not in self._delayed_by_id:
            self.carry_out(agent_id, member.tick(self.now))

    def _send(self, sender, receiver, message):
        if self._last_message_size[0] is not message:
            self._last_message_size = (
                message,
                budget.wire_size_bytes(message),
            )
        size_bytes = self._last_message_size[1]
        traffic = self.traffic_by_id[sender]
        traffic.sent += size_bytes
        traffic.datagrams += 1
        traffic.largest = max(traffic.largest, size_bytes)
        if receiver not in self.members_by_id:
            return
        if self.is_cut is not None and self.is_cut(sender, receiver):
            return
        incarnation = self.members_by_id[sender].own.incarnation
        copies = 2 if self.rng.random() < self.doubled else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                self._schedule(
                    self.rng.uniform(*self.latency),
                    self._deliver,
                    sender,
                    receiver,
                    incarnation,
                    message,
                    size_bytes,
                )

    def _deliver(self, sender, receiver, incarnation, message, size_bytes):
        member = self.members_by_id.get(receiver)
        if member is None:
            return
        delayed_deliveries = self._delayed_by_id.get(receiver)
        if delayed_deliveries is not None:
            delayed_deliveries.append(
                (sender, receiver, incarnation, message, size_bytes)
            )
            return
        self.traffic_by_id[receiver].received += size_bytes
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
