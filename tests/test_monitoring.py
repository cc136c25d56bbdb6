"""Monitoring: which agents a balancer watches for failure."""

import collections

from limpetlift.coordination import monitoring
from limpetlift import defaults


def _addresses(network, count):
    return [
        ("10.%d.%d.%d" % (network, number // 250, number % 250), 70)
        for number in range(count)
    ]


def _monitored_by_balancer(balancers, agents):
    return {
        balancer: monitoring.monitored(balancer, balancers, agents)
        for balancer in balancers
    }


def test_every_agent_is_monitored_by_several_balancers():
    """The failure of one balancer must not leave an agent unmonitored.

    The entry of a lost agent would stay, and searches would wait for it.
    """
    agents = _addresses(1, 136)
    monitored = _monitored_by_balancer(_addresses(2, 59), agents)
    counts = collections.Counter(
        agent for addresses in monitored.values() for agent in addresses
    )
    assert set(counts) == set(agents)
    assert min(counts.values()) >= defaults.MONITORS_PER_AGENT


def test_hellos_do_not_grow_with_the_fleet():
    """The hellos of a node must not grow with the number of nodes.

    Hellos of all balancers to all agents grew with the product of both.
    """
    means = []
    for size in (30, 300):
        monitored = _monitored_by_balancer(
            _addresses(2, size), _addresses(1, 2 * size)
        )
        means.append(sum(map(len, monitored.values())) / size)
    assert means[1] < 1.1 * means[0]


def test_every_balancer_monitors_some_agents():
    """A balancer that hears no agent is not ready and serves no caller."""
    agents = _addresses(1, 4)
    for addresses in _monitored_by_balancer(
        _addresses(2, 60), agents
    ).values():
        assert len(addresses) >= min(defaults.MONITORS_PER_AGENT, len(agents))


def test_a_lost_balancer_moves_few_agents():
    """A restart must not change which agents the other balancers monitor."""
    balancers = _addresses(2, 40)
    agents = _addresses(1, 100)
    before = _monitored_by_balancer(balancers, agents)
    after = _monitored_by_balancer(balancers[1:], agents)
    moved = sum(
        len(after[balancer] - before[balancer]) for balancer in balancers[1:]
    )
    assert moved <= len(before[balancers[0]])


def test_one_balancer_monitors_all_agents():
    """A deployment with one balancer must notice lost agents too."""
    agents = _addresses(1, 5)
    own = ("10.2.0.0", 70)
    assert monitoring.monitored(own, [], agents) == set(agents)
    assert monitoring.monitored(own, [], []) == set()
