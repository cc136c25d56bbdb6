"""Placing by the loads of a few agents that are asked, in a simulation."""

import statistics

import loadsim
import pytest

from limpetlift import defaults

# A deployment of many servers with one slot each, as at a job desk: mean run
# time of 25 ms and answers expected within 0.43 s.
_SERVERS = 109
_MEAN_RUN_S = 0.025
_CAPACITY_PER_S = _SERVERS / _MEAN_RUN_S


def _steady_rate(_now):
    """Return the rate of a busy hour."""
    return _CAPACITY_PER_S * 0.4


def _peak_rate(now):
    """Return a rate that rises to nine tenths of the capacity for 1 s."""
    return _CAPACITY_PER_S * (0.9 if 0.5 <= now < 1.5 else 0.4)


_RATE_BY_PATTERN = {"steady": _steady_rate, "peak": _peak_rate}


def _mean_score(pattern, asked):
    scores = []
    for seed in range(2):
        simulation = loadsim.LoadSimulation(
            _RATE_BY_PATTERN[pattern],
            lambda _now: 1.0,
            2.0,
            servers=_SERVERS,
            slots=1,
            balancers=59,
            aim_s=0.1,
            deadline_s=3.0,
            mean_s=_MEAN_RUN_S,
            seed=seed,
            asked=asked,
        )
        simulation.run()
        scores.append(simulation.score())
    return statistics.mean(scores)


@pytest.mark.parametrize("pattern", ["steady", "peak"])
def test_a_few_asked_agents_serve_as_well_as_reports_of_all(pattern):
    """Asking a few agents must not make callers wait longer.

    Reports of all agents are the baseline. They cost as many messages as the
    product of agents and balancers, and are up to 20 ms old. The margin of
    0.03 is the smallest difference that matters in these deployments.
    """
    asked = _mean_score(pattern, defaults.PLACING_CANDIDATES)
    assert asked >= _mean_score(pattern, 0) - 0.03


def test_one_asked_agent_is_not_enough():
    """The simulation must show the queues of a choice without comparison."""
    asked = _mean_score("peak", defaults.PLACING_CANDIDATES)
    assert _mean_score("peak", 1) < asked - 0.03
