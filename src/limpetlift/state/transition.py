"""Changes of an agent's own member record.

The agent sends the new record to the other members in a ``Prepare`` message,
waits for their acknowledgements and then announces the record.
"""

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.state import actions


@attrs.define
class _Change:
    """A change of the record that is not announced yet.

    :param pending_ids: ids of members that have not acknowledged it.
    :param deadline: when it is announced without missing acknowledgements.
    :param retry_at: when ``Prepare`` is sent next.
    """

    record: members.Member
    pending_ids: set
    deadline: float
    retry_at: float


@attrs.define
class Transition:
    """The member record of an agent and the change in progress.

    :param member: the last announced record; at the start usually one in
        state ``joining``.
    :param slow_start_s: time in which the weight of a joining agent rises to
        the configured weight.
    :param draining: whether the agent leaves and accepts no new flows.
    :param in_doubt_until: until then, other members may use another view.

    .. versionadded:: 0.1
    """

    member: members.Member
    slow_start_s: float
    draining: bool = False
    in_doubt_until: float = 0.0
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
    def effective_record(self):
        """The record by which this agent decides on new flows.

        A change after which it accepts no new flows applies before it is
        announced.
        """
        if self.draining:
            return attrs.evolve(self.member, state=members.DRAINING)
        if self._change and not self._change.record.accepts_new_work:
            return self._change.record
        return self.member

    def join(self, now):
        """Accept new flows once the other members have prepared for it."""
        if self._joined_at is None:
            self._joined_at = now

    def set_weight(self, weight):
        """Change the configured weight."""
        self._weight = weight

    def drain(self):
        """Accept no new flows from now on."""
        self.draining = True

    def on_own_record(self, now, record):
        """Adopt the sequence of a newer version of the own record.

        The membership creates one when it refutes a suspicion.
        """
        if (
            record.incarnation == self.member.incarnation
            and record.sequence > self.member.sequence
        ):
            self.member = attrs.evolve(self.member, sequence=record.sequence)
            self.start_settling(now)

    def start_settling(self, now):
        """Assume for OWNERSHIP_SETTLE_S that the members' views differ."""
        self.in_doubt_until = now + defaults.OWNERSHIP_SETTLE_S

    def _desired_state_and_weight(self, now):
        """Return the state and the weight that the record should have."""
        if self.draining:
            return members.DRAINING, self.member.weight
        if self._joined_at is None:
            return self.member.state, self.member.weight
        return members.ACTIVE, self._weight * self._slow_start_factor(now)

    def _slow_start_factor(self, now):
        """Return the share of the configured weight to announce."""
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
            state, weight = self._desired_state_and_weight(now)
            if (state, weight) == (self.member.state, self.member.weight):
                return []
            change = self._start(now, state, weight, peer_ids)
        change.pending_ids &= set(peer_ids)
        if not change.pending_ids or now >= change.deadline:
            return self._announce(now, change)
        if now < change.retry_at:
            return []
        change.retry_at = now + defaults.PREPARE_RETRY_S
        message = messages.structs.Prepare(member=change.record.to_message())
        return [actions.Send(i, message) for i in sorted(change.pending_ids)]

    def _start(self, now, state, weight, peer_ids):
        record = attrs.evolve(
            self.member,
            state=state,
            weight=weight,
            sequence=self.member.sequence + 1,
        )
        self._change = _Change(
            record=record,
            pending_ids=set(peer_ids),
            deadline=now + defaults.PREPARE_TIMEOUT_S,
            retry_at=now,
        )
        return self._change

    def on_ack(self, sender_id, sequence):
        """Record that a member is prepared for a change.

        The member acknowledges when the other members have acknowledged the
        redirect entries that it had to send because of the change.

        :param sequence: sequence of the prepared record.
        """
        change = self._change
        if change and change.record.sequence == sequence:
            change.pending_ids.discard(sender_id)

    def _announce(self, now, change):
        self._change = None
        before = self.member
        # A refutation may have used the sequence of the prepared record.
        sequence = max(change.record.sequence, before.sequence + 1)
        self.member = attrs.evolve(change.record, sequence=sequence)
        joined = self.member.accepts_new_work and not before.accepts_new_work
        if joined or self.member.weight > before.weight:
            self.start_settling(now)
        return [actions.Announce(self.member)]
