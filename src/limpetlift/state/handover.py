"""Reliable, ordered transfer of redirect entries between agents.

Each pair of agents has at most one batch in flight in each direction, so a
release can never overtake the entry that it releases.
"""

import itertools

import attrs

from limpetlift import defaults
from limpetlift.protocol import messages
from limpetlift.state import actions

_CLAIM_AGE_MS = -1


@attrs.frozen
class Entry:
    """What a peer shall know of a flow.

    :param opened_at: when the flow was accepted; None asks to accept it.
    :param released: whether the peer shall forget the flow instead.
    """

    opened_at: float = None
    released: bool = False


CLAIM = Entry()
RELEASE = Entry(released=True)


@attrs.define
class _Batch:
    batch_id: int
    entries_by_key: dict
    attempts: int = 0
    retry_at: float = 0.0


@attrs.define
class Outbox:
    """Entries on their way to one peer.

    :param incarnation: incarnation of this agent.
    :param batch_ids: iterator of growing numbers.

    .. versionadded:: 0.1
    """

    incarnation: int
    batch_ids: object
    queued: int = 0
    acked: int = 0
    _entries_by_key: dict = attrs.field(factory=dict)
    _in_flight: _Batch = None
    _flush_at: float = None

    def add(self, now, key, entry, urgent=False):
        """Queue an entry; the newest entry for a key replaces earlier ones.

        :param urgent: send at once when no batch is in flight.
        """
        if key not in self._entries_by_key:
            self.queued += 1
        self._entries_by_key[key] = entry
        due = now if urgent else now + defaults.REDIRECT_BATCH_DELAY_S
        if self._flush_at is None or due < self._flush_at:
            self._flush_at = due

    def is_tried(self, now, key):
        """Whether the entry of ``key`` was sent as often as it should be."""
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
        """Return the batch to send now, or None."""
        batch = self._in_flight
        if batch is None:
            if self._flush_at is None or now < self._flush_at:
                return None
            batch = self._next_batch(now)
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

    def _next_batch(self, now):
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
        """Return the acknowledged ``(key, entry)`` pairs.

        An answer is left out when a newer entry for the key is queued: it
        would be taken for the answer to that one.
        """
        batch = self._in_flight
        if batch is None or batch.batch_id != batch_id:
            return []
        self._in_flight = None
        self.acked += len(batch.entries_by_key)
        return [
            (key, entry)
            for key, entry in batch.entries_by_key.items()
            if key not in self._entries_by_key
        ]


@attrs.define
class Inbox:
    """The last batch that was received from one peer."""

    incarnation: int = 0
    batch_id: int = 0
    ack: object = None

    def accepts(self, batch):
        """Whether the batch is new; an earlier one must not be applied.

        The last batch may be repeated because its acknowledgement was lost.
        """
        number = (batch.incarnation, batch.batch_id)
        return number > (self.incarnation, self.batch_id)

    def repeats(self, batch):
        """Whether the batch is the last one that was applied."""
        return (batch.incarnation, batch.batch_id) == (
            self.incarnation,
            self.batch_id,
        )

    def store(self, batch, ack):
        """Remember the batch and its acknowledgement."""
        self.incarnation = batch.incarnation
        self.batch_id = batch.batch_id
        self.ack = ack


def is_claim(redirect):
    """Whether the sender asks to accept the flow."""
    return redirect.age_ms < 0


@attrs.define
class Mail:
    """The outboxes and inboxes of one agent.

    :param incarnation: incarnation of this agent.

    .. versionadded:: 0.1
    """

    incarnation: int
    last_batch_id: int = 0
    _outboxes_by_id: dict = attrs.field(factory=dict)
    _inboxes_by_id: dict = attrs.field(factory=dict)
    _urgent_ids: dict = attrs.field(factory=dict)

    @property
    def is_urgent(self):
        """Whether :meth:`flush` may have something to send."""
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
        """Forget what was on its way to a peer; return its flow keys."""
        outbox = self._outboxes_by_id.pop(peer_id, None)
        return outbox.pending_keys() if outbox else []

    def is_tried(self, now, peer_id, key):
        """Whether the entry of ``key`` was sent as often as it should be."""
        outbox = self._outboxes_by_id.get(peer_id)
        return outbox is None or outbox.is_tried(now, key)

    def flush(self, now, load):
        """Return actions that send what is urgent."""
        ids, self._urgent_ids = self._urgent_ids, {}
        return self._send(now, load, ids)

    def tick(self, now, load):
        """Return actions that send what is due."""
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
        """Return the acknowledged ``(key, entry)`` pairs."""
        outbox = self._outboxes_by_id.get(sender_id)
        if outbox is None or ack.incarnation != self.incarnation:
            return []
        self._urgent_ids[sender_id] = True
        return outbox.on_ack(ack.batch_id)

    def inbox(self, sender_id):
        """Return the :class:`Inbox` for batches of a peer."""
        return self._inboxes_by_id.setdefault(sender_id, Inbox())

    def mark(self):
        """Return a mark that is reached when all is sent and acknowledged."""
        return [
            (peer_id, outbox, outbox.queued)
            for peer_id, outbox in self._outboxes_by_id.items()
        ]

    def is_reached(self, mark):
        """Whether what was queued at :meth:`mark` is acknowledged."""
        return all(
            outbox.acked >= queued
            or self._outboxes_by_id.get(peer_id) is not outbox
            for peer_id, outbox, queued in mark
        )
