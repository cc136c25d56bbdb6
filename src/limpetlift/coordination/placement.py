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
def draws(agent_id):
    """Return one pseudo-random 32-bit number for each bucket."""
    data = hashlib.shake_128(agent_id.encode("utf-8")).digest(
        4 * defaults.PLACEMENT_BUCKETS
    )
    draws = array.array("I", data)
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


def bucket_of(flow_hash):
    """Return the bucket of a 64-bit hash."""
    return flow_hash % defaults.PLACEMENT_BUCKETS


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
            target.agent_id: draws(target.agent_id) for target in self.targets
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
    :returns: ``PLACEMENT_BUCKETS`` bytes, or empty bytes without targets.
    """
    if not targets:
        return b""
    members_by_weight = {}
    for index in sorted(
        range(len(targets)), key=lambda index: targets[index].agent_id
    ):
        members_by_weight.setdefault(targets[index].weight, []).append(index)
    parts = [
        _first_of_equals(targets, members)
        for members in members_by_weight.values()
    ]
    if len(parts) == 1:
        return bytes(parts[0].owners)
    return _first_of_parts(targets, parts, list(members_by_weight))


@attrs.frozen
class _Part:
    """The first of some targets in each bucket, and its draw."""

    owners: bytearray
    draws: list


def _first_of_equals(targets, members):
    """Return the first of targets with the same weight.

    The score rises strictly with the draw, so the draws are compared.

    :param members: indexes by rising id.
    """
    best = list(draws(targets[members[0]].agent_id))
    owners = bytearray([members[0]]) * defaults.PLACEMENT_BUCKETS
    for index in members[1:]:
        for bucket, draw in enumerate(draws(targets[index].agent_id)):
            if draw >= best[bucket]:
                best[bucket] = draw
                owners[bucket] = index
    return _Part(owners, best)


def _first_of_parts(targets, parts, weights):
    """Return the first of parts with different weights."""
    log = math.log
    scores = [
        [-weight / log((draw + 0.5) * _SCALE) for draw in part.draws]
        for part, weight in zip(parts, weights)
    ]
    owners = parts[0].owners
    best = scores[0]
    for part, column in zip(parts[1:], scores[1:]):
        for bucket, score in enumerate(column):
            if score < best[bucket]:
                continue
            index = part.owners[bucket]
            if (
                score > best[bucket]
                or targets[index].agent_id > targets[owners[bucket]].agent_id
            ):
                best[bucket] = score
                owners[bucket] = index
    return bytes(owners)
