"""Tests of weighted rendezvous placement."""

import collections

import hypothesis
from hypothesis import strategies as st

from limpetlift.coordination import placement
from limpetlift import defaults


def _targets(count, weight=1.0):
    return [placement.Target("agent-%d" % i, weight) for i in range(count)]


def _owners(targets):
    table = placement.build_table(targets)
    return [targets[index].agent_id for index in table]


def test_table_agrees_with_order():
    """Otherwise balancers and agents would disagree on a bucket's owner.

    Balancers compute it with ``build_table`` and agents with ``order``.
    """
    targets = [
        placement.Target("agent-%d" % i, 1.0 + 0.2 * i) for i in range(7)
    ]
    orders = placement.Placement(targets)
    owners = _owners(targets)
    for bucket in range(0, defaults.PLACEMENT_BUCKETS, 13):
        assert orders.order(bucket)[0].agent_id == owners[bucket]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=30)
@hypothesis.given(
    weights=st.lists(st.sampled_from([0.1, 0.5, 1.0, 2.0]), max_size=6),
    bucket=st.integers(0, defaults.PLACEMENT_BUCKETS - 1),
)
def test_table_of_mixed_weights_agrees_with_order(weights, bucket):
    """Merging the groups of equal weight must not change any owner.

    ``build_table`` computes the owners per weight before it merges them.
    """
    targets = [
        placement.Target("agent-%d" % i, weight)
        for i, weight in enumerate(weights + [1.0])
    ]
    first = placement.Placement(targets).order(bucket)[0]
    assert _owners(targets)[bucket] == first.agent_id


def test_join_and_leave_move_only_the_share_of_the_member():
    """Joins must move at most 1.2 / n of the buckets, all to the new member.

    Every bucket that moves to another agent moves its new flows.
    """
    before = _owners(_targets(7))
    after = _owners(_targets(8))
    moved = [b for b in range(len(before)) if before[b] != after[b]]
    assert len(moved) <= 1.2 / 8 * defaults.PLACEMENT_BUCKETS
    assert {after[b] for b in moved} == {"agent-7"}


def test_weight_sets_the_share():
    """A target of half the weight must get half as many buckets.

    Otherwise it would get more flows than its weight allows.
    """
    targets = _targets(4) + [placement.Target("half", 0.5)]
    share = collections.Counter(_owners(targets))["half"]
    assert abs(share / defaults.PLACEMENT_BUCKETS - 0.5 / 4.5) < 0.02


def test_no_targets_give_an_empty_table():
    """A service without backend servers must not raise an exception."""
    assert placement.build_table([]) == b""
