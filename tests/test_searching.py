"""Tests of the search for flows after many processes were lost at once.

The fleet has the 136 agents of the largest deployment that is played.
"""

import random

import pytest
import segmentkit as kit

from limpetlift import defaults
from limpetlift.protocol import tunnel
from limpetlift.state import steering
from limpetlift.state import steps

_AGENTS = 136
_TICK_S = defaults.STEERING_TICK_S
# Half of the smallest link of an entry instance, 5 Mbit/s.
_SEARCH_BYTES_PER_S_MAX = 5_000_000 / 8 / 2
# The caller gives its flow up.
_FLOW_TIMEOUT_S = 2.0


def _balancer():
    balancer = steering.FlowSteering(
        ("10.9.0.9", 80), "a", kit.decode, random.Random(1)
    )
    balancer.on_routes(0.0, kit.routes())
    entries = [kit.agent(number) for number in range(1, _AGENTS + 1)]
    balancer.on_entries(0.0, entries, [])
    for entry in entries:
        balancer.on_message(0.0, entry.address, kit.load())
    return balancer


def _search(balancer, now, port):
    return balancer.on_segment(now, kit.caller_segment(port, kit.ACK, ack=5))


def _requests(result):
    return kit.messages(result, tunnel.LocateRequest)


def _answer(balancer, now, requests, holders_by_key=None, silent=()):
    """Let agents answer requests at once; return the resulting steps.

    :param holders_by_key: the addresses of the agents that hold flows.
    :param silent: addresses of the agents that do not answer.
    """
    holders_by_key = holders_by_key or {}
    result = []
    for address, request in requests:
        if address in silent:
            continue
        verdicts = [
            (
                query.key,
                (
                    tunnel.HELD
                    if holders_by_key.get(query.key) == address
                    else tunnel.ABSENT
                ),
            )
            for query in request.queries
        ]
        result += balancer.on_message(
            now, address, tunnel.LocateReply(verdicts)
        )
    return result


def _link_bytes(requests):
    """Return the bytes of requests and of the answers to them."""
    return sum(
        len(request.encode()) + len(request.queries) * 13 + 28 + 30
        for _, request in requests
    )


class _Run:
    """The searches of one balancer, until all of them have ended.

    :ivar bytes_by_tick: bytes of queries and answers, by number of the tick.
    :ivar resets_by_key: times of the resets.
    :ivar found_by_key: times at which flows were found.
    """

    def __init__(self, balancer, holders_by_key=None, silent=()):
        self._balancer = balancer
        self._answers = {"holders_by_key": holders_by_key, "silent": silent}
        self.bytes_by_tick = []
        self.resets_by_key = {}
        self.found_by_key = {}
        self.delayed = set()

    def run(self, start, seconds, segments_by_tick=None):
        for number in range(round(seconds / _TICK_S)):
            now = start + number * _TICK_S
            result = []
            for port in (segments_by_tick or {}).get(number, ()):
                result += _search(self._balancer, now, port)
            result += self._balancer.tick(now)
            sent = 0
            while result:
                self._note(now, result)
                read = any(
                    isinstance(step, steps.ReadDirectory) for step in result
                )
                requests = _requests(result)
                sent += _link_bytes(requests)
                result = _answer(
                    self._balancer, now, requests, **self._answers
                )
                if read:
                    result += self._balancer.on_directory_read(now, now)
                result += self._balancer.searches.flush_queries()
            self.bytes_by_tick.append(sent)

    def _note(self, now, result):
        for step in kit.resets(result):
            self.resets_by_key[step.key] = now
        for step in result:
            if isinstance(step, steps.LogEvent):
                if step.event == "flow_found":
                    self.found_by_key[step.key] = now
                elif step.event == "search_delayed":
                    self.delayed.add(step.key)

    @property
    def bytes_per_s_max(self):
        """Most bytes in any second."""
        ticks = round(1 / _TICK_S)
        return max(
            sum(self.bytes_by_tick[start : start + ticks])
            for start in range(len(self.bytes_by_tick))
        )


def test_a_flow_at_its_place_is_found_with_few_questions():
    """Searches must not ask the whole fleet for flows that agents hold.

    After the restart of a balancer each open flow cost a question to each of
    136 agents.
    """
    balancer = _balancer()
    placed = balancer.on_segment(1.0, kit.caller_segment(1, kit.SYN))
    assert placed
    restarted = _balancer()
    _search(restarted, 2.0, 1)
    requests = _requests(restarted.searches.flush_queries())
    asked = {address for address, _ in requests}
    assert len(asked) == defaults.PLACING_CANDIDATES
    assert asked == {
        address for address, _ in kit.messages(placed, tunnel.Hello)
    }


@pytest.mark.parametrize("holder", range(1, _AGENTS + 1, 15))
def test_a_flow_is_found_wherever_it_is(holder):
    """A flow must be found at any agent before its caller sends a copy."""
    balancer = _balancer()
    key = kit.key_of(1)
    run = _Run(balancer, {key: kit.agent(holder).address})
    run.run(1.0, 0.2, {0: [1]})
    assert key in run.found_by_key
    assert not run.resets_by_key


def test_a_flow_is_found_past_agents_that_are_silent():
    """Silent agents must not keep a search from the others."""
    balancer = _balancer()
    key = kit.key_of(1)
    silent = {kit.agent(number).address for number in range(1, 131)}
    run = _Run(balancer, {key: kit.agent(136).address}, silent)
    run.run(1.0, 0.2, {0: [1]})
    assert key in run.found_by_key


