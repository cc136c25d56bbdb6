"""Reporting of load: who hears of a change, and when."""

import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import loadreporting

_NEAR = ("10.9.0.1", 80)
_FAR = ("10.9.0.2", 80)


def _reporting():
    reporting = loadreporting.LoadReporting()
    reporting.on_hello(0.0, _NEAR, True)
    reporting.on_hello(0.0, _FAR, False)
    reporting.tell_all(0.0, kit.load(1))
    return reporting


def _told(found):
    return {address for address, _ in kit.messages(found, tunnel.LoadReport)}


def test_far_balancers_hear_of_changes_less_often():
    """Reports of all changes to all balancers cost as much as the uploads.

    They grow with the product of agents and balancers, and most of them
    crossed data centres.
    """
    reporting = _reporting()
    now = defaults.LOAD_REPORT_MIN_INTERVAL_S
    assert _told(reporting.on_load(now, kit.load(2, busy=1))) == {_NEAR}
    now = defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S
    assert _told(reporting.on_load(now, kit.load(3, busy=2))) == {_NEAR, _FAR}


def test_all_balancers_hear_of_a_drain_at_once():
    """A leaving server must get no new flow from anywhere."""
    reporting = _reporting()
    found = reporting.tell_all(0.001, kit.load(2, accepting=False))
    assert _told(found) == {_NEAR, _FAR}


def test_reports_go_on_without_changes():
    """A silent agent would count as dead."""
    reporting = _reporting()
    assert not reporting.on_load(
        defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S, kit.load(2)
    )
    found = reporting.on_load(defaults.LOAD_REPORT_MAX_INTERVAL_S, kit.load(3))
    assert _told(found) == {_NEAR, _FAR}


def test_a_balancer_that_stopped_asking_is_forgotten():
    """Reports to balancers that are gone would go on for good."""
    reporting = _reporting()
    late = defaults.HELLO_MAX_AGE_S + 0.1
    reporting.on_hello(late, _NEAR, True)
    assert _told(reporting.tell_all(late, kit.load(2))) == {_NEAR}
    assert reporting.addresses() == [_NEAR]
