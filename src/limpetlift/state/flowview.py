"""How one agent sees the members of its service."""

import hashlib
import heapq

import attrs

from limpetlift.coordination import member as members
from limpetlift.coordination import placement
from limpetlift import defaults

_GONE = (members.DEAD, members.LEFT)
# Members that take no new flows are still asked for flows that they own.
_LEAST_WEIGHT = 0.01


def _target(member):
    return placement.Target(member.agent_id, max(member.weight, _LEAST_WEIGHT))


def prior(first_id, second_id, bucket):
    """Return which of two agents accepts a flow that both asked for.

    All agents must agree whatever weights they know, so weights don't count.
    """
    pair = [placement.Target(first_id), placement.Target(second_id)]
    return placement.Placement(pair).order(bucket)[0].agent_id


@attrs.define
class _Prepared:
    """A record that its author has prepared and not yet announced."""

    member: members.Member
    deadline: float


@attrs.define
class FlowView:
    """Members, prepared records, and the orders that follow from them.

    :param own_id: id of this agent.

    .. versionadded:: 0.1
    """

    own_id: str
    members_by_id: dict = attrs.field(factory=dict)
    prepared_by_id: dict = attrs.field(factory=dict)
    weights_by_id: dict = attrs.field(factory=dict)
    placement_id: int = 0
    _suspects: list = attrs.field(factory=list)
    _own_target: object = None
    _current: object = None
    _planned: list = attrs.field(factory=list)
    _all: object = None
    _order_by_bucket: dict = attrs.field(factory=dict)

    def is_live(self, agent_id):
        """Whether the agent is known and neither dead nor gone."""
        member = self.members_by_id.get(agent_id)
        if member is None:
            # Its ``Prepare`` may come before its record.
            return agent_id in self.prepared_by_id
        return member.state not in _GONE

    def live_ids(self):
        """Return the ids of the other members that may be reached."""
        return [
            agent_id
            for agent_id in self.members_by_id
            if agent_id != self.own_id and self.is_live(agent_id)
        ]

    def incarnation(self, agent_id):
        """Return the incarnation of a member, or 0."""
        if agent_id in self.members_by_id:
            return self.members_by_id[agent_id].incarnation
        prepared = self.prepared_by_id.get(agent_id)
        return prepared.member.incarnation if prepared else 0

    def merge(self, records):
        """Replace the members; return the ids of those that changed.

        A sequence older than the known one is ignored. The state may go back
        with the same sequence, such as when a data centre is heard again.
        """
        known = self.members_by_id
        merged = {}
        for record in records:
            old = known.get(record.agent_id)
            if old is not None and not _reached(record, old):
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
            if record and _reached(record, prepared.member):
                del self.prepared_by_id[agent_id]
        return changed

    def prepare(self, record, deadline):
        """Store a prepared record; return whether it is news."""
        known = self.members_by_id.get(record.agent_id)
        if known is not None and _reached(known, record):
            return False
        held = self.prepared_by_id.get(record.agent_id)
        if held is not None and held.member == record:
            held.deadline = deadline
            return False
        self.prepared_by_id[record.agent_id] = _Prepared(record, deadline)
        return True

    def expire(self, now):
        """Forget records prepared long ago; return whether there were any."""
        expired = [
            agent_id
            for agent_id, prepared in self.prepared_by_id.items()
            if prepared.deadline <= now
        ]
        for agent_id in expired:
            del self.prepared_by_id[agent_id]
        return bool(expired)

    def rebuild(self, own):
        """Compute the placements; return whether the current one changed.

        :param own: this agent's record as it applies to new flows.
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
        self._current = placement.Placement(list(taking.values()))
        self._planned = self._plan(taking)
        self._all = placement.Placement(
            [_target(m) for m in effective.values() if m.state not in _GONE]
        )
        self._order_by_bucket = {}
        self.weights_by_id = {
            agent_id: target.weight for agent_id, target in taking.items()
        }
        before, self.placement_id = self.placement_id, self._digest()
        return before != self.placement_id

    def _effective(self, member):
        """Return the record with a prepared withdrawal already applied."""
        prepared = self.prepared_by_id.get(member.agent_id)
        if prepared is not None and not prepared.member.accepts_new_work:
            return prepared.member
        return member

    def _plan(self, taking):
        """Return the placements after each prepared change and after all."""
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
        text = repr(sorted(self.weights_by_id.items())).encode("utf-8")
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest, "big", signed=True)

    def order(self, bucket):
        """Return the ids of the members that take new flows, in order."""
        order = self._order_by_bucket.get(bucket)
        if order is None:
            order = _ids(self._current, bucket)
            self._order_by_bucket[bucket] = order
        return order

    def holders(self, bucket):
        """Return ``(id, incarnation)`` of those that need a redirect entry.

        They are the first members of the present placement and of those that
        follow from prepared changes.
        """
        ids = dict.fromkeys(self._first_others(self.order(bucket)))
        if len(ids) < defaults.REDIRECT_COPIES:
            # Too few members take new flows; leaving ones remember as well.
            ids = dict.fromkeys(
                self._first_others([*ids, *_ids(self._all, bucket)])
            )
        for planned in self._planned:
            ids.update(
                dict.fromkeys(self._first_others(_ids(planned, bucket)))
            )
        return tuple((i, self.incarnation(i)) for i in ids)

    def _first_others(self, order):
        others = [i for i in dict.fromkeys(order) if i != self.own_id]
        return others[: defaults.REDIRECT_COPIES]

    def outranked_by_suspect(self, bucket):
        """Whether a suspect member would come before this agent."""
        if not self._suspects:
            return False
        own = self._all.score(self._own_target, bucket)
        return any(
            self._all.score(suspect, bucket) > own
            for suspect in self._suspects
        )

    def asked(self, bucket, in_doubt):
        """Return the ids to ask before a flow is accepted.

        :param in_doubt: whether the placement may differ between members.
        """
        if not in_doubt:
            return self._first_others(self.order(bucket))
        best = heapq.nlargest(
            defaults.OWNER_QUERY_MEMBERS + 1,
            self._all.targets,
            key=lambda target: self._all.score(target, bucket),
        )
        ids = [target.agent_id for target in best]
        return [i for i in ids if i != self.own_id][
            : defaults.OWNER_QUERY_MEMBERS
        ]


def _reached(record, prepared):
    """Whether a known record is at least as new as a prepared one."""
    return (record.incarnation, record.sequence) >= (
        prepared.incarnation,
        prepared.sequence,
    )


def _ids(orders, bucket):
    return tuple(target.agent_id for target in orders.order(bucket))
