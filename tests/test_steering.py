"""Tests of a balancer's decisions on segments and messages."""

import itertools
import random

import attrs
import pytest
import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift.state import steering
from limpetlift.state import steps

_OWN_ADDRESS = ("10.9.0.9", 80)


def _balancer(agents=2, is_fresh=True, **fields):
    """Return the decisions of a balancer that knows a route and agents.

    :param agents: number of agents.
    :param is_fresh: whether all agents have just told their loads.
    """
    balancer = steering.FlowSteering(
        _OWN_ADDRESS, "a", kit.decode, random.Random(1), **fields
    )
    balancer.on_routes(0.0, kit.routes())
    entries = [kit.agent(number) for number in range(1, agents + 1)]
    balancer.on_entries(0.0, entries, [])
    if is_fresh:
        for entry in entries:
            balancer.on_message(0.0, entry.address, kit.load())
    return balancer


def _forwards(result):
    return kit.messages(result, tunnel.Forward)


def _services(result):
    """Return the services that forwarded segments are meant for."""
    return {forward.service for _, forward in _forwards(result)}


def _asked(result):
    """Return the addresses of the agents that are asked for their loads."""
    return [address for address, _ in kit.messages(result, tunnel.Hello)]


_numbers = itertools.count(1000)


def _answer(balancer, now, addresses, **fields):
    """Let agents answer for their loads; return the resulting steps."""
    result = []
    for address in addresses:
        result += balancer.on_message(
            now, address, kit.load(next(_numbers), **fields)
        )
    return result


def _queried(balancer):
    """Return the addresses of the agents whose queries are queued."""
    return [
        address
        for address, _ in kit.messages(
            balancer.searches.flush_queries(), tunnel.LocateRequest
        )
    ]


def test_all_segments_of_a_flow_go_to_one_agent():
    """A flow must not move to another agent when the loads change.

    Only the server that accepted the flow can continue it.
    """
    balancer = _balancer()
    first = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(first)
    balancer.on_message(0.1, address, kit.load(2, busy=50))
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.ACK))
    assert [to for to, _ in _forwards(result)] == [address]
    copy = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert [to for to, _ in _forwards(copy)] == [address]


def test_new_flows_go_to_the_least_loaded_agent():
    """Placing by hash alone gives one server twice the work of another."""
    balancer = _balancer(agents=3)
    for number, busy in ((1, 4), (2, 0), (3, 4)):
        balancer.on_message(
            0.0, kit.agent(number).address, kit.load(2, busy=busy)
        )
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    assert _forwards(result)[0][0] == kit.agent(2).address


def test_a_flow_without_a_route_is_refused_once():
    """A copy of a first segment must not be refused.

    Another balancer may have placed its flow.
    """
    balancer = _balancer()
    balancer.on_routes(1.0, kit.routes(2, service="desk"))
    balancer.routes.routes_by_address.clear()
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert [step.reason for step in kit.resets(result)] == ["no_route"]
    assert not kit.resets(
        balancer.on_segment(1.0, kit.caller_segment(2, kit.SYN, ack=1))
    )


def test_nothing_is_refused_before_the_routes_are_known():
    """A balancer that has just started must not refuse flows.

    It cannot tell a missing route from one that it has not read yet.
    """
    balancer = steering.FlowSteering(_OWN_ADDRESS, "a", kit.decode)
    assert not kit.step_types(
        balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    )


def test_an_older_version_of_the_routes_is_ignored():
    """A stale read must not put older routes in force again."""
    balancer = _balancer()
    balancer.on_routes(1.0, kit.routes(5))
    balancer.on_routes(2.0, kit.routes(4))
    assert balancer.routes.version == 5


def test_a_declined_flow_is_tried_elsewhere():
    """A flow that a draining agent declines must be placed again at once.

    Otherwise its caller waits 200 ms until it sends the next copy.
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(result)
    result = balancer.on_message(
        0.01, first, tunnel.Declined("draining", forward.data)
    )
    ((second, _),) = _forwards(result)
    assert second != first
    result = balancer.on_message(
        0.02, second, tunnel.Declined("draining", forward.data)
    )
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]


def test_a_flow_is_deferred_while_agents_may_recover():
    """A flow must not be refused when its agents may accept flows soon.

    After a restart of all processes, refusals would use up the caller's tries.
    """
    balancer = _balancer(agents=1)
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(result)
    result = balancer.on_message(
        0.01, first, tunnel.Declined("server_unknown", forward.data)
    )
    assert not kit.resets(result)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    result = _answer(balancer, 0.2, _asked(result))
    assert [to for to, _ in _forwards(result)] == [first]


def test_a_flow_does_not_wait_for_an_agent_that_left():
    """It accepts no flow again, and a later process joins anew."""
    balancer = _balancer(agents=1)
    address = kit.agent(1).address
    balancer.on_message(0.9, address, tunnel.AgentLeft(1))
    _answer(balancer, 1.0, [address], accepting=False)
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]


def test_a_flow_waits_for_the_report_of_an_unverified_server():
    """Its agent accepts flows again with the server's next report."""
    balancer = _balancer(agents=1)
    segment = kit.caller_segment(1, kit.SYN)
    ((address, _),) = _forwards(balancer.on_segment(0.0, segment))
    result = balancer.on_message(
        0.01, address, tunnel.Declined("server_unverified", segment.data)
    )
    assert not kit.resets(result)
    assert len(kit.log_fields(result, "flow_deferred")) == 1


@pytest.mark.parametrize("is_paused", [False, True])
def test_a_late_copy_does_not_end_an_idle_flow(is_paused):
    """A segment that was sent before, or waited in a pause, tells nothing."""
    balancer = _balancer()
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    balancer.on_segment(0.1, kit.caller_segment(1, kit.ACK, ack=5))
    if is_paused:
        balancer.on_pause(5.0, 4.9)
    copy = kit.caller_segment(1, kit.SYN, ack=0 if is_paused else 2)
    balancer.on_segment(5.0, copy)
    assert balancer.flows_by_key[kit.key_of(1)].is_open


def test_a_copy_is_forwarded_before_the_routes_are_known():
    """A balancer that has just started knows the flow from a keeper."""
    balancer = steering.FlowSteering(_OWN_ADDRESS, "a", kit.decode)
    address = kit.agent(1).address
    record = tunnel.FlowRecord(kit.key_of(1), address)
    balancer.on_message(
        0.0, kit.balancer(2).address, tunnel.KeptRecords([record])
    )
    result = balancer.on_segment(0.1, kit.caller_segment(1, kit.SYN, ack=1))
    assert [to for to, _ in _forwards(result)] == [address]


