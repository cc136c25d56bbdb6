"""Handling of the control messages about flow ownership."""

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
# Ages of flows that differ by less are taken as equal.
_AGE_TOLERANCE_MS = 1000

_handlers_by_kind = {}


@attrs.define
class _PendingAck:
    """An acknowledgement of a ``Prepare`` that has not been sent yet.

    :param sender_id: id of the member that sent the ``Prepare``.
    :param sequence: sequence of the prepared record.
    :param checkpoint: covers the entries sent because of the record; None
        until they are queued.
    """

    sender_id: str
    sequence: int
    checkpoint: list = None


@attrs.define
class Handlers:
    """The handlers of the messages, one method for each kind.

    :param flow_state: the :class:`limpetlift.state.ownership.Ownership`.

    .. versionadded:: 0.1
    """

    flow_state: object
    _pending_acks: list = attrs.field(factory=list)

    def handle(self, now, sender_id, message):
        """Handle a message and return actions.

        Messages of other kinds are ignored.
        """
        handler = _handlers_by_kind.get(type(message).__name__)
        return handler(self, now, sender_id, message) if handler else []

    @registry.register(_handlers_by_kind, "Prepare")
    def _on_prepare(self, now, sender_id, message):
        record = members.from_message(message.member)
        if record.agent_id != sender_id:
            return []
        deadline = now + defaults.PREPARED_RECORD_TTL_S
        if self.flow_state.view.prepare(record, deadline):
            self.flow_state.rebuild(now)
            self._drop_pending_acks(sender_id)
            pending = _PendingAck(sender_id, record.sequence)
            self._pending_acks.append(pending)
        elif not self._is_ack_pending(sender_id, record.sequence):
            return [_prepare_ack(sender_id, record.sequence)]
        return self.acknowledge_prepared(now)

    def _drop_pending_acks(self, sender_id):
        self._pending_acks = [
            w for w in self._pending_acks if w.sender_id != sender_id
        ]

    def _is_ack_pending(self, sender_id, sequence):
        return any(
            (w.sender_id, w.sequence) == (sender_id, sequence)
            for w in self._pending_acks
        )

    def acknowledge_prepared(self, now):
        """Acknowledge prepared records whose entries have been transferred.

        These are the entries that their members need for open flows here.
        """
        if not self._pending_acks or not self.flow_state.own_flows.is_renewed:
            return []
        steps, remaining = [], []
        for pending in self._pending_acks:
            if pending.checkpoint is None:
                pending.checkpoint = self.flow_state.transfers.checkpoint()
            if self.flow_state.transfers.is_checkpoint_reached(
                pending.checkpoint
            ):
                steps.append(_prepare_ack(pending.sender_id, pending.sequence))
            else:
                remaining.append(pending)
        self._pending_acks = remaining
        return steps

    @registry.register(_handlers_by_kind, "PrepareAck")
    def _on_prepare_ack(self, now, sender_id, message):
        self.flow_state.transition.on_ack(sender_id, message.sequence)
        return []

    @registry.register(_handlers_by_kind, "RedirectBatch")
    def _on_batch(self, now, sender_id, batch):
        inbox = self.flow_state.transfers.inbox(sender_id)
        self._store_load(sender_id, batch.load)
        if inbox.is_repeat(batch):
            return [actions.Send(sender_id, inbox.ack)]
        if not inbox.is_new(batch):
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
            self.flow_state.redirects.release(
                key, sender_id, batch.incarnation, batch.batch_id
            )
        ack = messages.structs.RedirectAck(
            batch_id=batch.batch_id,
            incarnation=batch.incarnation,
            conflicts=conflicts,
            load=self.flow_state.load(),
        )
        inbox.store(batch, ack)
        return [actions.Send(sender_id, ack)] + steps

    def _store_load(self, sender_id, load):
        if load.placement_id == self.flow_state.view.placement_id:
            self.flow_state.loads.update(
                sender_id, load.flow_count, load.has_room
            )

    def _on_claim(self, now, sender_id, batch, redirect):
        """Handle a claim.

        :returns: a ``Conflict`` message or None, and actions.
        """
        flow_state, key = self.flow_state, redirect.flow_key
        opening = flow_state.openings.get(key)
        if key in flow_state.own_flows.flows_by_key:
            return self._own_conflict(key, _OWNED), []
        if opening is not None:
            if (
                flowview.preferred_owner(
                    flow_state.id, sender_id, opening.bucket
                )
                == flow_state.id
            ):
                return self._own_conflict(key, _ASKING), []
            return None, flow_state.yield_opening(
                now, opening, sender_id, batch
            )
        conflict = self._entry_conflict(key, sender_id, batch.incarnation)
        if conflict is None:
            flow_state.redirects.store(
                key, sender_id, batch.incarnation, batch.batch_id
            )
        return conflict, []

    def _entry_conflict(self, key, claimer, incarnation):
        """Return the conflict of a claim with a redirect entry, or None.

        :param incarnation: incarnation of the claimer.
        """
        redirects = self.flow_state.redirects
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
        """Return a conflict that names this agent."""
        return _conflict(
            key, self.flow_state.id, self.flow_state.incarnation, status
        )

    def _on_redirect(self, now, sender_id, batch, redirect):
        """Handle an entry of the owner of a flow.

        :returns: a ``Conflict`` message or None, and actions.
        """
        flow_state, key = self.flow_state, redirect.flow_key
        steps = []
        flow = flow_state.own_flows.flows_by_key.get(key)
        if flow is not None:
            if self._keeps_own_flow(now, flow, redirect.age_ms, sender_id):
                return self._own_conflict(key, _OWNED), []
            steps = self._supersede(now, key)
        opening = flow_state.openings.get(key)
        if opening is not None:
            return None, flow_state.yield_opening(
                now, opening, sender_id, batch
            )
        flow_state.redirects.store(
            key, sender_id, batch.incarnation, batch.batch_id
        )
        return None, steps

    def _keeps_own_flow(self, now, flow, age_ms, sender_id):
        """Whether this agent keeps a flow that the sender also accepted.

        The agent that accepted it earlier keeps it. The two ages were taken
        at different times, so the ids decide if the ages are nearly equal.

        :param age_ms: age of the flow at the sender.
        """
        own_age_ms = int((now - flow.opened_at) * 1000)
        if abs(own_age_ms - age_ms) < _AGE_TOLERANCE_MS:
            return self.flow_state.id < sender_id
        return own_age_ms > age_ms

    def _supersede(self, now, key):
        """End a flow that another agent has accepted as well."""
        self.flow_state.own_flows.close(now, key)
        return [actions.Close(key, "superseded")]

    @registry.register(_handlers_by_kind, "RedirectAck")
    def _on_ack(self, now, sender_id, ack):
        self._store_load(sender_id, ack.load)
        conflicts_by_key = {c.flow_key: c for c in ack.conflicts}
        steps = []
        for key, entry in self.flow_state.transfers.on_ack(sender_id, ack):
            if entry.released:
                continue
            conflict = conflicts_by_key.get(key)
            opening = self.flow_state.openings.get(key)
            flow = self.flow_state.own_flows.flows_by_key.get(key)
            if opening is not None and sender_id in opening.unanswered_ids:
                steps += self._on_claim_answer(
                    now, opening, sender_id, conflict
                )
            elif flow is not None and sender_id in flow.unacked_ids:
                flow.unacked_ids.discard(sender_id)
                if conflict is not None:
                    steps += self._resolve_late_conflict(
                        now, flow, sender_id, entry, conflict
                    )
        return steps + self.acknowledge_prepared(now)

    def _on_claim_answer(self, now, opening, sender_id, conflict):
        """Handle the answer of a member to a claim.

        :param conflict: a ``Conflict`` message, or None if it was granted.
        """
        opening.unanswered_ids.discard(sender_id)
        if conflict is None:
            opening.granted_ids.add(sender_id)
        elif conflict.status == _ENDED or self._has_owner_ended(conflict):
            self.flow_state.openings.withdraw(now, opening)
            return self.flow_state.end_flow(
                opening.key,
                conflict.owner,
                conflict.owner_incarnation,
                opening.packets[0],
            )
        elif conflict.owner == sender_id:
            return self.flow_state.redirect_opening(
                now, opening, conflict.owner, conflict.owner_incarnation
            )
        else:
            self._query_owner(now, opening, conflict)
        if opening.unanswered_ids:
            return []
        return self.flow_state.decide(now, opening)

    def _has_owner_ended(self, conflict):
        """Whether the owner that a conflict names has ended."""
        return self.flow_state.redirects.has_owner_ended(
            conflict.owner, conflict.owner_incarnation
        )

    def _query_owner(self, now, opening, conflict):
        """Query the owner that a queried member named."""
        owner = conflict.owner
        if owner in opening.incarnations_by_hinted_owner:
            return
        opening.incarnations_by_hinted_owner[owner] = (
            conflict.owner_incarnation
        )
        if self.flow_state.view.is_live(owner):
            self.flow_state.openings.query(now, opening, owner)
            self.flow_state.openings.restart_wait(now, opening)

    def _resolve_late_conflict(self, now, flow, sender_id, entry, conflict):
        """Handle a conflict about a flow that was accepted meanwhile.

        :param entry: the entry that the conflict answers.
        """
        if (
            entry is handover.CLAIM
            or conflict.owner != sender_id
            or conflict.status != _OWNED
        ):
            # The answer arrived too late, or the sender holds an old entry.
            self.flow_state.own_flows.send_entry(now, flow, sender_id)
            return []
        steps = self._supersede(now, flow.key)
        self.flow_state.redirects.store_hint(
            now, flow.key, conflict.owner, conflict.owner_incarnation
        )
        return steps

    @registry.register(_handlers_by_kind, "NotOwner")
    def _on_not_owner(self, now, sender_id, message):
        self.flow_state.redirects.on_not_owner(
            message.flow_key, sender_id, message.incarnation, message.batch_id
        )
        return []

    @registry.register(_handlers_by_kind, "FlowEnded")
    def _on_flow_ended(self, now, sender_id, message):
        entry = self.flow_state.redirects.get(message.flow_key)
        if entry is not None and (entry.owner, entry.incarnation) == (
            message.owner,
            message.owner_incarnation,
        ):
            self.flow_state.redirects.drop(message.flow_key)
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


# The kinds of messages that a task must pass to the handlers.
KINDS = tuple(_handlers_by_kind)
