"""The votes that one agent has cast or learnt, by key."""

import bisect
import heapq

import attrs

from limpetlift import defaults
from limpetlift.protocol import messages

# Encoded size of a vote without its agent id, an upper bound.
_VOTE_BYTES = 56


@attrs.frozen
class Holder:
    """A claim that may have won its key.

    :param claim_id: unique among all claims of all incarnations of the agent.
    """

    claimer: str
    incarnation: int
    claim_id: int


@attrs.define
class _Record:
    """All claims for one key that are not known to be abandoned.

    More than one is possible only after a change of epoch, when members of
    the earlier epoch had voted for different claims.
    """

    claim_ids_by_claimer: dict
    expires_at: float
    serial: int


@attrs.define
class VoteBook:
    """Votes with expiry and with pages in a stable order.

    :param retention_s: seconds for which a vote is held.

    .. versionadded:: 0.1
    """

    retention_s: float
    _records_by_key: dict = attrs.field(init=False, factory=dict)
    _keys_by_serial: dict = attrs.field(init=False, factory=dict)
    _serials: list = attrs.field(init=False, factory=list)
    _expiries: list = attrs.field(init=False, factory=list)
    _last_serial: int = attrs.field(init=False, default=0)

    def __len__(self):
        return len(self._records_by_key)

    def holders(self, key):
        """Return the claims that may hold ``key``."""
        record = self._records_by_key.get(key)
        if record is None:
            return []
        return [
            Holder(claimer, incarnation, claim_id)
            for (claimer, incarnation), claim_id in (
                record.claim_ids_by_claimer.items()
            )
        ]

    def add(self, now, key, holder, age_s=0.0):
        """Record a vote.

        A later claim of the same incarnation replaces its earlier one: an
        agent has at most one live claim for a key.
        """
        expires_at = now - age_s + self.retention_s
        if expires_at <= now:
            return
        record = self._records_by_key.get(key)
        if record is None:
            record = _Record({}, 0.0, 0)
            self._records_by_key[key] = record
        claimer = holder.claimer, holder.incarnation
        known = record.claim_ids_by_claimer.get(claimer, -1)
        record.claim_ids_by_claimer[claimer] = max(known, holder.claim_id)
        if expires_at > record.expires_at:
            record.expires_at = expires_at
            heapq.heappush(self._expiries, (expires_at, key))
        if known < 0:
            self._renumber(key, record)

    def _renumber(self, key, record):
        """Move the record to the end, so that running pulls include it."""
        self._keys_by_serial.pop(record.serial, None)
        self._last_serial += 1
        record.serial = self._last_serial
        self._keys_by_serial[record.serial] = key
        self._serials.append(record.serial)
        if len(self._serials) > 2 * len(self._keys_by_serial) + 64:
            self._serials = sorted(self._keys_by_serial)

    def release(self, key, claimer, incarnation, claim_id):
        """Forget an abandoned claim and the earlier ones of its agent."""
        record = self._records_by_key.get(key)
        if record is None:
            return
        known = record.claim_ids_by_claimer.get((claimer, incarnation))
        if known is None or known > claim_id:
            return
        del record.claim_ids_by_claimer[claimer, incarnation]
        if not record.claim_ids_by_claimer:
            self._drop(key)

    def _drop(self, key):
        record = self._records_by_key.pop(key)
        self._keys_by_serial.pop(record.serial, None)

    def expire(self, now):
        """Drop the records whose time is over."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records_by_key.get(key)
            if record is not None and record.expires_at <= now:
                self._drop(key)

    def page(self, now, cursor):
        """Return ``(votes, next cursor, whether it is the last page)``.

        :param cursor: 0, or the next cursor of the page before.
        """
        room = defaults.MAX_PAGE_BYTES
        votes = []
        index = bisect.bisect_right(self._serials, cursor)
        while index < len(self._serials):
            serial = self._serials[index]
            key = self._keys_by_serial.get(serial)
            if key is not None:
                found = self._encode(now, key)
                size = sum(
                    _VOTE_BYTES + len(vote.claimer.encode("utf-8"))
                    for vote in found
                )
                if votes and size > room:
                    return votes, cursor, False
                votes += found
                room -= size
            cursor = serial
            index += 1
        return votes, cursor, True

    def _encode(self, now, key):
        record = self._records_by_key[key]
        age_s = max(0.0, now + self.retention_s - record.expires_at)
        return [
            messages.structs.Vote(
                key=key,
                claimer=holder.claimer,
                claimer_incarnation=holder.incarnation,
                claim_id=holder.claim_id,
                age_ms=int(age_s * 1000),
            )
            for holder in self.holders(key)
        ]
