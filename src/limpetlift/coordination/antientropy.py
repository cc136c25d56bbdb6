"""Anti-entropy: balancers pull missing records from random other balancers.

Every ``ANTI_ENTROPY_INTERVAL_S`` a balancer sends the root hash of its digest
to another one. If the roots differ, the other replies with the hashes of its
buckets. The first then pulls the buckets that differ: it sends its own hashes
of their leaves and receives the records of the leaves that differ. Every
balancer does this, so records need not be pushed.
"""

import collections

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import digest
from limpetlift.coordination import records
from limpetlift.coordination import tokens
from limpetlift import defaults
from limpetlift.protocol import messages

# Replies wait for the rate limit. Beyond this number the oldest are dropped;
# their receivers pull the records from other balancers later.
_MAX_PENDING_REPLIES = 256
# With at least this many differing buckets, a balancer that is not yet synced
# pulls them from several peers at once.
_BOOTSTRAP_MIN_BUCKETS = digest.BUCKETS // 2


@attrs.define
class AntiEntropy:
    """Pulls missing records, and replies to the pulls of other balancers.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    :param token_bucket: rate limit for pulls and replies.
    :param synced: whether this view differed at least once from that of
        another balancer in at most ``MAX_PULL_BUCKETS`` buckets.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    token_bucket: tokens.TokenBucket
    synced: bool = False
    _next_comparison_at: float = 0.0
    _next_pull_at: float = 0.0
    _next_catch_up_at: float = 0.0
    # Buckets to pull, each with the peer to pull it from.
    _peers_by_bucket: dict = attrs.field(factory=dict, repr=False)
    _pending_replies: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_PENDING_REPLIES),
        repr=False,
    )

    def send_root(self, peer, config_revision, wants_reply=False):
        """Return the action that sends the root hash to ``peer``.

        :param wants_reply: whether the peer must reply even to an equal root.
        """
        message = messages.structs.Gossip(
            members=[],
            config_revision=config_revision,
            root=self.view.digest.packed_root(),
            answer=wants_reply or None,
        )
        self.token_bucket.charge(budget.wire_size_bytes(message))
        return actions.Send(peer, message)

    def tick(self, now, config_revision):
        """Return the actions that are due."""
        sends = []
        if now >= self._next_comparison_at:
            self._next_comparison_at = now + defaults.ANTI_ENTROPY_INTERVAL_S
            peer = self._random_peer()
            if peer is not None:
                sends.append(
                    self.send_root(
                        peer, config_revision, wants_reply=not self.synced
                    )
                )
        if self._peers_by_bucket and now >= self._next_pull_at:
            self._next_pull_at = now + defaults.GOSSIP_INTERVAL_S
            sends += self._pull()
        while self._pending_replies and self.token_bucket.take(
            self._pending_replies[0][1]
        ):
            sends.append(self._pending_replies.popleft()[0])
        return sends

    def on_root(self, sender, message, config_revision):
        """Handle a ``Gossip`` message with a root hash.

        :returns: the replies to send at once; the caller charges them to the
            rate limit.
        """
        if message.root != self.view.digest.packed_root():
            self._queue_reply(
                sender,
                messages.structs.Digest(
                    hashes=self.view.digest.packed_buckets()
                ),
            )
            return []
        self.synced = True
        if not message.answer:
            return []
        reply = messages.structs.Gossip(
            members=[], config_revision=config_revision, root=message.root
        )
        return [actions.Send(sender, reply)]

    def on_digest(self, sender, message):
        """Plan to pull the buckets in which ``sender`` differs."""
        buckets = digest.differing_indexes(
            self.view.digest.packed_buckets(), message.hashes
        )
        buckets = [b for b in buckets if b < digest.BUCKETS]
        if len(buckets) <= defaults.MAX_PULL_BUCKETS:
            self.synced = True
        if len(buckets) >= _BOOTSTRAP_MIN_BUCKETS and not self.synced:
            # Many balancers have the same records; the load is spread over
            # them.
            for bucket in buckets:
                self._peers_by_bucket[bucket] = self._random_peer() or sender
            return
        self.rng.shuffle(buckets)
        for bucket in buckets[: defaults.MAX_PULL_BUCKETS]:
            self._peers_by_bucket[bucket] = sender

    def request_recent(self, now, peer, silence_s):
        """Request the records that changed recently from ``peer``.

        It is used after a partition, when few records differ but most buckets
        do: pulling the buckets would cost twenty times as much.

        :param silence_s: time without a message from the peer's data centre.
        """
        if now < self._next_catch_up_at:
            return []
        self._next_catch_up_at = now + defaults.CATCH_UP_INTERVAL_S
        age_s = silence_s + defaults.CATCH_UP_MARGIN_S
        message = messages.structs.Pull(
            bucket=0, hashes=b"", age_ms=int(age_s * 1000)
        )
        return [actions.Send(peer, message)]

    def on_pull(self, now, sender, message, config_revision):
        """Queue the records that a peer pulls.

        These are the records of the leaves that differ or, for a request with
        an age, those that changed within it.
        """
        if message.age_ms is not None:
            requested = self.view.changed_since(
                now - message.age_ms / 1000, defaults.MAX_CATCH_UP_RECORDS
            )
        else:
            requested = self._differing_records(message)
        # The peer may have an older incarnation, to which a removal does not
        # apply.
        for batch in records.batches(requested, allow_short=False):
            self._queue_reply(
                sender,
                batch.message(config_revision=config_revision, pulled=True),
            )

    def _differing_records(self, message):
        if not 0 <= message.bucket < digest.BUCKETS:
            return []
        leaves = digest.differing_indexes(
            self.view.digest.packed_leaves(message.bucket), message.hashes
        )
        return self.view.records_in(
            message.bucket, [leaf for leaf in leaves if leaf < digest.LEAVES]
        )

    def _pull(self):
        sends = []
        while self._peers_by_bucket and len(sends) < defaults.MAX_PULL_BUCKETS:
            bucket, peer = next(iter(self._peers_by_bucket.items()))
            hashes = self.view.digest.packed_leaves(bucket)
            if not any(hashes):
                hashes = b""
            message = messages.structs.Pull(bucket=bucket, hashes=hashes)
            if not self.token_bucket.take(budget.wire_size_bytes(message)):
                break
            del self._peers_by_bucket[bucket]
            sends.append(actions.Send(peer, message))
        return sends

    def _queue_reply(self, sender, message):
        self._pending_replies.append(
            (actions.Send(sender, message), budget.wire_size_bytes(message))
        )

    def _random_peer(self):
        own_id = self.view.own_id
        counts_by_data_centre = {}
        for data_centre in self.view.data_centres():
            ids = self.view.balancers(data_centre)
            counts_by_data_centre[data_centre] = len(ids) - (own_id in ids)
        if not sum(counts_by_data_centre.values()):
            return None
        (data_centre,) = self.rng.choices(
            list(counts_by_data_centre), list(counts_by_data_centre.values())
        )
        while True:
            peer = self.rng.choice(self.view.balancers(data_centre))
            if peer != own_id:
                return peer
