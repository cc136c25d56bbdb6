"""Load reports of an agent: which balancers receive them, and when."""

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
    reporting.send_to_all(0.0, kit.load(1))
    return reporting


def _receivers(result):
    return {address for address, _ in kit.messages(result, tunnel.LoadReport)}


def test_far_balancers_receive_changes_less_often():
    """Reports of every change to all balancers cost as much as the uploads.

    Their number grows with the product of agents and balancers, and most of
    them crossed data centres.
    """
    reporting = _reporting()
    now = defaults.LOAD_REPORT_MIN_INTERVAL_S
    assert _receivers(reporting.on_load(now, kit.load(2, busy=1))) == {_NEAR}
    now = defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S
    assert _receivers(reporting.on_load(now, kit.load(3, busy=2))) == {
        _NEAR,
        _FAR,
    }


def test_a_drain_is_reported_to_all_balancers_at_once():
    """Until the report arrives, balancers place new flows on the server.

    A report that waited for the interval of far balancers would let them
    place flows on a draining server.
    """
    reporting = _reporting()
    result = reporting.send_to_all(0.001, kit.load(2, accepting=False))
    assert _receivers(result) == {_NEAR, _FAR}


def test_an_unchanged_load_is_reported_periodically():
    """Balancers treat an agent as failed when its reports stop."""
    reporting = _reporting()
    assert not reporting.on_load(
        defaults.LOAD_REPORT_FAR_MIN_INTERVAL_S, kit.load(2)
    )
    result = reporting.on_load(
        defaults.LOAD_REPORT_MAX_INTERVAL_S, kit.load(3)
    )
    assert _receivers(result) == {_NEAR, _FAR}


def test_a_balancer_without_a_recent_hello_is_removed():
    """A balancer that has ended would otherwise be sent reports forever."""
    reporting = _reporting()
    late = defaults.HELLO_MAX_AGE_S + 0.1
    reporting.on_hello(late, _NEAR, True)
    assert _receivers(reporting.send_to_all(late, kit.load(2))) == {_NEAR}
    assert reporting.addresses() == [_NEAR]
