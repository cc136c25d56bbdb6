"""Anti-entropy: each balancer pulls what it misses from random others.

Every ``ANTI_ENTROPY_INTERVAL_S`` a balancer sends the root of its digest to
another. If the roots differ, the other answers with the hashes of its
buckets; the first then pulls the buckets that differ, with its own hashes of
their leaves, and gets the records of the leaves that differ. Both sides do
this, so pulling is enough.
"""

import collections

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import digest
from limpetlift.coordination import records
from limpetlift import defaults
from limpetlift.protocol import messages

# Answers wait for the budget; a peer that gets none asks another.
_MAX_ANSWERS = 256
# With more buckets missing, they are pulled from several peers at once.
_BOOTSTRAP_BUCKETS = digest.BUCKETS // 2


@attrs.define
class AntiEntropy:
    """Pulls missing records, and answers the pulls of others.

    :param view: the view of this process.
    :param rng: a ``random.Random``.
    :param token_bucket: the token bucket.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    token_bucket: budget.TokenBucket
    # Whether this view was once about as complete as that of another.
    synced: bool = False
    _next_ping: float = 0.0
    _next_pull: float = 0.0
    _next_catch_up: float = 0.0
    # Buckets to pull, each with the peer that is known to differ.
    _wanted: dict = attrs.field(factory=dict, repr=False)
    _answers: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=_MAX_ANSWERS), repr=False
    )

    def ping(self, peer, config_revision, answer=False):
        """Return the action that sends the root of the digest to ``peer``.

        :param answer: whether the peer must answer even if nothing differs.
        """
        message = messages.structs.Gossip(
            members=[],
            config_revision=config_revision,
            root=self.view.digest.packed_root(),
            answer=answer or None,
        )
        self.token_bucket.charge(budget.wire_size_bytes(message))
        return actions.Send(peer, message)

    def tick(self, now, config_revision):
        """Return the actions that are due."""
        sends = []
        if now >= self._next_ping:
            self._next_ping = now + defaults.ANTI_ENTROPY_INTERVAL_S
            peer = self._random_peer()
            if peer is not None:
                sends.append(
                    self.ping(peer, config_revision, answer=not self.synced)
                )
        if self._wanted and now >= self._next_pull:
            self._next_pull = now + defaults.GOSSIP_INTERVAL_S
            sends += self._pull()
        while self._answers and self.token_bucket.take(self._answers[0][1]):
            sends.append(self._answers.popleft()[0])
        return sends

    def on_ping(self, sender, message, config_revision):
        """Answer a message with a root, if needed; return the actions.

        The caller charges the budget for them.
        """
        if message.root != self.view.digest.packed_root():
            self._answer(
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
        """Note the buckets that differ at ``sender``."""
        buckets = digest.differing(
            self.view.digest.packed_buckets(), message.hashes
        )
        buckets = [b for b in buckets if b < digest.BUCKETS]
        if len(buckets) <= defaults.MAX_PULL_BUCKETS:
            self.synced = True
        if len(buckets) >= _BOOTSTRAP_BUCKETS and not self.synced:
            # Others hold the same; asking many spreads the load.
            for bucket in buckets:
                self._wanted[bucket] = self._random_peer() or sender
            return
        self.rng.shuffle(buckets)
        for bucket in buckets[: defaults.MAX_PULL_BUCKETS]:
            self._wanted[bucket] = sender

    def catch_up(self, now, peer, seconds):
        """Ask ``peer`` for what changed there in the last ``seconds``.

        The pulls of buckets would cost twenty times as much when the records
        that differ are few but lie in most buckets.
        """
        if now < self._next_catch_up:
            return []
        self._next_catch_up = now + defaults.CATCH_UP_INTERVAL_S
        age_s = seconds + defaults.CATCH_UP_MARGIN_S
        message = messages.structs.Pull(
            bucket=0, hashes=b"", age_ms=int(age_s * 1000)
        )
        return [actions.Send(peer, message)]

    def on_pull(self, now, sender, message, config_revision):
        """Queue the records of the leaves that differ, or recent ones."""
        if message.age_ms is not None:
            found = self.view.recent(
                now - message.age_ms / 1000, defaults.MAX_CATCH_UP_RECORDS
            )
        else:
            found = self._differing_records(message)
        # The peer may hold an older incarnation, which a removal can't change.
        for batch in records.batches(found, allow_short=False):
            self._answer(
                sender,
                batch.message(config_revision=config_revision, pulled=True),
            )

    def _differing_records(self, message):
        if not 0 <= message.bucket < digest.BUCKETS:
            return []
        leaves = digest.differing(
            self.view.digest.packed_leaves(message.bucket), message.hashes
        )
        return self.view.records_in(
            message.bucket, [leaf for leaf in leaves if leaf < digest.LEAVES]
        )

    def _pull(self):
        sends = []
        while self._wanted and len(sends) < defaults.MAX_PULL_BUCKETS:
            bucket, peer = next(iter(self._wanted.items()))
            hashes = self.view.digest.packed_leaves(bucket)
            if not any(hashes):
                hashes = b""
            message = messages.structs.Pull(bucket=bucket, hashes=hashes)
            if not self.token_bucket.take(budget.wire_size_bytes(message)):
                break
            del self._wanted[bucket]
            sends.append(actions.Send(peer, message))
        return sends

    def _answer(self, sender, message):
        self._answers.append(
            (actions.Send(sender, message), budget.wire_size_bytes(message))
        )

    def _random_peer(self):
        own_id = self.view.own_id
        counts_by_name = {}
        for name in self.view.data_centres():
            ids = self.view.balancers(name)
            counts_by_name[name] = len(ids) - (own_id in ids)
        if not sum(counts_by_name.values()):
            return None
        (name,) = self.rng.choices(
            list(counts_by_name), list(counts_by_name.values())
        )
        while True:
            peer = self.rng.choice(self.view.balancers(name))
            if peer != own_id:
                return peer
