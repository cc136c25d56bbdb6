"""New flows for which an agent waits for the answers of other members."""

import heapq

import attrs

from limpetlift import defaults
from limpetlift.state import handover

_WINDOW_S = defaults.OWNER_QUERY_RETRY_S * defaults.OWNER_QUERY_ATTEMPTS


@attrs.define
class Opening:
    """A flow that is not yet accepted.

    :param packets: the packets that wait for the decision.
    :param unanswered: ids of members that were asked and did not answer.
    :param granted: ids of members that know no other owner.
    :param hints: incarnations by id of owners that members named.
    """

    key: bytes
    bucket: int
    packets: list
    limit: float
    deadline: float
    unanswered: set = attrs.field(factory=set)
    granted: set = attrs.field(factory=set)
    hints: dict = attrs.field(factory=dict)

    @property
    def asked(self):
        """Ids of all members that were asked."""
        return self.unanswered | self.granted

    @property
    def rules_out_owner(self):
        """Whether an owner, if there is one, must have been noticed.

        The owner and REDIRECT_COPIES others know of a flow, so not all of
        them may be silent.
        """
        spare = max(1, len(self.asked) - 1)
        return len(self.unanswered) <= min(spare, defaults.REDIRECT_COPIES)

    @property
    def hinted_owner(self):
        """``(id, incarnation)`` of an owner that has not denied, or None."""
        for owner, incarnation in self.hints.items():
            if owner not in self.granted:
                return owner, incarnation
        return None


@attrs.define
class Openings:
    """Openings by flow key.

    :param mail: the :class:`limpetlift.state.handover.Mail`.

    .. versionadded:: 0.1
    """

    mail: object
    _openings_by_key: dict = attrs.field(factory=dict)
    _deadlines: list = attrs.field(factory=list)

    def __len__(self):
        return len(self._openings_by_key)

    def __iter__(self):
        return iter(list(self._openings_by_key.values()))

    def get(self, key):
        """Return the opening for a key, or None."""
        return self._openings_by_key.get(key)

    def start(self, now, key, bucket, packet, asked):
        """Ask the members ``asked`` and return the opening."""
        opening = Opening(
            key=key,
            bucket=bucket,
            packets=[packet],
            limit=now + defaults.OWNER_QUERY_MAX_WAIT_S,
            deadline=now + _WINDOW_S,
        )
        self._openings_by_key[key] = opening
        heapq.heappush(self._deadlines, (opening.deadline, key))
        for peer_id in asked:
            self.ask(now, opening, peer_id)
        return opening

    def ask(self, now, opening, peer_id):
        """Ask one more member."""
        if peer_id not in opening.asked:
            opening.unanswered.add(peer_id)
            self.mail.add(
                now, peer_id, opening.key, handover.CLAIM, urgent=True
            )

    def extend(self, now, opening):
        """Wait for the full time from now on."""
        opening.limit = now + defaults.OWNER_QUERY_MAX_WAIT_S
        opening.deadline = now + _WINDOW_S
        heapq.heappush(self._deadlines, (opening.deadline, opening.key))

    def withdraw(self, now, opening):
        """Forget an opening and let the asked members forget it."""
        self._openings_by_key.pop(opening.key, None)
        for peer_id in sorted(opening.asked):
            # The packets of the flow must not come back from the peer.
            self.mail.add(
                now, peer_id, opening.key, handover.RELEASE, urgent=True
            )

    def finish(self, opening):
        """Forget an opening whose flow is accepted."""
        self._openings_by_key.pop(opening.key, None)

    def expired(self, now):
        """Return the openings that have waited long enough.

        Each member is asked OWNER_QUERY_ATTEMPTS times, even when the
        question had to queue behind another batch.
        """
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            deadline, key = heapq.heappop(self._deadlines)
            opening = self._openings_by_key.get(key)
            if opening is None or opening.deadline != deadline:
                continue
            if now < opening.limit and not self._is_answered(now, opening):
                opening.deadline = now + defaults.OWNER_QUERY_RETRY_S
                heapq.heappush(self._deadlines, (opening.deadline, key))
            else:
                expired.append(opening)
        return expired

    def _is_answered(self, now, opening):
        """Whether enough members answered and the others were asked."""
        if not opening.rules_out_owner:
            return False
        return all(
            self.mail.is_tried(now, peer_id, opening.key)
            for peer_id in opening.unanswered
        )
