"""Reliable, ordered transfer of redirect entries between agents.

Between two agents, at most one batch is in flight in each direction, so a
release cannot overtake the entry that it releases.
"""

import itertools

import attrs

from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.state import actions

# Age of a flow in a redirect that claims it.
_CLAIM_AGE_MS = -1


@attrs.frozen
class Entry:
    """What a peer is told about a flow.

    :param opened_at: when this agent accepted the flow; None in a claim, by
        which this agent asks whether it may accept the flow.
    :param released: whether the peer must delete its redirect entry for the
        flow.
    """

    opened_at: float = None
    released: bool = False


CLAIM = Entry()
RELEASE = Entry(released=True)


@attrs.define
class _Batch:
    """A batch that was sent and is not acknowledged yet."""

    batch_id: int
    entries_by_key: dict
    attempts: int = 0
    retry_at: float = 0.0


@attrs.define
class Outbox:
    """Entries that one peer has not acknowledged yet.

    :param incarnation: incarnation of this agent.
    :param batch_ids: iterator of increasing batch ids.
    :param queued_count: number of entries queued so far; one that replaces a
        queued entry does not count.
    :param acked_count: number of entries that the peer acknowledged.

    .. versionadded:: 0.1
    """

    incarnation: int
    batch_ids: object
    queued_count: int = 0
    acked_count: int = 0
    _entries_by_key: dict = attrs.field(factory=dict)
    _in_flight: _Batch = None
    _flush_at: float = None

    def add(self, now, key, entry, urgent=False):
        """Queue an entry; it replaces a queued entry for the same key.

        :param urgent: send at once when no batch is in flight, instead of
            after REDIRECT_BATCH_DELAY_S.
        """
        if key not in self._entries_by_key:
            self.queued_count += 1
        self._entries_by_key[key] = entry
        due_at = now if urgent else now + defaults.REDIRECT_BATCH_DELAY_S
        if self._flush_at is None or due_at < self._flush_at:
            self._flush_at = due_at

    def attempts_exhausted(self, now, key):
        """Whether the entry for ``key`` was sent OWNER_QUERY_ATTEMPTS times.

        The time to answer the last attempt must have passed as well. True if
        there is no entry that waits for an acknowledgement.
        """
        if key in self._entries_by_key:
            return False
        batch = self._in_flight
        if batch is None or key not in batch.entries_by_key:
            return True
        return (
            batch.attempts >= defaults.OWNER_QUERY_ATTEMPTS
            and now >= batch.retry_at
        )

    def pending_keys(self):
        """Return the keys of entries that are not acknowledged."""
        in_flight = self._in_flight.entries_by_key if self._in_flight else ()
        return [*in_flight, *self._entries_by_key]

    def tick(self, now, load):
        """Return the batch to send or repeat now, or None.

        :param load: the :class:`Load` message of this agent.
        """
        batch = self._in_flight
        if batch is None:
            if self._flush_at is None or now < self._flush_at:
                return None
            batch = self._start_batch(now)
        elif now < batch.retry_at:
            return None
        batch.attempts += 1
        doublings = max(0, batch.attempts - defaults.OWNER_QUERY_ATTEMPTS)
        delay = min(
            defaults.OWNER_QUERY_RETRY_S * 2 ** min(doublings, 10),
            defaults.REDIRECT_RETRY_MAX_S,
        )
        batch.retry_at = now + delay
        return self._message(now, batch, load)

    def _start_batch(self, now):
        keys = itertools.islice(
            self._entries_by_key, defaults.REDIRECTS_PER_BATCH
        )
        entries = {key: self._entries_by_key[key] for key in keys}
        for key in entries:
            del self._entries_by_key[key]
        self._flush_at = now if self._entries_by_key else None
        self._in_flight = _Batch(next(self.batch_ids), entries)
        return self._in_flight

    def _message(self, now, batch, load):
        structs = messages.structs
        redirects = [
            structs.Redirect(
                flow_key=key,
                age_ms=(
                    _CLAIM_AGE_MS
                    if entry.opened_at is None
                    else int((now - entry.opened_at) * 1000)
                ),
            )
            for key, entry in batch.entries_by_key.items()
            if not entry.released
        ]
        return structs.RedirectBatch(
            batch_id=batch.batch_id,
            incarnation=self.incarnation,
            redirects=redirects,
            released=[
                key
                for key, entry in batch.entries_by_key.items()
                if entry.released
            ],
            load=load,
        )

    def on_ack(self, batch_id):
        """Return the ``(key, entry)`` pairs that a batch acknowledges.

        A pair is omitted when a newer entry for its key is queued, because
        the answer would be mistaken for the answer to the newer entry.
        """
        batch = self._in_flight
        if batch is None or batch.batch_id != batch_id:
            return []
        self._in_flight = None
        self.acked_count += len(batch.entries_by_key)
        return [
            (key, entry)
            for key, entry in batch.entries_by_key.items()
            if key not in self._entries_by_key
        ]


