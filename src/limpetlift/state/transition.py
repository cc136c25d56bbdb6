"""How an agent changes its own record: prepare, wait, announce."""

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.state import actions


@attrs.define
class _Change:
    """A change that the other members are preparing for."""

    record: members.Member
    waiting: set
    deadline: float
    retry_at: float


@attrs.define
class Transition:
    """The author of one agent's member record.

    :param member: the record at start, usually ``joining``.
    :param slow_start_s: time in which the weight of a joining agent rises.

    .. versionadded:: 0.1
    """

    member: members.Member
    slow_start_s: float
    draining: bool = False
    doubt_until: float = 0.0
    _weight: float = attrs.field(init=False)
    _joined_at: float = None
    _change: _Change = None

    def __attrs_post_init__(self):
        self._weight = self.member.weight

    @property
    def is_drained(self):
        """Whether the drain has been announced."""
        return self.member.state == members.DRAINING and not self._change

    @property
    def effective(self):
        """The record as it applies to new flows of this agent.

        A withdrawal applies before it is announced.
        """
        if self.draining:
            return attrs.evolve(self.member, state=members.DRAINING)
        if self._change and not self._change.record.accepts_new_work:
            return self._change.record
        return self.member

    def join(self, now):
        """Take new flows as soon as the others are prepared."""
        if self._joined_at is None:
            self._joined_at = now

    def set_weight(self, weight):
        """Change the configured weight."""
        self._weight = weight

    def drain(self):
        """Take no new flows from now on."""
        self.draining = True

    def on_own_record(self, now, record):
        """Adopt a newer version of the own record, such as a refutation."""
        if (
            record.incarnation == self.member.incarnation
            and record.sequence > self.member.sequence
        ):
            self.member = attrs.evolve(self.member, sequence=record.sequence)
            self.settle(now)

    def settle(self, now):
        """Be in doubt for a while."""
        self.doubt_until = now + defaults.OWNERSHIP_SETTLE_S

    def _wanted(self, now):
        """Return the state and weight that the record should have."""
        if self.draining:
            return members.DRAINING, self.member.weight
        if self._joined_at is None:
            return self.member.state, self.member.weight
        return members.ACTIVE, self._weight * self._fraction(now)

    def _fraction(self, now):
        if self.slow_start_s <= 0:
            return 1.0
        steps = defaults.SLOW_START_STEPS
        passed = int((now - self._joined_at) * steps / self.slow_start_s)
        rise = (1.0 - defaults.SLOW_START_INITIAL_WEIGHT) / (steps - 1)
        return min(1.0, defaults.SLOW_START_INITIAL_WEIGHT + passed * rise)

    def tick(self, now, peer_ids):
        """Return actions for the change that is due or in progress.

        :param peer_ids: ids of the other live members.
        """
        change = self._change
        if change and self.draining and change.record.accepts_new_work:
            change = self._change = None
        if change is None:
            state, weight = self._wanted(now)
            if (state, weight) == (self.member.state, self.member.weight):
                return []
            change = self._start(now, state, weight, peer_ids)
        change.waiting &= set(peer_ids)
        if not change.waiting or now >= change.deadline:
            return self._announce(now, change)
        if now < change.retry_at:
            return []
        change.retry_at = now + defaults.PREPARE_RETRY_S
        message = messages.structs.Prepare(member=change.record.to_message())
        return [actions.Send(i, message) for i in sorted(change.waiting)]

    def _start(self, now, state, weight, peer_ids):
        record = attrs.evolve(
            self.member,
            state=state,
            weight=weight,
            sequence=self.member.sequence + 1,
        )
        self._change = _Change(
            record=record,
            waiting=set(peer_ids),
            deadline=now + defaults.PREPARE_TIMEOUT_S,
            retry_at=now,
        )
        return self._change

    def on_ack(self, sender_id, sequence):
        """A member has handed over what would move."""
        change = self._change
        if change and change.record.sequence == sequence:
            change.waiting.discard(sender_id)

    def _announce(self, now, change):
        self._change = None
        before = self.member
        # A refutation may have used the prepared sequence meanwhile.
        sequence = max(change.record.sequence, before.sequence + 1)
        self.member = attrs.evolve(change.record, sequence=sequence)
        joined = self.member.accepts_new_work and not before.accepts_new_work
        if joined or self.member.weight > before.weight:
            self.settle(now)
        return [actions.Announce(self.member)]