def test_a_silent_agent_gets_no_new_flow():
    """An agent that does not answer must not get new flows.

    It may have crashed and cannot say that it accepts none.
    """
    balancer = _balancer()
    silent, reporting = kit.agent(1).address, kit.agent(2).address
    now = 1.0
    for port in range(20):
        result = balancer.on_segment(now, kit.caller_segment(port, kit.SYN))
        assert silent in _asked(result)
        result = _answer(balancer, now, [reporting])
        # Only the first flow waits for the silent agent.
        if not port:
            assert not _forwards(result)
            now += defaults.POLL_TIMEOUT_S
            result = balancer.tick(now)
        assert [to for to, _ in _forwards(result)] == [reporting]
        now += 2 * defaults.LOAD_REUSE_S


def test_a_flow_is_placed_when_no_agent_answers():
    """Callers must be served when the answers of all agents are lost."""
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    result = balancer.tick(1.0 + defaults.POLL_TIMEOUT_S)
    assert len(_forwards(result)) == 1
    assert not kit.resets(result)


def test_a_load_is_used_again_for_a_short_time():
    """Flows that come together must not ask for the same loads again.

    At a peak, the questions would cost more than the flows.
    """
    balancer = _balancer()
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert len(_asked(result)) == 2
    _answer(balancer, 1.0, _asked(result))
    soon = 1.0 + defaults.LOAD_REUSE_S
    result = balancer.on_segment(soon, kit.caller_segment(2, kit.SYN))
    assert _forwards(result) and not _asked(result)
    late = soon + 0.001
    result = balancer.on_segment(late, kit.caller_segment(3, kit.SYN))
    assert _asked(result) and not _forwards(result)


def test_a_reused_load_counts_until_the_poll_ends():
    """A flow must not wait for an agent that has not been asked for it.

    A load that was recent when the flow came grew too old while others were
    asked. The flow then waited for the time-out and went to the others.
    """
    balancer = _balancer(is_fresh=False)
    idle, busy = kit.agent(1).address, kit.agent(2).address
    _answer(balancer, 0.5, [busy])
    _answer(balancer, 0.985, [idle])
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert _asked(result) == [busy]
    result = _answer(balancer, 1.01, [busy], busy=1)
    assert [to for to, _ in _forwards(result)] == [idle]


def test_questions_do_not_grow_with_the_fleet():
    """The cost of a new flow must not depend on the number of agents.

    Reports of every agent to every balancer took 70% of the processor time
    of 59 balancers and 136 agents.
    """
    for agents in (10, 100, 500):
        balancer = _balancer(agents=agents)
        result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
        assert len(_asked(result)) == defaults.PLACING_CANDIDATES


def test_a_copy_during_a_poll_is_not_placed_twice():
    """A copy that arrives while agents are asked must not open a second flow.

    Each server that gets a first segment holds a connection.
    """
    balancer = _balancer()
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    asked = _asked(result)
    assert not balancer.on_segment(1.01, kit.caller_segment(1, kit.SYN, ack=1))
    ((_, forward),) = _forwards(_answer(balancer, 1.01, asked))
    assert kit.decode(forward.data).ack == 1


def test_a_flow_that_another_balancer_placed_ends_the_poll():
    """A balancer must not place a flow that a peer has just placed."""
    balancer = _balancer()
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    asked = _asked(result)
    placed = kit.agent(2).address
    record = tunnel.FlowRecord(kit.key_of(1), placed, True)
    result = balancer.on_message(
        1.01, kit.balancer(2).address, tunnel.FlowRecords([record])
    )
    assert [to for to, _ in _forwards(result)] == [placed]
    assert not _forwards(_answer(balancer, 1.01, asked))


def test_a_copy_goes_to_another_agent_when_the_first_fell_silent():
    """A copy must not go to an agent that crashed after the first segment."""
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, _),) = _forwards(result)
    (other,) = {kit.agent(1).address, kit.agent(2).address} - {first}
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert _asked(result) == [first]
    result = balancer.tick(0.2 + defaults.POLL_TIMEOUT_S)
    assert other in _asked(result)
    result = _answer(balancer, 0.23, [other])
    assert [to for to, _ in _forwards(result)] == [other]


def test_a_copy_stays_with_an_agent_that_answers():
    """A slow server must not make its flow move to another one."""
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, _),) = _forwards(result)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert [to for to, _ in _forwards(result)] == [first]
    assert not _answer(balancer, 0.21, [first])
    assert not _forwards(balancer.tick(0.3))


def test_balancers_of_a_data_centre_share_flows():
    """A balancer must know the flows that its peers placed.

    The fabric may deliver the next segment to any of them.
    """
    first = _balancer()
    second = _balancer()
    first.on_entries(0.0, [kit.agent(1), kit.agent(2)], [kit.balancer(2)])
    result = first.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(result)
    for to, message in kit.messages(first.tick(0.02), tunnel.FlowRecords):
        assert to == kit.balancer(2).address
        second.on_message(0.03, _OWN_ADDRESS, tunnel.decode(message.encode()))
    result = second.on_segment(0.04, kit.caller_segment(1, kit.ACK))
    assert [to for to, _ in _forwards(result)] == [address]


def test_a_started_balancer_requests_the_flows_of_its_peers():
    """A balancer that starts must not search for every open flow.

    It gets the flows from the other balancers of its data centre.
    """
    balancer = _balancer()
    result = balancer.on_entries(0.0, [kit.agent(1)], [kit.balancer(2)])
    assert kit.messages(result, tunnel.FlowRecordsRequest)
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    result = balancer.on_message(
        0.1, kit.balancer(2).address, tunnel.FlowRecordsRequest()
    )
    (message,) = [
        message for _, message in kit.messages(result, tunnel.FlowRecords)
    ]
    assert [record.key for record in message.records] == [kit.key_of(1)]


