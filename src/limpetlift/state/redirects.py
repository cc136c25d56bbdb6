"""Redirect entries: the owners of flows that other agents accepted."""

import collections

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults


@attrs.define
class Redirect:
    """The owner of a flow.

    :param owner: agent id of the owner.
    :param incarnation: incarnation of the owner.
    :param batch_id: id of the batch in which the owner sent the entry.
    :param hint_until: None if the owner sent the entry. Otherwise the entry is
        a hint, which is deleted at this time unless the owner confirms it.
    """

    owner: str
    incarnation: int
    batch_id: int = 0
    hint_until: float = None

    @property
    def is_hint(self):
        """Whether the entry is a hint that the owner has not confirmed."""
        return self.hint_until is not None


@attrs.define
class RedirectTable:
    """The redirect entries of one agent by flow key.

    :param idle_s: time after which the entries of an owner that has died or
        left are deleted.

    .. versionadded:: 0.1
    """

    idle_s: float
    _entries_by_key: dict = attrs.field(factory=dict)
    _keys_by_owner: dict = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    _hints: collections.deque = attrs.field(factory=collections.deque)
    # (lowest incarnation of the owner that may still run, whether this follows
    # from a record that says that the owner has died or left).
    _lowest_live_by_owner: dict = attrs.field(factory=dict)
    _purge_at_by_owner: dict = attrs.field(factory=dict)

    def __len__(self):
        return len(self._entries_by_key)

    def get(self, key):
        """Return the entry for a key, or None."""
        return self._entries_by_key.get(key)

    def store(self, key, owner, incarnation, batch_id):
        """Store an entry that the owner has sent."""
        self._replace(key, Redirect(owner, incarnation, batch_id))

    def store_hint(self, now, key, owner, incarnation):
        """Store an entry that the owner may not know.

        It is deleted after REDIRECT_HINT_TTL_S.
        """
        until = now + defaults.REDIRECT_HINT_TTL_S
        self._replace(key, Redirect(owner, incarnation, 0, until))
        self._hints.append((until, key))

    def _replace(self, key, entry):
        self.drop(key)
        self._entries_by_key[key] = entry
        self._keys_by_owner[entry.owner].add(key)

    def drop(self, key):
        """Delete the entry for a key if it exists."""
        entry = self._entries_by_key.pop(key, None)
        if entry is not None:
            keys = self._keys_by_owner[entry.owner]
            keys.discard(key)
            if not keys:
                del self._keys_by_owner[entry.owner]

    def release(self, key, owner, incarnation, batch_id):
        """Delete an entry that its owner has released.

        An entry that the owner sent after ``batch_id`` stays.
        """
        entry = self._entries_by_key.get(key)
        if entry is None or entry.owner != owner:
            return
        if (entry.incarnation, entry.batch_id) <= (incarnation, batch_id):
            self.drop(key)

    def on_not_owner(self, key, owner, incarnation, batch_id):
        """Delete the entry that names ``owner``, which does not own the flow.

        Earlier incarnations of ``owner`` are known to have ended. An entry
        that names one of them stays, so that the caller is notified of the
        end of the flow when it sends the next packet.

        :param incarnation: present incarnation of ``owner``.
        :param batch_id: last batch that ``owner`` had sent.
        """
        known, _gone = self._lowest_live_by_owner.get(owner, (0, False))
        if incarnation > known:
            self._lowest_live_by_owner[owner] = (incarnation, False)
        entry = self._entries_by_key.get(key)
        if entry is not None and not self.is_ended(entry):
            self.release(key, owner, incarnation, batch_id)

    def on_member(self, now, owner, record):
        """Update which incarnations of an owner have ended.

        :param record: the owner's member record, or None when the membership
            no longer holds it.
        """
        if record is None:
            return
        has_ended = record.state in (members.DEAD, members.LEFT)
        known, is_from_death = self._lowest_live_by_owner.get(
            owner, (0, False)
        )
        lowest = record.incarnation + int(has_ended)
        # The bound may go back if a record declared the owner dead, because
        # the owner may refute that.
        if lowest > known or is_from_death:
            self._lowest_live_by_owner[owner] = (lowest, has_ended)
        if has_ended:
            self._purge_at_by_owner.setdefault(owner, now + self.idle_s)
        else:
            self._purge_at_by_owner.pop(owner, None)

    def is_ended(self, entry):
        """Whether the flow has ended because its owner has ended."""
        return self.has_owner_ended(entry.owner, entry.incarnation)

    def has_owner_ended(self, owner, incarnation):
        """Whether an incarnation of a member is known to have ended."""
        lowest, _gone = self._lowest_live_by_owner.get(owner, (0, False))
        return incarnation < lowest

    def tick(self, now):
        """Delete expired hints and the entries of owners that ended."""
        while self._hints and self._hints[0][0] <= now:
            until, key = self._hints.popleft()
            entry = self._entries_by_key.get(key)
            if entry is not None and entry.hint_until == until:
                self.drop(key)
        for owner, purge_at in list(self._purge_at_by_owner.items()):
            if purge_at <= now:
                del self._purge_at_by_owner[owner]
                for key in list(self._keys_by_owner.get(owner, ())):
                    self.drop(key)
