"""Simulation of the agents of one service on virtual time.

The network delays, reorders and loses messages, each process learns of a
change of the membership after its own delay, and agents pause. All random
choices come from one seeded generator.
"""

import heapq
import itertools
import random

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import placement
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift.state import actions
from limpetlift.state import flows

SERVICE = "job-desk"
_SERVICE_ID = hashing.service_id(SERVICE)
# At least one of the OWNER_QUERY_ATTEMPTS transmissions of a batch is
# delivered and acknowledged.
_MAX_LOSSES_PER_BATCH = defaults.OWNER_QUERY_ATTEMPTS - 1


@attrs.frozen
class Conditions:
    """Delays and losses of the network and of the membership.

    :param delay_s: longest one-way delay; below half of OWNER_QUERY_RETRY_S.
    :param loss: probability that a control message is lost.
    :param lag_s: longest time until a process learns of a changed record.
    """

    delay_s: float = 0.004
    loss: float = 0.0
    lag_s: float = 1.0


@attrs.define
class _Agent:
    """A simulated agent.

    :param table: its table of flows.
    :param view: the records of members that it knows, by agent id.
    :param paused_until: virtual time at which its pause ends.
    :param stopped: whether it has crashed.
    """

    table: flows.FlowTable
    view: dict
    paused_until: float = 0.0
    stopped: bool = False


@attrs.define
class FlowRecord:
    """Outcomes of the packets of one caller.

    :param owners: ids of the agents whose backend servers received packets,
        in the order of their first packet.
    :param delivered: number of packets that backend servers received.
    :param resets: number of resets sent to the caller.
    :param closed: ``(agent_id, reason)`` of each flow that was closed.
    """

    owners: list = attrs.field(factory=list)
    delivered: int = 0
    resets: int = 0
    closed: list = attrs.field(factory=list)


