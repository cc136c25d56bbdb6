"""Balancers and agents of a replay: the decision modules and their glue."""

import attrs

from limpetlift.coordination import actions as membership_actions
from limpetlift.coordination import fleet
from limpetlift.coordination import member as members
from limpetlift.coordination import membership
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift import registry
from limpetlift.replay import baselines
from limpetlift.replay import keys
from limpetlift.replay import requests
from limpetlift.state import actions
from limpetlift.state import claims
from limpetlift.state import flows
from limpetlift.state import servicetable

AGENT_TICK_S = 0.01
BALANCER_TICK_S = 0.05


class Node:
    """A process of the replay.

    :param world: the :class:`limpetlift.replay.world.World`.
    :param process_id: id of the process.
    :param site: its data centre, a :class:`limpetlift.replay.trace.Site`.
    """

    kind = ""
    tick_s = BALANCER_TICK_S

    def __init__(self, world, process_id, site):
        self.world = world
        self.id = process_id
        self.site = site
        self.data_centre = site.name
        self.alive = False
        self.paused = False
        self.started = 0
        self._waiting = []

    @property
    def now(self):
        """Virtual time in seconds."""
        return self.world.clock.now

    def start(self):
        """Start with no memory of an earlier life."""
        self.alive = True
        self.paused = False
        self.started += 1
        # Incarnations are milliseconds since the epoch; the run starts late
        # enough for every one to be positive.
        self.incarnation = 1 + int(self.now * 1000) + self.started
        self._waiting = []
        self.on_start()
        self._schedule(self.started)

    def kill(self):
        """Die at once."""
        self.alive = False
        self._waiting = []

    def pause(self, for_s):
        """Do nothing for a while; what arrives waits."""
        self.paused = True
        self.world.clock.after(for_s, self._resume, self.started)

    def _resume(self, started):
        if not self.alive or started != self.started:
            return
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for callback, arguments in waiting:
            if self.alive:
                callback(*arguments)

    def receive(self, callback, arguments):
        """Handle something that arrived over the network."""
        if self.paused:
            self._waiting.append((callback, arguments))
        else:
            callback(*arguments)

    def _schedule(self, started):
        # Processes do not tick at the same instant.
        offset = self.tick_s * self.world.rng.random()
        self.world.clock.after(offset, self._tick, started)

    def _tick(self, started):
        if not self.alive or started != self.started:
            return
        if not self.paused:
            self.on_tick()
        self.world.clock.after(self.tick_s, self._tick, started)

    def send_message(self, target_id, message):
        """Send a control message."""
        target = self.world.network.processes_by_id.get(target_id)
        if target is not None:
            self.world.network.datagram(
                self,
                target_id,
                target.on_control,
                self.id,
                self.incarnation,
                message,
            )

    def record(self, **fields):
        """Return a first member record of this process."""
        return members.Member(
            agent_id=self.id,
            kind=self.kind,
            address=self.world.address_of(self.id),
            incarnation=self.incarnation,
            data_centre=self.site.name,
            region=self.site.region,
            **fields,
        )

    def perform_membership(self, steps):
        """Carry out actions of the membership decisions."""
        for step in steps:
            if isinstance(step, membership_actions.Send):
                self.send_message(step.agent_id, step.message)
            elif isinstance(step, membership_actions.SendAddress):
                target_id = self.world.process_at(step.address)
                if target_id is not None:
                    self.send_message(target_id, step.message)

    def receive_membership(self, sender_id, incarnation, message):
        """Hand a control message to the membership decisions."""
        self.perform_membership(
            self.membership.on_message(
                self.now,
                sender_id,
                incarnation,
                message,
                self.world.address_of(sender_id),
            )
        )

    def on_control(self, sender_id, incarnation, message):
        """Handle a control message."""
        raise NotImplementedError

    def on_start(self):
        """Build the decision modules."""
        raise NotImplementedError

    def on_tick(self):
        """Run the timers."""
        raise NotImplementedError


class Balancer(Node):
    """A balancer of the replay."""

    kind = members.BALANCER

    def on_start(self):
        """Build the view and empty tables."""
        own = self.record(state=members.ACTIVE)
        self.membership = fleet.BalancerMembership(
            own, self.world.rng, seeds=self.world.seeds(self.id)
        )
        self.tables_by_name = {
            spec.name: servicetable.ServiceTable(spec)
            for spec in self.world.header.services
        }
        self.accepts = True
        # Ordered, so that a replay does not depend on memory addresses.
        self.attempts = {}
        self.requests = requests.BalancerRequests(self)

    def kill(self):
        """Die at once; the callers' connections break."""
        super().kill()
        for attempt in list(self.attempts):
            self.world.callers.settle(attempt, "outcome_unknown")

    def on_tick(self):
        """Run the timers; rebuild the tables of services that changed."""
        self.perform_membership(self.membership.tick(self.now))
        for name in self.membership.view.pop_changed_services():
            table = self.tables_by_name.get(name)
            if table is not None:
                table.set_members(self.membership.view.members_of(name))

    def on_control(self, sender_id, incarnation, message):
        """Handle a control message."""
        self.receive_membership(sender_id, incarnation, message)

    def stop(self):
        """Finish the requests, leave the membership and end."""
        self.accepts = False
        self._leave(self.now + defaults.STOP_TIMEOUT_S)

    def _leave(self, deadline):
        if self.attempts and self.now < deadline:
            self.world.clock.after(self.tick_s, self._leave, deadline)
            return
        self.perform_membership(self.membership.leave(self.now))
        self.perform_membership(self.membership.tick(self.now))
        self.kill()

    def forward(self, service, caller, payload):
        """Forward a datagram of a caller to the natural owner."""
        service_id = hashing.service_id(service)
        flow_hash = hashing.flow_hash(packets.flow_key(service_id, caller))
        endpoint = self.tables_by_name[service].endpoint(flow_hash)
        if endpoint is None:
            self.world.outcomes.drop("no_target")
            return
        target_id = self.world.process_at("%s:%d" % endpoint)
        packet = packets.Packet(
            kind=packets.KIND_TO_AGENT,
            hops=0,
            service_id=service_id,
            flow_hash=flow_hash,
            caller=caller,
            balancer=("127.0.0.1", 1),
            incarnation=0,
            payload=payload,
        )
        self.world.send_packet(self, target_id, packet)


