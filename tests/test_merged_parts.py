"""Faults where the decisions under load meet, found in a review.

Each of these orders of events failed when the parts were first merged.
"""

import itertools

import pytest
import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift.coordination import entries
from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.scheduling import ejection
from limpetlift.scheduling import evacuation
from limpetlift.scheduling import rotation
from limpetlift.state import dryrun
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import routing
from limpetlift.state import steering
from limpetlift.state import steps
from limpetlift import whereto

_BALANCER = ("10.9.0.1", 80)
_RUN_S = 0.05


def _agent(slots):
    agent = hosting.FlowHosting("desk", 1, kit.decode, True, estimate="robust")
    agent.on_report(
        0.0, reports.Report("s-1", "desk", 1000, 1, reports.READY, slots)
    )
    return agent


def _forward(agent, now, port, flags=0, **fields):
    data = kit.datagram(port, flags, **fields)
    forward = tunnel.Forward(hashing.service_id("desk"), data)
    return agent.on_message(now, _BALANCER, forward)


def _request(agent, now, port):
    _forward(agent, now, port, kit.SYN)
    accepted = kit.server_segment(port, kit.SYN | kit.ACK, sequence=500)
    agent.on_server_segment(now, accepted)
    _forward(agent, now, port, kit.ACK, sequence=1, ack=501, payload=b"x")


def _answer(agent, now, port):
    answer = kit.server_segment(port, kit.ACK, sequence=501, payload=b"y")
    agent.on_server_segment(now, answer)
    fin = kit.FIN | kit.ACK
    _forward(agent, now, port, fin, sequence=2, ack=502)
    agent.on_server_segment(now, kit.server_segment(port, fin, sequence=502))


@pytest.mark.parametrize("is_reset_by_caller", [True, False])
@pytest.mark.parametrize("slots", [1, 2])
def test_a_request_without_an_answer_frees_its_slot(slots, is_reset_by_caller):
    """The run times of all later requests were measured wrongly otherwise.

    A server that resets requests looked twice as fast, and was sent more.
    """
    agent = _agent(slots)
    ports = itertools.count(1000)
    running, queued = [], []

    def arrive(now):
        port = next(ports)
        _request(agent, now, port)
        if len(running) < slots:
            running.append((now + _RUN_S, port))
        else:
            queued.append(port)

    for number in range(slots):
        arrive(number * _RUN_S / slots)
    for _ in range(4):
        arrive(0.04)
    for done in range(1, 200):
        running.sort()
        now, port = running.pop(0)
        if queued:
            running.append((now + _RUN_S, queued.pop(0)))
        if done != 60:
            _answer(agent, now, port)
        elif is_reset_by_caller:
            flags = kit.RST | kit.ACK
            _forward(agent, now, port, flags, sequence=2, ack=501)
        else:
            reset = kit.server_segment(port, kit.RST, sequence=501)
            agent.on_server_segment(now, reset)
        arrive(now)
    assert agent.run_s(now) == pytest.approx(_RUN_S, rel=0.1)


def test_rejections_by_a_full_server_are_no_run_times():
    """A server whose slots hang would look like the fastest one."""
    agent = _agent(2)
    now, ports = 1.0, itertools.count(1000)
    for _ in range(20):
        port = next(ports)
        _request(agent, now, port)
        _answer(agent, now + _RUN_S, port)
        now += 0.1
    hanging = [next(ports) for _ in range(2)]
    for port in hanging:
        _request(agent, now, port)
    for port in hanging:
        reset = kit.RST | kit.ACK
        _forward(agent, now + 3.0, port, reset, sequence=2, ack=501)
    now += 3.0
    for _ in range(60):
        port = next(ports)
        _request(agent, now, port)
        _answer(agent, now + 0.001, port)
        now += 0.01
    assert agent.run_s(now) == pytest.approx(_RUN_S, rel=0.1)


def test_silence_through_a_stall_of_the_agent_is_no_failure():
    """Answers may wait unread when the agent itself did not run."""
    agent = _agent(2)
    agent.tick(1.0)
    for port in range(4):
        _forward(agent, 1.005, 5000 + port, kit.SYN)
    agent.tick(1.07)
    assert not agent.evidence.share(1.07)


def test_the_pace_ignores_answers_that_waited_through_a_pause():
    """A slow server would look normal afterwards."""
    agent = _agent(2)
    agent.pace.is_learning = True
    now = 1.0
    for port in range(40):
        _request(agent, now, port)
        _answer(agent, now + 0.02, port)
        now += 0.05
    usual_s = agent.pace.usual_s
    _request(agent, now, 100)
    agent.on_pause(now + 3.0, 3.0)
    _answer(agent, now + 3.0, 100)
    assert agent.pace.usual_s == usual_s


def _balancer(agents=2, **fields):
    balancer = steering.FlowSteering(_BALANCER, "a", kit.decode, **fields)
    balancer.on_routes(0.0, kit.routes(aim_s=0.3))
    known = [kit.agent(number) for number in range(1, agents + 1)]
    balancer.on_entries(0.0, known, [])
    return balancer