def test_an_unknown_flow_is_searched_and_found():
    """A balancer must not break an open flow that it does not know."""
    balancer = _balancer()
    balancer.on_segment(0.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert len(_queried(balancer)) == 2
    second = kit.caller_segment(1, kit.ACK, ack=6)
    assert not balancer.on_segment(0.001, second)
    owner = kit.agent(2).address
    result = balancer.on_message(0.002, owner, tunnel.Owned(kit.key_of(1)))
    assert [(to, message.data) for to, message in _forwards(result)] == [
        (owner, second.data)
    ]
    result = balancer.on_segment(0.1, kit.caller_segment(1, kit.ACK, ack=7))
    assert [to for to, _ in _forwards(result)] == [owner]


def test_searches_that_begin_together_share_their_messages():
    """Queries to an agent must share messages.

    After a power failure, one message per unknown flow saturated the links.
    """
    balancer = _balancer()
    flows = tunnel.QUERIES_PER_MESSAGE + 1
    for port in range(flows):
        balancer.on_segment(1.0, kit.caller_segment(port, kit.ACK, ack=5))
    result = kit.messages(
        balancer.searches.flush_queries(), tunnel.LocateRequest
    )
    assert len(result) == 2 * 2
    assert not balancer.searches.has_queries
    decoded = [tunnel.decode(message.encode()) for _, message in result]
    assert sum(len(message.queries) for message in decoded) == 2 * flows


def test_a_found_flow_gets_all_waiting_segments():
    """No segment that arrived during a search may be lost.

    An agent that answers a query has not received any of them yet.
    """
    balancer = _balancer()
    first = kit.caller_segment(1, kit.ACK, ack=5)
    balancer.on_segment(1.0, first)
    owner = kit.agent(2).address
    verdicts = [(kit.key_of(1), tunnel.HELD)]
    result = balancer.on_message(1.01, owner, tunnel.LocateReply(verdicts))
    assert [(to, message.data) for to, message in _forwards(result)] == [
        (owner, first.data)
    ]


def test_only_unsure_agents_are_tried_with_a_segment():
    """Agents that know their server's flows must not be given a segment.

    Each search gave every server a segment of the flow.
    """
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    for number, verdict in ((1, tunnel.ABSENT), (2, tunnel.UNSURE)):
        address = kit.agent(number).address
        result = balancer.on_message(
            1.01, address, tunnel.LocateReply([(key, verdict)])
        )
        tried = [to for to, _ in kit.messages(result, tunnel.TentativeForward)]
        assert tried == ([address] if verdict == tunnel.UNSURE else [])


def test_a_flow_is_found_again_where_placement_puts_it():
    """The agents that placement prefers for a flow must be tried first.

    After a restart of all processes, every server was given a segment of each
    of a few thousand flows, which saturated the links of the small instances
    for two seconds.
    """
    agents = 40
    balancer = _balancer(agents=agents)
    address_by_port = {}
    for port in range(50):
        result = balancer.on_segment(0.0, kit.caller_segment(port, kit.SYN))
        ((address_by_port[port], _),) = _forwards(result)
    restarted = _balancer(agents=agents)
    for port, address in address_by_port.items():
        key = kit.key_of(port)
        restarted.on_segment(1.0, kit.caller_segment(port, kit.ACK, ack=5))
        tried = []
        for number in range(1, agents + 1):
            result = restarted.on_message(
                1.0,
                kit.agent(number).address,
                tunnel.LocateReply([(key, tunnel.UNSURE)]),
            )
            tried += [
                to for to, _ in kit.messages(result, tunnel.TentativeForward)
            ]
        assert len(tried) == defaults.PLACING_CANDIDATES
        assert address in tried


def test_the_other_servers_are_tried_a_little_later():
    """A flow must also be found at an agent that is not a likely one.

    It may have been placed while its likely agents were down.
    """
    agents = 20
    balancer = _balancer(agents=agents)
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    verdicts = [(kit.key_of(1), tunnel.UNSURE)]
    now = 1.0
    tried = []
    queried = _queried(balancer)
    while queried:
        result = []
        for address in queried:
            result += balancer.on_message(
                now, address, tunnel.LocateReply(verdicts)
            )
        tried += [
            to for to, _ in kit.messages(result, tunnel.TentativeForward)
        ]
        now += defaults.SEARCH_ROUND_TIMEOUT_S
        queried = [
            to
            for to, _ in kit.messages(balancer.tick(now), tunnel.LocateRequest)
        ]
    assert len(tried) == len(set(tried)) == agents
    # Before the caller's first retransmission.
    assert now < 1.2


def test_more_agents_are_asked_when_the_preferred_ones_are_full():
    """A flow must not be deferred because its first agents are full."""
    agents = 20
    balancer = _balancer(agents=agents)
    balancer.on_routes(0.0, kit.routes(2, aim_s=0.2))
    idle = kit.agent(agents).address
    # The idle one is among the agents that may be asked for these flows.
    placed = []
    for port in range(40):
        now = 1.0 + port
        result = balancer.on_segment(now, kit.caller_segment(port, kit.SYN))
        while asked := _asked(result):
            busy = [address for address in asked if address != idle]
            result = _answer(balancer, now, busy, busy=40, run_ms=50)
            if idle in asked:
                result += _answer(balancer, now, [idle], run_ms=50)
        placed += [to for to, _ in _forwards(result)]
    assert set(placed) == {idle}
    assert len(placed) > 40 // 2


def test_a_starting_agent_is_queried_again():
    """A search must not end before a starting agent can answer.

    Its server sends a report within some tenths of a second.
    """
    balancer = _balancer(agents=1)
    address = kit.agent(1).address
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    _queried(balancer)
    verdicts = [(kit.key_of(1), tunnel.STARTING)]
    balancer.on_message(1.0, address, tunnel.LocateReply(verdicts))
    now = 1.0 + defaults.SEARCH_RETRY_S
    queried = [
        to for to, _ in kit.messages(balancer.tick(now), tunnel.LocateRequest)
    ]
    assert queried == [address]
    verdicts = [(kit.key_of(1), tunnel.ABSENT)]
    result = balancer.on_message(
        now + 0.1, address, tunnel.LocateReply(verdicts)
    )
    assert kit.step_types(result) == [steps.ReadDirectory]


def test_a_flow_that_no_server_holds_is_reset_with_proof():
    """The caller of a lost flow must get a reset instead of a timeout.

    The reset requires an answer of every agent in a list that was read after
    the segment arrived; otherwise it could break an open flow.
    """
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    result = balancer.on_message(
        1.01, kit.agent(1).address, tunnel.NotHeld(key)
    )
    assert not result
    result = balancer.on_message(
        1.01, kit.agent(2).address, tunnel.NotHeld(key)
    )
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert not balancer.on_directory_read(1.02, 0.9)
    result = balancer.on_directory_read(1.03, 1.015)
    assert [(step.key, step.ack, step.reason) for step in kit.resets(result)]


def test_an_agent_that_joined_is_queried_before_a_reset():
    """A flow must not be reset if an agent that has just joined holds it."""
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    for number in (1, 2):
        balancer.on_message(
            1.01, kit.agent(number).address, tunnel.NotHeld(key)
        )
    _queried(balancer)
    balancer.on_entries(1.02, [kit.agent(n) for n in (1, 2, 3)], [])
    result = balancer.on_directory_read(1.02, 1.015)
    assert not kit.resets(result)
    assert _queried(balancer) == [kit.agent(3).address]


def test_an_unanswered_search_ends_without_a_reset():
    """A flow must not be reset when an agent did not answer.

    The agent may hold the flow and be unreachable.
    """
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    balancer.on_message(
        1.01, kit.agent(1).address, tunnel.NotHeld(kit.key_of(1))
    )
    result = balancer.tick(1.0 + defaults.SEARCH_TIMEOUT_S + 0.01)
    assert not kit.resets(result)
    assert not balancer.on_directory_read(1.3, 1.25)


def _deny(balancer, now, number, port=1):
    """Let an agent answer that its server does not hold a flow."""
    return balancer.on_message(
        now, kit.agent(number).address, tunnel.NotHeld(kit.key_of(port))
    )


def _withdraw(balancer, now, number, agents=2):
    """Let an agent leave and remove its entry; return the steps."""
    result = balancer.on_message(
        now, kit.agent(number).address, tunnel.AgentLeft()
    )
    entries = [kit.agent(other) for other in range(1, agents + 1)]
    return result + balancer.on_entries(
        now, entries, [], {kit.agent(number).process_id}
    )


def test_an_agent_that_left_need_not_answer():
    """A search must not wait for an agent that announced its stop.

    Callers waited 15 s for the answer of an agent that had stopped.
    """
    balancer = _balancer()
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    _deny(balancer, 1.01, 1)
    result = balancer.on_message(
        1.02, kit.agent(2).address, tunnel.AgentLeft()
    )
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert kit.resets(balancer.on_directory_read(1.03, 1.025))
    _withdraw(balancer, 1.05, 2)
    balancer.on_segment(1.1, kit.caller_segment(2, kit.ACK, ack=5))
    result = _deny(balancer, 1.11, 1, port=2)
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert kit.resets(balancer.on_directory_read(1.13, 1.12))


def test_a_search_goes_on_when_the_entry_of_an_agent_that_left_is_removed():
    """A search that began before the removal must not wait until its end.

    The agent announces its stop, is asked once more, and has ended when the
    question arrives.
    """
    balancer = _balancer()
    balancer.on_message(1.0, kit.agent(2).address, tunnel.AgentLeft())
    balancer.on_segment(1.01, kit.caller_segment(1, kit.ACK, ack=5))
    assert not _deny(balancer, 1.02, 1)
    result = _withdraw(balancer, 1.03, 2)
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert kit.resets(balancer.on_directory_read(1.05, 1.04))


def test_an_agent_that_registered_again_must_answer():
    """A flow must not be reset while an agent that came back holds it.

    It was stopped while its server was down, which it announced. Balancers
    that did not monitor it left it out for as long as they ran.
    """
    balancer = _balancer(is_fresh=False)
    _withdraw(balancer, 1.0, 2)
    returned = attrs.evolve(kit.agent(2), revision=9)
    balancer.on_entries(2.0, [kit.agent(1), returned], [])
    balancer.on_segment(9.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert kit.agent(2).address in _queried(balancer)
    result = _deny(balancer, 9.01, 1)
    result += balancer.on_directory_read(9.03, 9.02)
    result += balancer.tick(9.5)
    assert not kit.resets(result)
    record = tunnel.FlowRecord(kit.key_of(2), returned.address)
    result = balancer.on_message(
        9.6, kit.balancer(2).address, tunnel.KeptRecords([record])
    )
    assert kit.key_of(2) in balancer.flows_by_key


def test_an_agent_that_left_must_answer_while_it_is_listed():
    """A restarted agent may have found the entry of its predecessor.

    The predecessor announced its stop but could not remove the entry, as the
    store was down. The entry is then not written again.
    """
    balancer = _balancer()
    balancer.on_message(1.0, kit.agent(2).address, tunnel.AgentLeft())
    balancer.on_segment(9.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert kit.agent(2).address in _queried(balancer)
    result = _deny(balancer, 9.01, 1)
    result += balancer.on_directory_read(9.03, 9.02)
    assert not kit.resets(result)


def test_an_agent_that_is_back_but_not_registered_is_found():
    """An agent may accept a flow just before it has registered again.

    Another balancer, with an older list, placed the flow there.
    """
    balancer = _balancer()
    _withdraw(balancer, 1.0, 2)
    balancer.on_segment(1.5, kit.caller_segment(1, kit.ACK, ack=5))
    assert kit.agent(2).address in _queried(balancer)
    result = _deny(balancer, 1.51, 1)
    result += balancer.on_message(
        1.511,
        kit.agent(2).address,
        tunnel.LocateReply([(kit.key_of(1), tunnel.HELD)]),
    )
    result += balancer.on_directory_read(1.53, 1.515)
    assert [to for to, _ in _forwards(result)] == [kit.agent(2).address]
    assert not kit.resets(result)


def test_the_leave_of_an_earlier_process_is_ignored_after_a_pause():
    """A message that waited through a pause must not end an agent's flows.

    The agent was started again and registered while this balancer was paused.
    """
    balancer = _balancer()
    balancer.on_pause(5.0, 4.0)
    balancer.on_segment(5.0, kit.caller_segment(1, kit.ACK, ack=5))
    result = balancer.on_message(5.0, kit.agent(2).address, tunnel.AgentLeft())
    balancer.on_caught_up()
    result += _deny(balancer, 5.01, 1)
    result += balancer.on_directory_read(5.03, 5.02)
    assert not kit.resets(result)


def test_an_agent_that_comes_back_is_queried_again():
    """A search must include an agent that left and started again.

    Its new server may hold the flow.
    """
    balancer = _balancer()
    address = kit.agent(2).address
    balancer.on_message(1.0, address, tunnel.AgentLeft())
    balancer.on_message(2.0, address, kit.load(1, incarnation=2))
    balancer.on_segment(2.1, kit.caller_segment(1, kit.ACK, ack=5))
    assert address in _queried(balancer)


def test_flows_of_an_agent_that_left_are_searched_for():
    """Segments must not go to the address of an agent that left.

    No process receives them there any more, and its answer is not waited for.
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(result)
    (number,) = [n for n in (1, 2) if kit.agent(n).address == address]
    _withdraw(balancer, 0.1, number)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.ACK, ack=5))
    assert not _forwards(result)
    assert _queried(balancer)
    result = _deny(balancer, 0.21, 3 - number)
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert kit.resets(balancer.on_directory_read(0.23, 0.22))


def test_flows_of_an_agent_whose_entry_is_gone_stay():
    """The flows of a paused agent must not be searched for and reset.

    The store had dropped its entry while its server still held the flows
    (soak, seed 201).
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(result)
    others = [
        entry
        for entry in (kit.agent(1), kit.agent(2))
        if entry.address != address
    ]
    balancer.on_entries(0.1, others, [])
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.ACK, ack=5))
    assert [to for to, _ in _forwards(result)] == [address]


def test_an_empty_directory_proves_no_flow_lost():
    """A search without any agent must not count as answered by all agents.

    The store may have lost the entries of agents that are alive and hold
    flows.
    """
    balancer = _balancer(agents=0)
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert not kit.resets(balancer.on_directory_read(1.02, 1.01))
    result = balancer.tick(1.0 + defaults.SEARCH_TIMEOUT_S + 0.01)
    assert not kit.resets(result)


def test_an_agent_that_lost_a_flow_starts_a_search():
    """A balancer must correct a wrong record of a flow's agent.

    The agent returns a segment of a flow that it does not know.
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, _),) = _forwards(result)
    data = kit.datagram(1, kit.ACK, ack=9)
    balancer.on_message(0.1, first, tunnel.UnknownFlow(data))
    queried = _queried(balancer)
    assert queried and first not in queried


def test_a_flow_tries_a_limited_number_of_busy_agents():
    """A flow that busy agents decline must be tried elsewhere, then deferred.

    It must not queue at an agent whose load report was outdated, and must not
    be passed from agent to agent for long.
    """
    balancer = _balancer(agents=9)
    balancer.on_routes(0.0, kit.routes(2, aim_s=0.2))
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    tried = set()
    for _ in range(defaults.MAX_BUSY_TRIES):
        ((address, forward),) = _forwards(result)
        assert forward.wait_ms and address not in tried
        tried.add(address)
        result = balancer.on_message(
            0.0, address, tunnel.Declined("busy", forward.data)
        )
    assert not _forwards(result)
    assert not kit.resets(result)
    # The next copy may be placed at any agent again.
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert _forwards(_answer(balancer, 0.2, _asked(result)))


def test_the_last_copy_is_refused_when_all_copies_arrived_here():
    """A caller whose copies were all deferred must not wait for a timeout."""
    balancer = _balancer(agents=1)
    balancer.on_routes(0.0, kit.routes(2, aim_s=0.2))
    address = kit.agent(1).address
    resets = []
    for copy, now in ((0, 0.0), (1, 0.2), (2, 0.6)):
        balancer.on_message(
            now, address, kit.load(10 + copy, busy=40, run_ms=50)
        )
        result = balancer.on_segment(
            now, kit.caller_segment(1, kit.SYN, ack=copy)
        )
        assert not _forwards(result)
        resets.append(len(kit.resets(result)))
    assert resets == [0, 0, 1]


def test_the_last_copy_alone_is_not_refused():
    """A last copy must not be refused if the others did not arrive here.

    They may have opened the flow through another balancer.
    """
    balancer = _balancer(agents=1)
    balancer.on_routes(0.0, kit.routes(2, aim_s=0.2))
    balancer.on_message(
        0.6, kit.agent(1).address, kit.load(10, busy=40, run_ms=50)
    )
    result = balancer.on_segment(0.6, kit.caller_segment(1, kit.SYN, ack=2))
    assert not kit.resets(result)


def test_a_first_segment_from_a_long_pause_is_dropped():
    """A balancer must not place a flow whose caller has given up.

    It would open a connection that nobody uses.
    """
    balancer = _balancer()
    balancer.on_pause(5.0, 3.0)
    result = balancer.on_segment(5.0, kit.caller_segment(1, kit.SYN))
    assert not kit.step_types(result)
    balancer.on_caught_up()
    result = balancer.on_segment(5.0, kit.caller_segment(2, kit.SYN))
    assert _asked(result)


def test_a_first_segment_from_a_short_pause_is_placed_by_new_answers():
    """Loads that waited through a pause must not decide where a flow goes."""
    balancer = _balancer()
    addresses = [kit.agent(1).address, kit.agent(2).address]
    balancer.on_pause(5.0, 0.5)
    result = balancer.on_segment(5.0, kit.caller_segment(1, kit.SYN))
    assert _asked(result)
    assert not _forwards(_answer(balancer, 5.0, addresses))
    balancer.on_caught_up()
    assert _forwards(_answer(balancer, 5.01, addresses))


def test_a_flow_placed_during_a_pause_is_not_placed_again():
    """The record of a peer must be used before a first segment is placed.

    The balancer was paused with the first segment in its socket; its copy
    opened the flow through another balancer.
    """
    balancer = _balancer()
    balancer.on_pause(5.0, 1.0)
    asked = _asked(balancer.on_segment(5.0, kit.caller_segment(1, kit.SYN)))
    placed = kit.agent(1).address
    record = tunnel.FlowRecord(kit.key_of(1), placed, True)
    result = balancer.on_message(
        5.0, kit.balancer(2).address, tunnel.FlowRecords([record])
    )
    assert [to for to, _ in _forwards(result)] == [placed]
    balancer.on_caught_up()
    assert not _forwards(_answer(balancer, 5.01, asked))


def test_a_flow_is_placed_again_when_its_agent_was_paused():
    """A first segment that was handed back must be placed elsewhere."""
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(result)
    declined = tunnel.Declined("paused", forward.data)
    result = balancer.on_message(0.5, first, declined)
    (other,) = {kit.agent(1).address, kit.agent(2).address} - {first}
    result = _answer(balancer, 0.5, _asked(result))
    assert [to for to, _ in _forwards(result)] == [other]


@pytest.mark.parametrize("is_open", [True, False])
def test_a_segment_from_a_pause_does_not_move_a_flow(is_open):
    """A first segment that was handed back late must not be placed again.

    Its flow was opened elsewhere since, or nothing is known of it any more.
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(result)
    if is_open:
        balancer.on_segment(0.3, kit.caller_segment(1, kit.ACK, ack=5))
    else:
        balancer.flows_by_key.clear()
    result = balancer.on_message(
        0.5, first, tunnel.Declined("paused", forward.data)
    )
    assert not kit.step_types(result)


def test_nothing_is_refused_by_routes_from_before_a_pause():
    """A route that was added during the pause must not be refused."""
    balancer = _balancer()
    balancer.routes.routes_by_address.clear()
    balancer.on_pause(9.0, 5.0)
    balancer.on_caught_up()
    segment = kit.caller_segment(1, kit.SYN)
    assert not kit.resets(balancer.on_segment(9.1, segment))
    late = 9.1 + defaults.FOLLOW_LONG_POLL_S + defaults.FOLLOW_PAUSE_S
    assert kit.resets(balancer.on_segment(late, segment))


def test_a_pause_does_not_make_agents_silent():
    """Agents must not be removed because this balancer was paused.

    An agent that is missing in the directory is left out of searches, and
    the flows of its server would be reset.
    """
    balancer = _balancer(agents=4)
    now = defaults.SILENT_AGENT_REMOVE_AFTER_S + 1.0
    balancer.on_pause(now, now)
    assert balancer.agents.is_reporting(now + 0.1, kit.agent(1).address)
    _answer(balancer, now, [kit.agent(n).address for n in (2, 3, 4)])
    assert not balancer.agents.silent(now + 0.1)


def test_silent_agents_are_returned_unless_most_are_silent():
    """A balancer with broken links must not remove the entries of agents."""
    balancer = _balancer(agents=3)
    later = defaults.SILENT_AGENT_REMOVE_AFTER_S + 1.0
    assert not balancer.agents.silent(later)
    for number in (2, 3):
        balancer.on_message(later, kit.agent(number).address, kit.load(2))
    assert [entry.process_id for entry in balancer.agents.silent(later)] == [
        "agent-1"
    ]


def test_an_agent_that_started_with_an_earlier_clock_is_reporting():
    """The reports of an agent must count after its clock was set back.

    Its incarnation is its start time, which is lower than the previous one.
    """
    balancer = _balancer(agents=1)
    address = kit.agent(1).address
    balancer.on_message(1.0, address, kit.load(9, incarnation=9000))
    later = 5.0
    balancer.on_message(later, address, kit.load(1, incarnation=7000))
    assert balancer.agents.is_reporting(later, address)
    # A report that arrives after a later one is ignored.
    balancer.on_message(later, address, kit.load(3, incarnation=7000, busy=2))
    balancer.on_message(later, address, kit.load(2, incarnation=7000, busy=0))
    result = balancer.on_segment(later, kit.caller_segment(1, kit.SYN))
    log_event = next(
        step for step in result if isinstance(step, steps.LogEvent)
    )
    assert log_event.fields["busy"] == 2


@pytest.mark.parametrize("is_polled", [False, True])
def test_a_copy_does_not_reach_another_service_at_a_reused_address(is_polled):
    """A first segment must not run at another service's server.

    The agent that a flow was placed at was lost, and an agent of another
    service started at its address.
    """
    balancer = _balancer(agents=1, is_fresh=False)
    segment = kit.caller_segment(1, kit.SYN)
    balancer.on_segment(0.0, segment)
    result = []
    if not is_polled:
        # No agent answers, so the silent one is chosen.
        result += balancer.tick(defaults.POLL_TIMEOUT_S)
        assert _forwards(result)
    reused = attrs.evolve(kit.agent(1, "maps"), process_id="agent-9")
    balancer.on_entries(0.03, [reused], [])
    result = _answer(balancer, 0.04, [reused.address], service="maps")
    result += balancer.tick(0.05)
    result += balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    result += balancer.tick(0.3)
    assert _services(result) <= {hashing.service_id("desk")}


def test_a_record_names_the_service_that_its_flow_was_routed_to():
    """A balancer that learns a flow must not guess its service.

    It took the service of the agent that it knew at the address, which may
    belong to another service's server meanwhile. A record without a service
    reaches no server with a first segment.
    """
    balancer = _balancer(agents=0)
    balancer.on_entries(0.0, [kit.agent(1, "maps")], [])
    desk = hashing.service_id("desk")
    address = kit.agent(1).address
    for port, record, expected in (
        (1, tunnel.FlowRecord(kit.key_of(1), address, True, desk), desk),
        (2, tunnel.FlowRecord(kit.key_of(2), address), tunnel.NO_SERVICE),
    ):
        decoded = tunnel.decode(tunnel.FlowRecords([record]).encode())
        balancer.on_message(0.1, kit.balancer(2).address, decoded)
        result = balancer.on_segment(0.2, kit.caller_segment(port, kit.ACK))
        assert _services(result) == {expected}
        assert balancer.flows_by_key[kit.key_of(port)].service_id == expected


def test_a_found_flow_is_not_given_the_service_of_its_address():
    """An agent that holds a flow may not be the one in the directory."""
    balancer = _balancer(agents=0)
    balancer.on_entries(0.0, [kit.agent(1, "maps")], [])
    balancer.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    balancer.on_message(
        1.01,
        kit.agent(1).address,
        tunnel.LocateReply([(kit.key_of(1), tunnel.HELD)]),
    )
    result = balancer.on_segment(1.1, kit.caller_segment(1, kit.SYN, ack=1))
    assert _services(result) == {tunnel.NO_SERVICE}


def test_the_newer_of_two_agents_at_an_address_is_known():
    """The entry of a lost agent must not hide its successor.

    It stays for 15 s, and the order of a list of the store is that of ids.
    """
    newer = attrs.evolve(
        kit.agent(1, "maps"), process_id="agent-0", revision=9
    )
    older = attrs.evolve(kit.agent(1), revision=5)
    for entries in ([newer, older], [older, newer]):
        balancer = _balancer(agents=0)
        balancer.on_entries(0.0, entries, [])
        (agent,) = balancer.agents.by_address.values()
        assert agent.entry.process_id == "agent-0"


def test_a_flow_of_a_route_with_a_long_aim_is_forwarded():
    """A permitted wait of over 65 s must not make a message invalid.

    The first segment was lost, with all further steps of the same decision.
    """
    balancer = _balancer()
    balancer.on_routes(0.0, kit.routes(2, aim_s=3600.0))
    result = balancer.on_segment(0.001, kit.caller_segment(1, kit.SYN))
    ((_, forward),) = _forwards(result)
    decoded = tunnel.decode(forward.encode())
    assert decoded.wait_ms == tunnel.MAX_WAIT_MS


# Log events.


def test_the_service_and_address_of_a_placed_flow_are_logged():
    """An id alone does not tell where a flow went once it is used again."""
    balancer = _balancer(agents=1)
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    (fields,) = kit.log_fields(result, "flow_placed")
    assert (fields["service"], fields["address"]) == ("desk", "10.0.0.1:70")


@pytest.mark.parametrize("copy", [0, 1])
def test_a_refusal_tells_how_many_agents_are_known(copy):
    """An unknown service must differ from one whose agents all declined."""
    segment = kit.caller_segment(1, kit.SYN, ack=copy)
    event = "copy_dropped" if copy else "flow_refused"
    balancer = _balancer(agents=0)
    balancer.on_entries(0.0, [kit.agent(1, "maps"), kit.agent(2, "maps")], [])
    (fields,) = kit.log_fields(balancer.on_segment(0.0, segment), event)
    assert fields["reason"] == "no_agent"
    assert (fields["service"], fields["known"]) == ("desk", 0)

    balancer = _balancer(agents=2)
    result = balancer.on_segment(0.0, segment)
    for _ in range(2):
        ((address, _),) = _forwards(result)
        result = balancer.on_message(
            0.01, address, tunnel.Declined("draining", segment.data)
        )
    (fields,) = kit.log_fields(result, event)
    assert (fields["service"], fields["known"]) == ("desk", 2)
    assert fields["declined"] == 2


def test_a_refusal_names_the_service_that_was_tried_first():
    """A route may have several services, of which the last one is refused."""
    balancer = _balancer(agents=0)
    routes = kit.routes(2)
    ((address, route),) = routes.routes_by_address.items()
    weighted = tuple(
        attrs.evolve(route.weighted_services[0], service=name, weight=weight)
        for name, weight in (("desk", 1e-12), ("maps", 1.0))
    )
    routes.routes_by_address[address] = attrs.evolve(
        route, weighted_services=weighted
    )
    balancer.on_routes(0.0, routes)
    left = kit.agent(1, "desk")
    balancer.on_entries(0.0, [left], [], [left.process_id])
    balancer.on_message(0.0, left.address, tunnel.AgentLeft())
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    (fields,) = kit.log_fields(result, "flow_refused")
    assert (fields["service"], fields["known"]) == ("maps", 1)


def test_a_refusal_without_a_route_names_no_service():
    """The fields must be there too when there is nothing to tell."""
    balancer = _balancer()
    balancer.routes.routes_by_address.clear()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    (fields,) = kit.log_fields(result, "flow_refused")
    assert (fields["service"], fields["known"]) == ("", 0)


def test_a_deferral_tells_how_many_agents_are_known():
    """It must show whether a flow waits for one agent or for many."""
    balancer = _balancer(agents=1)
    segment = kit.caller_segment(1, kit.SYN)
    ((address, _),) = _forwards(balancer.on_segment(0.0, segment))
    result = balancer.on_message(
        0.01, address, tunnel.Declined("server_unknown", segment.data)
    )
    (fields,) = kit.log_fields(result, "flow_deferred")
    assert (fields["service"], fields["known"]) == ("desk", 1)


def test_a_forwarded_copy_is_logged():
    """A copy reaches a server without another choice of the agent.

    Nothing else tells that the balancer sent it there.
    """
    balancer = _balancer(agents=1)
    placed = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    assert not kit.log_fields(placed, "copy_forwarded")
    copy = kit.caller_segment(1, kit.SYN, ack=1)
    result = balancer.on_segment(0.2, copy)
    assert len(_forwards(result)) == 1
    assert kit.log_fields(result, "copy_forwarded") == [
        {
            "agent": "agent-1",
            "address": "10.0.0.1:70",
            "service": "desk",
            "copy": 1,
            "way": "known",
            "is_open": False,
            "age_s": 0.2,
            "waited_s": 0.0,
            "is_late": False,
        }
    ]
    balancer.on_segment(0.3, kit.caller_segment(1, kit.ACK))
    (fields,) = kit.log_fields(
        balancer.on_segment(1.6, copy), "copy_forwarded"
    )
    assert fields["is_open"] and fields["is_late"]
    assert fields["age_s"] == 1.6


def test_a_copy_that_waited_for_a_record_is_logged():
    """It must differ from a copy whose flow this balancer knew before.

    Its service is that of the record. When the agent known at the address is
    of another one, an id is logged that is the name of no known service.
    """
    desk = hashing.service_id("desk")
    for service, expected in (
        ("desk", "desk"),
        ("maps", desk.hex()),
    ):
        balancer = _balancer(agents=1, is_fresh=False)
        balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN, ack=1))
        entry = attrs.evolve(kit.agent(1, service), process_id="agent-9")
        balancer.on_entries(0.0, [entry], [])
        record = tunnel.FlowRecord(kit.key_of(1), entry.address, True, desk)
        result = balancer.on_message(
            0.01, kit.balancer(2).address, tunnel.KeptRecords([record])
        )
        assert len(_forwards(result)) == 1
        (fields,) = kit.log_fields(result, "copy_forwarded")
        assert (fields["way"], fields["service"]) == ("learned", expected)
        assert (fields["agent"], fields["copy"]) == ("agent-9", 1)
        assert (fields["age_s"], fields["waited_s"]) == (0.0, 0.01)


