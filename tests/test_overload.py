"""Peaks, stragglers and failing targets on virtual time.

The bounds are the targets of section 1 of the design page.
"""

import copy
import functools
import random

import pytest

from limpetlift import defaults
from limpetlift.testing import loadmodel

_MEAN_S = 0.02
_STRAGGLER = 50
_DEPLOYMENTS = [(7, 2), (7, 3), (4, 2), (3, 3)]


def _make(share=0.0, work_class="", route="POST /orders"):
    """Return a maker of requests, half of them with a key."""

    def make(rng, number, now):
        long = rng.random() < share
        seconds = rng.expovariate(1 / _MEAN_S)
        return loadmodel.Request(
            "r%d" % number,
            now,
            now + (30.0 if long else 1.0),
            seconds * (_STRAGGLER if long else 1),
            long,
            work_class if long else "",
            route if long else "POST /orders",
            "key-%d" % number if rng.random() < 0.5 else "",
        )

    return make


def _share_in_time(requests, since, until):
    chosen = [r for r in requests if since <= r.at < until]
    return sum(r.in_time for r in chosen) / len(chosen)


def _assert_run_at_most_once(requests):
    for request in requests:
        assert request.starts <= 1
        assert not (request.code not in ("", "timeout") and request.starts)


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_peak_does_twice_the_useful_work(agents, slots):
    """Overload must not fill the slots with work that ends too late."""
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
        size = loadmodel.Deployment(agents, slots, **options)
        model = loadmodel.Model(size, 1, copy.deepcopy(arrivals))
        runs.append(model.run())
        _assert_run_at_most_once(runs[-1])
    ours, baseline = (_share_in_time(run, 3.0, 13.0) for run in runs)
    assert ours >= 2 * baseline
    assert _share_in_time(runs[0], 16.0, 18.0) >= 0.99


@functools.cache
def _straggler_run(agents, slots, work_class, route):
    """Return p99 of short work with and without, and long work done."""
    mean = _MEAN_S * (0.95 + 0.05 * _STRAGGLER)
    rate = 0.6 * agents * slots / mean
    arrivals = loadmodel.arrivals(
        random.Random(1),
        lambda now: rate,
        60.0,
        _make(0.05, work_class, route),
    )
    size = loadmodel.Deployment(agents, slots)
    alone = [copy.copy(r) for r in arrivals if not r.long]
    loadmodel.Model(size, 1, arrivals).run()
    loadmodel.Model(size, 1, alone).run()
    _assert_run_at_most_once(arrivals)
    long = [r for r in arrivals if r.long]
    done = sum(r.seconds for r in long if r.in_time)
    return (
        _p99(arrivals),
        _p99(alone),
        done / sum(request.seconds for request in long),
    )


def _p99(requests):
    """Return the p99 of short work; no answer counts as the deadline."""
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
    """Declared long work must not take the slots of short work."""
    with_long, without, done = _straggler_run(
        agents, slots, "long", "POST /orders"
    )
    assert with_long <= 1.5 * without
    assert done >= 0.9


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_stragglers_of_a_route_do_not_delay_short_work(agents, slots):
    """Undeclared long work of its own route must be recognised."""
    with_long, without, done = _straggler_run(agents, slots, "", "PUT /maps")
    assert with_long <= 1.5 * without
    assert done >= 0.9


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_unknown_stragglers_do_not_delay_short_work(agents, slots):
    """Long work that nothing tells from short work before it starts."""
    with_long, without, _ = _straggler_run(agents, slots, "", "POST /orders")
    assert with_long <= 1.5 * without


@pytest.mark.parametrize("agents,slots", _DEPLOYMENTS)
def test_unknown_stragglers_get_their_share(agents, slots):
    """Work recognised as long after its start must still finish."""
    assert _straggler_run(agents, slots, "", "POST /orders")[2] >= 0.9


@pytest.mark.parametrize("agents,failing", [(10, 3), (7, 2)])
def test_retries_add_little_when_targets_fail(agents, failing):
    """Retries must not multiply the load when 30% of the targets fail."""
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
