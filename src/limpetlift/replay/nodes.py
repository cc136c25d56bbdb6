"""Balancers and agents of a replay, which run the decision modules."""

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
from limpetlift.replay import requests
from limpetlift.replay import roster
from limpetlift.state import actions
from limpetlift.state import claims
from limpetlift.state import flows
from limpetlift.state import servicetable

AGENT_TICK_S = 0.01
BALANCER_TICK_S = 0.05


class Node:
    """A process of the replay; base class of balancers and agents.

    It can be started again after it was killed, and then has no state of its
    earlier runs.

    :param simulation: the :class:`limpetlift.replay.simulation.Simulation`.
    :param process_id: id of the process.
    :param data_centre_spec: the
        :class:`limpetlift.replay.trace.DataCentreSpec` of its data centre.
    """

    kind = ""
    tick_s = BALANCER_TICK_S

    def __init__(self, simulation, process_id, data_centre_spec):
        self.simulation = simulation
        self.id = process_id
        self.data_centre_spec = data_centre_spec
        self.data_centre = data_centre_spec.name
        self.alive = False
        self.paused = False
        self.start_count = 0
        self._pending = []

    @property
    def now(self):
        """The virtual time in seconds."""
        return self.simulation.clock.now

    def start(self):
        """Start the process, without any state of its earlier runs."""
        self.alive = True
        self.paused = False
        self.start_count += 1
        # Incarnations of real processes are milliseconds since the epoch.
        # Here they are counted from the start of the replay, and are positive
        # and higher after each start.
        self.incarnation = 1 + int(self.now * 1000) + self.start_count
        self._pending = []
        self.on_start()
        self._schedule(self.start_count)

    def kill(self):
        """End the process at once."""
        self.alive = False
        self._pending = []

    def pause(self, for_s):
        """Suspend the process; it handles what arrives when it resumes."""
        self.paused = True
        self.simulation.clock.after(for_s, self._resume, self.start_count)

    def _resume(self, start_count):
        if not self.alive or start_count != self.start_count:
            return
        self.paused = False
        pending, self._pending = self._pending, []
        for callback, arguments in pending:
            if self.alive:
                callback(*arguments)

    def receive(self, callback, arguments):
        """Call ``callback(*arguments)``, after the pause if it is paused."""
        if self.paused:
            self._pending.append((callback, arguments))
        else:
            callback(*arguments)

    def _schedule(self, start_count):
        # The random delay keeps processes from ticking at the same time.
        delay_s = self.tick_s * self.simulation.rng.random()
        self.simulation.clock.after(delay_s, self._tick, start_count)

    def _tick(self, start_count):
        if not self.alive or start_count != self.start_count:
            return
        if not self.paused:
            self.on_tick()
        self.simulation.clock.after(self.tick_s, self._tick, start_count)

    def send_message(self, target_id, message):
        """Send a control message to a process."""
        target = self.simulation.network.processes_by_id.get(target_id)
        if target is not None:
            self.simulation.network.send_datagram(
                self,
                target_id,
                target.on_control,
                self.id,
                self.incarnation,
                message,
            )

    def member_record(self, **fields):
        """Return the initial member record of this process."""
        return members.Member(
            agent_id=self.id,
            kind=self.kind,
            address=self.simulation.address_of(self.id),
            incarnation=self.incarnation,
            data_centre=self.data_centre_spec.name,
            region=self.data_centre_spec.region,
            **fields,
        )

    def perform_membership(self, steps):
        """Carry out the actions that the membership returned."""
        for step in steps:
            if isinstance(step, membership_actions.Send):
                self.send_message(step.agent_id, step.message)
            elif isinstance(step, membership_actions.SendAddress):
                target_id = self.simulation.process_id_at(step.address)
                if target_id is not None:
                    self.send_message(target_id, step.message)

    def receive_membership(self, sender_id, incarnation, message):
        """Pass a control message to the membership."""
        self.perform_membership(
            self.membership.on_message(
                self.now,
                sender_id,
                incarnation,
                message,
                self.simulation.address_of(sender_id),
            )
        )

    def on_control(self, sender_id, incarnation, message):
        """Handle a control message."""
        raise NotImplementedError

    def on_start(self):
        """Create the decision modules."""
        raise NotImplementedError

    def on_tick(self):
        """Run the timers of the decision modules."""
        raise NotImplementedError