def _tell(balancer, now, number, **fields):
    address = kit.agent(number).address
    return balancer.on_message(now, address, kit.load(**fields))


def _resets(result):
    return [step for step in result if isinstance(step, steps.Reset)]


def test_a_route_that_is_removed_during_a_poll_ends_it():
    """The deferral of the polled flow must not fail for lack of a route."""
    balancer = _balancer()
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    balancer.on_routes(0.001, routing.RouteTable(2))
    result = []
    for number in (1, 2):
        result += _tell(
            balancer, 0.002, number, busy=500, flows=500, run_ms=900
        )
    result += balancer.tick(0.1)
    assert not _resets(result)


def test_a_duplicate_does_not_reset_a_flow_at_an_evacuated_agent():
    """The server there may have accepted the flow."""
    balancer = _balancer(agents=1)
    _tell(balancer, 0.0, 1)
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    change = evacuation.Change("a", 7)
    balancer.on_evacuations(0.01, [change])
    result = balancer.on_segment(0.02, kit.caller_segment(1, kit.SYN))
    assert not _resets(result + balancer.tick(0.1))


def test_failing_agents_are_compared_with_more_before_one_is_chosen():
    """The healthy agents of the first round may all be without room."""
    balancer = _balancer(agents=12)
    chosen = []
    for port in range(200):
        now = port / 10
        result = balancer.on_segment(now, kit.caller_segment(port, kit.SYN))
        for _ in range(3):
            asked = [
                step.address
                for step in result
                if isinstance(step, steps.SendToPeer)
                and isinstance(step.message, tunnel.Hello)
            ]
            result = [s for s in result if s not in asked]
            more = []
            for address in asked:
                number = int(address[0].rpartition(".")[2])
                fields = {"room": 0}
                if number == 1:
                    fields = {"failure_share": 200}
                elif number > 9:
                    fields = {}
                load = kit.load(number=port + 1, **fields)
                more += balancer.on_message(now + 0.001, address, load)
            forwards = kit.messages(result + more, tunnel.Forward)
            if forwards:
                chosen.append(forwards[0][0])
                break
            result = more
    failing = chosen.count(kit.agent(1).address)
    assert len(chosen) > 100
    # The share of trials is 0.02.
    assert failing <= 0.05 * len(chosen)


def test_a_second_outage_within_the_grace_time_begins_it_anew():
    """No process could write its entry between the two outages."""
    known = directory.Directory()
    known.on_unreachable()
    known.on_snapshot(0.0, [], revisions.Revision(0, 5))
    first = known.unproven_until
    known.on_unreachable()
    known.on_snapshot(3.0, [], revisions.Revision(0, 6))
    assert first == defaults.LAPSED_ENTRY_GRACE_S
    assert known.unproven_until == 3.0 + defaults.LAPSED_ENTRY_GRACE_S


def test_a_list_that_was_read_before_the_mark_keeps_it():
    """Otherwise the mark of the era is written again and again, in vain."""
    known = directory.Directory()
    at = revisions.Revision
    known.on_snapshot(0.0, [], at(5, 11))
    mark = entries.Entry(directory.ERA_KEY, b"5", at(5, 12))
    change = entries.Change(directory.ERA_KEY, mark, at(5, 12))
    known.on_changes(3.0, [change])
    known.on_snapshot(3.1, [], at(5, 11))
    assert known.missing_mark(9.0) is None


def test_a_missing_evacuation_lasts_while_the_store_is_away():
    """Operators cannot write it again to a store that is away."""
    known = evacuation.Evacuations()
    known.on_snapshot(0.0, [evacuation.Change("a", 7)], {})
    known.on_snapshot(1.0, [], {})
    known.on_unreachable()
    known.tick(60.0)
    assert known.covers("a")
    known.on_changes(61.0, [], {})
    known.tick(62.0)
    assert known.covers("a")
    known.tick(61.0 + defaults.EVACUATION_MISSING_GRACE_S)
    assert not known.covers("a")


def test_whereto_prints_evacuations_of_a_store_with_eras():
    """The revision of an evacuation is not a plain number there."""
    balancer = _balancer(agents=1)
    change = evacuation.Change("b", revisions.Revision(2, 7))
    balancer.on_evacuations(0.0, [change])
    flow = "100.64.0.7:1>198.18.0.1:443"
    answer = dryrun.explain(balancer, 1.0, flow)
    lines = whereto.format_answer({"balancer": "b1", **answer})
    assert any("2:7" in line for line in lines)


@pytest.mark.parametrize("value", [1e-320, "0.0000001", -1, "x", None])
def test_a_tiny_capacity_is_invalid(value):
    """It would make every balancer divide by a number that is rounded to 0."""
    assert rotation.positive_number(value, defaults.MAX_CORES) is None


def test_the_evidence_of_an_agent_knows_a_stall():
    """Guards the bound that the verdicts on silent servers use."""
    evidence = ejection.Evidence()
    evidence.pop_overdue(1.0, lambda _flow: True)
    assert not evidence.is_stalled(1.02)
    assert evidence.is_stalled(1.02 + defaults.EVIDENCE_STALL_S)