class Agent(Node):
    """An agent of the replay, with its backend server.

    :param service: a :class:`limpetlift.replay.trace.ServiceSpec`.
    """

    kind = members.AGENT
    tick_s = AGENT_TICK_S

    def __init__(self, world, process_id, site, service):
        super().__init__(world, process_id, site)
        self.service = service
        self.slowness = 1.0

    def on_start(self):
        """Build the decision modules and announce the agent."""
        own = self.record(service=self.service.name)
        self.drained_at = None
        self.started_at = self.now
        self.membership = membership.AgentMembership(
            own, self.world.rng, seeds=self.world.seeds(self.id)
        )
        limits = flows.FlowLimits(
            max_flows=self.service.max_flows,
            policy=self.world.policies.get("sharing", "bounded"),
            slow_start_s=self.world.slow_start_s,
        )
        table = registry.lookup(
            baselines.tables_by_name,
            self.world.policies.get("ownership", "redirects"),
            "flow ownership",
        )
        self.table = table(own, limits)
        self._members_seen = None
        self.offers = {}
        table = claims.ClaimTable(self.id, self.incarnation)
        uses_claims = self.world.policies.get("keys", "votes") == "votes"
        self.requests = requests.AgentRequests(
            self, table if uses_claims else None
        )
        self.roster = keys.RosterKeeper(self, table)
        self._loads_at = self.now
        self.perform(self.table.join(self.now))

    def kill(self):
        """Die at once; the balancers' connections break."""
        super().kill()
        for offer in list(self.offers):
            balancer = offer.attempt.balancer
            if balancer.alive and balancer.started == offer.attempt.started:
                self.world.clock.after(
                    self.world.network.delay(self, balancer),
                    balancer.receive,
                    balancer.requests.on_closed,
                    (offer,),
                )

    def on_tick(self):
        """Run the timers."""
        self.perform_membership(self.membership.tick(self.now))
        self._pass_members()
        self.perform(self.table.tick(self.now))
        self.requests.tick()
        if self.requests.table.claims is not None:
            self.roster.tick()
        if self.now >= self._loads_at:
            self._loads_at = self.now + defaults.PEER_LOAD_INTERVAL_S
            self._send_load()

    def _send_load(self):
        load = self.requests.queue.load(self.now, self.id, self.address)
        for peer in self.world.agents(self.service.name):
            if peer is not self:
                self.world.network.datagram(self, peer.id, peer.on_load, load)

    def on_load(self, load):
        """Take the load of another agent of the service."""
        self.requests.queue.on_peer_loads(self.now, [load])

    def on_control(self, sender_id, incarnation, message):
        """Handle a control message of membership or of flow ownership."""
        self.receive_membership(sender_id, incarnation, message)
        self._pass_members()
        self.perform(self.table.on_message(self.now, sender_id, message))
        if (
            self.requests.table.claims is not None
            and type(message).__name__ in claims.MESSAGE_KINDS
        ):
            self.requests.perform(
                self.requests.table.on_message(self.now, sender_id, message)
            )

    def on_packet(self, packet):
        """Handle a data packet."""
        self.perform(self.table.on_packet(self.now, packet))

    def takes_work_at(self, when):
        """Whether the agent took new work from ``when`` until now."""
        return (
            self.alive
            and self.started_at <= when
            and (self.drained_at is None or self.drained_at > when)
        )

    def stop(self):
        """Drain, and end when the last flow has ended."""
        self.drain()

    def drain(self):
        """Take no new work."""
        self.drained_at = self.now
        self.perform(self.table.drain(self.now))
        self.requests.perform(self.requests.table.drain(self.now))

    def set_weight(self, weight):
        """Change the weight of the backend server."""
        self.perform(self.table.set_weight(self.now, weight))

    def perform(self, steps):
        """Carry out actions of the flow decisions."""
        for step in steps:
            if isinstance(step, actions.Send):
                self.send_message(step.agent_id, step.message)
            elif isinstance(step, actions.Deliver):
                self.world.outcomes.delivered(self, step.packet)
            elif isinstance(step, actions.Forward):
                self._forward(step)
            elif isinstance(step, actions.Drop):
                self.world.outcomes.drop(step.reason)
            elif isinstance(step, actions.Reset):
                self.world.outcomes.reset(self, step.packet)
            elif isinstance(step, actions.Announce):
                self._announce(step.member)

    def _announce(self, member):
        changes = {"state": member.state, "weight": member.weight}
        self.perform_membership(self.membership.update(self.now, **changes))

    def _forward(self, step):
        packet = attrs.evolve(
            step.packet,
            hops=step.packet.hops + 1,
            incarnation=step.incarnation & 0xFFFFFFFF,
        )
        self.world.send_packet(self, step.agent_id, packet)

    def _pass_members(self):
        records = self.membership.view.members_of(self.service.name)
        if records != self._members_seen:
            self._members_seen = records
            self.perform(self.table.on_members(self.now, records))
