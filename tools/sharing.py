"""Prints the table of docs/flows.md: the sharing policies compared."""

import collections
import sys

import attrs

from limpetlift import defaults
from limpetlift.state import flows
from limpetlift.state import sharing
from limpetlift.testing import flowsim

_AGENTS = 7
_FLOWS = 10_000
_SEEDS = (1, 2, 3)
# 2,000 new flows a second, over 7 agents.
_GAP_S = 0.0005


@attrs.frozen
class Result:
    """Figures of one run.

    :param before: max over mean of the first flows.
    :param after: the same of the flows opened after one more agent joined.
    :param passed: share of flows that the first member did not take.
    """

    before: float
    after: float
    passed: float


def start(policy, agents, seed):
    """Return a cluster of equal agents that all take new flows."""
    cluster = flowsim.Cluster(
        seed,
        limits=flows.FlowLimits(100_000, policy=policy, slow_start_s=0.0),
    )
    ids = ["agent-%d" % index for index in range(agents)]
    for agent_id in ids:
        cluster.start(agent_id)
    cluster.run(2.0)
    for agent_id in ids:
        cluster.join(agent_id)
    cluster.run(4.0)
    return cluster


def open_flows(cluster, first, count, seed):
    """Open flows one after the other; return the owner of each."""
    callers = range(first + seed * 100_000, first + seed * 100_000 + count)
    for caller in callers:
        cluster.send(caller)
        cluster.run(_GAP_S)
    cluster.run(1.0)
    keys = [flowsim.make_packet(caller).key for caller in callers]
    return [cluster.record(key).owners[0] for key in keys]


def imbalance(owners, agents):
    """Return max over mean of the flows of ``agents`` agents."""
    counts = collections.Counter(owners)
    return max(counts.values()) * agents / len(owners)


def moved(policy, seed):
    """Return the share of new flows that one more agent moves."""
    few = open_flows(start(policy, _AGENTS, seed), 0, _FLOWS, seed)
    more = open_flows(start(policy, _AGENTS + 1, seed), 0, _FLOWS, seed)
    return sum(one != two for one, two in zip(few, more)) / _FLOWS


def measure(policy, seed):
    """Return the :class:`Result` of one run."""
    cluster = start(policy, _AGENTS, seed)
    before = open_flows(cluster, 0, _FLOWS, seed)
    cluster.start("agent-7")
    cluster.run(2.0)
    cluster.join("agent-7")
    cluster.run(4.0)
    after = open_flows(cluster, _FLOWS, _FLOWS, seed)
    natural = open_flows(start("natural", _AGENTS, seed), 0, _FLOWS, seed)
    passed = sum(one != two for one, two in zip(before, natural))
    return Result(
        imbalance(before, _AGENTS),
        imbalance(after, _AGENTS + 1),
        passed / _FLOWS,
    )


def main():
    """Print one line for each policy and seed."""
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
                    result.before,
                    result.after,
                    result.passed,
                    moved(policy, seed),
                )
            )


if __name__ == "__main__":
    main()
