"""Tests of routes: where first segments go when the routes have changed."""

import random

import attrs
import pytest
import routesim
import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import hosting
from limpetlift.state import reports
from limpetlift.state import routing
from limpetlift.state import steering

_DESK = hashing.service_id("desk")
_MAPS = hashing.service_id("maps")
_AGENT = kit.agent(1)
_PEER = kit.balancer(2).address


def _balancer(*entries):
    """Return the decisions of a balancer with a route to the desk service.

    The agents have not told their loads.
    """
    balancer = steering.FlowSteering(
        ("10.9.0.9", 80), "a", kit.decode, random.Random(1)
    )
    balancer.on_routes(0.0, kit.routes(7))
    balancer.on_entries(0.0, list(entries), [])
    return balancer


def _drop_routes(balancer, now):
    balancer.on_routes(now, routing.RouteTable(8))


def _syn(port, copy=0):
    return kit.caller_segment(port, kit.SYN, ack=copy)


def _forwards(result):
    return kit.messages(result, tunnel.Forward)


def _services(result):
    """Return the services that forwarded segments are meant for."""
    return {forward.service for _, forward in _forwards(result)}


def _place(balancer, now, port):
    """Place a new flow at the agent of the desk service."""
    balancer.on_segment(now, _syn(port))
    result = balancer.on_message(now, _AGENT.address, kit.load(int(now) + 2))
    assert [to for to, _ in _forwards(result)] == [_AGENT.address]
    return result


def _send_to_server(agent, now, result):
    """Return the steps of an agent that gets what a balancer forwards."""
    sent = []
    for _, forward in _forwards(result):
        decoded = tunnel.decode(forward.encode())
        sent += agent.on_message(now, ("10.9.0.9", 80), decoded)
    return sent


def _datagrams(result):
    return [step.data for step in result if hasattr(step, "data")]


@pytest.mark.parametrize("copy", [1, 2])
def test_a_dropped_route_leads_to_no_other_service(copy):
    """A request must not run at a service that its route never named.

    Its flow was placed at a lost agent. An agent of another service started
    at the address, the route was dropped, and the next copy of the first
    segment went to the server there, which ran the request that followed.
    """
    balancer = _balancer(_AGENT)
    balancer.on_segment(0.0, _syn(1))
    result = balancer.tick(defaults.POLL_TIMEOUT_S)
    assert _services(result) == {_DESK}

    successor = attrs.evolve(kit.agent(1, "maps"), process_id="agent-9")
    balancer.on_entries(0.1, [successor], [])
    balancer.on_message(0.1, successor.address, kit.load(service="maps"))
    _drop_routes(balancer, 0.15)
    result = balancer.on_segment(0.16, _syn(2))
    assert [step.reason for step in kit.resets(result)] == ["no_route"]

    agent = hosting.FlowHosting(
        service="maps",
        incarnation=1,
        decode_segment=kit.decode,
        report=reports.Report("s-9", "maps", 1000, 1, reports.READY, 2),
    )
    sent = []
    now = 0.2 if copy == 1 else 0.6
    result = balancer.on_segment(now, _syn(1, copy))
    result += balancer.tick(now + 0.01)
    sent += _datagrams(_send_to_server(agent, now + 0.01, result))
    # The caller goes on only if the server has answered its first segment.
    if sent:
        agent.on_server_segment(
            now + 0.02,
            kit.server_segment(1, kit.SYN | kit.ACK, sequence=500, ack=1),
        )
        request = kit.caller_segment(
            1, kit.ACK, sequence=1, ack=501, payload=b"POST /"
        )
        result = balancer.on_segment(now + 0.03, request)
        sent += _datagrams(_send_to_server(agent, now + 0.03, result))
    assert not sent


@pytest.mark.parametrize("is_open", [False, True])
@pytest.mark.parametrize("copy", [0, 1])
def test_a_first_segment_is_not_sent_on_without_its_route(copy, is_open):
    """A request must not run with a route that was dropped.

    A known flow got every first segment with its key: a copy that came after
    the newer version, and a later flow between the same ports.
    """
    balancer = _balancer(_AGENT)
    _place(balancer, 1.0, 1)
    if is_open:
        balancer.on_segment(1.1, kit.caller_segment(1, kit.ACK, ack=501))
    _drop_routes(balancer, 1.2)
    result = balancer.on_segment(1.6, _syn(1, copy))
    assert not kit.step_types(result)
    # The flow may be open, and its further segments are forwarded.
    result = balancer.on_segment(1.7, kit.caller_segment(1, kit.ACK, ack=501))
    assert [to for to, _ in _forwards(result)] == [_AGENT.address]