def test_the_age_of_a_moved_flow_counts_from_its_move():
    """A flow that another balancer placed again is young at its agent."""
    balancer = _balancer(agents=2)
    segment = kit.caller_segment(1, kit.SYN)
    ((address, _),) = _forwards(balancer.on_segment(0.0, segment))
    other = next(
        entry.address
        for entry in (kit.agent(1), kit.agent(2))
        if entry.address != address
    )
    desk = hashing.service_id("desk")
    record = tunnel.FlowRecord(kit.key_of(1), other, True, desk)
    for now in (0.5, 0.6):
        balancer.on_message(
            now, kit.balancer(2).address, tunnel.FlowRecords([record])
        )
    result = balancer.on_segment(0.7, kit.caller_segment(1, kit.SYN, ack=2))
    (fields,) = kit.log_fields(result, "copy_forwarded")
    assert fields["age_s"] == 0.2


def test_the_age_of_a_placed_flow_counts_from_its_placing():
    """A flow may wait for answers before it is placed."""
    balancer = _balancer(agents=1, is_fresh=False)
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    placed_at = defaults.POLL_TIMEOUT_S
    assert _forwards(balancer.tick(placed_at))
    _answer(balancer, placed_at, [kit.agent(1).address])
    result = balancer.on_segment(
        placed_at + 0.2, kit.caller_segment(1, kit.SYN, ack=1)
    )
    (fields,) = kit.log_fields(result, "copy_forwarded")
    assert fields["age_s"] == 0.2


