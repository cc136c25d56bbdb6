"""Gossip between balancers: new records are hot for some rounds.

A record is looked up when a message is built, so only the newest version of
a member is ever sent, however long the budget delays it. What gossip misses
is repaired by anti-entropy (see ``antientropy``).
"""

import collections

import attrs

from limpetlift.coordination import actions
from limpetlift.coordination import budget
from limpetlift.coordination import records
from limpetlift.coordination import strategies
from limpetlift import defaults
from limpetlift import registry

# With more hot records than this, fewer copies of each are sent.
_MASS = 100
# Bounds the work of one round; the budget allows less in the long run.
_BATCHES_IN_ROUND = 8
# The member id under which "the configuration changed" is hot.
_NOTICE = ""


@attrs.define
class Dissemination:
    """Spreads the changes of a view to other balancers.

    :param view: the :class:`limpetlift.coordination.view.View`.
    :param rng: a ``random.Random``.
    :param token_bucket: a
        :class:`limpetlift.coordination.budget.TokenBucket`.
    :param strategy: name of a strategy.

    .. versionadded:: 0.1
    """

    view: object
    rng: object
    token_bucket: budget.TokenBucket = attrs.field(factory=budget.TokenBucket)
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
    _round: int = attrs.field(init=False)
    _next_round: float = 0.0
    # Remaining rounds by member id.
    _hot: dict = attrs.field(factory=dict, repr=False)

    def __attrs_post_init__(self):
        self._round = self.rng.randrange(1 << 16)

    def __len__(self):
        return len(self._hot)

    def enqueue(self, now, agent_id):
        """Make the record of a member hot."""
        self.strategy.refresh(now)
        self._hot[agent_id] = self.strategy.rounds(len(self._hot) > _MASS)

    def set_config_revision(self, now, revision):
        """Tell the others of a new configuration."""
        self.config_revision = revision
        self.enqueue(now, _NOTICE)

    def on_gossip(self, now, message):
        """Merge the records of a message and return those that were newer.

        :param message: a ``Gossip`` message.
        :raises MalformedMessage: when a part is not readable.
        """
        merged = []
        for record in records.unpack(message, self.view):
            if self.view.merge(now, record):
                merged.append(record)
                # A pulled record is old news: others pull it as well.
                if not message.pulled:
                    self.enqueue(now, record.agent_id)
            else:
                self._cool(record.agent_id)
        return merged

    def tick(self, now):
        """Send the hot records of a round; return the actions."""
        self.token_bucket.fill(now)
        if now < self._next_round or not self._hot:
            return []
        self._next_round = now + defaults.GOSSIP_INTERVAL_S
        self.strategy.refresh(now)
        peers = self.strategy.peers(self._round)
        self._round += 1
        sends = []
        for batch in self._batches():
            message = batch.message(config_revision=self.config_revision)
            sent = self._send(message, peers)
            if not sent and peers:
                break
            sends += sent
            for record in batch.records:
                self._use(record.agent_id)
        if _NOTICE in self._hot:
            self._use(_NOTICE)
        return sends

    def _batches(self):
        if not self._hot.keys() - {_NOTICE}:
            return [records.Batch([], {})]
        limit = _BATCHES_IN_ROUND * defaults.MAX_GOSSIP_BODY_BYTES // 13
        newest = collections.Counter(self._hot).most_common(limit)
        found = [self.view.get(agent_id) for agent_id, _ in newest]
        for (agent_id, _), record in zip(newest, found):
            if record is None and agent_id != _NOTICE:
                del self._hot[agent_id]
        return records.batches(filter(None, found))

    def _send(self, message, peers):
        size = budget.wire_size_bytes(message)
        sent = []
        for peer in peers:
            if not self.token_bucket.take(size):
                break
            sent.append(actions.Send(peer, message))
        return sent

    def _use(self, agent_id):
        self._hot[agent_id] -= 1
        if self._hot[agent_id] <= 0:
            del self._hot[agent_id]

    def _cool(self, agent_id):
        if self.strategy.counts_duplicates and agent_id in self._hot:
            self._use(agent_id)
