"""The flows that an agent owns, and the entries that others hold for them."""

import collections

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.state import handover


@attrs.define
class Flow:
    """An open flow.

    :param opened_at: when it was accepted.
    :param active_at: time of the last packet in either direction.
    :param epoch: number of the placement under which it was accepted.
    :param slot: slot of the idle wheel.
    :param incarnations_by_holder: who holds an entry or was sent one.
    :param unacked: holders that have not acknowledged the entry.
    """

    key: bytes
    bucket: int
    opened_at: float
    active_at: float
    epoch: int
    slot: int = 0
    incarnations_by_holder: dict = attrs.field(factory=dict)
    unacked: set = attrs.field(factory=set)


@attrs.define
class _IdleWheel:
    """Keys by the slot of time in which they must be looked at."""

    slot_s: float
    _keys_by_slot: dict = attrs.field(factory=dict)
    _next_slot: int = None

    def add(self, key, deadline):
        """Store a key; return its slot."""
        slot = int(deadline / self.slot_s) + 1
        self._keys_by_slot.setdefault(slot, set()).add(key)
        return slot

    def remove(self, key, slot):
        """Forget a key."""
        self._keys_by_slot.get(slot, set()).discard(key)

    def due(self, now):
        """Return and forget the keys whose slot has begun."""
        slot = int(now / self.slot_s)
        if self._next_slot is None:
            self._next_slot = slot
        keys = []
        while self._next_slot <= slot:
            keys += sorted(self._keys_by_slot.pop(self._next_slot, ()))
            self._next_slot += 1
        return keys


@attrs.define
class OwnFlows:
    """Open flows by key.

    :param view: the :class:`limpetlift.state.flowview.FlowView`.
    :param mail: the :class:`limpetlift.state.handover.Mail`.
    :param idle_s: time without packets after which a flow ends.

    .. versionadded:: 0.1
    """

    view: object
    mail: object
    idle_s: float
    count: int = 0
    _epoch: int = 0
    flows_by_key: dict = attrs.field(factory=dict)
    _keys_by_bucket: dict = attrs.field(factory=dict)
    _holders_by_bucket: dict = attrs.field(factory=dict)
    _renewals: dict = attrs.field(factory=dict)
    _trims: collections.deque = attrs.field(factory=collections.deque)
    _wheel: _IdleWheel = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._wheel = _IdleWheel(self.idle_s / defaults.IDLE_WHEEL_SLOTS)

    def open(self, now, key, bucket, granted, unanswered):
        """Accept a flow.

        :param granted: ids of peers that hold an entry for it.
        :param unanswered: ids of peers that were sent one.
        """
        flow = Flow(key, bucket, now, now, self._epoch)
        for peer_id in (*granted, *unanswered):
            incarnation = self.view.incarnation(peer_id)
            flow.incarnations_by_holder[peer_id] = incarnation
        flow.unacked.update(unanswered)
        flow.slot = self._wheel.add(key, now + self.idle_s)
        self.flows_by_key[key] = flow
        self._keys_by_bucket.setdefault(bucket, {})[key] = True
        self.count += 1
        self._hand_over(now, flow, self.view.holders(bucket))

    def close(self, now, key):
        """End a flow; return whether it was open."""
        flow = self.flows_by_key.pop(key, None)
        if flow is None:
            return False
        self._wheel.remove(key, flow.slot)
        keys = self._keys_by_bucket[flow.bucket]
        del keys[key]
        if not keys:
            del self._keys_by_bucket[flow.bucket]
            self._holders_by_bucket.pop(flow.bucket, None)
        if flow.epoch == self._epoch:
            self.count -= 1
        for peer_id in flow.incarnations_by_holder:
            if self.view.is_live(peer_id):
                self.mail.add(now, peer_id, key, handover.RELEASE)
        return True

    def idle_keys(self, now):
        """Return the keys of flows without packets for ``idle_s``."""
        idle = []
        for key in self._wheel.due(now):
            flow = self.flows_by_key[key]
            deadline = flow.active_at + self.idle_s
            if deadline <= now:
                idle.append(key)
            else:
                flow.slot = self._wheel.add(key, deadline)
        return idle

    def on_placement(self):
        """Count flows anew: the placement has changed."""
        self._epoch += 1
        self.count = 0

    def on_death(self, now):
        """Let flows of others win: this agent was dead for them.

        Callers may have been told that their flows here have ended.
        """
        for flow in self.flows_by_key.values():
            flow.opened_at = now

    def on_lost(self, peer_id, keys):
        """Send entries again that never reached a peer, if it returns."""
        for key in keys:
            flow = self.flows_by_key.get(key)
            if flow is not None:
                flow.incarnations_by_holder.pop(peer_id, None)
                flow.unacked.discard(peer_id)
                self._holders_by_bucket.pop(flow.bucket, None)

    def on_view(self):
        """Check the entries of all buckets, some at each call of renew."""
        self._renewals.update(dict.fromkeys(self._keys_by_bucket))

    @property
    def is_renewed(self):
        """Whether all entries follow the present view."""
        return not self._renewals

    def renew(self, now):
        """Send the entries that follow from the present view."""
        for _count in range(defaults.RENEWED_BUCKETS_PER_TICK):
            if not self._renewals:
                break
            bucket, _ = self._renewals.popitem()
            holders = self.view.holders(bucket)
            if holders == self._holders_by_bucket.get(bucket):
                continue
            self._holders_by_bucket[bucket] = holders
            for key in self._keys_by_bucket.get(bucket, ()):
                self._hand_over(now, self.flows_by_key[key], holders)

    def _hand_over(self, now, flow, holders):
        known = flow.incarnations_by_holder
        for peer_id in [i for i in known if not self.view.is_live(i)]:
            del known[peer_id]
            flow.unacked.discard(peer_id)
        for peer_id, incarnation in holders:
            if known.get(peer_id) != incarnation:
                known[peer_id] = incarnation
                self.send_entry(now, flow, peer_id)
        if len(known) > len(holders):
            self._trims.append((now + defaults.OWNERSHIP_SETTLE_S, flow.key))

    def send_entry(self, now, flow, peer_id):
        """Tell a peer who owns the flow."""
        flow.unacked.add(peer_id)
        entry = handover.Entry(opened_at=flow.opened_at)
        self.mail.add(now, peer_id, flow.key, entry, urgent=True)

    def trim(self, now):
        """Release entries that are no longer needed.

        They stay for a while because other members may have an older view.
        """
        while self._trims and self._trims[0][0] <= now:
            _at, key = self._trims.popleft()
            flow = self.flows_by_key.get(key)
            if flow is not None and not self._trim_flow(now, flow):
                self._trims.append((now + defaults.OWNERSHIP_SETTLE_S, key))

    def _trim_flow(self, now, flow):
        """Return whether nothing is left to release."""
        needed = {i for i, _ in self.view.holders(flow.bucket)}
        if self.view.prepared_by_id or flow.unacked & needed:
            return False
        known = flow.incarnations_by_holder
        for peer_id in [i for i in known if i not in needed]:
            member = self.view.members_by_id.get(peer_id)
            # A suspect member may be back soon, with its old position.
            if member is not None and member.state == members.SUSPECT:
                continue
            del known[peer_id]
            flow.unacked.discard(peer_id)
            if self.view.is_live(peer_id):
                self.mail.add(now, peer_id, flow.key, handover.RELEASE)
        return len(known) <= len(needed)
