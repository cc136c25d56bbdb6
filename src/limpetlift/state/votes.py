"""The votes on idempotency keys that one agent stores.

An agent stores the votes that it has cast itself and those that it has pulled
from other members after a change of the roster.
"""

import bisect
import heapq

import attrs

from limpetlift import defaults
from limpetlift.protocol import messages

# Upper bound of the encoded size of a vote without its agent id.
_MAX_VOTE_BYTES = 56


@attrs.frozen
class Holder:
    """A claim that may hold its key, that is, may have a majority of votes.

    :param claimer: id of the agent that made the claim.
    :param incarnation: incarnation of that agent.
    :param claim_id: unique among all claims of all incarnations of the agent.
    """

    claimer: str
    incarnation: int
    claim_id: int


@attrs.define
class _Record:
    """All claims for one key that are not known to be abandoned.

    There can be more than one only after a change of epoch, if members of the
    earlier epoch voted for different claims.

    :param claim_ids_by_claimer: ``(agent id, incarnation)`` -> claim id.
    :param expires_at: time at which the record is dropped.
    :param serial: position in the order of the pages.
    """

    claim_ids_by_claimer: dict
    expires_at: float
    serial: int


@attrs.define
class VoteStore:
    """Votes by key, which expire and can be read page by page.

    A record keeps its position in the order of the pages until a claim of
    another agent is added to it.

    :param retention_s: time for which a vote is stored.

    .. versionadded:: 0.1
    """

    retention_s: float
    _records_by_key: dict = attrs.field(init=False, factory=dict)
    _keys_by_serial: dict = attrs.field(init=False, factory=dict)
    # In ascending order; those of removed or moved records stay here until
    # they outnumber the valid ones.
    _serials: list = attrs.field(init=False, factory=list)
    _expiries: list = attrs.field(init=False, factory=list)
    _last_serial: int = attrs.field(init=False, default=0)

    def __len__(self):
        return len(self._records_by_key)

    def holders(self, key):
        """Return a :class:`Holder` for each claim that may hold ``key``."""
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
        """Store a vote for a claim.

        A later claim of the same incarnation replaces its earlier one: an
        agent has at most one live claim for a key.

        :param holder: the :class:`Holder` that the vote is for.
        :param age_s: time since the vote was cast. An expired vote is not
            stored.
        """
        expires_at = now - age_s + self.retention_s
        if expires_at <= now:
            return
        record = self._records_by_key.get(key)
        if record is None:
            record = _Record({}, 0.0, 0)
            self._records_by_key[key] = record
        claimer = holder.claimer, holder.incarnation
        known_claim_id = record.claim_ids_by_claimer.get(claimer, -1)
        record.claim_ids_by_claimer[claimer] = max(
            known_claim_id, holder.claim_id
        )
        if expires_at > record.expires_at:
            record.expires_at = expires_at
            heapq.heappush(self._expiries, (expires_at, key))
        if known_claim_id < 0:
            self._move_to_end(key, record)

    def _move_to_end(self, key, record):
        """Move the record to the last page.

        Members that are reading the pages at the moment then receive the
        added claim too.
        """
        self._keys_by_serial.pop(record.serial, None)
        self._last_serial += 1
        record.serial = self._last_serial
        self._keys_by_serial[record.serial] = key
        self._serials.append(record.serial)
        if len(self._serials) > 2 * len(self._keys_by_serial) + 64:
            self._serials = sorted(self._keys_by_serial)

    def release(self, key, claimer, incarnation, claim_id):
        """Remove an abandoned claim and earlier ones of its incarnation."""
        record = self._records_by_key.get(key)
        if record is None:
            return
        known_claim_id = record.claim_ids_by_claimer.get(
            (claimer, incarnation)
        )
        if known_claim_id is None or known_claim_id > claim_id:
            return
        del record.claim_ids_by_claimer[claimer, incarnation]
        if not record.claim_ids_by_claimer:
            self._remove_record(key)

    def _remove_record(self, key):
        record = self._records_by_key.pop(key)
        self._keys_by_serial.pop(record.serial, None)

    def expire(self, now):
        """Drop the records whose retention time is over."""
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            record = self._records_by_key.get(key)
            if record is not None and record.expires_at <= now:
                self._remove_record(key)

    def page(self, now, cursor):
        """Return ``(votes, next cursor, whether it is the last page)``.

        All votes for a key are on the same page.

        :param cursor: 0, or the next cursor of the page before.
        """
        free_bytes = defaults.MAX_PAGE_BYTES
        page_votes = []
        index = bisect.bisect_right(self._serials, cursor)
        while index < len(self._serials):
            serial = self._serials[index]
            key = self._keys_by_serial.get(serial)
            if key is not None:
                encoded = self._encode_votes(now, key)
                size_bytes = sum(
                    _MAX_VOTE_BYTES + len(vote.claimer.encode("utf-8"))
                    for vote in encoded
                )
                if page_votes and size_bytes > free_bytes:
                    return page_votes, cursor, False
                page_votes += encoded
                free_bytes -= size_bytes
            cursor = serial
            index += 1
        return page_votes, cursor, True

    def _encode_votes(self, now, key):
        """Return the votes for ``key`` as messages, with their current age."""
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
