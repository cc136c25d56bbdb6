"""The flows that an agent owns, and the peers with redirect entries for them.

The holders of a flow are the peers that hold a redirect entry for it.
"""

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
    :param placement_epoch: number of the placement under which it was
        accepted.
    :param slot: its slot in the timer wheel.
    :param incarnations_by_holder: incarnations of the peers that hold an
        entry or were sent one.
    :param unacked_ids: ids of peers that have not acknowledged the entry.
    """

    key: bytes
    bucket: int
    opened_at: float
    active_at: float
    placement_epoch: int
    slot: int = 0
    incarnations_by_holder: dict = attrs.field(factory=dict)
    unacked_ids: set = attrs.field(factory=set)


@attrs.define
class _TimerWheel:
    """Flow keys by the time slot in which their idle time is checked.

    :param slot_s: length of a slot.
    """

    slot_s: float
    _keys_by_slot: dict = attrs.field(factory=dict)
    _next_slot: int = None

    def add(self, key, deadline):
        """Store a key.

        :returns: its slot, which begins after ``deadline``.
        """
        slot = int(deadline / self.slot_s) + 1
        self._keys_by_slot.setdefault(slot, set()).add(key)
        return slot

    def remove(self, key, slot):
        """Remove a key from its slot."""
        self._keys_by_slot.get(slot, set()).discard(key)

    def pop_due(self, now):
        """Remove and return the keys whose slot has begun."""
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
    """The open flows of an agent by key.

    :param view: the :class:`limpetlift.state.flowview.FlowView`.
    :param transfers: the :class:`limpetlift.state.handover.EntryTransfers`.
    :param idle_s: time without packets after which a flow ends.
    :param current_count: number of the open flows that were accepted under
        the present placement.

    .. versionadded:: 0.1
    """

    view: object
    transfers: object
    idle_s: float
    current_count: int = 0
    _placement_epoch: int = 0
    flows_by_key: dict = attrs.field(factory=dict)
    _keys_by_bucket: dict = attrs.field(factory=dict)
    # The holders when the entries of the bucket were last sent.
    _holders_by_bucket: dict = attrs.field(factory=dict)
    # Used as an ordered set.
    _buckets_to_renew: dict = attrs.field(factory=dict)
    # (time, key of a flow that may have more holders than it needs).
    _pending_releases: collections.deque = attrs.field(
        factory=collections.deque
    )
    _wheel: _TimerWheel = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._wheel = _TimerWheel(self.idle_s / defaults.IDLE_WHEEL_SLOTS)

    def open(self, now, key, bucket, granted_ids, unanswered_ids):
        """Accept a flow.

        :param granted_ids: ids of peers that hold an entry for it.
        :param unanswered_ids: ids of peers that were sent one.
        """
        flow = Flow(key, bucket, now, now, self._placement_epoch)
        for peer_id in (*granted_ids, *unanswered_ids):
            incarnation = self.view.incarnation(peer_id)
            flow.incarnations_by_holder[peer_id] = incarnation
        flow.unacked_ids.update(unanswered_ids)
        flow.slot = self._wheel.add(key, now + self.idle_s)
        self.flows_by_key[key] = flow
        self._keys_by_bucket.setdefault(bucket, {})[key] = True
        self.current_count += 1
        self._send_missing_entries(now, flow, self.view.holders(bucket))

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
        if flow.placement_epoch == self._placement_epoch:
            self.current_count -= 1
        for peer_id in flow.incarnations_by_holder:
            if self.view.is_live(peer_id):
                self.transfers.add(now, peer_id, key, handover.RELEASE)
        return True

    def idle_keys(self, now):
        """Return the keys of flows without packets for ``idle_s``."""
        idle = []
        for key in self._wheel.pop_due(now):
            flow = self.flows_by_key[key]
            deadline = flow.active_at + self.idle_s
            if deadline <= now:
                idle.append(key)
            else:
                flow.slot = self._wheel.add(key, deadline)
        return idle

    def on_placement_change(self):
        """Reset the count of flows, because the placement has changed."""
        self._placement_epoch += 1
        self.current_count = 0

    def on_declared_dead(self, now):
        """Give precedence to other agents that own the same flows.

        They took this agent for dead, and callers may have been notified that
        their flows here have ended. Of two owners, the one that accepted the
        flow earlier keeps it.
        """
        for flow in self.flows_by_key.values():
            flow.opened_at = now

    def on_undelivered(self, peer_id, keys):
        """Record that a peer may not hold the entries for some flows.

        They are sent again if the peer returns.

        :param keys: keys of the flows.
        """
        for key in keys:
            flow = self.flows_by_key.get(key)
            if flow is not None:
                flow.incarnations_by_holder.pop(peer_id, None)
                flow.unacked_ids.discard(peer_id)
                self._holders_by_bucket.pop(flow.bucket, None)

    def on_view_change(self):
        """Schedule a check of all entries; :meth:`renew_entries` runs it."""
        self._buckets_to_renew.update(dict.fromkeys(self._keys_by_bucket))

    @property
    def is_renewed(self):
        """Whether all entries have been checked against the present view."""
        return not self._buckets_to_renew

    def renew_entries(self, now):
        """Send the entries that the present view requires.

        Each call checks at most RENEWED_BUCKETS_PER_TICK buckets.
        """
        for _count in range(defaults.RENEWED_BUCKETS_PER_TICK):
            if not self._buckets_to_renew:
                break
            bucket, _ = self._buckets_to_renew.popitem()
            holders = self.view.holders(bucket)
            if holders == self._holders_by_bucket.get(bucket):
                continue
            self._holders_by_bucket[bucket] = holders
            for key in self._keys_by_bucket.get(bucket, ()):
                self._send_missing_entries(
                    now, self.flows_by_key[key], holders
                )

    def _send_missing_entries(self, now, flow, holders):
        """Send the entry for a flow to the holders that lack it."""
        known = flow.incarnations_by_holder
        for peer_id in [i for i in known if not self.view.is_live(i)]:
            del known[peer_id]
            flow.unacked_ids.discard(peer_id)
        for peer_id, incarnation in holders:
            if known.get(peer_id) != incarnation:
                known[peer_id] = incarnation
                self.send_entry(now, flow, peer_id)
        if len(known) > len(holders):
            self._pending_releases.append(
                (now + defaults.OWNERSHIP_SETTLE_S, flow.key)
            )

    def send_entry(self, now, flow, peer_id):
        """Send a peer the redirect entry for a flow."""
        flow.unacked_ids.add(peer_id)
        entry = handover.Entry(opened_at=flow.opened_at)
        self.transfers.add(now, peer_id, flow.key, entry, urgent=True)

    def release_surplus(self, now):
        """Release entries that are no longer needed.

        They stay for OWNERSHIP_SETTLE_S, because other members may still use
        an older view.
        """
        while self._pending_releases and self._pending_releases[0][0] <= now:
            _, key = self._pending_releases.popleft()
            flow = self.flows_by_key.get(key)
            if flow is not None and not self._release_surplus_of(now, flow):
                self._pending_releases.append(
                    (now + defaults.OWNERSHIP_SETTLE_S, key)
                )

    def _release_surplus_of(self, now, flow):
        """Release the entries of one flow that are no longer needed.

        :returns: whether none remains to be released later.
        """
        needed = {i for i, _ in self.view.holders(flow.bucket)}
        if self.view.prepared_by_id or flow.unacked_ids & needed:
            return False
        known = flow.incarnations_by_holder
        for peer_id in [i for i in known if i not in needed]:
            member = self.view.members_by_id.get(peer_id)
            # A suspect member may soon return, at the same position in the
            # placement order.
            if member is not None and member.state == members.SUSPECT:
                continue
            del known[peer_id]
            flow.unacked_ids.discard(peer_id)
            if self.view.is_live(peer_id):
                self.transfers.add(now, peer_id, flow.key, handover.RELEASE)
        return len(known) <= len(needed)
