"""Tests of what a balancer that starts learns of unlisted agents."""

import random

import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steering
from limpetlift.state import steps

_OTHERS = [kit.balancer(number) for number in (1, 2)]
_LISTED = kit.agent(1)
_TAKEN = kit.agent(2)


def _started(others=_OTHERS):
    """Return a balancer that has just read the directory, and its steps."""
    balancer = steering.FlowSteering(
        kit.balancer(9).address, "a", kit.decode, random.Random(1)
    )
    balancer.on_routes(0.0, kit.routes())
    return balancer, balancer.on_entries(0.0, [_LISTED], others)


def _answer(*agents, total=None, is_complete=True):
    message = tunnel.UnlistedAgents(
        is_complete,
        len(agents) if total is None else total,
        [
            tunnel.KeyChange(
                directory.AGENTS_PREFIX + agent.process_id, agent.encode(), 0
            )
            for agent in agents
        ],
    )
    return tunnel.decode(message.encode())


def _is_reset(balancer, now, port=1):
    """Whether a flow that the listed agent denies is reset."""
    result = balancer.on_segment(now, kit.caller_segment(port, kit.ACK, ack=5))
    result += balancer.on_message(
        now, _LISTED.address, tunnel.NotHeld(kit.key_of(port))
    )
    result += balancer.on_directory_read(now + 0.002, now + 0.001)
    return bool(kit.resets(result))


def _asked(result):
    return [to for to, _ in kit.messages(result, tunnel.UnlistedAgentsRequest)]


def test_a_started_balancer_asks_the_others_of_all_data_centres():
    """An agent whose entry was taken away may be known to any balancer."""
    others = [kit.balancer(1, "a"), kit.balancer(2, "b"), kit.balancer(9)]
    _, result = _started(others)
    assert _asked(result) == [other.address for other in others[:2]]


def test_no_flow_is_lost_before_the_others_have_answered():
    """A balancer that cannot count the agents must stay silent."""
    balancer, _ = _started()
    balancer.on_segment(0.01, kit.caller_segment(1, kit.ACK, ack=5))
    # A list of the store would prove nothing, and reading it is billed.
    assert not balancer.on_message(
        0.01, _LISTED.address, tunnel.NotHeld(kit.key_of(1))
    )
    assert not balancer.on_directory_read(0.012, 0.011)
    balancer.on_message(0.02, _OTHERS[0].address, _answer())
    assert not _is_reset(balancer, 0.03, port=2)
    result = balancer.on_message(0.04, _OTHERS[1].address, _answer())
    # The search that has waited goes on.
    assert steps.ReadDirectory in kit.step_types(result)
    assert kit.resets(balancer.on_directory_read(0.06, 0.05))


def test_an_agent_that_another_balancer_knows_must_answer():
    """A flow must not be reset while an agent without an entry holds it."""
    balancer, _ = _started()
    result = balancer.on_message(0.02, _OTHERS[0].address, _answer(_TAKEN))
    assert steps.KeepAgent(_TAKEN) in result
    balancer.on_message(0.03, _OTHERS[1].address, _answer())
    assert not _is_reset(balancer, 0.04)
    asked = kit.messages(
        balancer.searches.flush_queries(), tunnel.LocateRequest
    )
    assert _TAKEN.address in [to for to, _ in asked]
    # It is asked whether it lives, and tells others in turn.
    hellos = kit.messages(balancer.tick(0.6), tunnel.Hello)
    assert (_TAKEN.address, tunnel.Hello(False)) in hellos
    result = balancer.on_message(
        0.7, _OTHERS[0].address, tunnel.UnlistedAgentsRequest()
    )
    ((_, told),) = kit.messages(result, tunnel.UnlistedAgents)
    assert told == _answer(_TAKEN)


def test_a_part_of_an_answer_is_not_taken_for_the_whole():
    """A datagram with some of the agents may be lost."""
    balancer, _ = _started(_OTHERS[:1])
    balancer.on_message(0.02, _OTHERS[0].address, _answer(_TAKEN, total=2))
    balancer.on_message(0.03, _TAKEN.address, tunnel.NotHeld(kit.key_of(1)))
    assert not balancer.searches.are_agents_known
    message = _answer(kit.agent(3), total=2)
    balancer.on_message(0.04, _OTHERS[0].address, message)
    assert balancer.searches.are_agents_known


def test_many_unlisted_agents_fit_in_several_messages():
    """The store may take the entries of a third of a fleet away."""
    balancer, _ = _started([])
    for number in range(3, 63):
        balancer.agents.add_unlisted(0.0, kit.agent(number))
    result = balancer.on_message(
        0.1, _OTHERS[0].address, tunnel.UnlistedAgentsRequest()
    )
    messages = [m for _, m in kit.messages(result, tunnel.UnlistedAgents)]
    assert max(len(message.encode()) for message in messages) <= 1400
    assert sum(len(message.agents) for message in messages) == 60
    assert {message.total for message in messages} == {60}


def test_balancers_that_all_start_do_not_wait_for_each_other():
    """After a loss of power callers of lost flows must be told soon."""
    balancer, _ = _started()
    for other in _OTHERS:
        balancer.on_message(0.02, other.address, _answer(is_complete=False))
    assert _is_reset(balancer, 0.03)


def test_a_balancer_that_asks_itself_has_nothing_to_tell():
    """After a loss of power the first balancers waited 2 s for the others.

    These had not started yet when they were asked.
    """
    balancer, _ = _started()
    for other in _OTHERS:
        result = balancer.on_message(
            0.6, other.address, tunnel.UnlistedAgentsRequest()
        )
        assert kit.messages(result, tunnel.UnlistedAgents)
    assert _is_reset(balancer, 0.61)


def test_balancers_that_did_not_answer_are_asked_again():
    """A question or its answer may be lost."""
    balancer, _ = _started()
    balancer.on_message(0.02, _OTHERS[0].address, _answer(is_complete=False))
    result = balancer.tick(0.01 + defaults.UNLISTED_RETRY_S)
    assert _asked(result) == [_OTHERS[1].address]
    assert not _asked(balancer.tick(0.02 + defaults.UNLISTED_RETRY_S))


def test_a_dead_balancer_is_not_waited_for_long():
    """The entry of a balancer that has ended stays for some seconds."""
    balancer, _ = _started()
    balancer.on_message(0.02, _OTHERS[0].address, _answer())
    balancer.tick(0.03 + defaults.UNLISTED_TIMEOUT_S)
    assert _is_reset(balancer, 0.2)
    balancer, _ = _started()
    balancer.tick(defaults.LAPSED_ENTRY_GRACE_S - 0.1)
    assert not _is_reset(balancer, defaults.LAPSED_ENTRY_GRACE_S - 0.1)
    balancer.tick(defaults.LAPSED_ENTRY_GRACE_S)
    assert _is_reset(balancer, defaults.LAPSED_ENTRY_GRACE_S, port=2)
