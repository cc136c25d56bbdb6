"""Weighted rendezvous placement over a fixed number of buckets.

A flow's hash selects a bucket. Every process computes the same order of
targets for a bucket from their ids and weights alone, so balancers need no
shared state.
"""

import array
import functools
import hashlib
import math
import sys

import attrs

from limpetlift import defaults
from limpetlift import structs

# Maps a 32-bit draw to the range from 0.0 to 1.0.
_DRAW_SCALE = 1.0 / (1 << 32)


@structs.frozen
class Target:
    """An agent that buckets can be assigned to.

    :param agent_id: stable id of the agent.
    :param weight: relative share of the buckets, greater than 0.
    """

    agent_id: str
    weight: float = 1.0


# A service rebuilds its placement whenever one member changes, so the draws of
# the other members are cached; those of 256 agents take 4 MB.
@functools.lru_cache(maxsize=256)
def bucket_draws(agent_id):
    """Return a pseudo-random 32-bit number of an agent for each bucket."""
    data = hashlib.shake_128(agent_id.encode("utf-8")).digest(
        4 * defaults.PLACEMENT_BUCKETS
    )
    draws = array.array("I", data)
    if sys.byteorder == "big":
        draws.byteswap()
    return draws


def bucket_of(flow_hash):
    """Return the bucket of a flow's 64-bit hash."""
    return flow_hash % defaults.PLACEMENT_BUCKETS


@structs.define
class Placement:
    """The order of the targets of one service in every bucket.

    :param targets: the targets, in any order.

    .. versionadded:: 0.1
    """

    targets: list
    _draws_by_agent_id: dict = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self):
        self._draws_by_agent_id = {
            target.agent_id: bucket_draws(target.agent_id)
            for target in self.targets
        }

    def score(self, target, bucket):
        """Return a sort key; the target with the highest key comes first."""
        draw = self._draws_by_agent_id[target.agent_id][bucket]
        # The id breaks ties between equal scores the same way in every
        # process.
        return _weighted_score(draw, target.weight), target.agent_id

    def order(self, bucket):
        """Return the targets in ``bucket``, highest score first."""
        return sorted(
            self.targets,
            key=lambda target: self.score(target, bucket),
            reverse=True,
        )


def _weighted_score(draw, weight):
    return -weight / math.log((draw + 0.5) * _DRAW_SCALE)


def build_table(targets):
    """Return the owner of each bucket: the first target in its order.

    Owners are computed per group of targets with equal weight, where draws
    can be compared without a logarithm, and then merged.

    :param targets: at most 255 targets.
    :returns: for each bucket one byte, the index of its owner in ``targets``;
        empty without targets.
    """
    if not targets:
        return b""
    indexes_by_weight = {}
    for index in sorted(
        range(len(targets)), key=lambda index: targets[index].agent_id
    ):
        indexes_by_weight.setdefault(targets[index].weight, []).append(index)
    groups = [
        _owners_in_group(targets, indexes)
        for indexes in indexes_by_weight.values()
    ]
    if len(groups) == 1:
        return bytes(groups[0].owners)
    return _merge_groups(targets, groups, list(indexes_by_weight))


@structs.frozen
class _WeightGroup:
    """The owner of each bucket among targets of equal weight.

    :param owners: index of the owner, by bucket.
    :param draws: draw of the owner, by bucket.
    """

    owners: bytearray
    draws: list


def _owners_in_group(targets, indexes):
    """Return the :class:`_WeightGroup` of targets with equal weight.

    For equal weights the score increases strictly with the draw, so the draws
    are compared directly.

    :param indexes: indexes of the group's targets, in ascending order of
        their agent ids.
    """
    best_draws = list(bucket_draws(targets[indexes[0]].agent_id))
    owners = bytearray([indexes[0]]) * defaults.PLACEMENT_BUCKETS
    for index in indexes[1:]:
        for bucket, draw in enumerate(bucket_draws(targets[index].agent_id)):
            if draw >= best_draws[bucket]:
                best_draws[bucket] = draw
                owners[bucket] = index
    return _WeightGroup(owners, best_draws)


def _merge_groups(targets, groups, weights):
    """Return the owner of each bucket among groups of different weights."""
    log = math.log
    scores_by_group = [
        [-weight / log((draw + 0.5) * _DRAW_SCALE) for draw in group.draws]
        for group, weight in zip(groups, weights)
    ]
    owners = groups[0].owners
    best_scores = scores_by_group[0]
    for group, scores in zip(groups[1:], scores_by_group[1:]):
        for bucket, score in enumerate(scores):
            if score < best_scores[bucket]:
                continue
            index = group.owners[bucket]
            if (
                score > best_scores[bucket]
                or targets[index].agent_id > targets[owners[bucket]].agent_id
            ):
                best_scores[bucket] = score
                owners[bucket] = index
    return bytes(owners)