class Balancer(Node):
    """A balancer of the replay."""

    kind = members.BALANCER

    def on_start(self):
        """Create the membership and a table for each service."""
        own = self.member_record(state=members.ACTIVE)
        self.membership = fleet.BalancerMembership(
            own, self.simulation.rng, seeds=self.simulation.seeds(self.id)
        )
        self.tables_by_service = {
            spec.name: servicetable.ServiceTable(spec)
            for spec in self.simulation.header.services
        }
        self.accepts_requests = True
        # A dict instead of a set: its order does not depend on memory
        # addresses, so that a replay gives the same result every time.
        self.attempts = {}
        self.requests = requests.BalancerRequests(self)

    def kill(self):
        """End at once; open requests end with an unknown outcome."""
        super().kill()
        for attempt in list(self.attempts):
            self.simulation.callers.end_attempt(attempt, "outcome_unknown")

    def on_tick(self):
        """Run the timers and update the tables of services that changed."""
        self.perform_membership(self.membership.tick(self.now))
        for name in self.membership.view.pop_changed_services():
            table = self.tables_by_service.get(name)
            if table is not None:
                table.set_members(self.membership.view.members_of(name))

    def on_control(self, sender_id, incarnation, message):
        """Handle a control message."""
        self.receive_membership(sender_id, incarnation, message)

    def stop(self):
        """Finish the open requests, leave the membership and end.

        Requests that are still open after ``STOP_TIMEOUT_S`` end with an
        unknown outcome.
        """
        self.accepts_requests = False
        self._leave(self.now + defaults.STOP_TIMEOUT_S)

    def _leave(self, deadline):
        if self.attempts and self.now < deadline:
            self.simulation.clock.after(self.tick_s, self._leave, deadline)
            return
        self.perform_membership(self.membership.leave(self.now))
        self.perform_membership(self.membership.tick(self.now))
        self.kill()

    def forward(self, service, caller, payload):
        """Forward a caller's datagram to the flow's agent in the table."""
        service_id = hashing.service_id(service)
        flow_hash = hashing.flow_hash(packets.flow_key(service_id, caller))
        endpoint = self.tables_by_service[service].endpoint(flow_hash)
        if endpoint is None:
            self.simulation.outcomes.on_dropped("no_target")
            return
        target_id = self.simulation.process_id_at("%s:%d" % endpoint)
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
        self.simulation.send_packet(self, target_id, packet)


