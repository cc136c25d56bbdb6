"""The condition under which a member of a roster may vote in a new epoch."""

import attrs

from limpetlift.coordination import roster as rosters


@attrs.define
class EpochSync:
    """Whether an agent is synced for the current epoch.

    An agent is synced for an epoch when one of two conditions holds for every
    earlier generation that the roster still lists:

    - It holds the votes of a read quorum of the generation's members, and
      they had left the generation before they sent their votes.
    - The generation and all earlier ones have been closed for
      ``retention_s``. A generation is closed when so many members have left
      it that no claim can start in it any more.

    Members are ``(id, incarnation)`` pairs.

    :param agent_id: id of this agent.
    :param incarnation: incarnation of this agent.
    :param retention_s: time for which a vote is held.
    :param roster: the current roster.
    :param synced: the last epoch for which this agent was synced.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    retention_s: float
    roster: rosters.Roster = attrs.field(factory=rosters.Roster)
    synced: int = 0
    # Generations before this epoch are covered already.
    _min_epoch: int = 0
    # Members whose votes this agent holds.
    _pulled_members: set = attrs.field(init=False, factory=set)
    # Members known to have left all epochs before the current one.
    _left_members: set = attrs.field(init=False, factory=set)
    _closed_at_by_epoch: dict = attrs.field(init=False, factory=dict)
    _synced_epoch_by_member: dict = attrs.field(init=False, factory=dict)

    @property
    def is_member(self):
        """Whether this incarnation is a member of the current epoch."""
        return self.roster.contains(self.agent_id, self.incarnation)

    @property
    def may_vote(self):
        """Whether this agent may vote in the current epoch."""
        return (
            self.is_member
            and self.roster.epoch > 0
            and self.synced == self.roster.epoch
        )

    @property
    def settled_epoch(self):
        """The last epoch for which a majority is known to be synced.

        Earlier generations may be left out of the next roster, because every
        read quorum of this generation contains a synced member.
        """
        self._record_own_epoch()
        return max(
            (
                generation.epoch
                for generation in (*self.roster.history, self.roster.current)
                if self._synced_count(generation) >= generation.majority
            ),
            default=0,
        )

    def unsynced_peers(self):
        """Return the ids of other members that are not known to be synced."""
        return [
            agent_id
            for agent_id, incarnation in (
                self.roster.current.incarnations_by_id.items()
            )
            if agent_id != self.agent_id
            and self._synced_epoch_by_member.get((agent_id, incarnation), 0)
            < self.roster.epoch
        ]

    def _synced_count(self, generation):
        return sum(
            self._synced_epoch_by_member.get(member, 0) >= generation.epoch
            for member in generation.members
        )

    def _record_own_epoch(self):
        self._synced_epoch_by_member[self.agent_id, self.incarnation] = (
            self.synced
        )

    def adopt(self, now, roster):
        """Move to the epoch of a later roster.

        Tables pulled for the earlier epoch do not count any more: generations
        may have been left out of the roster because of members that became
        synced only after their tables were pulled.
        """
        self.roster = roster
        self._min_epoch = self.synced
        myself = self.agent_id, self.incarnation
        self._pulled_members = {myself}
        self._left_members = {myself}
        generations = (*roster.history, roster.current)
        known = set().union(*(g.members for g in generations))
        self._synced_epoch_by_member = {
            member: epoch
            for member, epoch in self._synced_epoch_by_member.items()
            if member in known
        }
        self.advance(now)

    def on_member(self, now, member, epoch, synced):
        """Record the status of a member.

        :param member: its id and incarnation.
        :param epoch: its current epoch.
        :param synced: the last epoch for which it was synced.
        """
        known = self._synced_epoch_by_member.get(member, 0)
        self._synced_epoch_by_member[member] = max(known, synced)
        if epoch >= self.roster.epoch:
            self._left_members.add(member)
            self.advance(now)

    def on_table(self, now, member, synced):
        """Record that the vote table of a member was pulled completely.

        The member had left the earlier epochs before it sent the table.

        :param member: its id and incarnation.
        :param synced: the epoch for which the member was synced when it sent
            the first page. Its table includes the votes that it pulled for
            that epoch.
        """
        self._pulled_members.add(member)
        self._left_members.add(member)
        self._min_epoch = max(self._min_epoch, synced)
        self.advance(now)

    def advance(self, now):
        """Set ``synced`` if the condition holds now."""
        if self.roster.epoch == 0 or self.synced == self.roster.epoch:
            return
        self._update_closed(now)
        if all(self._is_covered(now, g) for g in self._needed_generations()):
            self.synced = self.roster.epoch

    def _needed_generations(self):
        return [g for g in self.roster.history if g.epoch >= self._min_epoch]

    def _is_covered(self, now, generation):
        if self._has_read_quorum(generation):
            return True
        closed_at = self._closed_at_by_epoch.get(generation.epoch)
        return closed_at is not None and now >= closed_at + self.retention_s

    def _has_read_quorum(self, generation):
        known = len(generation.members & self._pulled_members)
        return known >= generation.read_quorum

    def _update_closed(self, now):
        """Record which generations are closed, and since when.

        A generation counts as closed only after all earlier ones, because a
        later roster may leave out the earlier ones.
        """
        closed_at_by_epoch = {}
        for generation in self.roster.history:
            if not self._is_closed(generation):
                break
            closed_at_by_epoch[generation.epoch] = (
                self._closed_at_by_epoch.get(generation.epoch, now)
            )
        self._closed_at_by_epoch = closed_at_by_epoch

    def _is_closed(self, generation):
        if generation.epoch in self._closed_at_by_epoch:
            return True
        left_count = sum(
            member in self._left_members or self.roster.has_ended(*member)
            for member in generation.members
        )
        return left_count >= generation.read_quorum

    def pull_candidates(self):
        """Return the members whose vote tables are missing.

        :returns: the members, and how many of them are needed at least.
        """
        candidates = set()
        needed = 0
        for generation in self._needed_generations():
            if self._has_read_quorum(generation):
                continue
            known = generation.members & self._pulled_members
            needed = max(needed, generation.read_quorum - len(known))
            candidates |= generation.members - self._pulled_members
        alive = [m for m in candidates if not self.roster.has_ended(*m)]
        return sorted(alive), needed
