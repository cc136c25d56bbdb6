"""Hosting: an agent's decisions about the flows of its backend server."""

import time
import types

import attrs
import pytest
import segmentkit as kit

from limpetlift import defaults


from limpetlift.platform import web
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import steps
from limpetlift.tasks import segmentagent
from limpetlift.transport import http1
from limpetlift.transport import probing

_BALANCER = ("10.9.0.1", 80)
_OTHER_BALANCER = ("10.9.0.2", 80)
_SERVICE_ID = hashing.service_id("desk")


_INTERVAL_S = defaults.REPORT_INTERVAL_S
# The shortest time after which a server's address is given to another one,
# less the longest stall that an agent does not notice.
_REUSE_S = defaults.ADDRESS_REUSE_S - defaults.PAUSE_MIN_S


def _report(number=1, state=reports.READY, started_ms=1000, server_id="s-1"):
    return reports.Report(
        server_id, "desk", started_ms, number, state, slots=2
    )


def _agent(knows_all_flows=True, report=True):
    agent = hosting.FlowHosting("desk", 1, kit.decode, knows_all_flows)
    if report:
        agent.on_report(0.0, _report())
    return agent


def _forward(agent, now, port, flags=0, balancer=_BALANCER, **fields):
    data = kit.datagram(port, flags, **fields)
    return agent.on_message(now, balancer, tunnel.Forward(_SERVICE_ID, data))


def _forward_tentatively(agent, now, port, balancer=_BALANCER, **fields):
    data = kit.datagram(port, kit.ACK, **fields)
    return agent.on_message(now, balancer, tunnel.TentativeForward(data))


def _open_flow(agent, now, port, sequence=500):
    _forward(agent, now, port, kit.SYN)
    return agent.on_server_segment(
        now, kit.server_segment(port, kit.SYN | kit.ACK, sequence=sequence)
    )


def _is_delivered(result):
    return steps.SendToServer in kit.step_types(result)


def _declined_reasons(result):
    return [
        message.reason for _, message in kit.messages(result, tunnel.Declined)
    ]


def _tick_until_reports_are_current(agent, now):
    for _ in range(defaults.OUTDATED_REPORT_TICKS):
        agent.tick(now)


def _close_flow(agent, now, port):
    _forward(agent, now, port, kit.FIN | kit.ACK, ack=501)
    agent.on_server_segment(
        now, kit.server_segment(port, kit.FIN | kit.ACK, sequence=501)
    )


def _run_timers(agent, until):
    """Run the timers up to ``until``.

    An agent ignores the silence of its server while no timers run.
    """
    for step in range(1, int(until / 0.1) + 1):
        agent.tick(step * 0.1)


def test_segments_are_forwarded_to_the_server_and_the_caller():
    """Datagrams must be forwarded unchanged in both directions."""
    agent = _agent()
    result = _forward(agent, 0.0, 1, kit.SYN)
    assert kit.step_types(result) == [steps.SendToServer]
    assert result[0].data == kit.datagram(1, kit.SYN)
    result = _open_flow(agent, 0.0, 1)
    assert kit.step_types(result) == [steps.SendToCaller]


