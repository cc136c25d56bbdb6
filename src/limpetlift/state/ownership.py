"""Decisions on packets and flows that an agent does not own yet."""

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import placement
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift import registry
from limpetlift.state import actions
from limpetlift.state import flowview
from limpetlift.state import handover
from limpetlift.state import openings
from limpetlift.state import ownflows
from limpetlift.state import redirects
from limpetlift.state import sharing
from limpetlift.state import transition


@attrs.frozen
class FlowLimits:
    """Settings of a :class:`limpetlift.state.flows.FlowTable`.

    :param max_flows: number of open flows that the backend server can hold.
    :param idle_s: time without packets after which a flow ends.
    :param policy: name of a policy of :mod:`limpetlift.state.sharing`.
    :param slow_start_s: time in which the weight rises after a join.
    """

    max_flows: int = defaults.MAX_FLOWS_PER_SERVER
    idle_s: float = defaults.FLOW_IDLE_S
    policy: str = "bounded"
    slow_start_s: float = defaults.SLOW_START_S


@attrs.define
class Ownership:
    """The flow state of an agent, and its decisions on flows.

    :param member: this agent's record at the start.
    :param limits: a :class:`FlowLimits`.
    :param id: id of this agent.
    :param incarnation: incarnation of this agent.
    :param choose: the sharing policy.
    :param transition: the
        :class:`~limpetlift.state.transition.Transition` of this agent's
        record.
    :param transfers: the redirect entries on their way to and from peers.
    :param redirects: the :class:`~limpetlift.state.redirects.RedirectTable`
        of flows that other agents own.
    :param openings: the :class:`~limpetlift.state.openings.Openings`, flows
        that this agent has claimed and not yet accepted.
    :param view: the members of the service and their placement.
    :param own_flows: the flows that this agent owns.
    :param loads: the last known load of each member.
    :raises StateError: when the sharing policy does not exist.

    .. versionadded:: 0.1
    """

    member: members.Member
    limits: FlowLimits
    id: str = attrs.field(init=False)
    incarnation: int = attrs.field(init=False)
    choose: object = attrs.field(init=False)
    transition: object = attrs.field(init=False)
    transfers: handover.EntryTransfers = attrs.field(init=False)
    redirects: object = attrs.field(init=False)
    openings: object = attrs.field(init=False)
    view: flowview.FlowView = attrs.field(init=False)
    own_flows: ownflows.OwnFlows = attrs.field(init=False)
    loads: sharing.Loads = attrs.field(factory=sharing.Loads)

    def __attrs_post_init__(self):
        member, limits = self.member, self.limits
        self.id = member.agent_id
        self.incarnation = member.incarnation
        self.choose = registry.lookup(
            sharing.policies_by_name, limits.policy, "sharing policy"
        )
        self.transition = transition.Transition(member, limits.slow_start_s)
        self.transfers = handover.EntryTransfers(member.incarnation)
        self.redirects = redirects.RedirectTable(limits.idle_s)
        self.openings = openings.Openings(self.transfers)
        self.view = flowview.FlowView(self.id)
        self.own_flows = ownflows.OwnFlows(
            self.view, self.transfers, limits.idle_s
        )
        self.view.rebuild(member)

    def load(self):
        """Return the :class:`Load` message of this agent."""
        count = len(self.openings)
        total = len(self.own_flows.flows_by_key) + count
        return messages.structs.Load(
            flow_count=self.own_flows.current_count + count,
            has_room=total < self.limits.max_flows,
            placement_id=self.view.placement_id,
        )

    def rebuild(self, now):
        """Apply a change of the members or of this agent's record."""
        if self.view.rebuild(self.transition.effective_record):
            self.transition.start_settling(now)
            self.loads.reset(self.view.weights_by_id)
            self.own_flows.on_placement_change()
        self.own_flows.on_view_change()
        self.own_flows.renew_entries(now)

    def forget_peer(self, peer_id):
        """Stop waiting for a peer that has ended or was replaced."""
        self.own_flows.on_undelivered(
            peer_id, self.transfers.drop_peer(peer_id)
        )
        for opening in self.openings:
            opening.unanswered_ids.discard(peer_id)
            opening.granted_ids.discard(peer_id)

    def is_in_doubt(self, now, bucket):
        """Whether members may disagree on which one accepts a flow."""
        return (
            now < self.transition.in_doubt_until
            or bool(self.view.prepared_by_id)
            or self.view.outranked_by_suspect(bucket)
        )

    def on_pause(self, now, seconds):
        """Query more members after this process was paused.

        Meanwhile other agents may have accepted the same flows.

        :param seconds: length of the pause.
        """
        self.transition.start_settling(now)
        if seconds >= defaults.DEAD_AFTER_S:
            self.own_flows.on_declared_dead(now)
        for opening in self.openings:
            for peer_id in self.view.peers_to_query(opening.bucket, True):
                self.openings.query(now, opening, peer_id)
            self.openings.restart_wait(now, opening)

    def broadcast(self, message):
        """Return actions that send a message to all other members."""
        return [actions.Send(i, message) for i in self.view.live_ids()]

    def route(self, now, key, packet):
        """Return actions for a packet of a flow that is not owned here."""
        opening = self.openings.get(key)
        if opening is not None:
            if len(opening.packets) >= defaults.MAX_PENDING_PACKETS:
                return [actions.Drop("waiting_full")]
            opening.packets.append(packet)
            return []
        must_own = (
            packet.incarnation and packet.hops and not packet.is_assigned
        )
        entry = self.redirects.get(key)
        if entry is not None and entry.is_hint:
            if self.redirects.is_ended(entry):
                self.redirects.drop(key)
                entry = None
        denial = self._broadcast_not_owner(key) if must_own else []
        if entry is not None:
            return denial + self._follow_redirect(key, entry, packet)
        if must_own and packet.incarnation != self.incarnation & 0xFFFFFFFF:
            return denial + [actions.Drop("other_incarnation")]
        return denial + self._place_flow(now, key, packet)

    def _broadcast_not_owner(self, key):
        """Return actions that tell members that a flow is not owned here."""
        return self.broadcast(
            messages.structs.NotOwner(
                flow_key=key,
                incarnation=self.incarnation,
                batch_id=self.transfers.last_batch_id,
            )
        )

    def _follow_redirect(self, key, entry, packet):
        """Forward a packet to the owner that a redirect entry names."""
        if self.redirects.is_ended(entry):
            return self.end_flow(key, entry.owner, entry.incarnation, packet)
        if packet.hops >= defaults.HOP_LIMIT:
            if entry.is_hint:
                self.redirects.drop(key)
            return [actions.Drop("hop_limit")]
        if entry.is_hint:
            return [actions.Forward(entry.owner, 0, packet, is_assigned=True)]
        return [actions.Forward(entry.owner, entry.incarnation, packet)]

    def end_flow(self, key, owner, incarnation, packet):
        """Return actions that notify a caller that its flow has ended.

        The flow ended with its owner. All members delete their entries for
        it, so the caller is notified once.
        """
        self.redirects.drop(key)
        message = messages.structs.FlowEnded(
            flow_key=key, owner=owner, owner_incarnation=incarnation
        )
        return [actions.Reset(packet)] + self.broadcast(message)

    def _place_flow(self, now, key, packet):
        """Accept a new flow, or forward its packet to another member."""
        bucket = placement.bucket_of(packet.flow_hash)
        order = self.view.order(bucket)
        is_last_hop = packet.hops >= defaults.HOP_LIMIT
        if self.id not in order:
            if not order or is_last_hop:
                return [actions.Drop("no_target")]
            is_assigned = (
                self.transition.effective_record.state != members.JOINING
            )
            return [
                actions.Forward(order[0], 0, packet, is_assigned=is_assigned)
            ]
        if not packet.is_assigned and order[0] != self.id and not is_last_hop:
            return [actions.Forward(order[0], 0, packet)]
        chosen_id = self._choose_member(order, packet.is_assigned, is_last_hop)
        if chosen_id is None:
            return [actions.Drop("full")]
        if chosen_id != self.id:
            return self._pass_on(now, key, chosen_id, packet)
        in_doubt = self.is_in_doubt(now, bucket)
        queried_ids = self.view.peers_to_query(bucket, in_doubt)
        opening = self.openings.start(now, key, bucket, packet, queried_ids)
        # If in doubt, wait even when there is no member to query: after a
        # pause of this agent, messages of other members may not be read yet.
        return [] if queried_ids or in_doubt else self.decide(now, opening)

    def _choose_member(self, order, is_assigned, is_last_hop):
        """Return the id of the member that accepts a flow, or None."""
        load = self.load()
        self.loads.update(self.id, load.flow_count, load.has_room)
        if (is_assigned or is_last_hop) and load.has_room:
            return self.id
        if is_last_hop:
            return None
        return self.choose(order, self.loads)

    def _pass_on(self, now, key, chosen_id, packet):
        """Pass a new flow on to another member and store a hint."""
        incarnation = self.view.incarnation(chosen_id)
        self.redirects.store_hint(now, key, chosen_id, incarnation)
        self.loads.count_passed(chosen_id)
        return [actions.Forward(chosen_id, 0, packet, is_assigned=True)]

    def decide(self, now, opening):
        """Decide on an opening after all answers or the time limit.

        :returns: actions.
        """
        hinted = opening.hinted_owner
        if hinted is not None:
            return self.redirect_opening(now, opening, *hinted)
        if not self.transition.effective_record.accepts_new_work:
            return self.pass_on_opening(now, opening)
        if self._query_more(now, opening):
            return []
        if not opening.has_enough_answers:
            # In a partition, the silent members may own the flow. Until they
            # answer or are declared dead, a lost datagram does less harm than
            # a flow with two owners.
            self.openings.withdraw(now, opening)
            return [actions.Drop("in_doubt")] * len(opening.packets)
        self.openings.remove(opening)
        self.redirects.drop(opening.key)
        self.own_flows.open(
            now,
            opening.key,
            opening.bucket,
            granted_ids=opening.granted_ids,
            unanswered_ids=opening.unanswered_ids,
        )
        return [
            actions.Deliver(opening.key, packet) for packet in opening.packets
        ]

    def _query_more(self, now, opening):
        """Query the members that must be queried and were not yet.

        :returns: whether there are any.
        """
        in_doubt = self.is_in_doubt(now, opening.bucket)
        queried_ids = opening.queried_ids
        more = [
            peer_id
            for peer_id in self.view.peers_to_query(opening.bucket, in_doubt)
            if peer_id not in queried_ids
        ]
        for peer_id in more:
            self.openings.query(now, opening, peer_id)
        if more:
            self.openings.restart_wait(now, opening)
        return bool(more)

    def redirect_opening(self, now, opening, owner, incarnation):
        """Drop the claim and redirect the flow to its owner; return actions.

        The owner or another member answered the claim with the owner's id.
        """
        self.openings.withdraw(now, opening)
        self.redirects.store_hint(now, opening.key, owner, incarnation)
        return self._resend(now, opening)

    def yield_opening(self, now, opening, owner, batch):
        """Drop the claim in favour of another agent; return actions.

        That agent owns the flow or has claimed it as well.

        :param owner: id of the agent, which has sent ``batch``.
        :param batch: :class:`RedirectBatch` message with its entry.
        """
        self.openings.withdraw(now, opening)
        self.redirects.store(
            opening.key, owner, batch.incarnation, batch.batch_id
        )
        return self._resend(now, opening)

    def pass_on_opening(self, now, opening):
        """Drop the claim and pass the flow on; return actions."""
        self.openings.withdraw(now, opening)
        return self._resend(now, opening)

    def _resend(self, now, opening):
        """Return actions for the packets that waited for an opening."""
        steps = []
        for packet in opening.packets:
            steps += self.route(now, opening.key, packet)
        return steps
