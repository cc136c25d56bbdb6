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


def _events(texts):
    return [
        text.split()[3]
        for text in explaining.explain(texts, _FLOW)[1:]
        if text.split()[1] == "s"
    ]


def test_forwarded_copies_and_reused_addresses_are_shown():
    """The story must tell that another agent took over the flow's address.

    The agent that joined is not named by any line of the flow, and joined long
    before it. Agents at other addresses do not belong to the story.
    """
    address = "10.0.0.1:70"
    texts = [
        _line(
            1.0,
            "edge-1",
            "agent_joined",
            agent="side-9",
            address=address,
            replaced="side-1",
        ),
        _line(
            1.1,
            "edge-1",
            "agent_joined",
            agent="side-8",
            address="10.0.0.2:70",
            replaced="side-2",
        ),
        _line(1.2, "edge-1", "agent_joined", agent="side-1", address=address),
        _line(
            30.0,
            "edge-1",
            "flow_placed",
            flow=_FLOW,
            agent="side-1",
            address=address,
        ),
        _line(30.2, "edge-1", "copy_forwarded", flow=_FLOW, address=address),
        _line(30.3, "edge-1", "agent_gone", agent="side-7", address=address),
    ]
    assert _events(texts) == [
        "agent_joined",
        "flow_placed",
        "copy_forwarded",
        "agent_gone",
    ]


@pytest.mark.parametrize(
    "event", ["report_other_service", "settings_need_restart"]
)
def test_a_lasting_state_of_an_agent_is_shown(event):
    """It is logged once, and may explain flows of a much later time."""
    texts = [
        _line(1.0, "side-1", event),
        _line(1.0, "side-2", event),
        _line(1.5, "side-1", "settings_changed"),
        _line(40.0, "side-1", "flow_accepted", flow=_FLOW),
        _line(50.0, "side-1", event),
    ]
    assert _events(texts) == [event, "flow_accepted"]
