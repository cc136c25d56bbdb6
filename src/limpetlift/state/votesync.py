"""The exchange of rosters and vote tables between the members of a service."""

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
# Tables of several members are merged, so a book may outgrow its limit.
_MERGE_FACTOR = 4


@attrs.define
class _Pull:
    """A vote table that is being pulled page by page.

    :param synced: epoch named by the first page, or None before it.
    """

    member: tuple
    pull_id: int
    cursor: int = 0
    synced: int | None = None


@attrs.define
class VoteSync:
    """Brings one agent's vote book to the current epoch.

    :param book: a :class:`limpetlift.state.votes.VoteBook`.
    :param next_id: returns ids that no other incarnation uses.
    :param record_limit: bound of the vote book for granted votes.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    book: votes.VoteBook
    next_id: object
    record_limit: int
    progress: epochs.EpochSync = attrs.field(init=False)
    _pulls_by_member: dict = attrs.field(init=False, factory=dict)
    _extra_pulls: int = attrs.field(init=False, default=0)
    _pull_at: float = attrs.field(init=False, default=0.0)
    _status_at: float = attrs.field(init=False, default=0.0)
    _announced: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self):
        self.progress = epochs.EpochSync(
            self.agent_id, self.incarnation, self.book.retention_s
        )

    @property
    def epoch(self):
        """The current epoch, 0 without a roster."""
        return self.progress.roster.epoch

    def peers(self):
        """Return the ids of the other members of the current epoch."""
        return [
            agent_id
            for agent_id in self.progress.roster.current.incarnations_by_id
            if agent_id != self.agent_id
        ]

    def on_roster(self, now, roster):
        """Adopt a later roster; return actions."""
        if roster.epoch <= self.epoch:
            return []
        self.progress.adopt(now, roster)
        self._pulls_by_member.clear()
        self._extra_pulls = 0
        self._status_at = now + defaults.ROSTER_STATUS_INTERVAL_S
        result = self._send_all(self.peers(), self._status(False))
        return result + self._continue(now)

    def _send_all(self, agent_ids, message):
        return [actions.Send(agent_id, message) for agent_id in agent_ids]

    def _status(self, ask):
        return messages.structs.RosterStatus(
            epoch=self.epoch,
            synced=self.progress.synced,
            incarnation=self.incarnation,
            ask=ask,
        )

    def _continue(self, now):
        """Announce that the agent is synced, or pull what is missing."""
        self.progress.advance(now)
        if self.progress.synced == self.epoch:
            self._pulls_by_member.clear()
            if self._announced == self.epoch:
                return []
            self._announced = self.epoch
            return self._send_all(self.peers(), self._status(False))
        if not self.progress.is_member:
            return []
        self._pull_at = now + defaults.VOTE_PULL_INTERVAL_S
        result = []
        candidates, needed = self.progress.pull_candidates()
        for member in candidates[: needed + self._extra_pulls]:
            if member not in self._pulls_by_member:
                pull = _Pull(member, self.next_id())
                self._pulls_by_member[member] = pull
                result.append(self._request(pull))
        return result

    def _request(self, pull):
        message = messages.structs.VotePull(
            epoch=self.epoch,
            cursor=pull.cursor,
            pull_id=pull.pull_id,
            incarnation=self.incarnation,
        )
        return actions.Send(pull.member[0], message)

    def tick(self, now):
        """Repeat what was not answered; return actions."""
        result = []
        if now >= self._status_at:
            self._status_at = now + defaults.ROSTER_STATUS_INTERVAL_S
            result += self._send_all(
                self.progress.unsynced_peers(), self._status(True)
            )
        if self.progress.synced == self.epoch or now < self._pull_at:
            return result
        self._extra_pulls += 1
        result += [self._request(p) for p in self._pulls_by_member.values()]
        return result + self._continue(now)

    def on_pull(self, now, sender, message):
        """Answer one page, once this agent has left the earlier epochs."""
        if message.epoch > self.epoch:
            return [
                actions.ReadRoster(message.epoch),
                actions.Send(sender, self._status(False)),
            ]
        page, cursor, last = self.book.page(now, message.cursor)
        table = messages.structs.VoteTable(
            epoch=self.epoch,
            cursor=message.cursor,
            last=last,
            votes=page,
            pull_id=message.pull_id,
            next_cursor=cursor,
            incarnation=self.incarnation,
            synced=self.progress.synced,
        )
        return [actions.Send(sender, table)] + self._correct(sender, message)

    def on_table(self, now, sender, message):
        """Merge one page and ask for the next."""
        member = sender, message.incarnation
        pull = self._pulls_by_member.get(member)
        if (
            pull is None
            or pull.pull_id != message.pull_id
            or pull.cursor != message.cursor
            or message.epoch < self.epoch
            or len(self.book) >= _MERGE_FACTOR * self.record_limit
        ):
            return self._correct(sender, message)
        for vote in message.votes:
            self._merge(now, vote)
        if pull.synced is None:
            pull.synced = message.synced
        pull.cursor = message.next_cursor
        if not message.last:
            return [self._request(pull)]
        del self._pulls_by_member[member]
        self.progress.on_table(now, member, pull.synced)
        return self._correct(sender, message) + self._continue(now)

    def _merge(self, now, vote):
        holder = votes.Holder(
            vote.claimer, vote.claimer_incarnation, vote.claim_id
        )
        self.book.add(now, vote.key, holder, max(0.0, vote.age_ms / 1000))

    def on_status(self, now, sender, message):
        """Note the epoch of another agent; answer when asked."""
        member = sender, message.incarnation
        self.progress.on_member(now, member, message.epoch, message.synced)
        result = self._correct(sender, message)
        if message.ask:
            result.append(actions.Send(sender, self._status(False)))
        if self.progress.synced < self.epoch:
            result += self._continue(now)
        return result

    def _correct(self, sender, message):
        """Compare epochs with a sender; the one behind gets the roster."""
        if message.epoch > self.epoch:
            return [actions.ReadRoster(message.epoch)]
        if message.epoch < self.epoch:
            return self.copy_to(sender)
        return []

    def copy_to(self, agent_id):
        """Send the roster to an agent that may be cut off from the store."""
        data = zlib.compress(rosters.encode(self.progress.roster))
        if len(data) > defaults.MAX_PAGE_BYTES:
            return []
        copy = messages.structs.RosterCopy(epoch=self.epoch, roster=data)
        return [actions.Send(agent_id, copy)]

    def on_copy(self, now, message):
        """Adopt a roster from another member; return actions."""
        if message.epoch <= self.epoch:
            return []
        roster = _expand(message.roster)
        if roster.epoch != message.epoch:
            raise exceptions.StateError("roster of another epoch")
        return [actions.RosterAdopted(roster)] + self.on_roster(now, roster)


def _expand(data):
    try:
        content = zlib.decompressobj().decompress(data, _MAX_ROSTER_BYTES)
    except zlib.error as error:
        raise exceptions.StateError("roster is not compressed") from error
    return rosters.decode(content)
