"""Tests of the choice of the balancer for answers."""

from limpetlift import defaults
from limpetlift.state import returnpath

_FIRST = ("127.0.0.1", 1)
_SECOND = ("127.0.0.2", 1)


def test_answers_leave_a_silent_balancer():
    """Answers must not go to a balancer that has failed.

    A caller that only receives sends no packet through another balancer, so
    the balancer of its last packet would be used for good.
    """
    path = returnpath.ReturnPath()
    path.on_packet(0.0, _FIRST)
    assert path.choose(1.0, _FIRST) == _FIRST
    later = defaults.BALANCER_SILENT_AFTER_S + 1.0
    path.on_packet(later, _SECOND)
    assert path.choose(later, _FIRST) == _SECOND
    path.on_packet(later, _FIRST)
    assert path.choose(later, _FIRST) == _FIRST


def test_answers_stay_when_no_balancer_is_heard():
    """Answers must go to the last balancer when all are silent.

    Without traffic, no balancer forwards packets, and the agent would have
    none to send answers through if it took them all for failed.
    """
    path = returnpath.ReturnPath()
    path.on_packet(0.0, _FIRST)
    path.on_packet(1.0, _SECOND)
    assert path.choose(100.0, _FIRST) == _FIRST
    path.tick(100.0 + defaults.BALANCER_RETENTION_S)
    assert path.choose(1000.0, _FIRST) == _FIRST