def test_no_flow_is_reset_while_one_agent_of_many_is_silent():
    """A reset needs the answer of every agent, also of the last one asked."""
    balancer = _balancer()
    run = _Run(balancer, silent={kit.agent(77).address})
    run.run(1.0, 3.0, {0: range(20)})
    assert not run.resets_by_key
    assert not run.found_by_key


def test_a_loss_of_power_does_not_fill_a_small_link():
    """The searches for all flows of a balancer must leave room on its link.

    100 flows at each of 59 balancers are as many as 136 servers hold. Each
    caller must still get its proof before it gives up.
    """
    balancer = _balancer()
    run = _Run(balancer)
    run.run(1.0, 4.0, {0: range(100)})
    assert run.bytes_per_s_max < _SEARCH_BYTES_PER_S_MAX
    assert run.delayed
    assert len(run.resets_by_key) == 100
    assert max(run.resets_by_key.values()) < 1.0 + _FLOW_TIMEOUT_S


def test_first_questions_are_not_delayed_by_proofs():
    """A flow that is held must be found while others are proved lost."""
    balancer = _balancer()
    held = kit.key_of(500)
    holder, _ = _first_asked(500)
    run = _Run(balancer, {held: holder})
    run.run(1.0, 1.0, {0: range(100), 10: [500]})
    assert run.delayed
    assert run.found_by_key[held] < 1.0 + 12 * _TICK_S


def _first_asked(port):
    """Return the first agent that is asked for a flow, and its request."""
    balancer = _balancer()
    _search(balancer, 1.0, port)
    return _requests(balancer.searches.flush_queries())[0]


def test_questions_follow_the_flows_and_not_the_fleet():
    """The cost of a search for a flow that is held must not grow."""
    counts = {}
    for agents in (30, 100, 300):
        balancer = steering.FlowSteering(
            ("10.9.0.9", 80), "a", kit.decode, random.Random(1)
        )
        balancer.on_routes(0.0, kit.routes())
        balancer.on_entries(
            0.0, [kit.agent(number) for number in range(1, agents + 1)], []
        )
        for port in range(50):
            _search(balancer, 1.0, port)
        requests = _requests(balancer.searches.flush_queries())
        counts[agents] = sum(len(request.queries) for _, request in requests)
    assert counts[300] == counts[100] == counts[30]


def _unanswered_search(balancer, silent):
    """Let a search end without the answer of some agents."""
    run = _Run(balancer, silent=silent)
    run.run(1.0, 0.6, {0: [1]})
    assert not run.resets_by_key
    balancer.searches.flush_queries()


def _asked(balancer, now, port, ack=5):
    segment = kit.caller_segment(port, kit.ACK, ack=ack)
    balancer.on_segment(now, segment)
    requests = _requests(balancer.searches.flush_queries())
    return {address for address, _ in requests}


def test_the_next_copy_asks_only_agents_that_have_not_answered():
    """Copies of a segment must not repeat the whole search.

    While the entry of one lost agent was left over, each copy of a segment of
    each lost flow cost a question to each of 136 agents.
    """
    balancer = _balancer()
    silent = {kit.agent(77).address}
    _unanswered_search(balancer, silent)
    assert _asked(balancer, 1.8, 1) == silent


def test_an_answer_after_the_end_of_a_search_completes_the_proof():
    """A caller must not wait for its next copy when the last agent answers."""
    balancer = _balancer()
    late = kit.agent(77).address
    _unanswered_search(balancer, {late})
    result = balancer.on_message(
        1.7, late, tunnel.LocateReply([(kit.key_of(1), tunnel.ABSENT)])
    )
    assert kit.step_types(result) == [steps.ReadDirectory]
    assert kit.resets(balancer.on_directory_read(1.71, 1.7))


def test_a_flow_is_found_by_an_answer_after_the_end_of_its_search():
    """The next copy must go straight to an agent that answered late."""
    balancer = _balancer()
    late = kit.agent(77).address
    _unanswered_search(balancer, {late})
    balancer.on_message(
        1.7, late, tunnel.LocateReply([(kit.key_of(1), tunnel.HELD)])
    )
    segment = kit.caller_segment(1, kit.ACK, ack=5)
    result = balancer.on_segment(1.8, segment)
    assert [to for to, _ in kit.messages(result, tunnel.Forward)] == [late]


def test_a_later_flow_between_the_same_ports_is_searched_anew():
    """What was confirmed of a flow must not be taken for a later one."""
    balancer = _balancer()
    _unanswered_search(balancer, {kit.agent(77).address})
    assert len(_asked(balancer, 1.8, 1, ack=900)) == (
        defaults.SEARCH_FIRST_AGENTS
    )


def test_a_new_flow_ends_the_search_for_an_earlier_one():
    """A new flow must not be reset by what is confirmed of an earlier one."""
    balancer = _balancer()
    late = kit.agent(77).address
    _unanswered_search(balancer, {late})
    balancer.on_segment(1.65, kit.caller_segment(1, kit.SYN))
    result = balancer.on_message(
        1.7, late, tunnel.LocateReply([(kit.key_of(1), tunnel.ABSENT)])
    )
    assert not result
    assert not kit.resets(balancer.on_directory_read(1.71, 1.7))


def test_searches_of_callers_that_gave_up_are_forgotten():
    """Ended searches must not fill the memory."""
    balancer = _balancer()
    _unanswered_search(balancer, {kit.agent(77).address})
    balancer.tick(1.0 + _FLOW_TIMEOUT_S)
    assert len(_asked(balancer, 3.1, 1)) == defaults.SEARCH_FIRST_AGENTS
