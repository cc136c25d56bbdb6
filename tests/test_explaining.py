"""Tests for the timeline of a flow from the logs of all processes."""

import pytest

from limpetlift import exceptions
from limpetlift import explaining

_FLOW = "100.64.0.7:1033>198.18.0.1:443"
_OTHER = "100.64.0.7:1034>198.18.0.1:443"


def _line(second, process, event, **fields):
    rest = "".join(" %s=%s" % item for item in fields.items())
    return (
        "time=2026-03-03T13:13:%06.3f level=info logger=limpetlift.flow "
        "process=%s event=%s%s" % (second, process, event, rest)
    )


def test_timeline_corrects_differing_clocks():
    """A clock that is 30 s ahead must not reverse cause and effect.

    Without the correction, the lines of that process would be sorted after
    all lines of the others.
    """
    texts = [
        _line(32.003, "side-1", "flow_accepted", flow=_FLOW, copy=0),
        _line(2.000, "edge-1", "flow_placed", flow=_FLOW, agent="side-1"),
        _line(2.500, "edge-1", "flow_placed", flow=_OTHER, agent="side-1"),
        _line(32.503, "side-1", "flow_accepted", flow=_OTHER),
        _line(33.000, "side-1", "flow_reset", flow=_FLOW, reason="x"),
        _line(32.900, "side-1", "server_state", state="ready"),
        _line(2.950, "edge-1", "flow_searched", flow=_FLOW, asked=3),
    ]
    timeline = explaining.explain(texts, "100.64.0.7:1033")
    events = [text.split()[3] for text in timeline[1:-1]]
    assert events == [
        "flow_placed",
        "flow_accepted",
        "server_state",
        "flow_searched",
        "flow_reset",
    ]
    assert "30.0 s off; corrected" in timeline[-1]


def test_unreadable_lines_are_counted():
    """A truncated or malformed line must not hide the other lines."""
    texts = [
        _line(2.0, "edge-1", "flow_placed", flow=_FLOW),
        "time=yesterday event=flow_placed",
        "\xff\xfe nonsense",
    ]
    assert explaining.explain(texts, _FLOW)[-1] == (
        "2 lines could not be read"
    )


@pytest.mark.parametrize("flow", ["100.64.0.9:1", "100.64.0.7:103", ""])
def test_ambiguous_or_unknown_flow_is_rejected(flow):
    """The lines of two flows must not be mixed in one timeline."""
    texts = [
        _line(2.0, "edge-1", "flow_placed", flow=name)
        for name in (_FLOW, _OTHER)
    ]
    with pytest.raises(exceptions.StateError):
        explaining.explain(texts, flow)


def test_an_id_that_begins_another_is_found():
    """A whole id is not ambiguous, even if a longer id begins with it."""
    longer = _FLOW + "0"
    texts = [
        _line(2.0, "edge-1", "flow_placed", flow=name)
        for name in (_FLOW, longer)
    ]
    assert _FLOW + "," in explaining.explain(texts, _FLOW)[0]
    assert longer + "," in explaining.explain(texts, longer)[0]