class Agent(Node):
    """An agent of the replay, with its backend server.

    :param service: the :class:`limpetlift.replay.trace.ServiceSpec` of its
        service.
    """

    kind = members.AGENT
    tick_s = AGENT_TICK_S

    def __init__(self, simulation, process_id, data_centre_spec, service):
        super().__init__(simulation, process_id, data_centre_spec)
        self.service = service
        self.slowness = 1.0

    def on_start(self):
        """Create the decision modules and announce the agent."""
        own = self.member_record(service=self.service.name)
        self.drained_at = None
        self.started_at = self.now
        self.membership = membership.AgentMembership(
            own, self.simulation.rng, seeds=self.simulation.seeds(self.id)
        )
        limits = flows.FlowLimits(
            max_flows=self.service.max_flows,
            policy=self.simulation.policies.get("sharing", "bounded"),
            slow_start_s=self.simulation.slow_start_s,
        )
        flow_table_class = registry.lookup(
            baselines.flow_tables_by_policy,
            self.simulation.policies.get("ownership", "redirects"),
            "flow ownership",
        )
        self.flow_table = flow_table_class(own, limits)
        self._last_members = None
        self.offers = {}
        claim_table = claims.ClaimTable(self.id, self.incarnation)
        uses_claims = self.simulation.policies.get("keys", "votes") == "votes"
        self.requests = requests.AgentRequests(
            self, claim_table if uses_claims else None
        )
        self.roster_maintainer = roster.RosterMaintainer(self, claim_table)
        self._next_load_at = self.now
        self.perform(self.flow_table.join(self.now))

    def kill(self):
        """End at once, which closes the connections of the balancers."""
        super().kill()
        for offer in list(self.offers):
            balancer = offer.attempt.balancer
            if (
                balancer.alive
                and balancer.start_count == offer.attempt.balancer_start_count
            ):
                self.simulation.clock.after(
                    self.simulation.network.draw_delay_s(self, balancer),
                    balancer.receive,
                    balancer.requests.on_closed,
                    (offer,),
                )

    def on_tick(self):
        """Run the timers and send load reports to the other agents."""
        self.perform_membership(self.membership.tick(self.now))
        self._update_members()
        self.perform(self.flow_table.tick(self.now))
        self.requests.tick()
        if self.requests.table.claims is not None:
            self.roster_maintainer.tick()
        if self.now >= self._next_load_at:
            self._next_load_at = self.now + defaults.PEER_LOAD_INTERVAL_S
            self._send_load()

    def _send_load(self):
        load = self.requests.queue.load(self.now, self.id, self.address)
        for peer in self.simulation.agents(self.service.name):
            if peer is not self:
                self.simulation.network.send_datagram(
                    self, peer.id, peer.on_load, load
                )

    def on_load(self, load):
        """Pass the load of another agent of the service to the queue."""
        self.requests.queue.on_peer_loads(self.now, [load])

    def on_control(self, sender_id, incarnation, message):
        """Pass a control message to the decision modules."""
        self.receive_membership(sender_id, incarnation, message)
        self._update_members()
        self.perform(self.flow_table.on_message(self.now, sender_id, message))
        if (
            self.requests.table.claims is not None
            and type(message).__name__ in claims.MESSAGE_KINDS
        ):
            self.requests.perform(
                self.requests.table.on_message(self.now, sender_id, message)
            )

    def on_packet(self, packet):
        """Handle a data packet from a balancer or another agent."""
        self.perform(self.flow_table.on_packet(self.now, packet))

    def has_accepted_work_since(self, when):
        """Whether the agent has accepted new work from ``when`` until now."""
        return (
            self.alive
            and self.started_at <= when
            and (self.drained_at is None or self.drained_at > when)
        )

    def stop(self):
        """Drain the agent; its process does not end in a replay."""
        self.drain()

    def drain(self):
        """Stop accepting new flows and requests."""
        self.drained_at = self.now
        self.perform(self.flow_table.drain(self.now))
        self.requests.perform(self.requests.table.drain(self.now))

    def set_weight(self, weight):
        """Change the weight of the agent."""
        self.perform(self.flow_table.set_weight(self.now, weight))

    def perform(self, steps):
        """Carry out the actions that the flow table returned."""
        for step in steps:
            if isinstance(step, actions.Send):
                self.send_message(step.agent_id, step.message)
            elif isinstance(step, actions.Deliver):
                self.simulation.outcomes.on_delivered(self, step.packet)
            elif isinstance(step, actions.Forward):
                self._forward(step)
            elif isinstance(step, actions.Drop):
                self.simulation.outcomes.on_dropped(step.reason)
            elif isinstance(step, actions.Reset):
                self.simulation.outcomes.on_reset(self, step.packet)
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
        self.simulation.send_packet(self, step.agent_id, packet)

    def _update_members(self):
        """Pass the members of the service to the flow table on a change."""
        records = self.membership.view.members_of(self.service.name)
        if records != self._last_members:
            self._last_members = records
            self.perform(self.flow_table.on_members(self.now, records))
