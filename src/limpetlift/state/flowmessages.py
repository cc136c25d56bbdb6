"""Answers of an agent to the control messages about flows."""

import attrs

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift import registry
from limpetlift.state import actions
from limpetlift.state import flowview
from limpetlift.state import handover

_OWNED = "owned"
_ASKING = "asking"
_ENDED = "ended"
_CLOSE_AGE_MS = 1000

_handlers_by_kind = {}


@attrs.define
class _Waiting:
    """A member that waits for the acknowledgement of its ``Prepare``.

    :param mark: mark of the mail after the entries were renewed.
    """

    sender_id: str
    sequence: int
    mark: list = None


@attrs.define
class Handlers:
    """One method for each kind of message.

    :param parts: the :class:`limpetlift.state.ownership.Ownership`.

    .. versionadded:: 0.1
    """

    parts: object
    _waiting: list = attrs.field(factory=list)

    def handle(self, now, sender_id, message):
        """Return the actions that follow from a message."""
        handler = _handlers_by_kind.get(type(message).__name__)
        return handler(self, now, sender_id, message) if handler else []

    @registry.register(_handlers_by_kind, "Prepare")
    def _on_prepare(self, now, sender_id, message):
        record = members.from_message(message.member)
        if record.agent_id != sender_id:
            return []
        deadline = now + defaults.PREPARED_RECORD_TTL_S
        if self.parts.view.prepare(record, deadline):
            self.parts.rebuild(now)
            self._forget_waiting(sender_id)
            waiting = _Waiting(sender_id, record.sequence)
            self._waiting.append(waiting)
        elif not self._is_waiting(sender_id, record.sequence):
            return [_prepare_ack(sender_id, record.sequence)]
        return self.acknowledge_prepared(now)

    def _forget_waiting(self, sender_id):
        self._waiting = [w for w in self._waiting if w.sender_id != sender_id]

    def _is_waiting(self, sender_id, sequence):
        return any(
            (w.sender_id, w.sequence) == (sender_id, sequence)
            for w in self._waiting
        )

    def acknowledge_prepared(self, now):
        """Acknowledge where all entries have been handed over."""
        if not self._waiting or not self.parts.own.is_renewed:
            return []
        steps, waiting = [], []
        for waiter in self._waiting:
            if waiter.mark is None:
                waiter.mark = self.parts.mail.mark()
            if self.parts.mail.is_reached(waiter.mark):
                steps.append(_prepare_ack(waiter.sender_id, waiter.sequence))
            else:
                waiting.append(waiter)
        self._waiting = waiting
        return steps

    @registry.register(_handlers_by_kind, "PrepareAck")
    def _on_prepare_ack(self, now, sender_id, message):
        self.parts.transition.on_ack(sender_id, message.sequence)
        return []

    @registry.register(_handlers_by_kind, "RedirectBatch")
    def _on_batch(self, now, sender_id, batch):
        inbox = self.parts.mail.inbox(sender_id)
        self._store_load(sender_id, batch.load)
        if inbox.repeats(batch):
            return [actions.Send(sender_id, inbox.ack)]
        if not inbox.accepts(batch):
            return []
        conflicts, steps = [], []
        for redirect in batch.redirects:
            apply = (
                self._on_claim
                if handover.is_claim(redirect)
                else self._on_redirect
            )
            conflict, more = apply(now, sender_id, batch, redirect)
            steps += more
            if conflict is not None:
                conflicts.append(conflict)
        for key in batch.released:
            self.parts.redirects.release(
                key, sender_id, batch.incarnation, batch.batch_id
            )
        ack = messages.structs.RedirectAck(
            batch_id=batch.batch_id,
            incarnation=batch.incarnation,
            conflicts=conflicts,
            load=self.parts.load(),
        )
        inbox.store(batch, ack)
        return [actions.Send(sender_id, ack)] + steps

    def _store_load(self, sender_id, load):
        if load.placement_id == self.parts.view.placement_id:
            self.parts.loads.update(sender_id, load.flow_count, load.has_room)

    def _on_claim(self, now, sender_id, batch, redirect):
        """Return a conflict or None, and actions."""
        parts, key = self.parts, redirect.flow_key
        opening = parts.openings.get(key)
        if key in parts.own.flows_by_key:
            return self._own_conflict(key, _OWNED), []
        if opening is not None:
            if flowview.prior(parts.id, sender_id, opening.bucket) == parts.id:
                return self._own_conflict(key, _ASKING), []
            return None, parts.yield_to(now, opening, sender_id, batch)
        conflict = self._entry_conflict(key, sender_id, batch.incarnation)
        if conflict is None:
            parts.redirects.store(
                key, sender_id, batch.incarnation, batch.batch_id
            )
        return conflict, []

    def _entry_conflict(self, key, claimer, incarnation):
        """Return the conflict of a claim with an entry held here, or None."""
        redirects = self.parts.redirects
        entry = redirects.get(key)
        if entry is None:
            return None
        ended = redirects.is_ended(entry)
        if entry.owner == claimer:
            ended = entry.incarnation < incarnation
        if ended:
            redirects.drop(key)
        elif entry.owner == claimer:
            return None
        if ended and entry.is_hint:
            return None
        status = _ENDED if ended else _OWNED
        return _conflict(key, entry.owner, entry.incarnation, status)

    def _own_conflict(self, key, status):
        return _conflict(key, self.parts.id, self.parts.incarnation, status)

    def _on_redirect(self, now, sender_id, batch, redirect):
        """Return a conflict or None, and actions."""
        parts, key = self.parts, redirect.flow_key
        steps = []
        flow = parts.own.flows_by_key.get(key)
        if flow is not None:
            if self._is_senior(now, flow, redirect.age_ms, sender_id):
                return self._own_conflict(key, _OWNED), []
            steps = self._supersede(now, key)
        opening = parts.openings.get(key)
        if opening is not None:
            return None, parts.yield_to(now, opening, sender_id, batch)
        parts.redirects.store(
            key, sender_id, batch.incarnation, batch.batch_id
        )
        return None, steps

    def _is_senior(self, now, flow, age_ms, sender_id):
        """Whether an own flow stays, and that of the sender ends.

        The older one stays. Ages are compared at different times, so the ids
        decide when they are close.
        """
        own_age_ms = int((now - flow.opened_at) * 1000)
        if abs(own_age_ms - age_ms) < _CLOSE_AGE_MS:
            return self.parts.id < sender_id
        return own_age_ms > age_ms

    def _supersede(self, now, key):
        self.parts.own.close(now, key)
        return [actions.Close(key, "superseded")]

    @registry.register(_handlers_by_kind, "RedirectAck")
    def _on_ack(self, now, sender_id, ack):
        self._store_load(sender_id, ack.load)
        conflicts_by_key = {c.flow_key: c for c in ack.conflicts}
        steps = []
        for key, entry in self.parts.mail.on_ack(sender_id, ack):
            if entry.released:
                continue
            conflict = conflicts_by_key.get(key)
            opening = self.parts.openings.get(key)
            flow = self.parts.own.flows_by_key.get(key)
            if opening is not None and sender_id in opening.unanswered:
                steps += self._on_answer(now, opening, sender_id, conflict)
            elif flow is not None and sender_id in flow.unacked:
                flow.unacked.discard(sender_id)
                if conflict is not None:
                    steps += self._contest(
                        now, flow, sender_id, entry, conflict
                    )
        return steps + self.acknowledge_prepared(now)

    def _on_answer(self, now, opening, sender_id, conflict):
        """Take in the answer to a claim."""
        opening.unanswered.discard(sender_id)
        if conflict is None:
            opening.granted.add(sender_id)
        elif conflict.status == _ENDED or self._is_gone(conflict):
            self.parts.openings.withdraw(now, opening)
            return self.parts.end(
                opening.key,
                conflict.owner,
                conflict.owner_incarnation,
                opening.packets[0],
            )
        elif conflict.owner == sender_id:
            return self.parts.leave(
                now, opening, conflict.owner, conflict.owner_incarnation
            )
        else:
            self._ask_owner(now, opening, conflict)
        if opening.unanswered:
            return []
        return self.parts.decide(now, opening)

    def _is_gone(self, conflict):
        return self.parts.redirects.is_gone(
            conflict.owner, conflict.owner_incarnation
        )

    def _ask_owner(self, now, opening, conflict):
        """Ask the owner that another member named."""
        owner = conflict.owner
        if owner in opening.hints:
            return
        opening.hints[owner] = conflict.owner_incarnation
        if self.parts.view.is_live(owner):
            self.parts.openings.ask(now, opening, owner)
            self.parts.openings.extend(now, opening)

    def _contest(self, now, flow, sender_id, entry, conflict):
        """Answer a conflict about a flow that is accepted already."""
        if (
            entry is handover.CLAIM
            or conflict.owner != sender_id
            or conflict.status != _OWNED
        ):
            # The answer came late, or the sender had an old entry.
            self.parts.own.send_entry(now, flow, sender_id)
            return []
        steps = self._supersede(now, flow.key)
        self.parts.redirects.hint(
            now, flow.key, conflict.owner, conflict.owner_incarnation
        )
        return steps

    @registry.register(_handlers_by_kind, "NotOwner")
    def _on_not_owner(self, now, sender_id, message):
        self.parts.redirects.on_not_owner(
            message.flow_key, sender_id, message.incarnation, message.batch_id
        )
        return []

    @registry.register(_handlers_by_kind, "FlowEnded")
    def _on_flow_ended(self, now, sender_id, message):
        entry = self.parts.redirects.get(message.flow_key)
        if entry is not None and (entry.owner, entry.incarnation) == (
            message.owner,
            message.owner_incarnation,
        ):
            self.parts.redirects.drop(message.flow_key)
        return []


def _conflict(key, owner, incarnation, status):
    return messages.structs.Conflict(
        flow_key=key,
        owner=owner,
        owner_incarnation=incarnation,
        status=status,
    )


def _prepare_ack(receiver_id, sequence):
    return actions.Send(
        receiver_id, messages.structs.PrepareAck(sequence=sequence)
    )


# The messages that a task must hand to the handlers.
KINDS = tuple(_handlers_by_kind)
