"""When a member of a roster knows enough to vote in a new epoch."""

import attrs

from limpetlift.coordination import roster as rosters


@attrs.define
class EpochSync:
    """What one agent knows about the epochs before the current one.

    An agent is synced for an epoch when, for every earlier generation that
    the roster still lists, either it holds the votes of a read quorum of
    members that had left the generation (``informed``), or no claim of the
    generation and of those before it could start for ``retention_s``
    (``sealed``).

    :param retention_s: seconds for which a vote matters.

    .. versionadded:: 0.1
    """

    agent_id: str
    incarnation: int
    retention_s: float
    roster: rosters.Roster = attrs.field(factory=rosters.Roster)
    synced: int = 0
    _floor: int = 0
    _informed: set = attrs.field(init=False, factory=set)
    _left: set = attrs.field(init=False, factory=set)
    _sealed_at_by_epoch: dict = attrs.field(init=False, factory=dict)
    _synced_by_member: dict = attrs.field(init=False, factory=dict)

    @property
    def is_member(self):
        """Whether this incarnation belongs to the current epoch."""
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
        """The newest epoch of which a majority is known to be synced.

        Generations before it may be left out of the next roster: every read
        quorum of the settled generation contains a synced member.
        """
        self._note_self()
        return max(
            (
                generation.epoch
                for generation in (*self.roster.history, self.roster.current)
                if self._synced_count(generation) >= generation.majority
            ),
            default=0,
        )

    def unsynced_peers(self):
        """Return the ids of members not known to be synced."""
        return [
            agent_id
            for agent_id, incarnation in (
                self.roster.current.incarnations_by_id.items()
            )
            if agent_id != self.agent_id
            and self._synced_by_member.get((agent_id, incarnation), 0)
            < self.roster.epoch
        ]

    def _synced_count(self, generation):
        return sum(
            self._synced_by_member.get(member, 0) >= generation.epoch
            for member in generation.members
        )

    def _note_self(self):
        self._synced_by_member[self.agent_id, self.incarnation] = self.synced

    def adopt(self, now, roster):
        """Move to a later epoch.

        Tables pulled for the epoch before do not count again: the roster may
        rest on members that were synced only after they were pulled.
        """
        self.roster = roster
        self._floor = self.synced
        myself = self.agent_id, self.incarnation
        self._informed = {myself}
        self._left = {myself}
        generations = (*roster.history, roster.current)
        known = set().union(*(g.members for g in generations))
        self._synced_by_member = {
            member: epoch
            for member, epoch in self._synced_by_member.items()
            if member in known
        }
        self.advance(now)

    def on_member(self, now, member, epoch, synced):
        """A member told its current epoch and the one it is synced for."""
        known = self._synced_by_member.get(member, 0)
        self._synced_by_member[member] = max(known, synced)
        if epoch >= self.roster.epoch:
            self._left.add(member)
            self.advance(now)

    def on_table(self, now, member, synced):
        """All votes of a member that has left the earlier epochs are here.

        :param synced: the epoch the member was synced for before its first
            page; its table includes what it learnt then.
        """
        self._informed.add(member)
        self._left.add(member)
        self._floor = max(self._floor, synced)
        self.advance(now)

    def advance(self, now):
        """Check whether the agent is synced now."""
        if self.roster.epoch == 0 or self.synced == self.roster.epoch:
            return
        self._note_sealed(now)
        if all(self._is_covered(now, g) for g in self._needed()):
            self.synced = self.roster.epoch

    def _needed(self):
        return [g for g in self.roster.history if g.epoch >= self._floor]

    def _is_covered(self, now, generation):
        if self._is_informed(generation):
            return True
        sealed_at = self._sealed_at_by_epoch.get(generation.epoch)
        return sealed_at is not None and now >= sealed_at + self.retention_s

    def _is_informed(self, generation):
        known = len(generation.members & self._informed)
        return known >= generation.read_quorum

    def _note_sealed(self, now):
        """Note the generations in which no claim can start any more.

        A generation counts only after all earlier ones, because a later
        roster may leave out the earlier ones.
        """
        sealed_at_by_epoch = {}
        for generation in self.roster.history:
            if not self._is_sealed(generation):
                break
            sealed_at_by_epoch[generation.epoch] = (
                self._sealed_at_by_epoch.get(generation.epoch, now)
            )
        self._sealed_at_by_epoch = sealed_at_by_epoch

    def _is_sealed(self, generation):
        if generation.epoch in self._sealed_at_by_epoch:
            return True
        gone = sum(
            member in self._left or self.roster.has_ended(*member)
            for member in generation.members
        )
        return gone >= generation.read_quorum

    def pull_candidates(self):
        """Return ``(members to pull from, how many are needed at least)``."""
        candidates = set()
        needed = 0
        for generation in self._needed():
            if self._is_informed(generation):
                continue
            known = generation.members & self._informed
            needed = max(needed, generation.read_quorum - len(known))
            candidates |= generation.members - self._informed
        alive = [m for m in candidates if not self.roster.has_ended(*m)]
        return sorted(alive), needed
