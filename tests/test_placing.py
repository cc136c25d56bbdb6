"""Placing: which agent takes a new flow, without network."""

import collections
import random

from limpetlift import defaults
from limpetlift.state import placing


def _candidate(number, **fields):
    values = {"agent_key": number, "slots": 2, "busy": 0, "flows": 0}
    values.update(fields)
    return placing.Candidate(**values)


def _chosen(candidates, tries=200):
    rng = random.Random(1)
    return collections.Counter(
        placing.choose_least(candidates, rng).agent_key for _ in range(tries)
    )


def test_short_work_stays_in_the_own_data_centre():
    """Uploads of 40 kB crossed data centres for a wait of a millisecond."""
    run_s = defaults.DATA_CENTRE_CROSSING_COST_S
    candidates = [
        _candidate("near", busy=1, is_near=True, run_s=run_s),
        _candidate("far", run_s=run_s),
    ]
    assert _chosen(candidates) == {"near": 200}


def test_long_work_goes_where_a_slot_is_free():
    """A wait behind long work costs more than any way between data centres."""
    run_s = 10 * defaults.DATA_CENTRE_CROSSING_COST_S
    candidates = [
        _candidate("near", busy=2, is_near=True, run_s=run_s),
        _candidate("far", busy=1, run_s=run_s),
    ]
    assert _chosen(candidates) == {"far": 200}


def test_a_full_near_server_sends_short_work_away():
    """The preference must not build a queue beside an idle server."""
    candidates = [
        _candidate("near", busy=3, is_near=True, run_s=0.001),
        _candidate("far", run_s=0.001),
    ]
    assert _chosen(candidates) == {"far": 200}