def test_a_draining_server_gets_no_new_flow_and_keeps_the_open_ones():
    """A balancer may place a new flow by a load report older than the drain.

    The agent must decline it and go on forwarding the flows that are open.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    agent.on_report(1.0, _report(2, reports.DRAINING))
    result = _forward(agent, 1.0, 2, kit.SYN)
    assert kit.messages(result, tunnel.Declined) == [
        (_BALANCER, tunnel.Declined("draining", kit.datagram(2, kit.SYN)))
    ]
    assert kit.step_types(_forward(agent, 1.0, 1, kit.ACK, ack=501)) == [
        steps.SendToServer
    ]


def test_a_late_report_does_not_undo_the_drain():
    """A delayed report from before the drain arrives after the drain's report.

    Taking it over would send new flows to a server that is leaving.
    """
    agent = _agent()
    agent.on_report(1.0, _report(3, reports.DRAINING))
    agent.on_report(1.1, _report(2, reports.READY))
    assert agent.decline_reason(1.1, _SERVICE_ID) == "draining"


def test_a_report_of_an_earlier_start_is_ignored():
    """A delayed report of a crashed server arrives after its successor's.

    It must not replace the state of the server that runs now.
    """
    agent = _agent()
    agent.on_report(
        1.0, _report(1, reports.DRAINING, started_ms=2000, server_id="s-2")
    )
    agent.on_report(1.1, _report(9, reports.READY, started_ms=1000))
    assert agent.decline_reason(1.1, _SERVICE_ID) == "draining"


def test_another_server_with_the_same_start_is_logged():
    """Two servers may tell the same start time, or none at all.

    The log must show since when the agent has gone by the second one.
    """
    agent = _agent()
    later = 1.0 + _INTERVAL_S * defaults.SERVER_SILENT_INTERVALS
    agent.on_report(later, _report(1, server_id="s-2"))
    logged = [
        step.fields["server"]
        for step in agent.on_report(later, _report(2, server_id="s-2"))
        if isinstance(step, steps.LogEvent) and step.event == "server_state"
    ]
    assert logged == ["s-2"]


def test_a_start_that_looks_older_is_accepted_when_it_keeps_reporting():
    """A restarted server looks older after its clock was set back.

    Its reports would otherwise be ignored for good.
    """
    agent = _agent()
    agent.on_report(1.0, _report(2, started_ms=9000))
    later = 1.0 + _INTERVAL_S * defaults.SERVER_SILENT_INTERVALS + 0.1
    for number in (1, 2):
        agent.on_report(
            later,
            _report(number, reports.DRAINING, 5000, server_id="s-2"),
        )
    assert agent.decline_reason(1.0, _SERVICE_ID) == "draining"


def test_an_agent_without_a_report_declines_new_flows():
    """A server beside a restarted agent may already be draining."""
    agent = _agent(report=False)
    result = _forward(agent, 0.0, 1, kit.SYN)
    assert kit.messages(result, tunnel.Declined)[0][1].reason == (
        "server_unknown"
    )


def test_a_flow_of_another_service_is_declined():
    """An agent's address may have been that of an agent of another service.

    A balancer that does not know this yet forwards the other service's flows.
    """
    agent = _agent()
    data = kit.datagram(1, kit.SYN)
    result = agent.on_message(
        0.0, _BALANCER, tunnel.Forward(hashing.service_id("photos"), data)
    )
    assert kit.messages(result, tunnel.Declined)[0][1].reason == (
        "other_service"
    )


@pytest.mark.parametrize("known", ["tentative", "open", "closed"])
def test_a_known_flow_does_not_let_another_service_in(known):
    """A first segment for another service must not reach this server.

    The agent checked the service only of flows that it did not know. It knows
    a flow also because a balancer searched for it here, or because an earlier
    flow between the same ports was here.
    """
    agent = _agent(knows_all_flows=known != "tentative")
    if known == "tentative":
        _forward_tentatively(agent, 0.1, 1, ack=900)
    else:
        _open_flow(agent, 0.1, 1)
    if known == "closed":
        _close_flow(agent, 0.2, 1)
    forward = tunnel.Forward(
        hashing.service_id("maps"), kit.datagram(1, kit.SYN)
    )
    result = agent.on_message(0.3, _BALANCER, forward)
    assert kit.messages(result, tunnel.Declined) == [
        (_BALANCER, tunnel.Declined("other_service", forward.data))
    ]
    assert steps.SendToServer not in kit.step_types(result)


def test_a_later_flow_between_the_same_ports_is_a_new_one():
    """A flow must not be forgotten because an earlier one had its key.

    It was taken for the earlier one, without regard to the server's state,
    and was removed with it after 3 s. It then counted as lost while it was
    open.
    """
    agent = _agent()
    _open_flow(agent, 0.1, 1)
    _close_flow(agent, 0.2, 1)
    _open_flow(agent, 1.0, 1, sequence=9000)
    _run_timers(agent, 0.2 + 2 * defaults.CLOSED_FLOW_RETENTION_S)
    result = _forward(agent, 7.0, 1, kit.ACK, ack=9001)
    assert kit.step_types(result) == [steps.SendToServer]


def test_a_draining_server_gets_no_later_flow_between_the_same_ports():
    """A server that drains must not get a new flow with the key of an old one.

    The agent checks the state of the server for new flows only.
    """
    agent = _agent()
    _open_flow(agent, 0.1, 1)
    _close_flow(agent, 0.2, 1)
    agent.on_report(0.3, _report(2, reports.DRAINING))
    result = _forward(agent, 1.0, 1, kit.SYN)
    assert kit.step_types(result) == [steps.SendToPeer]
    assert kit.messages(result, tunnel.Declined)


def test_an_agent_declines_flows_that_would_wait_too_long():
    """Many balancers placed flows at the same time by the same old report.

    Their requests would all queue at one server if the agent did not check
    the wait with its own queue.
    """
    agent = _agent()
    for port in range(1, 9):
        data = kit.datagram(port, kit.SYN)
        result = agent.on_message(
            0.0, _BALANCER, tunnel.Forward(_SERVICE_ID, data, wait_ms=40)
        )
    ((_, message),) = kit.messages(result, tunnel.Declined)
    assert message.reason == "busy"
    # A copy of an accepted flow's first segment, and a flow without a limit
    # on its wait, are accepted.
    data = kit.datagram(1, kit.SYN, ack=1)
    result = agent.on_message(
        0.0, _BALANCER, tunnel.Forward(_SERVICE_ID, data, wait_ms=40)
    )
    assert steps.SendToServer in kit.step_types(result)
    assert steps.SendToServer in kit.step_types(
        _forward(agent, 0.0, 20, kit.SYN)
    )


def test_a_returned_first_segment_is_declined_at_once():
    """Without the decline the flow waits for the caller's retransmission.

    It comes after 200 ms, which would make the request late.
    """
    agent = _agent()
    _forward(agent, 0.0, 1, kit.SYN)
    result = agent.on_server_segment(
        0.001, kit.returned_segment(1, kit.SYN, echo=3)
    )
    assert kit.messages(result, tunnel.Declined) == [
        (
            _BALANCER,
            tunnel.Declined("server_refused", kit.datagram(1, kit.SYN)),
        )
    ]


def test_an_unanswered_first_segment_is_declined():
    """A server that crashed silently does not return the segment.

    Without a time-out the flow would wait 200 ms for a retransmission.
    """
    agent = _agent()
    _forward(agent, 0.0, 1, kit.SYN)
    result = agent.tick(defaults.SERVER_ANSWER_TIMEOUT_S + 0.001)
    declined = kit.messages(result, tunnel.Declined)
    assert [message.reason for _, message in declined] == ["server_silent"]


def test_a_silent_server_gets_no_more_flows_until_it_reports():
    """Otherwise new flows would be tried one by one at a dead server."""
    agent = _agent()
    for port in range(defaults.MAX_SILENT_FLOWS):
        _forward(agent, 0.0, port, kit.SYN)
    agent.tick(defaults.SERVER_ANSWER_TIMEOUT_S + 0.001)
    assert agent.decline_reason(0.0, _SERVICE_ID) == "server_silent"
    agent.on_report(1.0, _report(2))
    assert agent.decline_reason(1.0, _SERVICE_ID) == ""


def test_a_flow_that_the_server_lost_is_reset():
    """A crashed server loses its flows; without a reset callers time out."""
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    segment = kit.returned_segment(1, kit.ACK, ack=501, payload=b"x")
    result = agent.on_server_segment(1.0, segment)
    assert [(step.reason, step.ack) for step in kit.resets(result)] == [
        ("server_lost_flow", 501)
    ]


def test_a_late_segment_of_a_closed_flow_resets_nothing():
    """A delayed copy of a segment arrives after both ends have finished.

    The server returns it, but the flow was not lost.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    _forward(agent, 0.1, 1, kit.ACK | kit.FIN, sequence=1, ack=501)
    agent.on_server_segment(
        0.1, kit.server_segment(1, kit.ACK | kit.FIN, sequence=501, ack=2)
    )
    segment = kit.returned_segment(
        1, kit.ACK, sequence=1, ack=501, payload=b"x"
    )
    assert not kit.step_types(agent.on_server_segment(0.2, segment))


