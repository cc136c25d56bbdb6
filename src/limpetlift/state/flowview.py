"""An agent's view of the members of its service and of the placement."""

import hashlib
import heapq

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import placement
from limpetlift import defaults

_ENDED_STATES = (members.DEAD, members.LEFT)
# Members of weight 0 accept no new flows, but they may own flows and are
# therefore queried; a placement needs a weight above 0.
_MIN_WEIGHT = 0.01


def _target(member):
    """Return the placement target of a member."""
    return placement.Target(member.agent_id, max(member.weight, _MIN_WEIGHT))


def preferred_owner(first_id, second_id, bucket):
    """Return which of two agents may accept a flow that both have claimed.

    :returns: the agent id. Weights are ignored, because agents may know
        different weights and must come to the same result.
    """
    pair = [placement.Target(first_id), placement.Target(second_id)]
    return placement.Placement(pair).order(bucket)[0].agent_id


@attrs.define
class _PreparedRecord:
    """A record that a member has prepared and not announced yet.

    :param deadline: when it is deleted unless it is announced.
    """

    member: members.Member
    deadline: float


@attrs.define
class FlowView:
    """Members, prepared records and the placements computed from them.

    :param own_id: id of this agent.
    :param members_by_id: the known records, including that of this agent.
    :param prepared_by_id: records that members have prepared and not
        announced yet.
    :param weights_by_id: weights of the members that accept new flows.
    :param placement_id: digest of ``weights_by_id``; members with the same
        id use the same placement.

    .. versionadded:: 0.1
    """

    own_id: str
    members_by_id: dict = attrs.field(factory=dict)
    prepared_by_id: dict = attrs.field(factory=dict)
    weights_by_id: dict = attrs.field(factory=dict)
    placement_id: int = 0
    _suspects: list = attrs.field(factory=list)
    _own_target: object = None
    # Of the members that accept new flows.
    _current_placement: object = None
    # The same after prepared changes.
    _planned_placements: list = attrs.field(factory=list)
    # Of all members that have neither died nor left.
    _full_placement: object = None
    _order_by_bucket: dict = attrs.field(factory=dict)

    def is_live(self, agent_id):
        """Whether the agent is known and has neither died nor left."""
        member = self.members_by_id.get(agent_id)
        if member is None:
            # Its ``Prepare`` may arrive before its record.
            return agent_id in self.prepared_by_id
        return member.state not in _ENDED_STATES

    def live_ids(self):
        """Return the ids of the other members that have not died or left."""
        return [
            agent_id
            for agent_id in self.members_by_id
            if agent_id != self.own_id and self.is_live(agent_id)
        ]

    def incarnation(self, agent_id):
        """Return the incarnation of a member, or 0 when it is unknown."""
        if agent_id in self.members_by_id:
            return self.members_by_id[agent_id].incarnation
        prepared = self.prepared_by_id.get(agent_id)
        return prepared.member.incarnation if prepared else 0

    def merge(self, records):
        """Replace the members.

        A record with a lower sequence than the known one is ignored. With the
        same sequence, the state may return to an earlier one, for example
        when a data centre becomes reachable again.

        :returns: ids of the members whose records changed.
        """
        known = self.members_by_id
        merged = {}
        for record in records:
            old = known.get(record.agent_id)
            if old is not None and not _is_as_new(record, old):
                record = old
            merged[record.agent_id] = record
        changed = {
            agent_id
            for agent_id in known.keys() | merged.keys()
            if known.get(agent_id) != merged.get(agent_id)
        }
        self.members_by_id = merged
        for agent_id, prepared in list(self.prepared_by_id.items()):
            record = merged.get(agent_id)
            if record and _is_as_new(record, prepared.member):
                del self.prepared_by_id[agent_id]
        return changed

    def prepare(self, record, deadline):
        """Store a prepared record until ``deadline``.

        :returns: whether the record was not known before.
        """
        known = self.members_by_id.get(record.agent_id)
        if known is not None and _is_as_new(known, record):
            return False
        held = self.prepared_by_id.get(record.agent_id)
        if held is not None and held.member == record:
            held.deadline = deadline
            return False
        self.prepared_by_id[record.agent_id] = _PreparedRecord(
            record, deadline
        )
        return True

    def expire(self, now):
        """Delete prepared records whose deadline has passed.

        :returns: whether there were any.
        """
        expired = [
            agent_id
            for agent_id, prepared in self.prepared_by_id.items()
            if prepared.deadline <= now
        ]
        for agent_id in expired:
            del self.prepared_by_id[agent_id]
        return bool(expired)

    def rebuild(self, own):
        """Compute the placements.

        :param own: the record by which this agent decides on new flows.
        :returns: whether the current placement changed.
        """
        self.members_by_id[self.own_id] = own
        effective = {
            agent_id: self._effective(member)
            for agent_id, member in self.members_by_id.items()
        }
        taking = {
            agent_id: _target(member)
            for agent_id, member in effective.items()
            if member.accepts_new_work
        }
        self._own_target = _target(own)
        self._suspects = [
            _target(member)
            for member in effective.values()
            if member.state == members.SUSPECT
        ]
        self._current_placement = placement.Placement(list(taking.values()))
        self._planned_placements = self._plan_placements(taking)
        self._full_placement = placement.Placement(
            [
                _target(m)
                for m in effective.values()
                if m.state not in _ENDED_STATES
            ]
        )
        self._order_by_bucket = {}
        self.weights_by_id = {
            agent_id: target.weight for agent_id, target in taking.items()
        }
        before, self.placement_id = self.placement_id, self._digest()
        return before != self.placement_id

    def _effective(self, member):
        """Return the record by which other members decide on new flows.

        A prepared record after which the member accepts no new flows applies
        at once.
        """
        prepared = self.prepared_by_id.get(member.agent_id)
        if prepared is not None and not prepared.member.accepts_new_work:
            return prepared.member
        return member

    def _plan_placements(self, taking):
        """Return the placements that prepared changes lead to.

        There is one for each change alone and one for all changes together.
        """
        changes = {
            agent_id: _target(prepared.member)
            for agent_id, prepared in self.prepared_by_id.items()
            if prepared.member.accepts_new_work
        }
        planned = [
            {**taking, agent_id: target}
            for agent_id, target in changes.items()
        ]
        if len(changes) > 1:
            planned.append({**taking, **changes})
        return [placement.Placement(list(p.values())) for p in planned]

    def _digest(self):
        """Return the id of the current placement."""
        text = repr(sorted(self.weights_by_id.items())).encode("utf-8")
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest, "big", signed=True)

    def order(self, bucket):
        """Return the members that accept new flows, in placement order."""
        order = self._order_by_bucket.get(bucket)
        if order is None:
            order = _ordered_ids(self._current_placement, bucket)
            self._order_by_bucket[bucket] = order
        return order

    def holders(self, bucket):
        """Return the peers that must hold redirect entries of a bucket.

        These are the first members of the current placement and of the
        placements that prepared changes lead to.

        :returns: pairs of agent id and incarnation.
        """
        ids = dict.fromkeys(self._first_peers(self.order(bucket)))
        if len(ids) < defaults.REDIRECT_COPIES:
            # Too few members accept new flows, so those that are joining,
            # leaving or suspect hold entries as well.
            ids = dict.fromkeys(
                self._first_peers(
                    [*ids, *_ordered_ids(self._full_placement, bucket)]
                )
            )
        for planned in self._planned_placements:
            ids.update(
                dict.fromkeys(self._first_peers(_ordered_ids(planned, bucket)))
            )
        return tuple((i, self.incarnation(i)) for i in ids)

    def _first_peers(self, order):
        """Return the first REDIRECT_COPIES ids without that of this agent."""
        others = [i for i in dict.fromkeys(order) if i != self.own_id]
        return others[: defaults.REDIRECT_COPIES]

    def outranked_by_suspect(self, bucket):
        """Whether a suspect member precedes this agent in placement order.

        That member may still be alive and accept flows of the bucket.
        """
        if not self._suspects:
            return False
        own = self._full_placement.score(self._own_target, bucket)
        return any(
            self._full_placement.score(suspect, bucket) > own
            for suspect in self._suspects
        )

    def peers_to_query(self, bucket, in_doubt):
        """Return the ids of the members to query before a flow is accepted.

        :param in_doubt: whether members may use different placements; more
            members are queried then.
        """
        if not in_doubt:
            return self._first_peers(self.order(bucket))
        best = heapq.nlargest(
            defaults.OWNER_QUERY_MEMBERS + 1,
            self._full_placement.targets,
            key=lambda target: self._full_placement.score(target, bucket),
        )
        ids = [target.agent_id for target in best]
        return [i for i in ids if i != self.own_id][
            : defaults.OWNER_QUERY_MEMBERS
        ]


def _is_as_new(record, other):
    """Whether a record is at least as new as another one of the member."""
    return (record.incarnation, record.sequence) >= (
        other.incarnation,
        other.sequence,
    )


def _ordered_ids(bucket_orders, bucket):
    return tuple(target.agent_id for target in bucket_orders.order(bucket))
