"""Hosting: the flows of a backend server, as its agent sees them."""

import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import steps

_BALANCER = ("10.9.0.1", 80)
_OTHER = ("10.9.0.2", 80)
_DESK = hashing.service_id("desk")


_INTERVAL_S = defaults.REPORT_INTERVAL_S


def _report(number=1, state=reports.READY, started_ms=1000, server_id="s-1"):
    return reports.Report(
        server_id, "desk", started_ms, number, state, slots=2
    )


def _agent(knows_all=True, report=True):
    table = hosting.FlowHosting("desk", 1, kit.decode, knows_all)
    if report:
        table.on_report(0.0, _report())
    return table


def _forward(table, now, port, flags=0, balancer=_BALANCER, **fields):
    data = kit.datagram(port, flags, **fields)
    return table.on_message(now, balancer, tunnel.Forward(_DESK, data))


def _try(table, now, port, balancer=_BALANCER, **fields):
    data = kit.datagram(port, kit.ACK, **fields)
    return table.on_message(now, balancer, tunnel.TentativeForward(data))


def _open(table, now, port, sequence=500):
    _forward(table, now, port, kit.SYN)
    return table.on_server_segment(
        now, kit.server_segment(port, kit.SYN | kit.ACK, sequence=sequence)
    )


def _run(table, until):
    """Let the timers run, as silence counts only while the agent runs."""
    for step in range(1, int(until / 0.1) + 1):
        table.tick(step * 0.1)


def test_a_flow_reaches_its_server_and_the_answer_its_caller():
    """The whole path must hand datagrams on as they are."""
    table = _agent()
    found = _forward(table, 0.0, 1, kit.SYN)
    assert kit.step_types(found) == [steps.SendToServer]
    assert found[0].data == kit.datagram(1, kit.SYN)
    found = _open(table, 0.0, 1)
    assert kit.step_types(found) == [steps.SendToCaller]


def test_a_draining_server_gets_no_new_flow_and_keeps_the_open_ones():
    """A balancer with old news must not bring work to a leaving server."""
    table = _agent()
    _open(table, 0.0, 1)
    table.on_report(1.0, _report(2, reports.DRAINING))
    found = _forward(table, 1.0, 2, kit.SYN)
    assert kit.messages(found, tunnel.Declined) == [
        (_BALANCER, tunnel.Declined("draining", kit.datagram(2, kit.SYN)))
    ]
    assert kit.step_types(_forward(table, 1.0, 1, kit.ACK, ack=501)) == [
        steps.SendToServer
    ]


def test_a_late_report_does_not_undo_the_drain():
    """A report that was held up must not open a leaving server again."""
    table = _agent()
    table.on_report(1.0, _report(3, reports.DRAINING))
    table.on_report(1.1, _report(2, reports.READY))
    assert table.decline_reason(_DESK) == "draining"


def test_a_report_of_an_earlier_start_changes_nothing():
    """A held up report of a crashed server must not replace its successor."""
    table = _agent()
    table.on_report(
        1.0, _report(1, reports.DRAINING, started_ms=2000, server_id="s-2")
    )
    table.on_report(1.1, _report(9, reports.READY, started_ms=1000))
    assert table.decline_reason(_DESK) == "draining"


def test_a_start_that_looks_older_is_believed_when_it_goes_on():
    """A clock that was set back must not hide a restarted server for good."""
    table = _agent()
    table.on_report(1.0, _report(2, started_ms=9000))
    later = 1.0 + _INTERVAL_S * defaults.SERVER_SILENT_INTERVALS + 0.1
    for number in (1, 2):
        table.on_report(
            later,
            _report(number, reports.DRAINING, 5000, server_id="s-2"),
        )
    assert table.decline_reason(_DESK) == "draining"