def test_a_copy_from_a_pause_is_logged_as_old_as_the_pause():
    """It must show that the caller may have given up in the meantime."""
    balancer = _balancer(agents=1)
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    balancer.on_segment(0.1, kit.caller_segment(1, kit.ACK))
    balancer.on_pause(0.2, 3.0)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    (fields,) = kit.log_fields(result, "copy_forwarded")
    assert fields["waited_s"] == 3.0 and fields["is_late"]


def test_an_agent_that_replaces_another_one_is_logged_with_it():
    """An address that is used again explains a request at a wrong server."""
    balancer = _balancer(agents=2)
    reused = attrs.evolve(kit.agent(1, "maps"), process_id="agent-9")
    result = balancer.on_entries(1.0, [reused, kit.agent(2), kit.agent(3)], [])
    joined = {
        fields["agent"]: fields
        for fields in kit.log_fields(result, "agent_joined")
    }
    assert joined["agent-9"] == {
        "agent": "agent-9",
        "address": "10.0.0.1:70",
        "service": "maps",
        "replaced": "agent-1",
        "replaced_service": "desk",
    }
    assert set(joined) == {"agent-9", "agent-3"}
    assert "replaced" not in joined["agent-3"]


def _replaced(balancer, incarnation=2):
    """Let a later process of the same service register for agent 2.

    It has the address of the earlier one and has told its load.
    """
    later = attrs.evolve(kit.agent(2), process_id="agent-9", revision=9)
    balancer.on_entries(4.0, [kit.agent(1), later], [])
    balancer.on_message(4.0, later.address, kit.load(incarnation=incarnation))
    return later


