"""The flow table of an agent.

One agent owns each flow and passes its packets to the backend server. Other
agents hold redirect entries, by which they forward packets of the flow to its
owner.
"""

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift.state import actions
from limpetlift.state import flowmessages
from limpetlift.state import ownership

FlowLimits = ownership.FlowLimits
MESSAGE_KINDS = flowmessages.KINDS


@attrs.define
class FlowTable:
    """Decides how to handle the packets and control messages of an agent.

    All methods take ``now`` in seconds (monotonic) and return actions.

    :param member: this agent's record, usually in state ``joining``.
    :param limits: a :class:`FlowLimits`.
    :raises StateError: when the sharing policy does not exist.

    .. versionadded:: 0.1
    """

    member: members.Member
    limits: FlowLimits = attrs.field(factory=FlowLimits)
    _flow_state: ownership.Ownership = attrs.field(init=False)
    _handlers: flowmessages.Handlers = attrs.field(init=False)
    _flows_by_key: dict = attrs.field(init=False)
    _service_id: bytes = attrs.field(init=False)
    _last_called_at: float = float("-inf")

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.member.service)
        self._flow_state = ownership.Ownership(self.member, self.limits)
        self._handlers = flowmessages.Handlers(self._flow_state)
        self._flows_by_key = self._flow_state.own_flows.flows_by_key

    @property
    def member_record(self):
        """The last announced record of this agent."""
        return self._flow_state.transition.member

    @property
    def flow_count(self):
        """Number of open flows."""
        return len(self._flows_by_key)

    @property
    def redirect_count(self):
        """Number of redirect entries for flows of other agents."""
        return len(self._flow_state.redirects)

    @property
    def is_drained(self):
        """Whether the drain was announced and all flows have ended."""
        return (
            self._flow_state.transition.is_drained
            and not self._flows_by_key
            and not len(self._flow_state.openings)
        )

    def on_packet(self, now, packet):
        """Handle a packet from a balancer or another agent."""
        self._check_for_pause(now)
        key = packet.key
        if packet.kind != packets.KIND_TO_AGENT:
            return [actions.Drop("unexpected")]
        flow = self._flows_by_key.get(key)
        if flow is not None:
            flow.active_at = now
            return [actions.Deliver(key, packet)]
        if packet.service_id != self._service_id:
            return [actions.Drop("other_service")]
        return self._flush_urgent(
            now, self._flow_state.route(now, key, packet)
        )

    def on_backend_datagram(self, now, key):
        """Record that the backend server sent a datagram to the caller."""
        flow = self._flows_by_key.get(key)
        if flow is not None:
            flow.active_at = now
        return []

    def on_closed(self, now, key, reason):
        """End a flow if it is open.

        :param reason: label for the counter of ended flows.
        """
        if not self._flow_state.own_flows.close(now, key):
            return []
        return [actions.Close(key, reason)]

    def on_members(self, now, records):
        """Update the member records of the service.

        :param records: records of all members, including this agent's own.
        """
        self._check_for_pause(now)
        flow_state = self._flow_state
        others = [flow_state.transition.effective_record]
        for record in records:
            if record.agent_id == self.member.agent_id:
                flow_state.transition.on_own_record(now, record)
                if record.state == members.DEAD:
                    flow_state.own_flows.on_declared_dead(now)
            else:
                others.append(record)
        known_by_id = dict(flow_state.view.members_by_id)
        for peer_id in sorted(flow_state.view.merge(others)):
            if peer_id != self.member.agent_id:
                self._on_peer_change(now, peer_id, known_by_id.get(peer_id))
        flow_state.rebuild(now)
        steps = []
        for opening in flow_state.openings:
            if not opening.unanswered_ids:
                steps += flow_state.decide(now, opening)
        return self._flush_urgent(now, steps)

    def _on_peer_change(self, now, peer_id, known):
        """Handle a changed record of another member.

        :param known: the earlier record, or None.
        """
        record = self._flow_state.view.members_by_id.get(peer_id)
        self._flow_state.redirects.on_member(now, peer_id, record)
        if (
            not self._flow_state.view.is_live(peer_id)
            or known is not None
            and known.incarnation != record.incarnation
        ):
            self._flow_state.forget_peer(peer_id)

    def join(self, now):
        """Accept new flows once the other members have prepared for it."""
        self._flow_state.transition.join(now)
        return self._flush_urgent(now, self._advance_transition(now))

    def set_weight(self, now, weight):
        """Change the configured weight."""
        self._flow_state.transition.set_weight(weight)
        return self._flush_urgent(now, self._advance_transition(now))

    def drain(self, now):
        """Accept no new flows from now on; open flows stay until they end."""
        self._flow_state.transition.drain()
        self._flow_state.rebuild(now)
        # Openings are passed on when the answers arrive.
        return self._flush_urgent(now, self._advance_transition(now))

    def on_message(self, now, sender_id, message):
        """Handle a control message of another agent.

        :param sender_id: id of the authenticated sender.
        """
        self._check_for_pause(now)
        steps = self._handlers.handle(now, sender_id, message)
        return self._flush_urgent(now, steps)

    def tick(self, now):
        """Run the timers; called every FLOW_TICK_S."""
        self._check_for_pause(now)
        flow_state = self._flow_state
        if flow_state.view.expire(now):
            flow_state.rebuild(now)
        steps = self._advance_transition(now)
        for opening in flow_state.openings.due_openings(now):
            steps += flow_state.decide(now, opening)
        flow_state.redirects.tick(now)
        for key in flow_state.own_flows.idle_keys(now):
            steps += self.on_closed(now, key, "idle")
        flow_state.own_flows.renew_entries(now)
        flow_state.own_flows.release_surplus(now)
        steps += self._handlers.acknowledge_prepared(now)
        return steps + flow_state.transfers.tick(now, flow_state.load())

    def _check_for_pause(self, now):
        """Detect a pause of this agent by the time since the last call."""
        gap = now - self._last_called_at
        if gap > defaults.FLOW_PAUSE_THRESHOLD_S:
            self._flow_state.on_pause(now, gap)
        self._last_called_at = now

    def _flush_urgent(self, now, steps):
        """Return ``steps`` after the actions that send urgent entries."""
        flow_state = self._flow_state
        if not flow_state.transfers.is_urgent:
            return steps
        return flow_state.transfers.flush(now, flow_state.load()) + steps

    def _advance_transition(self, now):
        """Advance the change of this agent's record, if one is due."""
        flow_state = self._flow_state
        before = flow_state.transition.effective_record
        steps = flow_state.transition.tick(now, flow_state.view.live_ids())
        if flow_state.transition.effective_record != before:
            flow_state.rebuild(now)
        return steps