@attrs.define
class Cluster:
    """Agents, the views of balancers and the network between them.

    :param seed: seed of all random choices.
    :param limits: limits of the flow table of each agent.
    :param balancers: number of balancers.
    :param now: virtual time in seconds.
    :param flows_by_caller: :class:`FlowRecord` by flow key.
    :param drops: ``(agent_id, reason)`` of each dropped packet.
    :param opened_while_leaving: keys of the flows that were opened at an
        agent that drains.
    """

    seed: int
    conditions: Conditions = attrs.field(factory=Conditions)
    limits: flows.FlowLimits = attrs.field(
        factory=lambda: flows.FlowLimits(slow_start_s=0.0)
    )
    balancers: int = 3
    now: float = 1000.0
    agents_by_id: dict = attrs.field(factory=dict)
    flows_by_caller: dict = attrs.field(factory=dict)
    drops: list = attrs.field(factory=list)
    opened_while_leaving: list = attrs.field(factory=list)
    _random: random.Random = attrs.field(init=False)
    _views: list = attrs.field(init=False)
    _latest_by_id: dict = attrs.field(factory=dict)
    _leaving: set = attrs.field(factory=set)
    _losses_by_batch: dict = attrs.field(factory=dict)
    _events: list = attrs.field(factory=list)
    _event_numbers: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)
        self._views = [{} for _ in range(self.balancers)]

    # Changes.

    def start(self, agent_id, weight=1.0, incarnation=None):
        """Start an agent in the state ``joining``.

        :param incarnation: its incarnation; virtual time in ms if None.
        """
        record = members.Member(
            agent_id=agent_id,
            kind=members.AGENT,
            address="127.0.0.1:1",
            incarnation=incarnation or int(self.now * 1000),
            service=SERVICE,
            weight=weight,
        )
        view = dict(self._latest_by_id)
        table = flows.FlowTable(record, self.limits)
        self.agents_by_id[agent_id] = _Agent(table, view)
        # An agent must know the other members before it joins.
        self._call(agent_id, "on_members", list(view.values()))
        self._publish(record)
        self._tick(agent_id, table)

    def join(self, agent_id):
        """Make an agent accept new flows."""
        self._call(agent_id, "join")

    def drain(self, agent_id):
        """Start to drain an agent."""
        self._call(agent_id, "drain")

    def set_weight(self, agent_id, weight):
        """Change the weight of an agent."""
        self._call(agent_id, "set_weight", weight)

    def crash(self, agent_id, detect_s=defaults.DEAD_AFTER_S):
        """Stop an agent; it is declared dead after ``detect_s``."""
        self.agents_by_id[agent_id].stopped = True
        self._schedule(
            detect_s, lambda: self._publish_state(agent_id, members.DEAD)
        )

    def pause(self, agent_id, seconds):
        """Pause an agent; others suspect it after SUSPECT_AFTER_S."""
        self.agents_by_id[agent_id].paused_until = self.now + seconds
        if seconds > defaults.SUSPECT_AFTER_S:
            self._schedule(
                defaults.SUSPECT_AFTER_S,
                lambda: self._publish_state(agent_id, members.SUSPECT),
            )
            self._schedule(seconds, lambda: self.refute(agent_id))

    @property
    def any_paused(self):
        """Whether an agent is paused now."""
        return any(
            agent.paused_until > self.now
            for agent in self.agents_by_id.values()
        )

    def suspect(self, agent_id, seconds=1.0):
        """Suspect a running agent, which refutes it after ``seconds``."""
        self._publish_state(agent_id, members.SUSPECT)
        self._schedule(seconds, lambda: self.refute(agent_id))

    def _publish_state(self, agent_id, state):
        latest = self._latest_by_id[agent_id]
        if latest.state != members.LEFT:
            self._publish(attrs.evolve(latest, state=state))

    def refute(self, agent_id):
        """Publish an agent's own record with a higher sequence number.

        Does nothing if the agent is neither suspected nor declared dead.
        """
        agent = self.agents_by_id[agent_id]
        latest = self._latest_by_id[agent_id]
        if latest.state in (members.SUSPECT, members.DEAD):
            own = agent.table.member_record
            sequence = max(own.sequence, latest.sequence) + 1
            self._publish(attrs.evolve(own, sequence=sequence))

    def _publish(self, record):
        latest = self._latest_by_id.get(record.agent_id)
        if latest is None or latest.version < record.version:
            self._latest_by_id[record.agent_id] = record
        for view in self._views:
            self._schedule(
                self._random_lag_s(), lambda view=view: _merge(view, record)
            )
        for agent_id in list(self.agents_by_id):
            is_own = agent_id == record.agent_id
            record_lag_s = 0.0 if is_own else self._random_lag_s()
            self._schedule(
                record_lag_s, lambda i=agent_id: self._on_record(i, record)
            )

    def _random_lag_s(self):
        return self._random.uniform(0.0, self.conditions.lag_s)

    def _on_record(self, agent_id, record):
        agent = self.agents_by_id[agent_id]
        if agent.paused_until > self.now:
            delay_s = agent.paused_until - self.now + self._random_delay_s()
            self._schedule(delay_s, lambda: self._on_record(agent_id, record))
        elif _merge(agent.view, record):
            self._call(agent_id, "on_members", list(agent.view.values()))

    # Traffic.

    def send(self, caller, view=None):
        """Send a packet of a caller through one balancer.

        :param caller: number of the caller.
        :param view: index of the balancer; a random one if None.
        """
        index = self._random.randrange(self.balancers)
        targets = [
            placement.Target(member.agent_id, member.weight)
            for member in self._views[index if view is None else view].values()
            if member.accepts_new_work
        ]
        if not targets:
            return
        packet = make_packet(caller)
        bucket = placement.bucket_of(packet.flow_hash)
        target = placement.Placement(targets).order(bucket)[0]
        self.transmit(target.agent_id, packet)

    def transmit(self, agent_id, packet):
        """Deliver a packet to an agent after a random delay."""
        self._schedule(
            self._random_delay_s(), lambda: self._receive(agent_id, packet)
        )

    def _receive(self, agent_id, packet):
        self._call(agent_id, "on_packet", packet)

    def _random_delay_s(self):
        return self._random.uniform(0.0002, self.conditions.delay_s)

    def _is_lost(self, sender_id, step):
        """Decide whether the network loses a message.

        At most _MAX_LOSSES_PER_BATCH transmissions of a batch and of its
        answer are lost.
        """
        if self._random.random() >= self.conditions.loss:
            return False
        number = getattr(step.message, "batch_id", None)
        if number is None:
            return True
        agent_ids = frozenset((sender_id, step.agent_id))
        batch = (agent_ids, step.message.incarnation, number)
        losses = self._losses_by_batch.get(batch, 0)
        self._losses_by_batch[batch] = losses + 1
        return losses < _MAX_LOSSES_PER_BATCH

    # Virtual time.

    def run(self, seconds):
        """Advance virtual time by ``seconds``."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def _schedule(self, delay_s, callback):
        heapq.heappush(
            self._events,
            (self.now + delay_s, next(self._event_numbers), callback),
        )

    def _tick(self, agent_id, table):
        if self.agents_by_id[agent_id].table is table:
            self._call(agent_id, "tick")
            self._schedule(
                defaults.FLOW_TICK_S, lambda: self._tick(agent_id, table)
            )

    def _call(self, agent_id, method, *arguments):
        agent = self.agents_by_id.get(agent_id)
        if agent is None or agent.stopped:
            return
        if self.now < agent.paused_until:
            if method != "tick":
                # Calls during a pause are delivered after it, in random order.
                delay_s = (
                    agent.paused_until - self.now + self._random_delay_s()
                )
                self._schedule(
                    delay_s, lambda: self._call(agent_id, method, *arguments)
                )
            return
        if method == "drain":
            self._leaving.add(agent_id)
        for step in getattr(agent.table, method)(self.now, *arguments):
            self._perform(agent_id, step)

    def _perform(self, agent_id, step):
        if isinstance(step, actions.Send):
            if not self._is_lost(agent_id, step):
                arguments = ("on_message", agent_id, step.message)
                self._schedule(
                    self._random_delay_s(),
                    lambda: self._call(step.agent_id, *arguments),
                )
        elif isinstance(step, actions.Forward):
            packet = attrs.evolve(
                step.packet,
                hops=step.packet.hops + 1,
                incarnation=step.incarnation & 0xFFFFFFFF,
                is_assigned=step.is_assigned,
            )
            self.transmit(step.agent_id, packet)
        elif isinstance(step, actions.Announce):
            self._publish(step.member)
        elif isinstance(step, actions.Drop):
            self.drops.append((agent_id, step.reason))
        else:
            self._record_step(agent_id, step)

    def _record_step(self, agent_id, step):
        if isinstance(step, actions.Close):
            self.record(step.key).closed.append((agent_id, step.reason))
        elif isinstance(step, actions.Reset):
            self.record(step.packet.key).resets += 1
        elif isinstance(step, actions.Deliver):
            record = self.record(step.key)
            record.delivered += 1
            if agent_id not in record.owners:
                record.owners.append(agent_id)
                if agent_id in self._leaving:
                    self.opened_while_leaving.append(step.key)

    def record(self, key):
        """Return the :class:`FlowRecord` for a flow key."""
        return self.flows_by_caller.setdefault(key, FlowRecord())


def _merge(view, record):
    """Store a record if it is newer; return whether it was stored."""
    known = view.get(record.agent_id)
    if known is not None and known.version >= record.version:
        return False
    view[record.agent_id] = record
    return True


def make_packet(caller, service_id=_SERVICE_ID):
    """Return a packet of a caller as a balancer sends it to an agent.

    :param caller: number of the caller, from which its address follows.
    """
    ip = "10.%d.%d.%d" % (caller >> 16 & 255, caller >> 8 & 255, caller & 255)
    address = (ip, 1024 + caller % 60000)
    key = packets.flow_key(service_id, address)
    return packets.Packet(
        kind=packets.KIND_TO_AGENT,
        hops=0,
        service_id=service_id,
        flow_hash=hashing.flow_hash(key),
        caller=address,
        balancer=("127.0.0.1", 7000),
        incarnation=0,
        payload=b"",
    )
