"""Overload, stragglers and failing agents in virtual time.

The bounds are the targets of section 1 of the design page.
"""

import copy
import functools
import random

import pytest

from limpetlift import defaults
from limpetlift.testing import loadmodel

_MEAN_S = 0.02
# Run time of a straggler as a multiple of that of short work.
_STRAGGLER_FACTOR = 50
# Agents of a service and slots of each.
_DEPLOYMENTS = [(7, 2), (7, 3), (4, 2), (3, 3)]


def _make(share=0.0, work_class="", route="POST /orders"):
    """Return a function that makes requests, half of them with a key.

    :param share: share of stragglers.
    :param work_class: class that stragglers declare.
    :param route: route of stragglers.
    """

    def make(rng, number, now):
        long = rng.random() < share
        seconds = rng.expovariate(1 / _MEAN_S)
        return loadmodel.Request(
            "r%d" % number,
            now,
            now + (30.0 if long else 1.0),
            seconds * (_STRAGGLER_FACTOR if long else 1),
            long,
            work_class if long else "",
            route if long else "POST /orders",
            "key-%d" % number if rng.random() < 0.5 else "",
        )

    return make


def _share_in_time(requests, since, until):
    chosen = [r for r in requests if since <= r.at < until]
    return sum(r.in_time for r in chosen) / len(chosen)


def _seconds_in_time(requests, since, until):
    return sum(
        r.seconds for r in requests if since <= r.at < until and r.in_time
    )


def _assert_run_at_most_once(requests):
    for request in requests:
        assert request.starts <= 1
        assert not (request.code not in ("", "timeout") and request.starts)


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_peak_does_twice_the_useful_work(agents, slots):
    """Overload must not fill the slots with work that ends too late.

    At three times the capacity, arrival order starts requests that have little
    time left and end too late. Service must recover within 3 s after the peak.
    """
    capacity = agents * slots / _MEAN_S
    arrivals = loadmodel.arrivals(
        random.Random(1),
        lambda now: capacity * (3.0 if 3.0 <= now < 13.0 else 0.6),
        18.0,
        _make(),
    )
    runs = []
    for options in (
        {},
        {"policy": "fifo", "choice": "random", "retries": False},
    ):
        deployment = loadmodel.Deployment(agents, slots, **options)
        model = loadmodel.Model(deployment, 1, copy.deepcopy(arrivals))
        runs.append(model.run())
        _assert_run_at_most_once(runs[-1])
    measured, baseline = (_share_in_time(run, 3.0, 13.0) for run in runs)
    assert measured >= 2 * baseline
    measured, baseline = (_seconds_in_time(run, 3.0, 13.0) for run in runs)
    assert measured >= 2 * baseline
    assert _share_in_time(runs[0], 16.0, 18.0) >= 0.99


@functools.cache
def _straggler_run(agents, slots, work_class, route):
    """Run short work with and without stragglers.

    :returns: p99 of short work with and without them, and the share of long
        work, by run time, that was answered in time.
    """
    mean_s = _MEAN_S * (0.95 + 0.05 * _STRAGGLER_FACTOR)
    rate = 0.6 * agents * slots / mean_s
    arrivals = loadmodel.arrivals(
        random.Random(1),
        lambda now: rate,
        60.0,
        _make(0.05, work_class, route),
    )
    deployment = loadmodel.Deployment(agents, slots)
    alone = [copy.copy(r) for r in arrivals if not r.long]
    loadmodel.Model(deployment, 1, arrivals).run()
    loadmodel.Model(deployment, 1, alone).run()
    _assert_run_at_most_once(arrivals)
    long = [r for r in arrivals if r.long]
    answered_s = sum(r.seconds for r in long if r.in_time)
    return (
        _p99(arrivals),
        _p99(alone),
        answered_s / sum(request.seconds for request in long),
    )


def _p99(requests):
    """Return the p99 latency of short work in seconds.

    A request without an answer counts with its time until the deadline.
    """
    return loadmodel.percentile(
        [
            (r.answered_at or r.deadline) - r.at
            for r in requests
            if not r.long and r.at > 5.0
        ],
        0.99,
    )


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_declared_stragglers_do_not_delay_short_work(agents, slots):
    """Declared long work must not take the slots of short work.

    Otherwise short requests wait for work that takes 50 times as long.
    """
    with_long, without, answered_share = _straggler_run(
        agents, slots, "long", "POST /orders"
    )
    assert with_long <= 1.5 * without
    assert answered_share >= 0.9


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_stragglers_of_a_route_do_not_delay_short_work(agents, slots):
    """Long work that is not declared must be recognised by its route.

    The route of the long requests has no short ones.
    """
    with_long, without, answered_share = _straggler_run(
        agents, slots, "", "PUT /maps"
    )
    assert with_long <= 1.5 * without
    assert answered_share >= 0.9


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_unknown_stragglers_do_not_delay_short_work(agents, slots):
    """Long work must not delay others even if nothing announces it.

    It has the route and class of short work, so it is recognised only while it
    runs and may take every slot.
    """
    with_long, without, _ = _straggler_run(agents, slots, "", "POST /orders")
    assert with_long <= 1.5 * without


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_unknown_stragglers_get_their_share(agents, slots):
    """Work that is recognised as long after its start must still finish.

    Measures that protect short work must not starve it.
    """
    assert _straggler_run(agents, slots, "", "POST /orders")[2] >= 0.9


@pytest.mark.parametrize("agents,failing", [(10, 3), (7, 2)])
def test_retries_add_little_when_targets_fail(agents, failing):
    """Retries must not multiply the load when 30% of the agents fail.

    Each request to a failed agent is refused at once and sent again.
    """
    rate = 0.5 * agents * 2 / _MEAN_S
    arrivals = loadmodel.arrivals(
        random.Random(1), lambda now: rate, 20.0, _make()
    )
    model = loadmodel.Model(
        loadmodel.Deployment(agents, 2),
        1,
        arrivals,
        fail_at=5.0,
        fail=tuple("agent-%d" % number for number in range(failing)),
    )
    model.run()
    _assert_run_at_most_once(arrivals)
    assert model.attempts <= (1 + defaults.RETRY_TOKENS_PER_REQUEST) * len(
        arrivals
    )
    assert _share_in_time(arrivals, 6.0, 20.0) >= 0.99