def test_a_record_of_a_peer_does_not_bring_a_dropped_route_back():
    """A record from before a change must not open a flow after it."""
    balancer = _balancer(_AGENT)
    balancer.on_message(1.0, _AGENT.address, kit.load(2))
    _drop_routes(balancer, 1.0)
    record = tunnel.FlowRecord(kit.key_of(1), _AGENT.address, True, _DESK)
    balancer.on_message(1.1, _PEER, tunnel.FlowRecords([record]))
    assert not kit.step_types(balancer.on_segment(1.2, _syn(1, 1)))


@pytest.mark.parametrize("is_open", [False, True])
def test_a_first_segment_goes_to_the_new_service_of_its_route(is_open):
    """A request must not run by the service that its route had before.

    A known flow got every first segment with its key.
    """
    other = kit.agent(2, "maps")
    balancer = _balancer(_AGENT, other)
    _place(balancer, 1.0, 1)
    if is_open:
        balancer.on_segment(1.1, kit.caller_segment(1, kit.ACK, ack=501))
    balancer.on_routes(1.2, kit.routes(8, "maps"))
    result = balancer.on_segment(5.0, _syn(1))
    result += balancer.on_message(
        5.01, other.address, kit.load(9, service="maps")
    )
    assert _services(result) == {_MAPS}
    assert balancer.flows_by_key[kit.key_of(1)].address == other.address


def test_a_late_copy_does_not_move_an_open_flow():
    """An open flow must stay where it is when its route changes.

    A late copy of its first segment must not open it a second time.
    """
    balancer = _balancer(_AGENT, kit.agent(2, "maps"))
    _place(balancer, 1.0, 1)
    balancer.on_segment(1.1, kit.caller_segment(1, kit.ACK, ack=501))
    balancer.on_routes(1.2, kit.routes(8, "maps"))
    assert not kit.step_types(balancer.on_segment(1.3, _syn(1, 1)))
    result = balancer.on_segment(1.4, kit.caller_segment(1, kit.ACK, ack=501))
    assert [to for to, _ in _forwards(result)] == [_AGENT.address]


def test_a_record_of_the_former_service_does_not_end_a_poll():
    """A flow must not go to the former service because a keeper knows it."""
    other = kit.agent(2, "maps")
    balancer = _balancer(_AGENT, other)
    balancer.on_routes(1.0, kit.routes(8, "maps"))
    balancer.on_segment(5.0, _syn(1, 1))
    record = tunnel.FlowRecord(kit.key_of(1), _AGENT.address, False, _DESK)
    result = balancer.on_message(5.001, _PEER, tunnel.KeptRecords([record]))
    result += balancer.on_message(
        5.01, other.address, kit.load(9, service="maps")
    )
    result += balancer.tick(5.03)
    assert _services(result) == {_MAPS}


def test_a_service_without_weight_gets_no_flow_by_rounding():
    """A draw that rounding leaves over must not select the first service.

    It may have the weight 0. The hash of a flow divided by its range is 1.0
    for the highest hashes, and sums of weights are rounded.
    """
    route = routing.Route(
        "r",
        ("198.18.0.1", 443),
        (
            routing.WeightedService("desk", 0.0),
            routing.WeightedService("maps", 0.1),
            routing.WeightedService("news", 0.7),
            routing.WeightedService("mail", 0.0),
        ),
    )
    assert route.services_for((2**64 - 1) / 2**64) == ["news", "maps"]


@pytest.mark.parametrize("service", ["desk", "maps"])
def test_a_later_flow_between_the_same_ports_is_placed(service):
    """A new flow must not wait at the agent of an earlier one with its key.

    It went to the agent that the earlier flow was at. If that was lost, or
    another service's had its address, no copy of the first segment was placed.
    """
    other = kit.agent(2)
    balancer = _balancer(_AGENT)
    _place(balancer, 1.0, 1)
    balancer.on_segment(1.1, kit.caller_segment(1, kit.ACK, ack=501))
    late = balancer.on_segment(1.2, _syn(1))
    assert [to for to, _ in _forwards(late)] == [_AGENT.address]
    balancer.on_entries(5.0, [kit.agent(1, service), other], [])
    result = balancer.on_segment(5.1, _syn(1))
    result += balancer.on_message(5.11, other.address, kit.load(9))
    result += balancer.tick(5.2)
    assert [to for to, _ in _forwards(result)] == [other.address]


@pytest.mark.parametrize("port_count", [100, 10_000])
def test_first_segments_reach_only_services_that_routes_name(port_count):
    """A request must run only where the routes let it go.

    Routes change and are dropped, agents are lost, and their addresses are
    used by agents of other services, one of which no route ever names.
    Callers use each port again after some seconds, or never.
    """
    request_count = 0
    for seed in range(8):
        simulation = routesim.Simulation(seed, port_count)
        simulation.run(20.0)
        assert not simulation.misrouted, "seed %d" % seed
        assert not simulation.outdated, "seed %d" % seed
        request_count += simulation.request_count
    assert request_count > 1000