def _earlier_left():
    """Return the leave of the process that agent 2 was at first."""
    return tunnel.decode(tunnel.AgentLeft(1).encode())


def test_a_late_leave_does_not_prove_flows_of_a_later_process_lost():
    """A live flow must not be reset on the word of an earlier process.

    The leave of a lost agent was still on its way, or its process still in
    its grace time, when the later one had its address.
    """
    balancer = _balancer()
    later = _replaced(balancer)
    balancer.on_segment(5.0, kit.caller_segment(1, kit.ACK, ack=5))
    _deny(balancer, 5.01, 1)
    result = balancer.on_message(5.02, later.address, _earlier_left())
    result += balancer.on_directory_read(5.04, 5.03)
    assert not kit.resets(result)


def test_a_late_leave_does_not_count_a_later_process_as_gone():
    """An agent must not count as gone because an earlier one left late.

    Nothing but a newer entry or a restart ended that. When the store took
    the entry of the later process away, its flows were reset as lost.
    """
    balancer = _balancer()
    later = _replaced(balancer)
    balancer.on_message(5.0, later.address, _earlier_left())
    balancer.on_message(5.1, later.address, kit.load(2, incarnation=2))
    balancer.on_entries(6.0, [kit.agent(1), later], [], {later.process_id})
    assert later.address not in balancer.agents.gone()


