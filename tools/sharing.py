"""Compares the sharing policies; prints the table in docs/flows.md.

python tools/sharing.py [POLICY ...]
"""

import collections
import sys

import attrs

from limpetlift import defaults
from limpetlift.state import flows
from limpetlift.state import sharing
from limpetlift.testing import flowsim

_AGENT_COUNT = 7
_FLOW_COUNT = 10_000
_SEEDS = (1, 2, 3)
# 2000 new flows per second in the whole cluster.
_FLOW_INTERVAL_S = 0.0005


@attrs.frozen
class Result:
    """Figures of one run.

    :param imbalance_before_join: :func:`imbalance` of the first flows.
    :param imbalance_after_join: :func:`imbalance` of the flows that were
        opened after one more agent had joined.
    :param passed_on_share: share of the first flows that the first agent in
        placement order passed on: their owner differs from the owner under
        policy ``natural``.
    """

    imbalance_before_join: float
    imbalance_after_join: float
    passed_on_share: float


def start_cluster(policy, agent_count, seed):
    """Return a cluster of agents of equal weight that accept new flows.

    :param agent_count: number of agents.
    """
    cluster = flowsim.Cluster(
        seed,
        limits=flows.FlowLimits(100_000, policy=policy, slow_start_s=0.0),
    )
    ids = ["agent-%d" % index for index in range(agent_count)]
    for agent_id in ids:
        cluster.start(agent_id)
    cluster.run(2.0)
    for agent_id in ids:
        cluster.join(agent_id)
    cluster.run(4.0)
    return cluster


def open_flows(cluster, first, count, seed):
    """Open flows one after the other; return the first owner of each.

    :param first: the first caller's number among the callers of this seed.
    :param count: number of flows.
    """
    callers = range(first + seed * 100_000, first + seed * 100_000 + count)
    for caller in callers:
        cluster.send(caller)
        cluster.run(_FLOW_INTERVAL_S)
    cluster.run(1.0)
    keys = [flowsim.make_packet(caller).key for caller in callers]
    return [cluster.record(key).owners[0] for key in keys]


def imbalance(owners, agent_count):
    """Return the highest number of flows at an agent over the mean.

    :param owners: owner of each flow.
    :param agent_count: number of agents.
    """
    counts = collections.Counter(owners)
    return max(counts.values()) * agent_count / len(owners)


def measure_moved_share(policy, seed):
    """Return the share of new flows that get another owner with more agents.

    The same callers open flows in a cluster with and without one more agent.
    """
    owners = open_flows(
        start_cluster(policy, _AGENT_COUNT, seed), 0, _FLOW_COUNT, seed
    )
    owners_with_join = open_flows(
        start_cluster(policy, _AGENT_COUNT + 1, seed), 0, _FLOW_COUNT, seed
    )
    return (
        sum(one != two for one, two in zip(owners, owners_with_join))
        / _FLOW_COUNT
    )


def measure(policy, seed):
    """Return the :class:`Result` of one run."""
    cluster = start_cluster(policy, _AGENT_COUNT, seed)
    owners_before = open_flows(cluster, 0, _FLOW_COUNT, seed)
    cluster.start("agent-7")
    cluster.run(2.0)
    cluster.join("agent-7")
    cluster.run(4.0)
    owners_after = open_flows(cluster, _FLOW_COUNT, _FLOW_COUNT, seed)
    natural_owners = open_flows(
        start_cluster("natural", _AGENT_COUNT, seed), 0, _FLOW_COUNT, seed
    )
    passed_on_count = sum(
        one != two for one, two in zip(owners_before, natural_owners)
    )
    return Result(
        imbalance(owners_before, _AGENT_COUNT),
        imbalance(owners_after, _AGENT_COUNT + 1),
        passed_on_count / _FLOW_COUNT,
    )


def main():
    """Print one line for each policy and seed; default: all policies."""
    print("bound %.3f" % defaults.SHARING_BOUND_FACTOR)
    print("policy    seed  first  after a join  passed on  moved by a join")
    names = sys.argv[1:] or sorted(sharing.policies_by_name)
    for policy in names:
        for seed in _SEEDS:
            result = measure(policy, seed)
            print(
                "%-9s %4d  %.3f  %12.3f  %9.3f  %15.3f"
                % (
                    policy,
                    seed,
                    result.imbalance_before_join,
                    result.imbalance_after_join,
                    result.passed_on_share,
                    measure_moved_share(policy, seed),
                )
            )


if __name__ == "__main__":
    main()
