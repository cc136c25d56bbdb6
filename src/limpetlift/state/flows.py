"""Flow ownership at an agent: who serves a flow, and who must know it."""

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
    """Decides on the packets and control messages of one agent's flows.

    All methods take ``now`` in seconds (monotonic) and return actions.

    :param member: this agent's record, usually ``joining``.
    :param limits: a :class:`FlowLimits`.
    :raises StateError: when there is no policy of that name.

    .. versionadded:: 0.1
    """

    member: members.Member
    limits: FlowLimits = attrs.field(factory=FlowLimits)
    _parts: ownership.Ownership = attrs.field(init=False)
    _handlers: flowmessages.Handlers = attrs.field(init=False)
    _flows_by_key: dict = attrs.field(init=False)
    _service_id: bytes = attrs.field(init=False)
    _last_call: float = float("-inf")

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.member.service)
        self._parts = ownership.Ownership(self.member, self.limits)
        self._handlers = flowmessages.Handlers(self._parts)
        self._flows_by_key = self._parts.own.flows_by_key

    @property
    def member_record(self):
        """The record of this agent as it was last announced."""
        return self._parts.transition.member

    @property
    def flow_count(self):
        """Number of open flows."""
        return len(self._flows_by_key)

    @property
    def redirect_count(self):
        """Number of entries held for flows of other agents."""
        return len(self._parts.redirects)

    @property
    def is_drained(self):
        """Whether the drain was announced and the last flow has ended."""
        return (
            self._parts.transition.is_drained
            and not self._flows_by_key
            and not len(self._parts.openings)
        )

    def on_packet(self, now, packet):
        """Decide on a packet from a balancer or another agent."""
        self._notice_gap(now)
        key = packet.key
        if packet.kind != packets.KIND_TO_AGENT:
            return [actions.Drop("unexpected")]
        flow = self._flows_by_key.get(key)
        if flow is not None:
            flow.active_at = now
            return [actions.Deliver(key, packet)]
        if packet.service_id != self._service_id:
            return [actions.Drop("other_service")]
        return self._flush(now, self._parts.route(now, key, packet))

    def on_backend_datagram(self, now, key):
        """Note a datagram of the backend server to the caller."""
        flow = self._flows_by_key.get(key)
        if flow is not None:
            flow.active_at = now
        return []

    def on_closed(self, now, key, reason):
        """End a flow.

        :param reason: for the counter of ended flows.
        """
        if not self._parts.own.close(now, key):
            return []
        return [actions.Close(key, reason)]

    def on_members(self, now, records):
        """Take over the member records of the service, the own included."""
        self._notice_gap(now)
        parts = self._parts
        others = [parts.transition.effective]
        for record in records:
            if record.agent_id == self.member.agent_id:
                parts.transition.on_own_record(now, record)
                if record.state == members.DEAD:
                    parts.own.on_death(now)
            else:
                others.append(record)
        known_by_id = dict(parts.view.members_by_id)
        for peer_id in sorted(parts.view.merge(others)):
            if peer_id != self.member.agent_id:
                self._on_peer(now, peer_id, known_by_id.get(peer_id))
        parts.rebuild(now)
        steps = []
        for opening in parts.openings:
            if not opening.unanswered:
                steps += parts.decide(now, opening)
        return self._flush(now, steps)

    def _on_peer(self, now, peer_id, known):
        """Follow a changed record of another member."""
        record = self._parts.view.members_by_id.get(peer_id)
        self._parts.redirects.on_member(now, peer_id, record)
        if (
            not self._parts.view.is_live(peer_id)
            or known is not None
            and known.incarnation != record.incarnation
        ):
            self._parts.forget_peer(peer_id)

    def join(self, now):
        """Start to take new flows, after the others have prepared."""
        self._parts.transition.join(now)
        return self._flush(now, self._advance(now))

    def set_weight(self, now, weight):
        """Change the configured weight."""
        self._parts.transition.set_weight(weight)
        return self._flush(now, self._advance(now))

    def drain(self, now):
        """Take no new flow from now on; open flows stay until they end."""
        self._parts.transition.drain()
        self._parts.rebuild(now)
        # Flows that wait for answers are passed on when these arrive.
        return self._flush(now, self._advance(now))

    def on_message(self, now, sender_id, message):
        """Decide on a control message of another agent.

        :param sender_id: id of the authenticated sender.
        """
        self._notice_gap(now)
        steps = self._handlers.handle(now, sender_id, message)
        return self._flush(now, steps)

    def tick(self, now):
        """Run the timers."""
        self._notice_gap(now)
        parts = self._parts
        if parts.view.expire(now):
            parts.rebuild(now)
        steps = self._advance(now)
        for opening in parts.openings.expired(now):
            steps += parts.decide(now, opening)
        parts.redirects.tick(now)
        for key in parts.own.idle_keys(now):
            steps += self.on_closed(now, key, "idle")
        parts.own.renew(now)
        parts.own.trim(now)
        steps += self._handlers.acknowledge_prepared(now)
        return steps + parts.mail.tick(now, parts.load())

    def _notice_gap(self, now):
        gap = now - self._last_call
        if gap > defaults.FLOW_PAUSE_THRESHOLD_S:
            self._parts.on_pause(now, gap)
        self._last_call = now

    def _flush(self, now, steps):
        parts = self._parts
        if not parts.mail.is_urgent:
            return steps
        return parts.mail.flush(now, parts.load()) + steps

    def _advance(self, now):
        """Run the change of the own record that is due or in progress."""
        parts = self._parts
        before = parts.transition.effective
        steps = parts.transition.tick(now, parts.view.live_ids())
        if parts.transition.effective != before:
            parts.rebuild(now)
        return steps
