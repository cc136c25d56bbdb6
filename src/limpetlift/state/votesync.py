"""The exchange of rosters and votes between the members of a service.

After a change of the roster, a member pulls the votes of members of earlier
epochs, page by page, before it votes in the new epoch.
"""

import zlib

import attrs

from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import epochs
from limpetlift.state import votes

_MAX_ROSTER_BYTES = 1024 * 1024
# Votes pulled from several members are merged, so the vote store may exceed
# the limit for votes that an agent grants. No page is merged when it holds
# this multiple of the limit.
_MERGE_FACTOR = 4


@attrs.define
class _Pull:
    """A pull of the votes of one member, page by page.

    :param member: ``(agent id, incarnation)``.
    :param pull_id: identifies the pull in its messages.
    :param cursor: cursor of the next page, 0 for the first.
    :param synced_epoch: the epoch that the member was synced for when it sent
        its first page, or None before that page.
    """

    member: tuple
    pull_id: int
    cursor: int = 0
    synced_epoch: int | None = None


@attrs.define
class VoteSync:
    """Pulls the votes that one agent needs to vote in the current epoch.

    :param incarnation: incarnation of the agent.
    :param vote_store: the agent's :class:`limpetlift.state.votes.VoteStore`.
    :param next_id: function that returns ids which no other incarnation of
        the agent uses.
    :param record_limit: the agent grants no votes for further keys when it
        stores votes for this many.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    vote_store: votes.VoteStore
    next_id: object
    record_limit: int
    epoch_sync: epochs.EpochSync = attrs.field(init=False)
    _pulls_by_member: dict = attrs.field(init=False, factory=dict)
    # Number of pulls beyond the necessary ones; grows with each timeout.
    _extra_pulls: int = attrs.field(init=False, default=0)
    _retry_pulls_at: float = attrs.field(init=False, default=0.0)
    _send_status_at: float = attrs.field(init=False, default=0.0)
    # The last epoch for which the peers were told that this agent is synced.
    _announced_epoch: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self):
        self.epoch_sync = epochs.EpochSync(
            self.agent_id, self.incarnation, self.vote_store.retention_s
        )

    @property
    def epoch(self):
        """Number of the current epoch, or 0 without a roster."""
        return self.epoch_sync.roster.epoch

    def peer_ids(self):
        """Return the ids of the other members of the current epoch."""
        return [
            agent_id
            for agent_id in self.epoch_sync.roster.current.incarnations_by_id
            if agent_id != self.agent_id
        ]

    def on_roster(self, now, roster):
        """Adopt a roster of a later epoch; return actions."""
        if roster.epoch <= self.epoch:
            return []
        self.epoch_sync.adopt(now, roster)
        self._pulls_by_member.clear()
        self._extra_pulls = 0
        self._send_status_at = now + defaults.ROSTER_STATUS_INTERVAL_S
        result = self._send_all(self.peer_ids(), self._status_message(False))
        return result + self._pull_or_announce(now)

    def _send_all(self, agent_ids, message):
        return [actions.Send(agent_id, message) for agent_id in agent_ids]

    def _status_message(self, ask):
        """Return a ``RosterStatus``; ``ask`` requests one in return."""
        return messages.structs.RosterStatus(
            epoch=self.epoch,
            synced=self.epoch_sync.synced,
            incarnation=self.incarnation,
            ask=ask,
        )

    def _pull_or_announce(self, now):
        """Announce that the agent is synced, or pull the missing votes."""
        self.epoch_sync.advance(now)
        if self.epoch_sync.synced == self.epoch:
            self._pulls_by_member.clear()
            if self._announced_epoch == self.epoch:
                return []
            self._announced_epoch = self.epoch
            return self._send_all(self.peer_ids(), self._status_message(False))
        if not self.epoch_sync.is_member:
            return []
        self._retry_pulls_at = now + defaults.VOTE_PULL_INTERVAL_S
        result = []
        candidates, needed_count = self.epoch_sync.pull_candidates()
        for member in candidates[: needed_count + self._extra_pulls]:
            if member not in self._pulls_by_member:
                pull = _Pull(member, self.next_id())
                self._pulls_by_member[member] = pull
                result.append(self._request_page(pull))
        return result

    def _request_page(self, pull):
        message = messages.structs.VotePull(
            epoch=self.epoch,
            cursor=pull.cursor,
            pull_id=pull.pull_id,
            incarnation=self.incarnation,
        )
        return actions.Send(pull.member[0], message)

    def tick(self, now):
        """Repeat unanswered messages that are due; return actions."""
        result = []
        if now >= self._send_status_at:
            self._send_status_at = now + defaults.ROSTER_STATUS_INTERVAL_S
            result += self._send_all(
                self.epoch_sync.unsynced_peers(), self._status_message(True)
            )
        if self.epoch_sync.synced == self.epoch or now < self._retry_pulls_at:
            return result
        self._extra_pulls += 1
        result += [
            self._request_page(p) for p in self._pulls_by_member.values()
        ]
        return result + self._pull_or_announce(now)

    def on_pull(self, now, sender, message):
        """Send one page of votes; return actions.

        An agent that is still in an earlier epoch than the sender sends none:
        it may cast further votes in that epoch.
        """
        if message.epoch > self.epoch:
            return [
                actions.ReadRoster(message.epoch),
                actions.Send(sender, self._status_message(False)),
            ]
        page, cursor, last = self.vote_store.page(now, message.cursor)
        table = messages.structs.VoteTable(
            epoch=self.epoch,
            cursor=message.cursor,
            last=last,
            votes=page,
            pull_id=message.pull_id,
            next_cursor=cursor,
            incarnation=self.incarnation,
            synced=self.epoch_sync.synced,
        )
        return [actions.Send(sender, table)] + self._reconcile_epochs(
            sender, message
        )

    def on_table(self, now, sender, message):
        """Store the votes of one page and request the next; return actions."""
        member = sender, message.incarnation
        pull = self._pulls_by_member.get(member)
        if (
            pull is None
            or pull.pull_id != message.pull_id
            or pull.cursor != message.cursor
            or message.epoch < self.epoch
            or len(self.vote_store) >= _MERGE_FACTOR * self.record_limit
        ):
            return self._reconcile_epochs(sender, message)
        for vote in message.votes:
            self._add_vote(now, vote)
        if pull.synced_epoch is None:
            pull.synced_epoch = message.synced
        pull.cursor = message.next_cursor
        if not message.last:
            return [self._request_page(pull)]
        del self._pulls_by_member[member]
        self.epoch_sync.on_table(now, member, pull.synced_epoch)
        return self._reconcile_epochs(
            sender, message
        ) + self._pull_or_announce(now)

    def _add_vote(self, now, vote):
        holder = votes.Holder(
            vote.claimer, vote.claimer_incarnation, vote.claim_id
        )
        self.vote_store.add(
            now, vote.key, holder, max(0.0, vote.age_ms / 1000)
        )

    def on_status(self, now, sender, message):
        """Record the epochs of another agent; return actions."""
        member = sender, message.incarnation
        self.epoch_sync.on_member(now, member, message.epoch, message.synced)
        result = self._reconcile_epochs(sender, message)
        if message.ask:
            result.append(actions.Send(sender, self._status_message(False)))
        if self.epoch_sync.synced < self.epoch:
            result += self._pull_or_announce(now)
        return result

    def _reconcile_epochs(self, sender, message):
        """Read a newer roster, or send this one to a sender that lags."""
        if message.epoch > self.epoch:
            return [actions.ReadRoster(message.epoch)]
        if message.epoch < self.epoch:
            return self.send_roster(sender)
        return []

    def send_roster(self, agent_id):
        """Send the roster to an agent that may not reach the store.

        A roster that does not fit in a datagram is not sent.
        """
        data = zlib.compress(rosters.encode(self.epoch_sync.roster))
        if len(data) > defaults.MAX_PAGE_BYTES:
            return []
        copy = messages.structs.RosterCopy(epoch=self.epoch, roster=data)
        return [actions.Send(agent_id, copy)]

    def on_copy(self, now, message):
        """Adopt a roster that another member sent; return actions.

        :raises StateError: when the message does not contain a roster of the
            epoch that it names.
        """
        if message.epoch <= self.epoch:
            return []
        roster = _decompress_roster(message.roster)
        if roster.epoch != message.epoch:
            raise exceptions.StateError(
                "roster copy for epoch %d contains epoch %d"
                % (message.epoch, roster.epoch)
            )
        return [actions.RosterAdopted(roster)] + self.on_roster(now, roster)


def _decompress_roster(data):
    try:
        content = zlib.decompressobj().decompress(data, _MAX_ROSTER_BYTES)
    except zlib.error as error:
        raise exceptions.StateError(
            "roster copy of %d bytes is not zlib data" % len(data)
        ) from error
    return rosters.decode(content)
