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

    :param max_flows: open flows that the backend server can carry.
    :param idle_s: seconds without packets after which a flow ends.
    :param policy: name of a sharing policy.
    :param slow_start_s: seconds in which the weight rises after a join.
    """

    max_flows: int = defaults.MAX_FLOWS_PER_SERVER
    idle_s: float = defaults.FLOW_IDLE_S
    policy: str = "bounded"
    slow_start_s: float = defaults.SLOW_START_S


@attrs.define
class Ownership:
    """The parts of an agent's flow state and the rules between them.

    :param member: this agent's record at start.
    :param limits: a :class:`FlowLimits`.
    :raises StateError: when there is no policy of that name.

    .. versionadded:: 0.1
    """

    member: members.Member
    limits: FlowLimits
    id: str = attrs.field(init=False)
    incarnation: int = attrs.field(init=False)
    choose: object = attrs.field(init=False)
    transition: object = attrs.field(init=False)
    mail: handover.Mail = attrs.field(init=False)
    redirects: object = attrs.field(init=False)
    openings: object = attrs.field(init=False)
    view: flowview.FlowView = attrs.field(init=False)
    own: ownflows.OwnFlows = attrs.field(init=False)
    loads: sharing.Loads = attrs.field(factory=sharing.Loads)

    def __attrs_post_init__(self):
        member, limits = self.member, self.limits
        self.id = member.agent_id
        self.incarnation = member.incarnation
        self.choose = registry.lookup(
            sharing.policies_by_name, limits.policy, "sharing policy"
        )
        self.transition = transition.Transition(member, limits.slow_start_s)
        self.mail = handover.Mail(member.incarnation)
        self.redirects = redirects.RedirectTable(limits.idle_s)
        self.openings = openings.Openings(self.mail)
        self.view = flowview.FlowView(self.id)
        self.own = ownflows.OwnFlows(self.view, self.mail, limits.idle_s)
        self.view.rebuild(member)

    def load(self):
        """Return the :class:`Load` message of this agent."""
        count = len(self.openings)
        total = len(self.own.flows_by_key) + count
        return messages.structs.Load(
            flow_count=self.own.count + count,
            has_room=total < self.limits.max_flows,
            placement_id=self.view.placement_id,
        )

    def rebuild(self, now):
        """Follow a change of the view."""
        if self.view.rebuild(self.transition.effective):
            self.transition.settle(now)
            self.loads.reset(self.view.weights_by_id)
            self.own.on_placement()
        self.own.on_view()
        self.own.renew(now)

    def forget_peer(self, peer_id):
        """Expect nothing more of an incarnation of a peer."""
        self.own.on_lost(peer_id, self.mail.drop_peer(peer_id))
        for opening in self.openings:
            opening.unanswered.discard(peer_id)
            opening.granted.discard(peer_id)

    def is_in_doubt(self, now, bucket):
        """Whether the members may disagree on who accepts a flow."""
        return (
            now < self.transition.doubt_until
            or bool(self.view.prepared_by_id)
            or self.view.outranked_by_suspect(bucket)
        )

    def on_pause(self, now, seconds):
        """Ask more members: others may have taken over meanwhile."""
        self.transition.settle(now)
        if seconds >= defaults.DEAD_AFTER_S:
            self.own.on_death(now)
        for opening in self.openings:
            for peer_id in self.view.asked(opening.bucket, True):
                self.openings.ask(now, opening, peer_id)
            self.openings.extend(now, opening)

    def broadcast(self, message):
        """Return actions that send a message to all other members."""
        return [actions.Send(i, message) for i in self.view.live_ids()]

    def route(self, now, key, packet):
        """Decide on a packet of a flow that this agent does not own."""
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
        denial = self._deny(key) if must_own else []
        if entry is not None:
            return denial + self._follow(key, entry, packet)
        if must_own and packet.incarnation != self.incarnation & 0xFFFFFFFF:
            return denial + [actions.Drop("other_incarnation")]
        return denial + self._place(now, key, packet)

    def _deny(self, key):
        """Tell the holders of entries that this agent isn't the owner."""
        return self.broadcast(
            messages.structs.NotOwner(
                flow_key=key,
                incarnation=self.incarnation,
                batch_id=self.mail.last_batch_id,
            )
        )

    def _follow(self, key, entry, packet):
        if self.redirects.is_ended(entry):
            return self.end(key, entry.owner, entry.incarnation, packet)
        if packet.hops >= defaults.HOP_LIMIT:
            if entry.is_hint:
                self.redirects.drop(key)
            return [actions.Drop("hop_limit")]
        if entry.is_hint:
            return [actions.Forward(entry.owner, 0, packet, is_assigned=True)]
        return [actions.Forward(entry.owner, entry.incarnation, packet)]

    def end(self, key, owner, incarnation, packet):
        """Tell the caller, once, that the flow has ended with its owner."""
        self.redirects.drop(key)
        message = messages.structs.FlowEnded(
            flow_key=key, owner=owner, owner_incarnation=incarnation
        )
        return [actions.Reset(packet)] + self.broadcast(message)

    def _place(self, now, key, packet):
        """Find the member that takes a new flow."""
        bucket = placement.bucket_of(packet.flow_hash)
        order = self.view.order(bucket)
        is_last_hop = packet.hops >= defaults.HOP_LIMIT
        if self.id not in order:
            if not order or is_last_hop:
                return [actions.Drop("no_target")]
            is_assigned = self.transition.effective.state != members.JOINING
            return [
                actions.Forward(order[0], 0, packet, is_assigned=is_assigned)
            ]
        if not packet.is_assigned and order[0] != self.id and not is_last_hop:
            return [actions.Forward(order[0], 0, packet)]
        taker = self._taker(order, packet.is_assigned, is_last_hop)
        if taker is None:
            return [actions.Drop("full")]
        if taker != self.id:
            return self._pass(now, key, taker, packet)
        in_doubt = self.is_in_doubt(now, bucket)
        asked = self.view.asked(bucket, in_doubt)
        opening = self.openings.start(now, key, bucket, packet, asked)
        # After a pause the news of other members may still be unread.
        return [] if asked or in_doubt else self.decide(now, opening)

    def _taker(self, order, is_assigned, is_last_hop):
        """Return the id of the member that takes a flow, or None."""
        load = self.load()
        self.loads.update(self.id, load.flow_count, load.has_room)
        if (is_assigned or is_last_hop) and load.has_room:
            return self.id
        if is_last_hop:
            return None
        return self.choose(order, self.loads)

    def _pass(self, now, key, taker, packet):
        """Let another member decide, and remember which."""
        incarnation = self.view.incarnation(taker)
        self.redirects.hint(now, key, taker, incarnation)
        self.loads.count_passed(taker)
        return [actions.Forward(taker, 0, packet, is_assigned=True)]

    def decide(self, now, opening):
        """Decide after all answers or the time limit."""
        hinted = opening.hinted_owner
        if hinted is not None:
            return self.leave(now, opening, *hinted)
        if not self.transition.effective.accepts_new_work:
            return self.pass_opening(now, opening)
        if self._ask_more(now, opening):
            return []
        if not opening.rules_out_owner:
            # In a partition the silent members may own the flow. Until they
            # answer or are dead, a lost datagram does less harm than a flow
            # with two owners.
            self.openings.withdraw(now, opening)
            return [actions.Drop("in_doubt")] * len(opening.packets)
        self.openings.finish(opening)
        self.redirects.drop(opening.key)
        self.own.open(
            now,
            opening.key,
            opening.bucket,
            granted=opening.granted,
            unanswered=opening.unanswered,
        )
        return [
            actions.Deliver(opening.key, packet) for packet in opening.packets
        ]

    def _ask_more(self, now, opening):
        """Ask members that became known; return whether there are any."""
        in_doubt = self.is_in_doubt(now, opening.bucket)
        asked = opening.asked
        more = [
            peer_id
            for peer_id in self.view.asked(opening.bucket, in_doubt)
            if peer_id not in asked
        ]
        for peer_id in more:
            self.openings.ask(now, opening, peer_id)
        if more:
            self.openings.extend(now, opening)
        return bool(more)

    def leave(self, now, opening, owner, incarnation):
        """Leave a flow to the owner that another member named."""
        self.openings.withdraw(now, opening)
        self.redirects.hint(now, opening.key, owner, incarnation)
        return self._resend(now, opening)

    def yield_to(self, now, opening, owner, batch):
        """Leave a flow to an agent that has sent an entry for it."""
        self.openings.withdraw(now, opening)
        self.redirects.store(
            opening.key, owner, batch.incarnation, batch.batch_id
        )
        return self._resend(now, opening)

    def pass_opening(self, now, opening):
        """Let another member decide on an opening."""
        self.openings.withdraw(now, opening)
        return self._resend(now, opening)

    def _resend(self, now, opening):
        steps = []
        for packet in opening.packets:
            steps += self.route(now, opening.key, packet)
        return steps
