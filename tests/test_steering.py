"""Steering: which agent a balancer gives a segment to."""

import random

import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steering
from limpetlift.state import steps

_OWN = ("10.9.0.9", 80)


def _balancer(agents=2, fresh=True, **fields):
    table = steering.FlowSteering(
        _OWN, "a", kit.decode, random.Random(1), **fields
    )
    table.on_routes(0.0, kit.routes())
    entries = [kit.agent(number) for number in range(1, agents + 1)]
    table.on_entries(0.0, entries, [])
    if fresh:
        for entry in entries:
            table.on_message(0.0, entry.address, kit.load())
    return table


def _forwards(found):
    return kit.messages(found, tunnel.Forward)


def _asked(table):
    """Return the addresses that are asked for flows now."""
    return [
        address
        for address, _ in kit.messages(
            table.searches.flush_queries(), tunnel.LocateRequest
        )
    ]


def test_all_segments_of_a_flow_go_to_one_agent():
    """A flow must stay with its server whatever the loads do."""
    table = _balancer()
    first = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(first)
    table.on_message(0.1, address, kit.load(2, busy=50))
    found = table.on_segment(0.2, kit.caller_segment(1, kit.ACK))
    assert [to for to, _ in _forwards(found)] == [address]
    copy = table.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert [to for to, _ in _forwards(copy)] == [address]


def test_new_flows_go_where_least_work_is():
    """A hash alone leaves one server with twice the work of another."""
    table = _balancer(agents=3)
    for number, busy in ((1, 4), (2, 0), (3, 4)):
        table.on_message(
            0.0, kit.agent(number).address, kit.load(2, busy=busy)
        )
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    assert _forwards(found)[0][0] == kit.agent(2).address


def test_a_flow_without_a_route_is_refused_once():
    """A copy may belong to a flow that another balancer has placed."""
    table = _balancer()
    table.on_routes(1.0, kit.routes(2, service="desk"))
    table.routes.routes_by_address.clear()
    found = table.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert [step.reason for step in kit.resets(found)] == ["no_route"]
    assert not kit.resets(
        table.on_segment(1.0, kit.caller_segment(2, kit.SYN, ack=1))
    )


def test_nothing_is_refused_before_the_routes_are_known():
    """A balancer that has just started cannot know that there is no route."""
    table = steering.FlowSteering(_OWN, "a", kit.decode)
    assert not kit.step_types(
        table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    )


def test_routes_do_not_go_back():
    """A stale read must not bring an older version back in force."""
    table = _balancer()
    table.on_routes(1.0, kit.routes(5))
    table.on_routes(2.0, kit.routes(4))
    assert table.routes.version == 5


def test_a_declined_flow_is_tried_elsewhere():
    """A leaving server must not cost its callers a copy's 200 ms."""
    table = _balancer()
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(found)
    found = table.on_message(
        0.01, first, tunnel.Declined("draining", forward.data)
    )
    ((second, _),) = _forwards(found)
    assert second != first
    found = table.on_message(
        0.02, second, tunnel.Declined("draining", forward.data)
    )
    assert [step.reason for step in kit.resets(found)] == ["no_agent"]


def test_a_flow_waits_for_agents_that_may_recover():
    """After a restart of all a refusal would use up the caller's tries."""
    table = _balancer(agents=1)
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, forward),) = _forwards(found)
    found = table.on_message(
        0.01, first, tunnel.Declined("server_unknown", forward.data)
    )
    assert not kit.resets(found)
    table.on_message(0.1, first, kit.load(2))
    found = table.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert [to for to, _ in _forwards(found)] == [first]


def test_a_silent_agent_gets_no_new_flow():
    """A dead agent cannot tell that it takes no flows."""
    table = _balancer()
    silent, heard = kit.agent(1).address, kit.agent(2).address
    later = defaults.LOAD_REPORT_MAX_AGE_S + 0.1
    table.on_message(later, heard, kit.load(2))
    for port in range(20):
        found = table.on_segment(later, kit.caller_segment(port, kit.SYN))
        assert [to for to, _ in _forwards(found)] == [heard]
    assert silent != heard


def test_a_copy_leaves_an_agent_that_fell_silent():
    """A flow that was placed at a dying agent must open elsewhere."""
    table = _balancer()
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, _),) = _forwards(found)
    other = next(
        kit.agent(number).address
        for number in (1, 2)
        if kit.agent(number).address != first
    )
    later = defaults.LOAD_REPORT_MAX_AGE_S + 0.1
    table.on_message(later, other, kit.load(2))
    found = table.on_segment(later, kit.caller_segment(1, kit.SYN, ack=2))
    assert [to for to, _ in _forwards(found)] == [other]