def test_a_flow_that_an_agent_has_confirmed_is_not_placed_again():
    """A copy of the first segment must not reach a second server.

    Another balancer had found the flow by a search. The balancer that had
    placed it took the agent from the record, but not that the flow is open.
    """
    balancer = _balancer(agents=3)
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((placed, _),) = _forwards(result)
    holder = next(
        address for address in balancer.agents.by_address if address != placed
    )
    record = tunnel.FlowRecord(kit.key_of(1), holder)
    balancer.on_message(
        0.1, kit.balancer(2).address, tunnel.FlowRecords([record])
    )
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    result += _answer(balancer, 0.2, list(balancer.agents.by_address))
    result += balancer.tick(0.3)
    assert {address for address, _ in _forwards(result)} <= {holder}
    flow = balancer.flows_by_key[kit.key_of(1)]
    assert flow.is_open and flow.address == holder


@pytest.mark.parametrize("is_routed", [True, False])
def test_a_new_flow_between_the_same_ports_follows_the_routes(is_routed):
    """The record of an earlier flow must not decide about a later one.

    The route's service changed, or the route was removed, between them. The
    first segment went to the agent of the earlier flow, without a route.
    """
    balancer = _balancer(agents=1)
    balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN, sequence=9))
    balancer.on_segment(0.1, kit.caller_segment(1, kit.ACK, ack=5))
    table = kit.routes(2, service="maps")
    if not is_routed:
        table.routes_by_address.clear()
    balancer.on_routes(5.0, table)
    balancer.on_entries(5.0, [kit.agent(1), kit.agent(3, "maps")], [])
    result = balancer.on_segment(
        9.0, kit.caller_segment(1, kit.SYN, sequence=77_000)
    )
    assert hashing.service_id("desk") not in _services(result)
    assert is_routed or kit.resets(result)