def test_a_flow_of_another_server_is_not_reset():
    """Two servers answered copies of a first segment.

    The caller continues with the other server, so a segment that this server
    returns does not show that the flow is lost.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    other = 500 + (1 << 28)
    result = agent.on_server_segment(
        0.01, kit.returned_segment(1, kit.ACK, ack=other + 1)
    )
    assert not kit.resets(result)
    assert kit.messages(result, tunnel.UnknownFlow)


def test_lost_flows_are_reset_when_the_server_restarts():
    """A caller that waits for an answer of the old server sends nothing more.

    The agent resends the caller's last segment; if the restarted server
    returns it, the flow is lost and must be reset.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    _forward(agent, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    result = agent.on_report(5.0, _report(1, started_ms=6000, server_id="s-2"))
    assert [
        step.data for step in result if isinstance(step, steps.SendToServer)
    ] == [kit.datagram(1, kit.ACK, sequence=1, ack=501, payload=b"ask")]
    result = agent.on_server_segment(
        5.01,
        kit.returned_segment(1, kit.ACK, sequence=1, ack=501, payload=b"ask"),
    )
    assert [step.reason for step in kit.resets(result)] == ["server_lost_flow"]


def test_a_flow_of_the_restarted_server_is_not_reset():
    """A server accepts flows before its first report reaches the agent.

    Found by the soak (seed 11): the report of a restarted server made its
    agent reset a flow that the server had just accepted.
    """
    agent = _agent()
    _open_flow(agent, 4.9, 1, sequence=500)
    _forward(agent, 4.95, 1, kit.ACK, sequence=1, ack=501)
    result = agent.on_report(5.0, _report(1, started_ms=6000, server_id="s-2"))
    assert not kit.resets(result)
    result = agent.on_server_segment(
        5.01, kit.server_segment(1, kit.ACK, ack=2)
    )
    assert kit.step_types(result) == [steps.SendToCaller]


def test_flows_are_reset_when_the_agent_stops_after_its_server():
    """The platform stops an agent after its server has ended.

    Without resets the callers of the remaining flows would time out.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    agent.on_leave(1.0, "s-1")
    result = agent.stop(2.0)
    assert [step.reason for step in kit.resets(result)] == ["server_gone"]


def test_a_stopping_agent_detects_whether_its_server_has_ended():
    """An agent that had never received a report ended without leaving.

    After a loss of power it had started beside a server that had left, and
    balancers continued to ask it for flows.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    agent.stop(0.5)
    _forward_tentatively(agent, 0.6, 1, ack=900)
    agent.on_server_segment(0.6, kit.returned_segment(1, kit.ACK, ack=900))
    agent.on_server_segment(0.6, kit.server_segment(2, kit.ACK))
    agent.on_server_segment(0.6, kit.server_segment(3, kit.RST))
    assert agent.has_server_ended(0.7) is None
    late = 0.6 + _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS
    assert steps.ProbeServer in kit.step_types(agent.tick(late))
    agent.on_server_absent(late)
    assert agent.has_server_ended(late)
    agent.on_message(0.1, _BALANCER, tunnel.Hello())
    assert kit.messages(agent.leave(), tunnel.AgentLeft) == [
        (_BALANCER, tunnel.AgentLeft(agent.incarnation))
    ]


def test_a_stopping_agent_does_not_leave_beside_a_frozen_server():
    """A server that stands still reports nothing and still holds its flows.

    Its agent announced that it leaves, after which its flows count as lost.
    """
    agent = _agent()
    agent.tick(0.0)
    _open_flow(agent, 0.1, 1)
    agent.stop(0.5)
    late = 0.5 + _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS
    assert steps.ProbeServer in kit.step_types(agent.tick(late))
    assert agent.has_server_ended(late) is None
    assert agent.has_server_ended(late + 10.0) is None
    agent.on_server_absent(late + 10.1)
    assert agent.has_server_ended(late + 10.1)


def test_a_paused_agent_does_not_count_its_server_as_ended():
    """An agent was paused and then stopped.

    Nothing was received during the pause, which is no silence of the server.
    """
    agent = _agent()
    agent.tick(0.0)
    agent.on_pause(5.0, 5.0)
    agent.tick(5.0)
    agent.stop(5.0)
    assert agent.has_server_ended(5.6) is None


def test_a_first_segment_from_a_pause_is_handed_back():
    """A first segment that waited in a paused agent must not open its flow.

    Its caller has sent copies, and another server may have run the request
    (soak, seed 201: a request ran at two servers).
    """
    agent = _agent()
    agent.on_pause(5.0, 3.0)
    result = _forward(agent, 5.0, 1, kit.SYN)
    assert [
        message.reason for _, message in kit.messages(result, tunnel.Declined)
    ] == ["paused"]
    assert steps.SendToServer not in kit.step_types(result)
    agent.on_caught_up()
    _tick_until_reports_are_current(agent, 5.04)
    agent.on_report(5.05, _report(2))
    result = _forward(agent, 5.1, 2, kit.SYN)
    assert steps.SendToServer in kit.step_types(result)


@pytest.mark.parametrize("pauses", [1, 2])
def test_a_request_for_another_server_does_not_run_here(pauses):
    """A request must not reach a server that the caller has not heard.

    An agent was paused with the first segment and the request in its socket,
    also twice in a row. The copy of the first segment opened the flow at
    another server, which ran the request. The paused agent's server got both,
    too, and accepts an acknowledgement near its own number by chance.
    """
    agent = _agent()
    _forward(agent, 0.0, 1, kit.SYN)
    for number in range(pauses):
        agent.on_pause(3.0 + number, 2.5)
    result = _forward(agent, 4.0, 1, kit.ACK, ack=501, payload=b"book")
    assert steps.SendToServer not in kit.step_types(result)
    assert kit.messages(result, tunnel.UnknownFlow)
    # The same holds once this server has answered the first segment.
    agent.on_server_segment(
        4.1, kit.server_segment(1, kit.SYN | kit.ACK, sequence=499_000)
    )
    result = _forward(agent, 4.2, 1, kit.ACK, ack=501, payload=b"book")
    assert steps.SendToServer not in kit.step_types(result)
    ack = 499_001
    result = _forward(agent, 4.3, 1, kit.ACK, ack=ack, payload=b"book")
    assert steps.SendToServer in kit.step_types(result)


def test_everything_that_the_server_sent_may_be_acknowledged():
    """Segments of an open flow must reach their server, in any order.

    Acknowledgements of earlier bytes come late, and numbers wrap.
    """
    agent = _agent()
    first = (1 << 32) - 3
    _open_flow(agent, 0.0, 1, sequence=first)
    for offset in (1, 7, 3):
        agent.on_server_segment(
            0.1,
            kit.server_segment(
                1,
                kit.ACK,
                sequence=first + offset & 0xFFFFFFFF,
                payload=b"answer",
            ),
        )
    for offset in (13, 1, 7):
        result = _forward(
            agent, 0.2, 1, kit.ACK, ack=first + offset & 0xFFFFFFFF
        )
        assert steps.SendToServer in kit.step_types(result)


def test_a_flow_taken_by_a_restarted_server_continues():
    """A copy of a first segment may open the flow at a server's next start.

    Its number differs from the one that the server gave before.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    _forward(agent, 0.2, 1, kit.SYN, ack=1)
    agent.on_server_segment(
        0.2, kit.server_segment(1, kit.SYN | kit.ACK, sequence=90_000)
    )
    result = _forward(agent, 0.3, 1, kit.ACK, ack=90_001, payload=b"book")
    assert steps.SendToServer in kit.step_types(result)


def test_a_flow_known_late_is_not_judged_by_its_numbers():
    """An agent that restarted has not seen all that its server sent.

    Acknowledgements of segments before its start must reach the server.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.on_report(0.0, _report(number=5))
    _open_flow(agent, 0.0, 1, sequence=500)
    result = _forward(agent, 0.1, 1, kit.ACK, ack=60_000)
    assert steps.SendToServer in kit.step_types(result)


def test_a_pause_gives_the_server_time_to_answer():
    """An answer that waits in the paused agent's socket must count.

    The first segment was handed back, and two servers held the flow.
    """
    agent = _agent()
    _forward(agent, 0.0, 1, kit.SYN)
    agent.on_pause(2.0, 2.0)
    assert not kit.messages(agent.tick(2.0), tunnel.Declined)


def test_an_agent_stays_listed_beside_a_running_server():
    """An agent that restarts beside a running server must not leave.

    Balancers would take the flows of the server for lost.
    """
    agent = _agent()
    agent.stop(0.5)
    assert agent.has_server_ended(0.6) is None
    agent.on_report(1.0, _report(2))
    assert agent.has_server_ended(9.0) is False


def test_a_planned_stop_resets_nothing_while_the_server_runs():
    """A restart of the agent must not cut the flows of its running server."""
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    assert not kit.resets(agent.stop(1.0))


def test_a_restarted_agent_sends_unknown_flows_to_the_server():
    """A restarted agent does not know the flows from before its restart.

    Only the server can tell whether it holds a flow; it answers or returns
    the segment. A flow that it holds must continue.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.on_report(0.0, _report(7))
    result = _forward(agent, 0.1, 1, kit.ACK, ack=900)
    assert kit.step_types(result) == [steps.SendToServer]
    result = agent.on_server_segment(0.1, kit.server_segment(1, kit.ACK))
    assert kit.step_types(result) == [steps.SendToPeer, steps.SendToCaller]
    result = _forward(agent, 0.2, 2, kit.ACK, ack=900)
    result = agent.on_server_segment(
        0.2, kit.returned_segment(2, kit.ACK, ack=900)
    )
    assert kit.messages(result, tunnel.UnknownFlow)


def test_a_reset_for_an_unknown_flow_is_not_forwarded():
    """A server that was starting reset a flow that another server held.

    Found on petra-amman (quiet-1, seed 1041582195268): a search
    sent a segment of the flow to a server that had not started.
    """
    agent = _agent(knows_all_flows=False, report=False)
    _forward_tentatively(agent, 0.0, 1, ack=900)
    result = agent.on_server_segment(0.001, kit.server_segment(1, kit.RST))
    assert kit.step_types(result) == [steps.SendToPeer]
    assert kit.messages(result, tunnel.NotHeld) == [
        (_BALANCER, tunnel.NotHeld(kit.key_of(1)))
    ]
    _forward(agent, 0.1, 2, kit.ACK, ack=900)
    result = agent.on_server_segment(0.1, kit.server_segment(2, kit.RST))
    assert kit.messages(result, tunnel.UnknownFlow)[0][1].data == kit.datagram(
        2, kit.ACK, ack=900
    )


def test_an_agent_that_knows_all_flows_answers_a_search_at_once():
    """A wrong answer would end a flow that its server holds."""
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    result = _forward_tentatively(agent, 1.0, 1, ack=501)
    assert kit.messages(result, tunnel.Owned)
    assert steps.SendToServer in kit.step_types(result)
    result = _forward_tentatively(agent, 1.0, 2, ack=501)
    assert kit.messages(result, tunnel.NotHeld)
    result = _forward_tentatively(agent, 1.0, 1, ack=500 + (1 << 28))
    assert kit.messages(result, tunnel.NotHeld)


def _verdicts(agent, now, *queries):
    result = agent.on_message(
        now,
        _BALANCER,
        tunnel.LocateRequest(
            [tunnel.Query(kit.key_of(port), ack) for port, ack in queries]
        ),
    )
    ((_, message),) = kit.messages(result, tunnel.LocateReply)
    return [verdict for _, verdict in message.verdicts]


def test_many_flows_are_looked_up_in_one_message():
    """One message for each lost flow filled links after a loss of power."""
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    assert _verdicts(agent, 1.0, (1, 501), (2, 501), (1, 500 + (1 << 28))) == [
        tunnel.HELD,
        tunnel.ABSENT,
        tunnel.ABSENT,
    ]


def test_a_flow_that_is_learned_late_is_held_for_earlier_acknowledgements():
    """A restarted agent may see a later segment of the server first.

    The caller then still acknowledges an earlier one, and the flow counted
    as another server's, so that a search could end with a reset.
    """
    agent = _agent(knows_all_flows=False)
    agent.knows_all_flows = False
    later = kit.server_segment(1, kit.ACK, sequence=6200, payload=b"part")
    agent.on_server_segment(0.0, later)
    assert _verdicts(agent, 0.1, (1, 5000)) == [tunnel.HELD]


def test_a_late_first_segment_does_not_deny_an_open_flow():
    """A copy of a first segment may arrive after its flow has opened.

    An agent that was restarted meanwhile took the flow for a new one that its
    server had not answered, and denied it although the server held it.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.on_report(0.0, _report(5))
    _forward(agent, 0.1, 1, kit.SYN, ack=1)
    assert _verdicts(agent, 0.11, (1, 900)) == [tunnel.UNSURE]
    result = _forward_tentatively(agent, 0.12, 1, ack=900)
    assert kit.step_types(result) == [steps.SendToServer]
    result = agent.on_server_segment(
        0.13, kit.server_segment(1, kit.ACK, sequence=900, payload=b"part")
    )
    assert kit.messages(result, tunnel.Owned) == [
        (_BALANCER, tunnel.Owned(kit.key_of(1)))
    ]
    assert _verdicts(agent, 0.14, (1, 900)) == [tunnel.HELD]


def test_a_starting_agent_does_not_report_flows_absent():
    """Its server may hold flows from before the agent's start."""
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    assert _verdicts(agent, 0.1, (1, 501)) == [tunnel.STARTING]
    late = defaults.AGENT_STARTING_S
    assert _verdicts(agent, late, (1, 501)) == [tunnel.UNSURE]
    agent.on_report(late, _report(7))
    assert _verdicts(agent, late, (1, 501)) == [tunnel.UNSURE]


def test_the_first_two_reports_of_a_server_show_that_all_flows_are_known():
    """After a loss of power every flow was tried at every server.

    An agent that received the first reports of its server can deny flows that
    it does not know.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.on_report(0.3, _report(1))
    _open_flow(agent, 0.4, 2, sequence=500)
    agent.on_report(0.3 + _INTERVAL_S, _report(2))
    assert _verdicts(agent, 2.0, (1, 501)) == [tunnel.ABSENT]
    # It has seen the flows that it accepted between the reports from the
    # start, and judges them by their numbers.
    result = _forward(agent, 2.0, 2, kit.ACK, ack=500 + (1 << 28))
    assert kit.messages(result, tunnel.UnknownFlow)


@pytest.mark.parametrize("numbers", [(1,), (4,), (4, 5), (1, 3), (2, 3)])
def test_a_server_that_another_agent_served_may_hold_flows(numbers):
    """A restarted agent must not deny flows that its predecessor accepted.

    Whatever the clock says of the server's age: it may have jumped between
    the server's start and its report.
    """
    agent = _agent(knows_all_flows=False, report=False)
    for number in numbers:
        agent.on_report(number * 0.1, _report(number))
    assert _verdicts(agent, 0.6, (1, 501)) == [tunnel.UNSURE]


@pytest.mark.parametrize("late_numbers", [(7,), (1,), (6, 7)])
def test_a_late_report_of_an_earlier_server_shows_no_restart(late_numbers):
    """A restarted agent must not deny flows after a delayed report.

    The report of a crashed server arrives first, and that of the server that
    was running already looks like a restart.
    """
    agent = _agent(knows_all_flows=False, report=False)
    for number in late_numbers:
        agent.on_report(0.1, _report(number, server_id="s-0", started_ms=900))
    agent.on_report(0.5, _report(3))
    agent.on_report(0.5 + _INTERVAL_S, _report(4))
    assert _verdicts(agent, 2.0, (1, 501)) == [tunnel.UNSURE]
    result = _forward(agent, 2.0, 1, kit.ACK, ack=501)
    assert kit.step_types(result) == [steps.SendToServer]


def test_an_agent_knows_the_flows_of_a_server_that_starts_beside_it():
    """What an agent knows must survive the restart of its server.

    Otherwise each flow that the server lost is tried at it with a segment.
    """
    agent = _agent()
    agent.on_report(5.0, _report(3, started_ms=6000, server_id="s-2"))
    assert _verdicts(agent, 5.1, (1, 501)) == [tunnel.ABSENT]


@pytest.mark.parametrize("age_s", [0.1, 0.5, -1.0, 3600.0])
def test_a_clock_step_does_not_make_a_server_look_new(age_s):
    """A restarted agent must not judge by the time of day.

    The clock was ahead when the server started and has jumped back, so that
    the server seems to have started after its first flows.
    """
    process = object.__new__(segmentagent.SegmentAgent)
    process.settings = types.SimpleNamespace(service="desk")
    process.decisions = _agent(knows_all_flows=False, report=False)
    process.observe = lambda: 0.3
    process.perform = lambda _steps: None
    started_ms = int((time.time() - age_s) * 1000)
    process.on_report(_report(4, started_ms=started_ms))
    assert _verdicts(process.decisions, 0.3, (1, 501)) == [tunnel.UNSURE]


def test_an_agent_is_announced_with_its_servers_first_report():
    """Agents that came back without a server were searched for every flow."""
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    result = agent.on_message(0.1, _BALANCER, tunnel.Hello(is_listed=False))
    assert steps.Announce not in kit.step_types(result)
    assert steps.Announce in kit.step_types(agent.on_report(0.3, _report(4)))


def test_every_searching_balancer_receives_the_result():
    """Two balancers may search for the same flow at the same time.

    An answer to only one of them would leave the other search open.
    """
    agent = _agent(knows_all_flows=False)
    agent.knows_all_flows = False
    _forward_tentatively(agent, 0.0, 1, balancer=_BALANCER, ack=900)
    _forward_tentatively(agent, 0.0, 1, balancer=_OTHER_BALANCER, ack=900)
    result = agent.on_server_segment(
        0.001, kit.returned_segment(1, kit.ACK, ack=900)
    )
    assert {
        address for address, _ in kit.messages(result, tunnel.NotHeld)
    } == {
        _BALANCER,
        _OTHER_BALANCER,
    }


def test_load_counts_waiting_callers():
    """Balancers place flows by the requests under way, not by open flows.

    A copy of an answered request must not count as another request.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    _open_flow(agent, 0.0, 2)
    _forward(agent, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    result = agent.on_message(0.2, _BALANCER, tunnel.Hello())
    loads = kit.messages(result, tunnel.LoadReport)
    assert [(load.busy, load.flows) for _, load in loads] == [(1, 2)]
    # A copy of the request that comes after the answer does not count.
    agent.on_server_segment(
        0.3, kit.server_segment(1, kit.ACK, sequence=501, payload=b"answer")
    )
    _forward(agent, 0.31, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    result = agent.on_message(0.4, _BALANCER, tunnel.Hello())
    loads = kit.messages(result, tunnel.LoadReport)
    assert [load.busy for _, load in loads] == [0]


def test_an_unlisted_agent_announces_itself():
    """The store may remove an entry without notifying its agent."""
    agent = _agent()
    result = agent.on_message(0.0, _BALANCER, tunnel.Hello(False))
    assert steps.Announce in kit.step_types(result)


def test_an_agent_without_balancers_checks_its_entry():
    """Balancers remove the entry of an agent that was unreachable for long.

    Those that start after the store has lost it do not know the agent.
    """
    agent = _agent()
    agent.tick(0.0)
    agent.on_message(0.1, _BALANCER, tunnel.Hello())
    early = defaults.ENTRY_CHECK_AFTER_S
    assert steps.CheckEntry not in kit.step_types(agent.tick(early))
    late = 0.2 + defaults.ENTRY_CHECK_AFTER_S
    assert steps.CheckEntry in kit.step_types(agent.tick(late))


def test_an_agent_without_a_server_answers_a_search():
    """Agents without a server kept callers of lost flows waiting for 15 s.

    Found on petra-amman-grown (trouble-1): three instances came back without
    their servers, and 15,674 searches ended without an answer.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    now = _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS + 0.1
    _run_timers(agent, now)
    assert steps.SendToServer in kit.step_types(
        _forward_tentatively(agent, now, 1, ack=900)
    )
    now += defaults.SERVER_PROBE_AFTER_S + 0.001
    assert steps.ProbeServer in kit.step_types(agent.tick(now))
    result = agent.on_server_absent(now)
    assert kit.messages(result, tunnel.NotHeld) == [
        (_BALANCER, tunnel.NotHeld(kit.key_of(1)))
    ]
    result = _forward_tentatively(agent, now, 2, ack=900)
    assert kit.step_types(result) == [steps.SendToPeer]
    assert kit.messages(result, tunnel.NotHeld)
    # The result of the probe expires, because a server may start.
    now += defaults.SERVER_PROBE_INTERVAL_S
    result = _forward_tentatively(agent, now, 3, ack=900)
    assert steps.SendToServer in kit.step_types(result)


def test_unanswered_searches_prove_an_absent_server_early():
    """After a loss of power callers waited 3 s for agents without a server.

    A running server cannot hold all flows that are searched for, and returns
    the segments of the others at once.
    """
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    now = 0.3
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS):
        _forward_tentatively(agent, now, port, ack=900)
    now += defaults.TENTATIVE_ANSWER_TIMEOUT_S
    assert steps.ProbeServer in kit.step_types(agent.tick(now))
    result = agent.on_server_absent(now)
    answered = {m.key for _, m in kit.messages(result, tunnel.NotHeld)}
    assert answered == {
        kit.key_of(port) for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS)
    }


def test_one_returned_segment_shows_that_the_server_runs():
    """A restarted agent must not end the flows of a slow server."""
    agent = _agent(knows_all_flows=False, report=False)
    agent.tick(0.0)
    now = 0.3
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS + 1):
        _forward_tentatively(agent, now, port, ack=900)
    agent.on_server_segment(
        now + 0.01, kit.returned_segment(0, kit.ACK, ack=900)
    )
    now += defaults.TENTATIVE_ANSWER_TIMEOUT_S
    assert steps.ProbeServer not in kit.step_types(agent.tick(now))
    assert not agent.on_server_absent(now)


def test_flows_are_reset_early_when_new_flows_are_not_answered():
    """Callers of a crashed server waited until two reports were missing."""
    agent = _agent()
    agent.tick(0.0)
    _open_flow(agent, 0.0, 1, sequence=500)
    _forward(agent, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    for port in range(2, 2 + defaults.MAX_SILENT_FLOWS):
        _forward(agent, 0.2, port, kit.SYN)
    now = 0.2 + defaults.SERVER_ANSWER_TIMEOUT_S
    agent.tick(now)
    now = max(now, defaults.SERVER_ABSENT_AFTER_S)
    assert steps.ProbeServer in kit.step_types(agent.tick(now))
    result = agent.on_server_absent(now)
    assert [step.reason for step in kit.resets(result)] == ["server_gone"]


def test_a_refused_probe_proves_nothing_while_the_server_sends():
    """A health port may refuse connections while its server serves flows.

    Resetting the flows because of the port would cut them.
    """
    agent = _agent()
    agent.tick(0.0)
    _open_flow(agent, 0.0, 1, sequence=500)
    agent.on_server_segment(5.0, kit.server_segment(1, kit.ACK, sequence=501))
    _forward(agent, 5.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    assert steps.ProbeServer not in kit.step_types(agent.tick(5.3))
    assert not agent.on_server_absent(5.3)


def test_flows_are_reset_when_the_port_has_no_listener():
    """A crashed server's port has no listener, and its reports are missing.

    Without resets its callers would wait for their time-outs.
    """
    agent = _agent()
    agent.tick(0.0)
    _open_flow(agent, 0.0, 1, sequence=500)
    _forward(agent, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    late = _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS + 0.1
    _run_timers(agent, late - 0.2)
    assert steps.ProbeServer in kit.step_types(agent.tick(late))
    result = _forward(agent, late, 2, kit.SYN)
    assert _declined_reasons(result) == ["server_unverified"]
    result = agent.on_server_absent(late + 0.01)
    assert [step.reason for step in kit.resets(result)] == ["server_gone"]
    assert agent.decline_reason(late + 0.01, _SERVICE_ID) == "server_silent"


# Log events and gauges.


def test_an_accepted_flow_is_logged_with_the_report_in_force():
    """It must show which server got the flow, and how old the news of it was.

    The server may have been replaced beside an agent that runs on.
    """
    agent = _agent()
    result = _forward(agent, 1.25, 1, kit.SYN)
    assert kit.log_fields(result, "flow_accepted") == [
        {
            "copy": 0,
            "server": "s-1",
            "server_service": "desk",
            "service": "desk",
            "report_age_s": 1.25,
            "balancer": "10.9.0.1:80",
        }
    ]


def test_a_flow_that_is_passed_on_is_logged_with_the_report_in_force():
    """A decline must show by which report it was decided, or that by none."""
    agent = _agent(report=False)
    (fields,) = kit.log_fields(
        _forward(agent, 1.0, 1, kit.SYN), "flow_passed_on"
    )
    assert fields == {
        "reason": "server_unknown",
        "report": "none",
        "server": "none",
        "server_service": "none",
        "service": "desk",
        "report_age_s": "none",
        "balancer": "10.9.0.1:80",
    }
    agent.on_report(2.0, _report(5, reports.DRAINING))
    (fields,) = kit.log_fields(
        _forward(agent, 2.5, 2, kit.SYN), "flow_passed_on"
    )
    assert (fields["server"], fields["report"]) == ("s-1", 5)
    assert fields["report_age_s"] == 0.5


def test_an_accepted_flow_is_logged_with_the_service_of_the_server():
    """It must show when the server is not of the agent's service."""
    agent = _agent(report=False)
    agent.on_report(0.0, attrs.evolve(_report(), service="maps"))
    (fields,) = kit.log_fields(
        _forward(agent, 1.0, 1, kit.SYN), "flow_accepted"
    )
    assert (fields["service"], fields["server_service"]) == ("desk", "maps")


def test_a_flow_passed_on_later_is_logged_with_its_balancer():
    """The server's refusal and its silence come without a message."""
    agent = _agent()
    _forward(agent, 0.0, 1, kit.SYN)
    _forward(agent, 0.0, 2, kit.SYN, balancer=_OTHER_BALANCER)
    result = agent.on_server_segment(0.01, kit.returned_segment(1, kit.SYN))
    result += agent.tick(0.01 + defaults.SERVER_ANSWER_TIMEOUT_S)
    assert [
        (fields["reason"], fields["balancer"], fields["server"])
        for fields in kit.log_fields(result, "flow_passed_on")
    ] == [
        ("server_refused", "10.9.0.1:80", "s-1"),
        ("server_silent", "10.9.0.2:80", "s-1"),
    ]


def test_the_service_that_a_server_reports_is_logged():
    """It must show whose server an agent goes by."""
    agent = _agent(report=False)
    result = agent.on_report(0.0, _report()) + agent.on_leave(1.0, "s-1")
    assert [
        (fields["service"], fields["state"])
        for fields in kit.log_fields(result, "server_state")
    ] == [("desk", reports.READY), ("desk", reports.GONE)]


def test_a_first_segment_is_declined_when_the_port_has_no_listener():
    """A crashed server does not answer it, and another server may."""
    agent = _agent(knows_all_flows=False)
    agent.tick(0.0)
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS):
        _forward_tentatively(agent, 0.3, port, ack=900)
    agent.tick(0.3 + defaults.TENTATIVE_ANSWER_TIMEOUT_S)
    assert _is_delivered(_forward(agent, 0.41, 100, kit.SYN))
    result = agent.on_server_absent(0.42)
    assert _declined_reasons(result) == ["server_silent"]
    assert agent.decline_reason(0.42, _SERVICE_ID) == "server_silent"


# Guards against requests that run at another service's server, which was
# started at the address of the agent's server after that had ended.
def test_a_server_without_reports_gets_no_first_segment():
    """The address of a server that has ended is given to another service.

    The agent runs on, and its balancers still send it flows of its service.
    """
    agent = _agent()
    _run_timers(agent, _REUSE_S)
    assert _is_delivered(_forward(agent, _REUSE_S - 0.01, 1, kit.SYN))
    result = _forward(agent, _REUSE_S, 2, kit.SYN)
    assert not _is_delivered(result)
    assert _declined_reasons(result) == ["server_unverified"]
    agent.on_report(_REUSE_S + 0.1, _report(2))
    assert _is_delivered(_forward(agent, _REUSE_S + 0.2, 3, kit.SYN))


# Guards against requests that run at another service's server by a copy of
# a first segment that the earlier server had not answered.
def test_a_copy_for_a_server_without_reports_is_not_delivered():
    """The server ends before it answers, and another one takes its address.

    A copy must not be delivered only because the agent knows its flow.
    """
    agent = _agent()
    _forward(agent, 1.98, 1, kit.SYN)
    result = _forward(agent, 2.01, 1, kit.SYN, ack=1)
    assert not _is_delivered(result)
    assert _declined_reasons(result)


# Guards against requests that run at another service's server by a copy of
# a first segment whose server has left.
def test_a_copy_for_a_server_that_left_is_not_delivered():
    """A server that said that it leaves ends before its report is old."""
    agent = _agent()
    _forward(agent, 0.1, 1, kit.SYN)
    agent.on_leave(0.2, "s-1", 1000)
    result = _forward(agent, 0.3, 1, kit.SYN, ack=1)
    assert not _is_delivered(result)
    assert _declined_reasons(result)


# Guards against requests that run at another service's server whose first
# segment of its own shows that a server listens again.
def test_a_segment_does_not_show_which_server_listens():
    """The probe found no server, so that which listens now has to report."""
    agent = _agent(knows_all_flows=False)
    agent.tick(0.0)
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS):
        _forward_tentatively(agent, 0.3, port, ack=900)
    agent.tick(0.3 + defaults.TENTATIVE_ANSWER_TIMEOUT_S)
    agent.on_server_absent(0.42)
    agent.on_server_segment(0.5, kit.returned_segment(1, kit.ACK))
    result = _forward(agent, 0.6, 100, kit.SYN)
    assert _declined_reasons(result) == ["server_unverified"]


# Guards against requests that run at another service's server by a copy of
# a first segment whose answer did not reach the caller.
def test_a_copy_of_an_answered_first_segment_is_not_delivered_either():
    """The earlier server has answered, but its answer was lost.

    A server that was started at its address would answer the copy anew.
    """
    agent = _agent()
    _open_flow(agent, 1.5, 1)
    assert not _is_delivered(_forward(agent, 2.1, 1, kit.SYN, ack=2))


def test_a_declined_copy_does_not_make_an_open_flow_unknown():
    """An agent that knows all flows would deny it, and it would be reset."""
    agent = _agent()
    _open_flow(agent, 1.5, 1)
    assert _declined_reasons(_forward(agent, 2.1, 1, kit.SYN, ack=2))
    agent.on_report(2.2, _report(2))
    result = _forward(agent, 2.3, 1, kit.ACK, ack=501)
    assert kit.step_types(result) == [steps.SendToServer]


def test_a_declined_copy_does_not_end_what_is_tried_at_the_server():
    """The server's answer must still be matched with the search."""
    agent = _agent(knows_all_flows=False)
    _forward_tentatively(agent, 2.0, 1, ack=501)
    assert _declined_reasons(_forward(agent, 2.1, 1, kit.SYN, ack=2))
    result = agent.on_server_segment(2.2, kit.returned_segment(1, kit.ACK))
    assert kit.messages(result, tunnel.NotHeld)


def test_a_flow_is_handed_back_once_with_its_copy():
    """A second decline would have the balancer place the flow twice."""
    agent = _agent()
    _forward(agent, 1.99, 1, kit.SYN)
    assert _declined_reasons(_forward(agent, 2.01, 1, kit.SYN, ack=1))
    result = agent.tick(2.01 + 2 * defaults.SERVER_ANSWER_TIMEOUT_S)
    assert not _declined_reasons(result)


def test_a_late_copy_of_a_closed_flow_begins_no_flow():
    """A request that waits for it would count as work of the server."""
    agent = _agent()
    _open_flow(agent, 0.1, 1)
    _close_flow(agent, 0.2, 1)
    _forward(agent, 0.3, 1, kit.SYN, ack=1)
    assert not agent.flows.waiting_count and not agent.flows.open_count


# Guards against requests that run at another service's server after an agent
# stood still while its server was replaced.
def test_a_pause_counts_towards_the_age_of_a_report():
    """An agent cannot know what became of its server while it stood still."""
    agent = _agent()
    agent.on_pause(5.0, 4.9)
    agent.on_caught_up()
    assert not _is_delivered(_forward(agent, 5.0, 1, kit.SYN))


# Guards against requests that run at another service's server by a report
# that waited through a pause in which the server was replaced.
@pytest.mark.parametrize("ticks", [0, 1])
def test_a_report_from_a_pause_is_as_old_as_the_pause(ticks):
    """Reports are read after the segments that waited through the pause."""
    agent = _agent()
    agent.on_pause(5.0, 4.9)
    agent.on_caught_up()
    for _ in range(ticks):
        agent.tick(5.0)
    agent.on_report(5.0, _report(2))
    assert not _is_delivered(_forward(agent, 5.0, 1, kit.SYN))
    _tick_until_reports_are_current(agent, 5.1)
    agent.on_report(6.2, _report(3))
    assert _is_delivered(_forward(agent, 6.3, 2, kit.SYN))


def test_a_report_is_read_after_a_long_catching_up():
    """Many datagrams may have waited, and reports are read after them."""
    agent = _agent()
    agent.on_pause(5.0, 4.9)
    _tick_until_reports_are_current(agent, 5.1)
    agent.on_caught_up()
    agent.on_report(5.1, _report(2))
    assert not _is_delivered(_forward(agent, 5.1, 1, kit.SYN))


def test_a_report_from_one_of_two_pauses_is_as_old_as_the_first():
    """A report may wait through two pauses in a row."""
    agent = _agent()
    agent.on_pause(5.0, 4.0)
    agent.on_caught_up()
    agent.on_pause(5.3, 0.2)
    agent.on_caught_up()
    agent.on_report(5.3, _report(2))
    assert not _is_delivered(_forward(agent, 5.3, 1, kit.SYN))


def test_reports_from_short_pauses_let_an_agent_accept_flows():
    """A slow agent pauses often, and most reports come in its pauses."""
    agent = _agent()
    for number in range(2, 6):
        now = number * _INTERVAL_S
        agent.on_pause(now, 0.5)
        agent.on_report(now, _report(number))
        agent.on_caught_up()
        _tick_until_reports_are_current(agent, now + 0.1)
    assert _is_delivered(_forward(agent, now + 0.1, 1, kit.SYN))


# Guards against requests that run at another service's server when agents
# report that they accept flows for a server that may have been replaced.
def test_a_server_without_reports_is_not_offered_to_balancers():
    """Balancers choose agents by their load reports."""
    agent = _agent()
    result = agent.on_message(_REUSE_S, _BALANCER, tunnel.Hello(True))
    ((_, load),) = kit.messages(result, tunnel.LoadReport)
    assert not load.accepting


def test_rare_reports_do_not_stop_the_acceptance_between_them():
    """Where reports are rarer than addresses are used again.

    Otherwise the servers would get no new flow for most of the time.
    """
    agent = hosting.FlowHosting(
        "desk", 1, kit.decode, True, report_interval_s=5.0
    )
    agent.on_report(0.0, _report())
    assert agent.decline_reason(5.5, _SERVICE_ID) == ""
    assert agent.decline_reason(7.5, _SERVICE_ID) == "server_unverified"


def test_a_first_segment_from_a_pause_is_of_unknown_age():
    """Its balancer must not take it for new, whatever else the agent knows.

    A balancer that does not know the flow would place it again.
    """
    agent = _agent()
    agent.on_report(1.0, _report(2, reports.DRAINING))
    agent.on_pause(5.0, 3.0)
    result = _forward(agent, 5.0, 1, kit.SYN)
    assert _declined_reasons(result) == ["paused"]


def _agent_process(agent):
    """Return an agent process that carries out no steps.

    :param agent: its decisions.
    """
    process = object.__new__(segmentagent.SegmentAgent)
    process.settings = types.SimpleNamespace(service="desk")
    process.decisions = agent
    process.observe = lambda: 1.0
    process.perform = lambda _steps: None
    return process


def _leave(process, body):
    """Let a server send its notice to an agent process over HTTP."""
    handlers = []
    http_server = http1.Server
    try:
        http1.Server = lambda _reactor, _address, handle: handlers.append(
            handle
        )
        web.serve(None, None, process)
    finally:
        http1.Server = http_server
    return handlers[0]("POST", "/-/instances/s-1/leave", body)


def test_a_late_notice_of_an_earlier_start_does_not_end_the_server():
    """The notice that a server leaves must not stand for a later start.

    A server may start again under its id. The agent declined its flows, and
    reset the open ones when it was stopped then.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    process = _agent_process(agent)
    _leave(process, b'{"born": 900, "service": "desk"}')
    assert agent.report.state == reports.READY
    assert not kit.resets(agent.stop(1.1))


def test_a_late_report_does_not_bring_back_a_server_that_left():
    """A server sends nothing after its notice that it leaves.

    A report that was delayed until then made the agent accept flows again.
    """
    agent = _agent()
    process = _agent_process(agent)
    _leave(process, b'{"born": 1000, "service": "desk"}')
    agent.on_report(1.2, _report(2))
    result = _forward(agent, 1.3, 1, kit.SYN)
    assert steps.SendToServer not in kit.step_types(result)


def test_a_probe_that_waited_through_a_pause_proves_nothing():
    """The silence of a server counts only while its agent runs.

    The result of a probe may be the first event after a pause. A health port
    may refuse a connection while its server is alive.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    process = _agent_process(agent)
    process.observe = lambda: agent.on_pause(9.0, 8.0) or 9.0
    process.log_event = lambda _step: None
    performed = []
    process.perform = performed.extend
    process._on_probed(probing.REFUSED)
    assert not kit.resets(performed)


@pytest.mark.parametrize("state", ["other_service", "draining", "stopping"])
def test_a_first_segment_of_a_tentative_flow_is_declined(state):
    """A first segment must not pass because a later segment came before it.

    An agent that does not know all flows tries the later segment at its
    server. The flow was then taken for the server's, and the first segment
    was delivered whatever its service and the state of the server.
    """
    agent = _agent(knows_all_flows=False)
    service = hashing.service_id(
        "maps" if state == "other_service" else "desk"
    )
    data = kit.datagram(1, kit.ACK, ack=900, payload=b"book")
    agent.on_message(0.1, _BALANCER, tunnel.Forward(service, data))
    if state == "draining":
        agent.on_report(0.2, _report(2, reports.DRAINING))
    if state == "stopping":
        agent.stop(0.2)
    data = kit.datagram(1, kit.SYN, ack=1)
    result = agent.on_message(0.3, _BALANCER, tunnel.Forward(service, data))
    assert steps.SendToServer not in kit.step_types(result)


def test_a_new_flow_between_the_ports_of_a_closed_one_is_checked():
    """A draining server must not get a flow for its ports' earlier flow.

    The agent keeps a closed flow for 3 s, and took a first segment with
    another sequence number for a copy of the closed flow's.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1)
    _forward(agent, 0.1, 1, kit.ACK | kit.FIN, sequence=1, ack=501)
    agent.on_server_segment(
        0.1, kit.server_segment(1, kit.ACK | kit.FIN, sequence=501)
    )
    agent.on_report(0.2, _report(2, reports.DRAINING))
    result = _forward(agent, 0.3, 1, kit.SYN, sequence=77_000)
    assert steps.SendToServer not in kit.step_types(result)


def test_an_open_flow_shows_that_the_server_still_runs():
    """After a pause the next report may be a whole interval away.

    Another server at the address would not go on with an open flow.
    """
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    agent.on_pause(5.0, 4.9)
    waiting = kit.server_segment(1, kit.ACK, sequence=501, payload=b"a")
    agent.on_server_segment(5.0, waiting)
    agent.on_caught_up()
    assert not _is_delivered(_forward(agent, 5.01, 2, kit.SYN))
    agent.on_server_segment(5.02, waiting)
    assert _is_delivered(_forward(agent, 5.03, 3, kit.SYN))
    assert not _is_delivered(_forward(agent, 5.02 + _REUSE_S, 4, kit.SYN))


@pytest.mark.parametrize(
    "segment",
    [
        kit.server_segment(1, kit.SYN | kit.ACK, sequence=500),
        kit.server_segment(1, kit.RST, sequence=501),
        kit.server_segment(1, kit.ACK, sequence=9_000_000, payload=b"a"),
        kit.server_segment(1, kit.ACK, sequence=400, payload=b"a"),
        kit.server_segment(2, kit.ACK, sequence=501, payload=b"a"),
        kit.returned_segment(1, kit.ACK, ack=501),
    ],
)
def test_what_another_server_may_send_verifies_nothing(segment):
    """It may accept a copy, reset, return, or hold flows of its own."""
    agent = _agent()
    _open_flow(agent, 0.0, 1, sequence=500)
    agent.on_server_segment(_REUSE_S + 0.1, segment)
    assert not _is_delivered(_forward(agent, _REUSE_S + 0.2, 3, kit.SYN))


def _load_report(agent, now):
    result = agent.on_message(now, _BALANCER, tunnel.Hello(True))
    ((_, load),) = kit.messages(result, tunnel.LoadReport)
    return tunnel.decode(load.encode())


def test_an_agent_tells_that_it_waits_for_a_report_after_a_pause():
    """Its server is most likely the same and reports within an interval."""
    agent = _agent()
    agent.tick(0.0)
    agent.on_pause(5.0, 4.9)
    load = _load_report(agent, 5.1)
    assert (load.accepting, load.is_recovering) == (False, True)
    agent.on_caught_up()
    for tick in range(defaults.OUTDATED_REPORT_TICKS):
        agent.tick(5.1 + tick * defaults.HOSTING_TICK_S)
    agent.on_report(5.5, _report(2))
    load = _load_report(agent, 5.6)
    assert (load.accepting, load.is_recovering) == (True, False)


def test_an_agent_does_not_wait_for_a_server_that_is_late():
    """Callers of a service without servers must be refused at once."""
    agent = _agent()
    agent.tick(0.0)
    assert not _load_report(agent, _REUSE_S + 0.1).is_recovering
    agent.on_report(3.0, _report(2, reports.DRAINING))
    agent.on_pause(5.0, 1.0)
    assert not _load_report(agent, 5.1).is_recovering
    started = _agent(report=False)
    started.tick(0.0)
    assert _load_report(started, 0.1).is_recovering
    late = _INTERVAL_S * defaults.REPORT_LATE_INTERVALS
    assert not _load_report(started, late).is_recovering