def test_balancers_of_a_data_centre_share_flows():
    """The fabric hands the next segment to any of them."""
    first = _balancer()
    second = _balancer()
    first.on_entries(0.0, [kit.agent(1), kit.agent(2)], [kit.balancer(2)])
    found = first.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(found)
    for to, message in kit.messages(first.tick(0.02), tunnel.FlowRecords):
        assert to == kit.balancer(2).address
        second.on_message(0.03, _OWN, tunnel.decode(message.encode()))
    found = second.on_segment(0.04, kit.caller_segment(1, kit.ACK))
    assert [to for to, _ in _forwards(found)] == [address]


def test_a_started_balancer_asks_the_others_for_their_flows():
    """Without them every open flow would be searched for."""
    table = _balancer()
    found = table.on_entries(0.0, [kit.agent(1)], [kit.balancer(2)])
    assert kit.messages(found, tunnel.FlowRecordsRequest)
    table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    found = table.on_message(
        0.1, kit.balancer(2).address, tunnel.FlowRecordsRequest()
    )
    (message,) = [
        message for _, message in kit.messages(found, tunnel.FlowRecords)
    ]
    assert [record.key for record in message.records] == [kit.key_of(1)]


def test_an_unknown_flow_is_searched_and_found():
    """A balancer that knows nothing must not break an open flow."""
    table = _balancer()
    table.on_segment(0.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert len(_asked(table)) == 2
    second = kit.caller_segment(1, kit.ACK, ack=6)
    assert not table.on_segment(0.001, second)
    owner = kit.agent(2).address
    found = table.on_message(0.002, owner, tunnel.Owned(kit.key_of(1)))
    assert [(to, message.data) for to, message in _forwards(found)] == [
        (owner, second.data)
    ]
    found = table.on_segment(0.1, kit.caller_segment(1, kit.ACK, ack=7))
    assert [to for to, _ in _forwards(found)] == [owner]


def test_searches_that_begin_together_share_their_messages():
    """A message for each lost flow filled the links after a loss of power."""
    table = _balancer()
    flows = tunnel.QUERIES_PER_MESSAGE + 1
    for port in range(flows):
        table.on_segment(1.0, kit.caller_segment(port, kit.ACK, ack=5))
    found = kit.messages(table.searches.flush_queries(), tunnel.LocateRequest)
    assert len(found) == 2 * 2
    assert not table.searches.has_queries
    decoded = [tunnel.decode(message.encode()) for _, message in found]
    assert sum(len(message.queries) for message in decoded) == 2 * flows


def test_a_found_flow_gets_all_its_segments():
    """The agent that answers a query has not got any of them yet."""
    table = _balancer()
    first = kit.caller_segment(1, kit.ACK, ack=5)
    table.on_segment(1.0, first)
    owner = kit.agent(2).address
    verdicts = [(kit.key_of(1), tunnel.HELD)]
    found = table.on_message(1.01, owner, tunnel.LocateReply(verdicts))
    assert [(to, message.data) for to, message in _forwards(found)] == [
        (owner, first.data)
    ]


def test_only_unsure_agents_are_tried_with_a_segment():
    """Every server was given a segment of every flow that was searched."""
    table = _balancer()
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    for number, verdict in ((1, tunnel.ABSENT), (2, tunnel.UNSURE)):
        address = kit.agent(number).address
        found = table.on_message(
            1.01, address, tunnel.LocateReply([(key, verdict)])
        )
        tried = [to for to, _ in kit.messages(found, tunnel.TentativeForward)]
        assert tried == ([address] if verdict == tunnel.UNSURE else [])


def test_a_flow_is_found_again_where_placement_puts_it():
    """After a restart of all each flow was tried at every server.

    The segments of a few thousand flows filled the links of the small
    instances for two seconds.
    """
    agents = 40
    table = _balancer(agents=agents)
    placed = {}
    for port in range(50):
        found = table.on_segment(0.0, kit.caller_segment(port, kit.SYN))
        ((placed[port], _),) = _forwards(found)
    restarted = _balancer(agents=agents)
    for port, address in placed.items():
        key = kit.key_of(port)
        restarted.on_segment(1.0, kit.caller_segment(port, kit.ACK, ack=5))
        tried = []
        for number in range(1, agents + 1):
            found = restarted.on_message(
                1.0,
                kit.agent(number).address,
                tunnel.LocateReply([(key, tunnel.UNSURE)]),
            )
            tried += [
                to for to, _ in kit.messages(found, tunnel.TentativeForward)
            ]
        assert len(tried) == defaults.PLACING_CANDIDATES
        assert address in tried


def test_the_other_servers_are_tried_a_little_later():
    """A flow may have been placed while its likely agents were down."""
    agents = 20
    table = _balancer(agents=agents)
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    verdicts = [(kit.key_of(1), tunnel.UNSURE)]
    tried = []
    for number in range(1, agents + 1):
        found = table.on_message(
            1.0, kit.agent(number).address, tunnel.LocateReply(verdicts)
        )
        tried += [to for to, _ in kit.messages(found, tunnel.TentativeForward)]
    found = table.tick(1.0 + defaults.SEARCH_LIKELY_TIMEOUT_S)
    tried += [to for to, _ in kit.messages(found, tunnel.TentativeForward)]
    assert len(tried) == len(set(tried)) == agents


def test_all_agents_count_when_the_first_in_order_are_full():
    """A flow must not wait beside idle servers."""
    agents = 20
    table = _balancer(agents=agents)
    table.on_routes(0.0, kit.routes(2, aim_s=0.2))
    for number in range(1, agents):
        table.on_message(
            0.1, kit.agent(number).address, kit.load(2, busy=40, run_ms=50)
        )
    for port in range(10):
        now = 0.1 + 0.04 * port
        found = table.on_segment(now, kit.caller_segment(port, kit.SYN))
        ((address, _),) = _forwards(found)
        assert address == kit.agent(agents).address
        table.on_message(now, address, kit.load(2 + port, run_ms=50))


def test_an_agent_that_starts_is_asked_again():
    """Its server reports within some tenths of a second."""
    table = _balancer(agents=1)
    address = kit.agent(1).address
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    _asked(table)
    verdicts = [(kit.key_of(1), tunnel.STARTING)]
    table.on_message(1.0, address, tunnel.LocateReply(verdicts))
    now = 1.0 + defaults.SEARCH_RETRY_S
    asked = [
        to for to, _ in kit.messages(table.tick(now), tunnel.LocateRequest)
    ]
    assert asked == [address]
    verdicts = [(kit.key_of(1), tunnel.ABSENT)]
    found = table.on_message(now + 0.1, address, tunnel.LocateReply(verdicts))
    assert kit.step_types(found) == [steps.ReadDirectory]


def test_a_flow_that_nobody_holds_is_reset_with_proof():
    """After a loss of power callers waited for their time-outs.

    Without an answer of every agent, or with a list of them from before the
    segment, a reset would be a guess.
    """
    table = _balancer()
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    found = table.on_message(1.01, kit.agent(1).address, tunnel.NotHeld(key))
    assert not found
    found = table.on_message(1.01, kit.agent(2).address, tunnel.NotHeld(key))
    assert kit.step_types(found) == [steps.ReadDirectory]
    assert not table.on_directory_read(1.02, 0.9)
    found = table.on_directory_read(1.03, 1.015)
    assert [(step.key, step.ack, step.reason) for step in kit.resets(found)]


def test_a_newcomer_is_asked_before_a_reset():
    """An agent that joined meanwhile may hold the flow."""
    table = _balancer()
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    key = kit.key_of(1)
    for number in (1, 2):
        table.on_message(1.01, kit.agent(number).address, tunnel.NotHeld(key))
    _asked(table)
    table.on_entries(1.02, [kit.agent(n) for n in (1, 2, 3)], [])
    found = table.on_directory_read(1.02, 1.015)
    assert not kit.resets(found)
    assert _asked(table) == [kit.agent(3).address]


def test_an_unanswered_search_ends_in_silence():
    """An agent that is cut off may hold the flow."""
    table = _balancer()
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    table.on_message(1.01, kit.agent(1).address, tunnel.NotHeld(kit.key_of(1)))
    found = table.tick(1.0 + defaults.SEARCH_TIMEOUT_S + 0.01)
    assert not kit.resets(found)
    assert not table.on_directory_read(1.3, 1.25)


def test_an_agent_that_left_need_not_answer():
    """Callers waited 15 s for the answer of an agent that had ended."""
    table = _balancer()
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    table.on_message(1.01, kit.agent(1).address, tunnel.NotHeld(kit.key_of(1)))
    found = table.on_message(1.02, kit.agent(2).address, tunnel.AgentLeft())
    assert kit.step_types(found) == [steps.ReadDirectory]
    assert kit.resets(table.on_directory_read(1.03, 1.025))
    _asked(table)
    table.on_segment(1.1, kit.caller_segment(2, kit.ACK, ack=5))
    assert _asked(table) == [kit.agent(1).address]


def test_an_agent_that_comes_back_is_asked_again():
    """A new start beside a new server may hold flows."""
    table = _balancer()
    address = kit.agent(2).address
    table.on_message(1.0, address, tunnel.AgentLeft())
    table.on_message(2.0, address, kit.load(1, incarnation=2))
    table.on_segment(2.1, kit.caller_segment(1, kit.ACK, ack=5))
    assert address in _asked(table)


def test_flows_of_an_agent_that_left_are_searched():
    """Their segments went to an address that nobody reads any more."""
    table = _balancer()
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(found)
    table.on_message(0.1, address, tunnel.AgentLeft())
    table.on_segment(0.2, kit.caller_segment(1, kit.ACK, ack=5))
    asked = _asked(table)
    assert asked and address not in asked


def test_flows_of_an_agent_whose_entry_is_gone_stay():
    """A paused agent's flows were searched for and reset (soak, seed 201).

    The store had taken its entry away, and its server still held them.
    """
    table = _balancer()
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((address, _),) = _forwards(found)
    others = [
        entry
        for entry in (kit.agent(1), kit.agent(2))
        if entry.address != address
    ]
    table.on_entries(0.1, others, [])
    found = table.on_segment(0.2, kit.caller_segment(1, kit.ACK, ack=5))
    assert [to for to, _ in _forwards(found)] == [address]


def test_an_empty_directory_proves_no_flow_lost():
    """A search without any agent was taken for one that all had answered.

    Entries may be missing in the store while the agents and their flows live.
    """
    table = _balancer(agents=0)
    table.on_segment(1.0, kit.caller_segment(1, kit.ACK, ack=5))
    assert not kit.resets(table.on_directory_read(1.02, 1.01))
    found = table.tick(1.0 + defaults.SEARCH_TIMEOUT_S + 0.01)
    assert not kit.resets(found)


def test_an_agent_that_lost_a_flow_starts_a_search():
    """A wrong entry must correct itself."""
    table = _balancer()
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    ((first, _),) = _forwards(found)
    data = kit.datagram(1, kit.ACK, ack=9)
    table.on_message(0.1, first, tunnel.UnknownFlow(data))
    asked = _asked(table)
    assert asked and first not in asked


def test_a_flow_goes_on_from_busy_agents_a_few_times():
    """A flow must neither queue where the news was old nor walk for long."""
    table = _balancer(agents=9)
    table.on_routes(0.0, kit.routes(2, aim_s=0.2))
    found = table.on_segment(0.0, kit.caller_segment(1, kit.SYN))
    seen = set()
    for _ in range(defaults.MAX_BUSY_TRIES):
        ((address, forward),) = _forwards(found)
        assert forward.wait_ms and address not in seen
        seen.add(address)
        found = table.on_message(
            0.0, address, tunnel.Declined("busy", forward.data)
        )
    assert not _forwards(found)
    assert not kit.resets(found)
    # The next copy may go anywhere again.
    found = table.on_segment(0.2, kit.caller_segment(1, kit.SYN, ack=1))
    assert _forwards(found)


def test_the_last_copy_is_refused_when_all_came_here():
    """A caller whose copies were all left must not wait for its time-out."""
    table = _balancer(agents=1)
    table.on_routes(0.0, kit.routes(2, aim_s=0.2))
    address = kit.agent(1).address
    resets = []
    for copy, now in ((0, 0.0), (1, 0.2), (2, 0.6)):
        table.on_message(now, address, kit.load(10 + copy, busy=40, run_ms=50))
        found = table.on_segment(now, kit.caller_segment(1, kit.SYN, ack=copy))
        assert not _forwards(found)
        resets.append(len(kit.resets(found)))
    assert resets == [0, 0, 1]


def test_the_last_copy_alone_is_not_refused():
    """The ones before it may have opened the flow at another balancer."""
    table = _balancer(agents=1)
    table.on_routes(0.0, kit.routes(2, aim_s=0.2))
    table.on_message(
        0.6, kit.agent(1).address, kit.load(10, busy=40, run_ms=50)
    )
    found = table.on_segment(0.6, kit.caller_segment(1, kit.SYN, ack=2))
    assert not kit.resets(found)


def test_silent_agents_are_named_unless_most_are():
    """A balancer that is cut off must not remove the others' entries."""
    table = _balancer(agents=3)
    later = defaults.SILENT_AGENT_REMOVE_AFTER_S + 1.0
    assert not table.silent_agents(later)
    for number in (2, 3):
        table.on_message(later, kit.agent(number).address, kit.load(2))
    assert [entry.process_id for entry in table.silent_agents(later)] == [
        "agent-1"
    ]


def test_an_agent_that_started_with_an_earlier_clock_is_heard():
    """A clock that was set back must not silence an agent for good."""
    table = _balancer(agents=1)
    address = kit.agent(1).address
    table.on_message(1.0, address, kit.load(9, incarnation=9000))
    later = 5.0
    table.on_message(later, address, kit.load(1, incarnation=7000))
    assert table.is_reporting(later, address)
    # A report that was overtaken by a later one changes nothing.
    table.on_message(later, address, kit.load(3, incarnation=7000, busy=2))
    table.on_message(later, address, kit.load(2, incarnation=7000, busy=0))
    found = table.on_segment(later, kit.caller_segment(1, kit.SYN))
    note = next(step for step in found if isinstance(step, steps.LogEvent))
    assert note.fields["busy"] == 2