def test_an_agent_without_a_report_takes_no_flow():
    """After a restart the server beside it may be draining."""
    table = _agent(report=False)
    found = _forward(table, 0.0, 1, kit.SYN)
    assert kit.messages(found, tunnel.Declined)[0][1].reason == (
        "server_unknown"
    )


def test_another_services_flow_is_declined():
    """An address that was another service's must not take its flows."""
    table = _agent()
    data = kit.datagram(1, kit.SYN)
    found = table.on_message(
        0.0, _BALANCER, tunnel.Forward(hashing.service_id("photos"), data)
    )
    assert kit.messages(found, tunnel.Declined)[0][1].reason == (
        "other_service"
    )


def test_an_agent_declines_what_would_wait_too_long():
    """A balancer's news is old when many balancers place at the same time."""
    table = _agent()
    for port in range(1, 9):
        data = kit.datagram(port, kit.SYN)
        found = table.on_message(
            0.0, _BALANCER, tunnel.Forward(_DESK, data, wait_ms=40)
        )
    ((_, message),) = kit.messages(found, tunnel.Declined)
    assert message.reason == "busy"
    # A copy of a flow that is there, and a flow that may wait, are taken.
    data = kit.datagram(1, kit.SYN, ack=1)
    found = table.on_message(
        0.0, _BALANCER, tunnel.Forward(_DESK, data, wait_ms=40)
    )
    assert steps.SendToServer in kit.step_types(found)
    assert steps.SendToServer in kit.step_types(
        _forward(table, 0.0, 20, kit.SYN)
    )


def test_a_returned_first_segment_goes_on_at_once():
    """The caller's copy after 200 ms would make its request late."""
    table = _agent()
    _forward(table, 0.0, 1, kit.SYN)
    found = table.on_server_segment(
        0.001, kit.returned_segment(1, kit.SYN, echo=3)
    )
    assert kit.messages(found, tunnel.Declined) == [
        (
            _BALANCER,
            tunnel.Declined("server_refused", kit.datagram(1, kit.SYN)),
        )
    ]


def test_an_unanswered_first_segment_goes_on():
    """A server that crashed silently must not cost a copy's 200 ms."""
    table = _agent()
    _forward(table, 0.0, 1, kit.SYN)
    found = table.tick(defaults.SERVER_ANSWER_TIMEOUT_S + 0.001)
    declined = kit.messages(found, tunnel.Declined)
    assert [message.reason for _, message in declined] == ["server_silent"]


def test_a_silent_server_gets_no_more_flows_until_it_reports():
    """Flows must not be tried one after the other at a dead server."""
    table = _agent()
    for port in range(defaults.MAX_SILENT_FLOWS):
        _forward(table, 0.0, port, kit.SYN)
    table.tick(defaults.SERVER_ANSWER_TIMEOUT_S + 0.001)
    assert table.decline_reason(_DESK) == "server_silent"
    table.on_report(1.0, _report(2))
    assert table.decline_reason(_DESK) == ""


def test_the_caller_of_a_flow_that_the_server_lost_is_told():
    """After a crash the caller would wait for its time-out."""
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    segment = kit.returned_segment(1, kit.ACK, ack=501, payload=b"x")
    found = table.on_server_segment(1.0, segment)
    assert [(step.reason, step.ack) for step in kit.resets(found)] == [
        ("server_lost_flow", 501)
    ]


def test_a_late_segment_of_a_closed_flow_resets_nothing():
    """A copy that was held up came after both ends had finished."""
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    _forward(table, 0.1, 1, kit.ACK | kit.FIN, sequence=1, ack=501)
    table.on_server_segment(
        0.1, kit.server_segment(1, kit.ACK | kit.FIN, sequence=501, ack=2)
    )
    segment = kit.returned_segment(
        1, kit.ACK, sequence=1, ack=501, payload=b"x"
    )
    assert not kit.step_types(table.on_server_segment(0.2, segment))


