"""Tests of the placing policies."""

import collections
import random

from limpetlift import defaults
from limpetlift.scheduling import placing


def _candidate(agent_key, **fields):
    values = {"agent_key": agent_key, "slots": 2, "busy": 0, "flows": 0}
    values.update(fields)
    return placing.Candidate(**values)


def _choices(candidates, tries=200):
    rng = random.Random(1)
    return collections.Counter(
        placing.choose_least(candidates, rng).agent_key for _ in range(tries)
    )


def test_short_work_stays_in_the_own_data_centre():
    """Short requests must not cross data centres to save a short wait.

    Uploads of 40 kB were sent to another data centre to save a wait of 1 ms.
    """
    run_s = defaults.DATA_CENTRE_CROSSING_COST_S
    candidates = [
        _candidate("near", busy=1, is_near=True, run_s=run_s),
        _candidate("far", run_s=run_s),
    ]
    assert _choices(candidates) == {"near": 200}


def test_long_work_goes_where_a_slot_is_free():
    """Long requests must not wait in the own data centre beside a free slot.

    The wait costs more than any path between data centres.
    """
    run_s = 10 * defaults.DATA_CENTRE_CROSSING_COST_S
    candidates = [
        _candidate("near", busy=2, is_near=True, run_s=run_s),
        _candidate("far", busy=1, run_s=run_s),
    ]
    assert _choices(candidates) == {"far": 200}


def test_short_work_leaves_a_full_near_server():
    """The preference must not build a queue while another server is idle."""
    candidates = [
        _candidate("near", busy=3, is_near=True, run_s=0.001),
        _candidate("far", run_s=0.001),
    ]
    assert _choices(candidates) == {"far": 200}
