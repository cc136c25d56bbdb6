"""Admission of new flows at a crest, in a model without network."""

import random
import statistics

import loadsim
import pytest

# Requests a second that the servers of the model can run.
_CAPACITY = 7 * 3 / 0.043
_SEEDS = range(4)
_OUTAGE_S = 1.3


def _restart(at):
    """All servers come back, and the callers of half a second with them."""
    return _CAPACITY * (1.6 if at < 0.5 else 0.55)


def _cold(at):
    """Return how slow the servers are after a start."""
    return 1.6 if at < 2.0 else 1.0


def _burst(at):
    """Twice the usual callers come for three seconds."""
    return _CAPACITY * (1.2 if 1.0 <= at < 4.0 else 0.55)


def _crest(_at):
    """The highest demand of an ordinary day."""
    return _CAPACITY * 0.75


def _usual(_at):
    return 1.0


_PATTERNS = {
    "restart": (_restart, _cold),
    "burst": (_burst, _usual),
    "crest": (_crest, _usual),
}


def _worth(pattern, **fields):
    per_s, slow = _PATTERNS[pattern]
    runs = []
    for seed in _SEEDS:
        crest = loadsim.LoadSimulation(per_s, slow, 6.0, seed=seed, **fields)
        crest.run()
        runs.append(crest.worth())
    return statistics.mean(runs)


@pytest.mark.parametrize("pattern", ["restart", "burst"])
def test_admission_serves_more_callers_beyond_the_capacity(pattern):
    """A queue without bound made every answer late after a restart of all.

    The bound is the least change that counts as one in these deployments.
    """
    timely = _worth(pattern, admission="timely")
    always = _worth(pattern, admission="always")
    assert timely >= always + 0.03


def test_admission_costs_nothing_below_the_capacity():
    """A flow that can be served must not wait while there is room."""
    timely = _worth("crest", admission="timely")
    assert timely >= _worth("crest", admission="always") - 0.03


def _worth_after_an_outage(**fields):
    """Return the worth of the two seconds after all servers came back.

    Pattern: all are away for 1.3 s and come back within 0.2 s, cold, at a
    little under half of the demand that they can meet when warm. Twenty
    balancers place what waited, by the same old reports.
    """
    runs = []
    for seed in _SEEDS:
        rng = random.Random(seed)
        up_at = [_OUTAGE_S + 0.2 * rng.random() for _ in range(35)]
        crest = loadsim.LoadSimulation(
            lambda at: 0.45 * 35 * 3 / 0.043,
            lambda at: 1.6 if at < _OUTAGE_S + 2.0 else 1.0,
            _OUTAGE_S + 3.0,
            servers=35,
            balancers=20,
            seed=seed,
            up_at=lambda number, up_at=up_at: up_at[number],
            **fields,
        )
        crest.run()
        runs.append(crest.worth(_OUTAGE_S + 0.7, _OUTAGE_S + 2.7))
    return statistics.mean(runs)


def test_agents_that_know_their_queues_serve_more_callers():
    """Balancers with the same old reports all chose the same few servers.

    The bound is the least change that counts as one in these deployments.
    """
    found = _worth_after_an_outage(agents_admit=True)
    assert found >= _worth_after_an_outage(agents_admit=False) + 0.03


def test_placing_by_load_beats_chance():
    """Flows at random leave one server with a queue beside idle ones."""
    fields = {"admission": "always"}
    least = _worth("crest", placing_policy="least", **fields)
    two = _worth("crest", placing_policy="two", **fields)
    chance = _worth("crest", placing_policy="random", **fields)
    assert least >= chance + 0.03
    assert least >= two - 0.03