def test_a_flow_of_another_server_is_not_reset():
    """Two servers answered copies; the caller went on with the other one."""
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    other = 500 + (1 << 28)
    found = table.on_server_segment(
        0.01, kit.returned_segment(1, kit.ACK, ack=other + 1)
    )
    assert not kit.resets(found)
    assert kit.messages(found, tunnel.UnknownFlow)


def test_callers_are_told_when_the_server_started_again():
    """A caller that waits for an answer of the old start sends nothing more.

    So the agent repeats its last segment; what the server returns it lost.
    """
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    _forward(table, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    found = table.on_report(5.0, _report(1, started_ms=6000, server_id="s-2"))
    assert [
        step.data for step in found if isinstance(step, steps.SendToServer)
    ] == [kit.datagram(1, kit.ACK, sequence=1, ack=501, payload=b"ask")]
    found = table.on_server_segment(
        5.01,
        kit.returned_segment(1, kit.ACK, sequence=1, ack=501, payload=b"ask"),
    )
    assert [step.reason for step in kit.resets(found)] == ["server_lost_flow"]


def test_a_flow_of_the_new_start_is_not_reset():
    """A server takes flows before its first report reaches the agent.

    Found by the soak (seed 11): the report of a restarted server made its
    agent reset a flow that the server had just accepted.
    """
    table = _agent()
    _open(table, 4.9, 1, sequence=500)
    _forward(table, 4.95, 1, kit.ACK, sequence=1, ack=501)
    found = table.on_report(5.0, _report(1, started_ms=6000, server_id="s-2"))
    assert not kit.resets(found)
    found = table.on_server_segment(
        5.01, kit.server_segment(1, kit.ACK, ack=2)
    )
    assert kit.step_types(found) == [steps.SendToCaller]


def test_callers_are_told_when_the_agent_stops_after_its_server():
    """The platform stops an agent after its server has ended."""
    table = _agent()
    _open(table, 0.0, 1)
    table.on_leave(1.0, "s-1")
    found = table.stop(2.0)
    assert [step.reason for step in kit.resets(found)] == ["server_gone"]


def test_a_stopping_agent_tells_whether_its_server_has_ended():
    """An agent that never heard its server ended without leaving.

    After a loss of power it had started beside a server that had left, and
    balancers went on to ask it for flows.
    """
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    table.stop(0.5)
    _try(table, 0.6, 1, ack=900)
    table.on_server_segment(0.6, kit.returned_segment(1, kit.ACK, ack=900))
    table.on_server_segment(0.6, kit.server_segment(2, kit.ACK))
    table.on_server_segment(0.6, kit.server_segment(3, kit.RST))
    assert table.has_server_ended(0.7) is None
    assert table.has_server_ended(
        _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS
    )
    table.on_message(0.1, _BALANCER, tunnel.Hello())
    assert kit.messages(table.leave(), tunnel.AgentLeft) == [
        (_BALANCER, tunnel.AgentLeft())
    ]


def test_a_paused_agent_does_not_take_its_server_for_ended():
    """An agent that was paused and then stopped had not listened before."""
    table = _agent()
    table.tick(0.0)
    table.tick(5.0)
    table.stop(5.0)
    assert table.has_server_ended(5.6) is None


def test_an_agent_stays_listed_beside_a_server_that_lives():
    """Flows of a living server must not look lost while its agent restarts."""
    table = _agent()
    table.stop(0.5)
    assert table.has_server_ended(0.6) is None
    table.on_report(1.0, _report(2))
    assert table.has_server_ended(9.0) is False


def test_a_planned_stop_resets_nothing_while_the_server_lives():
    """A restart of an agent must not cut the flows of its server."""
    table = _agent()
    _open(table, 0.0, 1)
    assert not kit.resets(table.stop(1.0))


def test_a_restarted_agent_lets_the_server_decide():
    """A flow from before the agent's restart must go on."""
    table = _agent(knows_all=False, report=False)
    table.on_report(0.0, _report(7))
    found = _forward(table, 0.1, 1, kit.ACK, ack=900)
    assert kit.step_types(found) == [steps.SendToServer]
    found = table.on_server_segment(0.1, kit.server_segment(1, kit.ACK))
    assert kit.step_types(found) == [steps.SendToPeer, steps.SendToCaller]
    found = _forward(table, 0.2, 2, kit.ACK, ack=900)
    found = table.on_server_segment(
        0.2, kit.returned_segment(2, kit.ACK, ack=900)
    )
    assert kit.messages(found, tunnel.UnknownFlow)


def test_a_reset_for_an_unknown_flow_stays_here():
    """A server that was starting reset a flow that another one held.

    Found by a hunt on petra-amman (quiet-1, seed 1041582195268): a search
    brought a segment to a server that had not started.
    """
    table = _agent(knows_all=False, report=False)
    _try(table, 0.0, 1, ack=900)
    found = table.on_server_segment(0.001, kit.server_segment(1, kit.RST))
    assert kit.step_types(found) == [steps.SendToPeer]
    assert kit.messages(found, tunnel.NotHeld) == [
        (_BALANCER, tunnel.NotHeld(kit.key_of(1)))
    ]
    _forward(table, 0.1, 2, kit.ACK, ack=900)
    found = table.on_server_segment(0.1, kit.server_segment(2, kit.RST))
    assert kit.messages(found, tunnel.UnknownFlow)[0][1].data == kit.datagram(
        2, kit.ACK, ack=900
    )


def test_a_search_is_answered_with_certainty():
    """A wrong answer would end a flow that its server holds."""
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    found = _try(table, 1.0, 1, ack=501)
    assert kit.messages(found, tunnel.Owned)
    assert steps.SendToServer in kit.step_types(found)
    found = _try(table, 1.0, 2, ack=501)
    assert kit.messages(found, tunnel.NotHeld)
    found = _try(table, 1.0, 1, ack=500 + (1 << 28))
    assert kit.messages(found, tunnel.NotHeld)


def _verdicts(table, now, *queries):
    found = table.on_message(
        now,
        _BALANCER,
        tunnel.LocateRequest(
            [tunnel.Query(kit.key_of(port), ack) for port, ack in queries]
        ),
    )
    ((_, message),) = kit.messages(found, tunnel.LocateReply)
    return [verdict for _, verdict in message.verdicts]


def test_many_flows_are_looked_up_in_one_message():
    """A message for each lost flow filled the links after a loss of power."""
    table = _agent()
    _open(table, 0.0, 1, sequence=500)
    assert _verdicts(table, 1.0, (1, 501), (2, 501), (1, 500 + (1 << 28))) == [
        tunnel.HELD,
        tunnel.ABSENT,
        tunnel.ABSENT,
    ]


def test_a_flow_that_is_learned_late_is_held_for_earlier_acknowledgements():
    """A restarted agent may see a later segment of the server first.

    Its caller then still acknowledges an earlier one, and the flow counted
    as another server's, so that a search could end with a reset.
    """
    table = _agent(knows_all=False)
    table.knows_all = False
    later = kit.server_segment(1, kit.ACK, sequence=6200, payload=b"part")
    table.on_server_segment(0.0, later)
    assert _verdicts(table, 0.1, (1, 5000)) == [tunnel.HELD]


def test_an_agent_that_starts_is_not_certain_of_anything():
    """Its server may hold flows of the time before."""
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    assert _verdicts(table, 0.1, (1, 501)) == [tunnel.STARTING]
    late = defaults.AGENT_STARTING_S
    assert _verdicts(table, late, (1, 501)) == [tunnel.UNSURE]
    table.on_report(late, _report(7))
    assert _verdicts(table, late, (1, 501)) == [tunnel.UNSURE]


def test_a_server_that_has_just_started_holds_no_flows_of_before():
    """After a loss of power every flow was tried at every server.

    The server's first reports failed since the agent was not up yet, so the
    number of the first one that arrived did not tell.
    """
    table = _agent(knows_all=False, report=False)
    table.on_report(0.3, _report(4), 0.25)
    assert _verdicts(table, 0.3, (1, 501)) == [tunnel.ABSENT]


def test_a_server_that_was_acknowledged_before_may_hold_flows():
    """Only a server without an acknowledged report repeats it at once."""
    table = _agent(knows_all=False, report=False)
    table.on_report(0.3, _report(4), _INTERVAL_S)
    assert _verdicts(table, 0.3, (1, 501)) == [tunnel.UNSURE]
    table = _agent(knows_all=False, report=False)
    # A clock that was set back makes the server look younger than it is.
    table.on_report(0.3, _report(4), -1.0)
    assert _verdicts(table, 0.3, (1, 501)) == [tunnel.UNSURE]


def test_an_agent_is_announced_with_its_servers_first_report():
    """Agents that came back without a server were asked for every flow."""
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    found = table.on_message(0.1, _BALANCER, tunnel.Hello(is_listed=False))
    assert steps.Announce not in kit.step_types(found)
    assert steps.Announce in kit.step_types(table.on_report(0.3, _report(4)))


def test_all_searchers_hear_what_the_server_decided():
    """Two balancers may search for one flow at the same time."""
    table = _agent(knows_all=False)
    table.knows_all = False
    _try(table, 0.0, 1, balancer=_BALANCER, ack=900)
    _try(table, 0.0, 1, balancer=_OTHER, ack=900)
    found = table.on_server_segment(
        0.001, kit.returned_segment(1, kit.ACK, ack=900)
    )
    assert {address for address, _ in kit.messages(found, tunnel.NotHeld)} == {
        _BALANCER,
        _OTHER,
    }


def test_load_counts_callers_that_wait():
    """Placement goes by requests under way, not by open flows."""
    table = _agent()
    table.on_message(0.0, _BALANCER, tunnel.Hello())
    _open(table, 0.0, 1)
    _open(table, 0.0, 2)
    _forward(table, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    loads = kit.messages(table.tick(0.2), tunnel.LoadReport)
    assert [(load.busy, load.flows) for _, load in loads] == [(1, 2)]
    # A copy of the request after its answer is not another request.
    table.on_server_segment(
        0.3, kit.server_segment(1, kit.ACK, sequence=501, payload=b"answer")
    )
    _forward(table, 0.31, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    loads = kit.messages(table.tick(0.4), tunnel.LoadReport)
    assert [load.busy for _, load in loads] == [0]


def test_an_unlisted_agent_announces_itself():
    """The store may take an entry away without telling its writer."""
    table = _agent()
    found = table.on_message(0.0, _BALANCER, tunnel.Hello(False))
    assert steps.Announce in kit.step_types(found)


def test_an_agent_that_no_balancer_knows_announces_itself():
    """Balancers removed the entry of an agent that was cut off for long."""
    table = _agent()
    table.tick(0.0)
    table.on_message(0.1, _BALANCER, tunnel.Hello())
    assert steps.Announce not in kit.step_types(table.tick(2.0))
    late = 0.2 + defaults.REANNOUNCE_AFTER_S
    assert steps.Announce in kit.step_types(table.tick(late))


def test_an_agent_without_a_server_answers_a_search():
    """Its silence kept the callers of lost flows waiting for 15 s.

    Found on petra-amman-grown (trouble-1): three instances came back without
    their servers, and 15,674 searches ended without an answer.
    """
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    now = _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS + 0.1
    _run(table, now)
    assert steps.SendToServer in kit.step_types(_try(table, now, 1, ack=900))
    now += defaults.SERVER_PROBE_AFTER_S + 0.001
    assert steps.ProbeServer in kit.step_types(table.tick(now))
    found = table.on_server_absent(now)
    assert kit.messages(found, tunnel.NotHeld) == [
        (_BALANCER, tunnel.NotHeld(kit.key_of(1)))
    ]
    found = _try(table, now, 2, ack=900)
    assert kit.step_types(found) == [steps.SendToPeer]
    assert kit.messages(found, tunnel.NotHeld)
    # The proof does not last: a server may start.
    now += defaults.SERVER_PROBE_INTERVAL_S
    found = _try(table, now, 3, ack=900)
    assert steps.SendToServer in kit.step_types(found)


def test_unanswered_searches_prove_an_absent_server_early():
    """After a loss of power callers waited 3 s for agents without a server.

    A server that lives cannot hold all flows that are searched for, and it
    returns the others at once.
    """
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    now = 0.3
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS):
        _try(table, now, port, ack=900)
    now += defaults.TENTATIVE_ANSWER_TIMEOUT_S
    assert steps.ProbeServer in kit.step_types(table.tick(now))
    found = table.on_server_absent(now)
    answered = {m.key for _, m in kit.messages(found, tunnel.NotHeld)}
    assert answered == {
        kit.key_of(port) for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS)
    }


def test_one_returned_segment_shows_that_the_server_lives():
    """A restarted agent must not end the flows of a slow server."""
    table = _agent(knows_all=False, report=False)
    table.tick(0.0)
    now = 0.3
    for port in range(defaults.MAX_SILENT_TENTATIVE_FLOWS + 1):
        _try(table, now, port, ack=900)
    table.on_server_segment(
        now + 0.01, kit.returned_segment(0, kit.ACK, ack=900)
    )
    now += defaults.TENTATIVE_ANSWER_TIMEOUT_S
    assert steps.ProbeServer not in kit.step_types(table.tick(now))
    assert not table.on_server_absent(now)


def test_callers_are_told_early_when_new_flows_are_not_answered():
    """A crashed server's callers waited until two reports were missing."""
    table = _agent()
    table.tick(0.0)
    _open(table, 0.0, 1, sequence=500)
    _forward(table, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    for port in range(2, 2 + defaults.MAX_SILENT_FLOWS):
        _forward(table, 0.2, port, kit.SYN)
    now = 0.2 + defaults.SERVER_ANSWER_TIMEOUT_S
    table.tick(now)
    now = max(now, defaults.SERVER_ABSENT_AFTER_S)
    assert steps.ProbeServer in kit.step_types(table.tick(now))
    found = table.on_server_absent(now)
    assert [step.reason for step in kit.resets(found)] == ["server_gone"]


def test_a_refused_connection_proves_nothing_while_the_server_is_heard():
    """A health port may lie in either way while the server serves."""
    table = _agent()
    table.tick(0.0)
    _open(table, 0.0, 1, sequence=500)
    table.on_server_segment(5.0, kit.server_segment(1, kit.ACK, sequence=501))
    _forward(table, 5.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    assert steps.ProbeServer not in kit.step_types(table.tick(5.3))
    assert not table.on_server_absent(5.3)


def test_callers_are_told_when_nobody_listens():
    """A crashed server's callers would wait for their time-outs."""
    table = _agent()
    table.tick(0.0)
    _open(table, 0.0, 1, sequence=500)
    _forward(table, 0.1, 1, kit.ACK, sequence=1, ack=501, payload=b"ask")
    late = _INTERVAL_S * defaults.REPORT_MISSING_INTERVALS + 0.1
    _run(table, late - 0.2)
    assert steps.ProbeServer in kit.step_types(table.tick(late))
    _forward(table, late, 2, kit.SYN)
    found = table.on_server_absent(late + 0.01)
    assert [step.reason for step in kit.resets(found)] == ["server_gone"]
    assert [m.reason for _, m in kit.messages(found, tunnel.Declined)] == [
        "server_silent"
    ]
    assert table.decline_reason(_DESK) == "server_silent"
