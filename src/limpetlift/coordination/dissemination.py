"""Gossip between balancers: changed records are sent for some rounds.

The queue contains ids, and records are looked up when a message is built.
Thus only the newest version of a record is sent, however long the rate limit
delays it. Anti-entropy repairs what gossip misses (see ``antientropy``).
"""

import collections

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import records
from limpetlift.coordination import strategies
from limpetlift.coordination import tokens
from limpetlift import defaults
from limpetlift import registry

# With more records than this in the queue, fewer copies of each are sent.
_MASS_CHANGE_RECORDS = 100
# Bounds the work of one round; the rate limit permits less on average.
_MAX_BATCHES_PER_ROUND = 8
# The queue contains this id while a change of the configuration is announced.
# Every message carries the revision; no member has an empty id.
_CONFIG_NOTICE_ID = ""


@attrs.define
class Dissemination:
    """Sends the changes of a view to other balancers.

    :param view: the :class:`limpetlift.coordination.view.View`.
    :param rng: a ``random.Random``.
    :param token_bucket: a
        :class:`limpetlift.coordination.tokens.TokenBucket`.
    :param strategy: name of a dissemination strategy, see ``strategies``.
    :param config_revision: revision of the configuration in force.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    token_bucket: tokens.TokenBucket = attrs.field(factory=tokens.TokenBucket)
    strategy: object = attrs.field(
        default="logdistance",
        converter=attrs.Converter(
            lambda name, self: registry.lookup(
                strategies.strategies_by_name, name, "strategy"
            )(self.view, self.rng),
            takes_self=True,
        ),
    )
    config_revision: int = 0
    _round_number: int = attrs.field(init=False)
    _next_round_at: float = 0.0
    # The queue: member ids with the number of rounds left.
    _rounds_left_by_id: dict = attrs.field(factory=dict, repr=False)

    def __attrs_post_init__(self):
        self._round_number = self.rng.randrange(1 << 16)

    def __len__(self):
        return len(self._rounds_left_by_id)

    def enqueue(self, now, agent_id):
        """Queue the record of a member for the next rounds."""
        self.strategy.refresh(now)
        self._rounds_left_by_id[agent_id] = self.strategy.rounds(
            len(self._rounds_left_by_id) > _MASS_CHANGE_RECORDS
        )

    def set_config_revision(self, now, revision):
        """Announce a new configuration to the other balancers."""
        self.config_revision = revision
        self.enqueue(now, _CONFIG_NOTICE_ID)

    def on_gossip(self, now, message):
        """Merge the records of a message; return those that were newer.

        :param message: a ``Gossip`` message.
        :raises MalformedMessage: when a field cannot be decoded.
        """
        merged = []
        for record in records.unpack(message, self.view):
            if self.view.merge(now, record):
                merged.append(record)
                # A pulled record is not sent on, because the other balancers
                # that miss it pull it too.
                if not message.pulled:
                    self.enqueue(now, record.agent_id)
            else:
                self._count_duplicate(record.agent_id)
        return merged

    def tick(self, now):
        """Return the messages of the next round when it is due."""
        self.token_bucket.refill(now)
        if now < self._next_round_at or not self._rounds_left_by_id:
            return []
        self._next_round_at = now + defaults.GOSSIP_INTERVAL_S
        self.strategy.refresh(now)
        peers = self.strategy.peers(self._round_number)
        self._round_number += 1
        sends = []
        for batch in self._batches():
            message = batch.message(config_revision=self.config_revision)
            sent = self._send(message, peers)
            if not sent and peers:
                break
            sends += sent
            for record in batch.records:
                self._count_round(record.agent_id)
        if _CONFIG_NOTICE_ID in self._rounds_left_by_id:
            self._count_round(_CONFIG_NOTICE_ID)
        return sends

    def _batches(self):
        if not self._rounds_left_by_id.keys() - {_CONFIG_NOTICE_ID}:
            return [records.Batch([], {})]
        # The shortest encoding of a record is a removal of 13 bytes.
        max_records = (
            _MAX_BATCHES_PER_ROUND * defaults.MAX_GOSSIP_BODY_BYTES // 13
        )
        newest = collections.Counter(self._rounds_left_by_id).most_common(
            max_records
        )
        queued = [self.view.get(agent_id) for agent_id, _ in newest]
        for (agent_id, _), record in zip(newest, queued):
            if record is None and agent_id != _CONFIG_NOTICE_ID:
                del self._rounds_left_by_id[agent_id]
        return records.batches(filter(None, queued))

    def _send(self, message, peers):
        size = budget.wire_size_bytes(message)
        sent = []
        for peer in peers:
            if not self.token_bucket.take(size):
                break
            sent.append(actions.Send(peer, message))
        return sent

    def _count_round(self, agent_id):
        self._rounds_left_by_id[agent_id] -= 1
        if self._rounds_left_by_id[agent_id] <= 0:
            del self._rounds_left_by_id[agent_id]

    def _count_duplicate(self, agent_id):
        if (
            self.strategy.counts_duplicates
            and agent_id in self._rounds_left_by_id
        ):
            self._count_round(agent_id)
