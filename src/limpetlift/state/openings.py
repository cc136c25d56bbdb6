"""New flows whose owner an agent still has to find out from other members."""

import heapq

import attrs

from limpetlift import defaults
from limpetlift.state import handover

_QUERY_WINDOW_S = defaults.OWNER_QUERY_RETRY_S * defaults.OWNER_QUERY_ATTEMPTS


@attrs.define
class Opening:
    """A new flow that this agent has claimed and not yet accepted.

    :param packets: packets that wait for the decision.
    :param final_deadline: when the decision is made even if more members are
        silent than permitted.
    :param deadline: when the answers are checked next.
    :param unanswered_ids: ids of members that were queried and have not
        answered.
    :param granted_ids: ids of members that answered that they know no other
        owner.
    :param incarnations_by_hinted_owner: owners that queried members named.
    """

    key: bytes
    bucket: int
    packets: list
    final_deadline: float
    deadline: float
    unanswered_ids: set = attrs.field(factory=set)
    granted_ids: set = attrs.field(factory=set)
    incarnations_by_hinted_owner: dict = attrs.field(factory=dict)

    @property
    def queried_ids(self):
        """Ids of all members that were queried."""
        return self.unanswered_ids | self.granted_ids

    @property
    def has_enough_answers(self):
        """Whether the answers suffice to exclude another owner.

        The owner and REDIRECT_COPIES other members know a flow, so an owner
        goes unnoticed only when all of them are silent.
        """
        max_silent = max(1, len(self.queried_ids) - 1)
        return len(self.unanswered_ids) <= min(
            max_silent, defaults.REDIRECT_COPIES
        )

    @property
    def hinted_owner(self):
        """``(id, incarnation)`` of an owner that a member named, or None.

        Members that answered that they are not the owner are left out.
        """
        for owner, incarnation in self.incarnations_by_hinted_owner.items():
            if owner not in self.granted_ids:
                return owner, incarnation
        return None


@attrs.define
class Openings:
    """The openings of one agent by flow key.

    :param transfers: the :class:`limpetlift.state.handover.EntryTransfers`.

    .. versionadded:: 0.1
    """

    transfers: object
    _openings_by_key: dict = attrs.field(factory=dict)
    _deadlines: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._openings_by_key)

    def __iter__(self):
        return iter(list(self._openings_by_key.values()))

    def get(self, key):
        """Return the opening for a key, or None."""
        return self._openings_by_key.get(key)

    def start(self, now, key, bucket, packet, queried_ids):
        """Create an opening, query members and return the opening.

        :param packet: first packet of the flow.
        :param queried_ids: ids of the members to query.
        """
        opening = Opening(
            key=key,
            bucket=bucket,
            packets=[packet],
            final_deadline=now + defaults.OWNER_QUERY_MAX_WAIT_S,
            deadline=now + _QUERY_WINDOW_S,
        )
        self._openings_by_key[key] = opening
        heapq.heappush(self._deadlines, (opening.deadline, key))
        for peer_id in queried_ids:
            self.query(now, opening, peer_id)
        return opening

    def query(self, now, opening, peer_id):
        """Query one more member; do nothing if it was queried before."""
        if peer_id not in opening.queried_ids:
            opening.unanswered_ids.add(peer_id)
            self.transfers.add(
                now, peer_id, opening.key, handover.CLAIM, urgent=True
            )

    def restart_wait(self, now, opening):
        """Start the time limits of an opening again, from now on."""
        opening.final_deadline = now + defaults.OWNER_QUERY_MAX_WAIT_S
        opening.deadline = now + _QUERY_WINDOW_S
        heapq.heappush(self._deadlines, (opening.deadline, opening.key))

    def withdraw(self, now, opening):
        """Remove an opening and release the claims at the queried members."""
        self._openings_by_key.pop(opening.key, None)
        for peer_id in sorted(opening.queried_ids):
            # With an entry for this agent, the peer would send packets of the
            # flow back.
            self.transfers.add(
                now, peer_id, opening.key, handover.RELEASE, urgent=True
            )

    def remove(self, opening):
        """Remove an opening whose flow is accepted."""
        self._openings_by_key.pop(opening.key, None)

    def due_openings(self, now):
        """Return the openings to decide on without further answers.

        Each member is queried OWNER_QUERY_ATTEMPTS times, even when the query
        was queued behind another batch.
        """
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, key = heapq.heappop(self._deadlines)
            opening = self._openings_by_key.get(key)
            if opening is None or opening.deadline != deadline:
                continue
            if now < opening.final_deadline and not self._is_complete(
                now, opening
            ):
                opening.deadline = now + defaults.OWNER_QUERY_RETRY_S
                heapq.heappush(self._deadlines, (opening.deadline, key))
            else:
                due.append(opening)
        return due

    def _is_complete(self, now, opening):
        """Whether enough members answered.

        The others must have been queried as often as required.
        """
        if not opening.has_enough_answers:
            return False
        return all(
            self.transfers.attempts_exhausted(now, peer_id, opening.key)
            for peer_id in opening.unanswered_ids
        )