def test_a_first_segment_that_is_very_late_does_not_reset_its_flow():
    """The copy sent 200 ms later opened the flow, which has been idle since.

    No agent accepts flows any more, so that the flow was refused with a reset
    while its server held it.
    """
    balancer = _balancer(agents=1)
    result = balancer.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    result += _answer(balancer, 0.2, [kit.agent(1).address])
    ((address, _),) = _forwards(result)
    balancer.on_segment(0.6, kit.caller_segment(1, kit.ACK, ack=5))
    _answer(balancer, 4.0, [address], accepting=False)
    result = balancer.on_segment(4.0, kit.caller_segment(1, kit.SYN))
    assert not kit.resets(result)
    balancer.on_segment(4.1, kit.caller_segment(1, kit.ACK, ack=5))
    balancer.tick(4.1)
    result = balancer.on_message(
        4.11, address, tunnel.LocateReply([(kit.key_of(1), tunnel.HELD)])
    )
    assert [to for to, _ in _forwards(result)] == [address]


@pytest.mark.parametrize("is_open", [True, False])
def test_an_agent_of_another_service_does_not_end_a_flow_silently(is_open):
    """A flow that an agent declines as another service's is placed again.

    It was dropped without a word if an earlier flow between the same ports
    had been open, so that its caller timed out.
    """
    balancer = _balancer()
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(result)
    if is_open:
        balancer.on_segment(0.1, kit.caller_segment(1, kit.ACK, ack=5))
    balancer.on_segment(5.0, kit.caller_segment(1, kit.SYN, sequence=77_000))
    declined = tunnel.Declined(
        "other_service", kit.datagram(1, kit.SYN, sequence=77_000)
    )
    result = balancer.on_message(5.01, address, declined)
    result += _answer(balancer, 5.02, list(balancer.agents.by_address))
    assert [to for to, _ in _forwards(result)] not in ([], [address])


@pytest.mark.parametrize("is_known", [True, False])
def test_a_copy_does_not_make_its_flow_younger(is_known):
    """A first segment must not reach a server after its caller gave up.

    The caller gives up 1.4 s after the first copy. The age of its flow was
    counted from the last copy, or from the moment an agent declined it.
    """
    balancer = _balancer(agents=4)
    result = balancer.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(result)
    _answer(balancer, 0.6, list(balancer.agents.by_address))
    balancer.on_segment(0.6, kit.caller_segment(1, kit.SYN, ack=2))
    if not is_known:
        balancer.flows_by_key.clear()
    declined = tunnel.Declined(
        "server_silent", kit.datagram(1, kit.SYN, ack=2)
    )
    result = balancer.on_message(2.0, address, declined)
    result += _answer(balancer, 2.01, list(balancer.agents.by_address))
    result += balancer.tick(2.1)
    assert not _forwards(result)


def test_a_flow_waits_for_agents_that_wait_for_a_report():
    """All agents of a service stood still, or have just started.

    After a refusal the caller tries again at once, and uses up its tries
    before the servers have reported.
    """
    balancer = _balancer(agents=2)
    for number, address in enumerate(list(balancer.agents.by_address)):
        balancer.on_message(
            1.0,
            address,
            kit.load(5, accepting=False, is_recovering=not number),
        )
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert not kit.resets(result)
    (fields,) = kit.log_fields(result, "flow_deferred")
    assert fields["reason"] == "no_agent"


def test_a_flow_is_refused_when_no_agent_waits_for_a_report():
    """The caller must not wait for servers that are known to be gone."""
    balancer = _balancer(agents=2)
    for address in list(balancer.agents.by_address):
        balancer.on_message(1.0, address, kit.load(5, accepting=False))
    result = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert [step.reason for step in kit.resets(result)] == ["no_agent"]
