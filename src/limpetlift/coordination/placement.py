"""Weighted rendezvous placement over a fixed number of buckets.

Every process computes the same order of members for a bucket from their ids
and weights alone, so balancers need no shared state.
"""

import array
import functools
import hashlib
import math
import sys

import attrs

from limpetlift import defaults

_SCALE = 1.0 / (1 << 32)


@attrs.frozen
class Target:
    """A member as placement sees it.

    :param agent_id: stable id.
    :param weight: relative share, greater than 0.
    """

    agent_id: str
    weight: float = 1.0


# A service rebuilds its placement at each change of one member; 256 columns
# take 4 MB.
@functools.lru_cache(maxsize=256)
def _draws(agent_id):
    """Return one pseudo-random 32-bit number for each bucket."""
    data = hashlib.shake_128(agent_id.encode("utf-8")).digest(
        4 * defaults.BUCKETS
    )
    draws = array.array("I", data)
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


def bucket_of(flow_hash):
    """Return the bucket of a 64-bit hash."""
    return flow_hash % defaults.BUCKETS


@attrs.define
class Placement:
    """The order of the targets of one service in every bucket.

    :param targets: the targets, in any order.

    .. versionadded:: 0.1
    """

    targets: list
    _draws_by_id: dict = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        self._draws_by_id = {
            target.agent_id: _draws(target.agent_id) for target in self.targets
        }

    def score(self, target, bucket):
        """Return a sort key; the target with the highest one is first."""
        draw = self._draws_by_id[target.agent_id][bucket]
        # The id breaks the tie of equal draws the same way everywhere.
        return _weighted(draw, target.weight), target.agent_id

    def order(self, bucket):
        """Return the targets by falling score in ``bucket``."""
        return sorted(
            self.targets,
            key=lambda target: self.score(target, bucket),
            reverse=True,
        )


def _weighted(draw, weight):
    return -weight / math.log((draw + 0.5) * _SCALE)


def build_table(targets):
    """Return the first target of each bucket as ``bytes`` of indexes.

    :param targets: at most 255 targets; the indexes refer to this list.
    :returns: ``BUCKETS`` bytes, or empty bytes without targets.
    """
    if not targets:
        return b""
    ranked = sorted(
        range(len(targets)), key=lambda index: targets[index].agent_id
    )
    columns = [_draws(targets[index].agent_id) for index in ranked]
    weights = [targets[index].weight for index in ranked]
    if len(set(weights)) > 1:
        columns = [
            [_weighted(draw, weight) for draw in column]
            for column, weight in zip(columns, weights)
        ]
    best = list(columns[0])
    owner = bytearray([ranked[0]]) * defaults.BUCKETS
    for column, index in zip(columns[1:], ranked[1:]):
        for bucket, score in enumerate(column):
            if score >= best[bucket]:
                best[bucket] = score
                owner[bucket] = index
    return bytes(owner)
