"""Simulated agents of one service, on virtual time.

The network delays, reorders and loses messages, member views lag behind by a
different time at each process, and agents pause. All choices come from one
seeded generator.
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
# A batch that is repeated OWNER_QUERY_ATTEMPTS times is acknowledged at least
# once.
_LOSSES_IN_A_ROW = defaults.OWNER_QUERY_ATTEMPTS - 1


@attrs.frozen
class Conditions:
    """What the network and the membership do.

    :param delay_s: longest one-way delay; below half of OWNER_QUERY_RETRY_S.
    :param loss: probability that a control message is lost.
    :param lag_s: longest time until a process learns of a change.
    """

    delay_s: float = 0.004
    loss: float = 0.0
    lag_s: float = 1.0


@attrs.define
class _Agent:
    table: flows.FlowTable
    view: dict
    paused_until: float = 0.0
    stopped: bool = False


@attrs.define
class FlowRecord:
    """What happened to the packets of one caller.

    :param owners: ids of agents whose backend server got a packet, in order.
    """

    owners: list = attrs.field(factory=list)
    delivered: int = 0
    resets: int = 0
    closed: list = attrs.field(factory=list)


@attrs.define
class Cluster:
    """Agents, balancer views and the network between them.

    :param seed: seed of all random choices.
    :param limits: limits of each agent's table.
    :param balancers: number of balancer views.
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
    _numbers: object = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)
        self._views = [{} for _ in range(self.balancers)]

    # Changes.

    def start(self, agent_id, weight=1.0, incarnation=None):
        """Start an agent, in state ``joining``."""
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
        # An agent joins only when it knows the members.
        self._call(agent_id, "on_members", list(view.values()))
        self._publish(record)
        self._tick(agent_id, table)

    def join(self, agent_id):
        """Let an agent take new flows."""
        self._call(agent_id, "join")

    def drain(self, agent_id):
        """Let an agent leave."""
        self._call(agent_id, "drain")

    def set_weight(self, agent_id, weight):
        """Change an agent's weight."""
        self._call(agent_id, "set_weight", weight)

    def crash(self, agent_id, detect_s=defaults.DEAD_AFTER_S):
        """Stop an agent; the others learn of it later."""
        self.agents_by_id[agent_id].stopped = True
        self._at(detect_s, lambda: self._mark(agent_id, members.DEAD))

    def pause(self, agent_id, seconds):
        """Pause an agent; it is suspected when that takes long."""
        self.agents_by_id[agent_id].paused_until = self.now + seconds
        if seconds > defaults.SUSPECT_AFTER_S:
            self._at(
                defaults.SUSPECT_AFTER_S,
                lambda: self._mark(agent_id, members.SUSPECT),
            )
            self._at(seconds, lambda: self.refute(agent_id))

    @property
    def any_paused(self):
        """Whether an agent is paused now."""
        return any(
            agent.paused_until > self.now
            for agent in self.agents_by_id.values()
        )

    def suspect(self, agent_id, seconds=1.0):
        """Suspect a working agent, which refutes after a time."""
        self._mark(agent_id, members.SUSPECT)
        self._at(seconds, lambda: self.refute(agent_id))

    def _mark(self, agent_id, state):
        latest = self._latest_by_id[agent_id]
        if latest.state != members.LEFT:
            self._publish(attrs.evolve(latest, state=state))

    def refute(self, agent_id):
        """Publish the agent's own record with a higher sequence."""
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
            self._at(self._lag(), lambda view=view: _merge(view, record))
        for agent_id in list(self.agents_by_id):
            is_own = agent_id == record.agent_id
            lag = 0.0 if is_own else self._lag()
            self._at(lag, lambda i=agent_id: self._learn(i, record))

    def _lag(self):
        return self._random.uniform(0.0, self.conditions.lag_s)

    def _learn(self, agent_id, record):
        agent = self.agents_by_id[agent_id]
        if agent.paused_until > self.now:
            delay = agent.paused_until - self.now + self._delay()
            self._at(delay, lambda: self._learn(agent_id, record))
        elif _merge(agent.view, record):
            self._call(agent_id, "on_members", list(agent.view.values()))

    # Traffic.

    def send(self, caller, view=None):
        """Send a packet of a caller through one balancer.

        :param caller: number of the caller.
        :param view: index of the balancer; None takes any.
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
        first = placement.Placement(targets).order(bucket)[0]
        self.transmit(first.agent_id, packet)

    def transmit(self, agent_id, packet):
        """Send a packet to an agent."""
        self._at(self._delay(), lambda: self._receive(agent_id, packet))

    def _receive(self, agent_id, packet):
        self._call(agent_id, "on_packet", packet)

    def _delay(self):
        return self._random.uniform(0.0002, self.conditions.delay_s)

    def _is_lost(self, sender_id, step):
        """Lose messages, but not every copy of a batch and of its answer."""
        if self._random.random() >= self.conditions.loss:
            return False
        number = getattr(step.message, "batch_id", None)
        if number is None:
            return True
        pair = frozenset((sender_id, step.agent_id))
        batch = (pair, step.message.incarnation, number)
        losses = self._losses_by_batch.get(batch, 0)
        self._losses_by_batch[batch] = losses + 1
        return losses < _LOSSES_IN_A_ROW

    # Virtual time.

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def _at(self, delay, event):
        heapq.heappush(
            self._events, (self.now + delay, next(self._numbers), event)
        )

    def _tick(self, agent_id, table):
        if self.agents_by_id[agent_id].table is table:
            self._call(agent_id, "tick")
            self._at(defaults.FLOW_TICK_S, lambda: self._tick(agent_id, table))

    def _call(self, agent_id, method, *arguments):
        agent = self.agents_by_id.get(agent_id)
        if agent is None or agent.stopped:
            return
        if self.now < agent.paused_until:
            if method != "tick":
                # What arrives in a pause is read after it, in any order.
                delay = agent.paused_until - self.now + self._delay()
                self._at(
                    delay, lambda: self._call(agent_id, method, *arguments)
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
                self._at(
                    self._delay(),
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
            self._note(agent_id, step)

    def _note(self, agent_id, step):
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
    known = view.get(record.agent_id)
    if known is not None and known.version >= record.version:
        return False
    view[record.agent_id] = record
    return True


def make_packet(caller, service_id=_SERVICE_ID):
    """Return a packet of a caller, as a balancer sends it.

    :param caller: number of the caller.
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