@attrs.define
class Inbox:
    """The last batch received from one peer, and the answer to it.

    :param incarnation: incarnation of the peer when it sent the batch.
    :param ack: the :class:`RedirectAck` message that was sent.
    """

    incarnation: int = 0
    batch_id: int = 0
    ack: object = None

    def is_new(self, batch):
        """Whether the batch is newer than all received ones.

        Other batches must not be applied.
        """
        number = (batch.incarnation, batch.batch_id)
        return number > (self.incarnation, self.batch_id)

    def is_repeat(self, batch):
        """Whether the batch is the last received one.

        The peer repeats it when the acknowledgement was lost.
        """
        return (batch.incarnation, batch.batch_id) == (
            self.incarnation,
            self.batch_id,
        )

    def store(self, batch, ack):
        """Store the id of a batch that was applied, and the answer."""
        self.incarnation = batch.incarnation
        self.batch_id = batch.batch_id
        self.ack = ack


def is_claim(redirect):
    """Whether a redirect asks if its sender may accept the flow."""
    return redirect.age_ms < 0


@attrs.define
class EntryTransfers:
    """The outboxes and inboxes of one agent, by peer.

    :param incarnation: incarnation of this agent.
    :param last_batch_id: id of the last batch sent to any peer.

    .. versionadded:: 0.1
    """

    incarnation: int
    last_batch_id: int = 0
    _outboxes_by_id: dict = attrs.field(factory=dict)
    _inboxes_by_id: dict = attrs.field(factory=dict)
    _urgent_ids: dict = attrs.field(factory=dict)

    @property
    def is_urgent(self):
        """Whether :meth:`flush` may have a batch to send."""
        return bool(self._urgent_ids)

    def _next_id(self):
        self.last_batch_id += 1
        return self.last_batch_id

    def add(self, now, peer_id, key, entry, urgent=False):
        """Queue an entry for a peer; see :meth:`Outbox.add`."""
        outbox = self._outboxes_by_id.get(peer_id)
        if outbox is None:
            outbox = Outbox(self.incarnation, iter(self._next_id, None))
            self._outboxes_by_id[peer_id] = outbox
        outbox.add(now, key, entry, urgent)
        if urgent:
            self._urgent_ids[peer_id] = True

    def drop_peer(self, peer_id):
        """Delete the outbox of a peer.

        :returns: flow keys of the entries that were not acknowledged.
        """
        outbox = self._outboxes_by_id.pop(peer_id, None)
        return outbox.pending_keys() if outbox else []

    def attempts_exhausted(self, now, peer_id, key):
        """Whether a peer was sent an entry as often as required.

        See :meth:`Outbox.attempts_exhausted`.
        """
        outbox = self._outboxes_by_id.get(peer_id)
        return outbox is None or outbox.attempts_exhausted(now, key)

    def flush(self, now, load):
        """Return actions that send batches to peers with urgent entries.

        :param load: the :class:`Load` message of this agent.
        """
        ids, self._urgent_ids = self._urgent_ids, {}
        return self._send(now, load, ids)

    def tick(self, now, load):
        """Return actions that send or repeat the batches that are due.

        :param load: the :class:`Load` message of this agent.
        """
        return self._send(now, load, list(self._outboxes_by_id))

    def _send(self, now, load, ids):
        steps = []
        for peer_id in ids:
            outbox = self._outboxes_by_id.get(peer_id)
            batch = outbox and outbox.tick(now, load)
            if batch:
                steps.append(actions.Send(peer_id, batch))
        return steps

    def on_ack(self, sender_id, ack):
        """Return the ``(key, entry)`` pairs that a peer acknowledged.

        :param ack: a :class:`RedirectAck` message.
        """
        outbox = self._outboxes_by_id.get(sender_id)
        if outbox is None or ack.incarnation != self.incarnation:
            return []
        self._urgent_ids[sender_id] = True
        return outbox.on_ack(ack.batch_id)

    def inbox(self, sender_id):
        """Return the :class:`Inbox` for batches of a peer."""
        return self._inboxes_by_id.setdefault(sender_id, Inbox())

    def checkpoint(self):
        """Return a checkpoint that covers all entries queued so far.

        It is passed to :meth:`is_checkpoint_reached`.
        """
        return [
            (peer_id, outbox, outbox.queued_count)
            for peer_id, outbox in self._outboxes_by_id.items()
        ]

    def is_checkpoint_reached(self, checkpoint):
        """Whether all entries that a checkpoint covers are acknowledged.

        Entries for a peer whose outbox was deleted do not count.
        """
        return all(
            outbox.acked_count >= queued_count
            or self._outboxes_by_id.get(peer_id) is not outbox
            for peer_id, outbox, queued_count in checkpoint
        )
