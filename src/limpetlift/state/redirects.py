"""Redirect entries that an agent holds for flows of other agents."""

import collections

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults


@attrs.define
class Redirect:
    """Where a flow is.

    :param owner: agent id.
    :param incarnation: of the owner.
    :param batch_id: batch in which the owner sent the entry.
    :param hint_until: None when the owner sent the entry; otherwise the time
        at which the entry is forgotten unless the owner confirms it.
    """

    owner: str
    incarnation: int
    batch_id: int = 0
    hint_until: float = None

    @property
    def is_hint(self):
        """Whether the owner has not confirmed the entry."""
        return self.hint_until is not None


@attrs.define
class RedirectTable:
    """Entries by flow key, with an index by owner.

    :param idle_s: entries of a dead owner are forgotten after this time.

    .. versionadded:: 0.1
    """

    idle_s: float
    _entries_by_key: dict = attrs.field(factory=dict)
    _keys_by_owner: dict = attrs.field(
        factory=lambda: collections.defaultdict(set)
    )
    _hints: collections.deque = attrs.field(factory=collections.deque)
    _incarnation_by_owner: dict = attrs.field(factory=dict)
    _purge_at_by_owner: dict = attrs.field(factory=dict)

    def __len__(self):
        return len(self._entries_by_key)

    def get(self, key):
        """Return the entry for a key, or None."""
        return self._entries_by_key.get(key)

    def store(self, key, owner, incarnation, batch_id):
        """Store an entry that its owner has sent."""
        self._put(key, Redirect(owner, incarnation, batch_id))

    def hint(self, now, key, owner, incarnation):
        """Store an entry that the owner may not know of."""
        until = now + defaults.REDIRECT_HINT_TTL_S
        self._put(key, Redirect(owner, incarnation, 0, until))
        self._hints.append((until, key))

    def _put(self, key, entry):
        self.drop(key)
        self._entries_by_key[key] = entry
        self._keys_by_owner[entry.owner].add(key)

    def drop(self, key):
        """Forget the entry for a key, if there is one."""
        entry = self._entries_by_key.pop(key, None)
        if entry is not None:
            keys = self._keys_by_owner[entry.owner]
            keys.discard(key)
            if not keys:
                del self._keys_by_owner[entry.owner]

    def release(self, key, owner, incarnation, batch_id):
        """Forget the entry if the owner sent it not after ``batch_id``."""
        entry = self._entries_by_key.get(key)
        if entry is None or entry.owner != owner:
            return
        if (entry.incarnation, entry.batch_id) <= (incarnation, batch_id):
            self.drop(key)

    def on_not_owner(self, key, owner, incarnation, batch_id):
        """Learn that ``owner`` doesn't own the flow.

        An entry for an earlier incarnation stays: the next packet of the
        flow tells its caller that the flow has ended.
        """
        known, _gone = self._incarnation_by_owner.get(owner, (0, False))
        if incarnation > known:
            self._incarnation_by_owner[owner] = (incarnation, False)
        entry = self._entries_by_key.get(key)
        if entry is not None and not self.is_ended(entry):
            self.release(key, owner, incarnation, batch_id)

    def on_member(self, now, owner, record):
        """Learn from the owner's record whether the owner has gone.

        :param record: the member record, or None when it is forgotten.
        """
        if record is None:
            return
        gone = record.state in (members.DEAD, members.LEFT)
        known, is_from_death = self._incarnation_by_owner.get(
            owner, (0, False)
        )
        lowest = record.incarnation + int(gone)
        # The owner may turn out to be alive after all.
        if lowest > known or is_from_death:
            self._incarnation_by_owner[owner] = (lowest, gone)
        if gone:
            self._purge_at_by_owner.setdefault(owner, now + self.idle_s)
        else:
            self._purge_at_by_owner.pop(owner, None)

    def is_ended(self, entry):
        """Whether the flow has ended with its owner."""
        return self.is_gone(entry.owner, entry.incarnation)

    def is_gone(self, owner, incarnation):
        """Whether an incarnation of a member is known to have gone."""
        lowest, _gone = self._incarnation_by_owner.get(owner, (0, False))
        return incarnation < lowest

    def tick(self, now):
        """Forget hints that were not confirmed, and dead owners' entries."""
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
