"""Choice of an agent for a request by a balancer."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import member
from limpetlift import exceptions
from limpetlift.state import balancing


def _members(count, weight=1.0):
    return [
        member.Member(
            agent_id="agent-%d" % number,
            kind=member.AGENT,
            address="127.0.0.1:%d" % (7000 + number),
            incarnation=1,
            state=member.ACTIVE,
            weight=weight,
        )
        for number in range(count)
    ]


def _chooser(seed=1, choice="least"):
    return balancing.Chooser(random.Random(seed), choice)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.sampled_from(sorted(balancing.choices_by_name)),
    strategies.sampled_from(["", "key"]),
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from(["ok", "refused", "failed", "cancelled"]),
            strategies.floats(0.0, 5.0),
        ),
        max_size=30,
    ),
    strategies.sets(strategies.sampled_from(["agent-0", "agent-1"])),
)
def test_pick_is_an_untried_member(choice, key, outcomes, tried):
    """A balancer must pick an untried member, whatever it has observed.

    A cost that is not a number, or avoidance of all agents, must not leave a
    request without an agent or send it to a tried one again.
    """
    chooser = _chooser(choice=choice)
    now = 0.0
    for number, outcome, elapsed_s in outcomes:
        now += elapsed_s
        chooser.on_sent(now, "agent-%d" % number)
        chooser.on_admitted(now, "agent-%d" % number, elapsed_s)
        chooser.on_outcome(now, "agent-%d" % number, outcome, elapsed_s)
    picked = chooser.pick(now, _members(4), key, tried)
    assert picked.agent_id not in tried
    assert chooser.pick(now, _members(2), key, {"agent-0", "agent-1"}) is None


def test_equal_agents_share_the_work():
    """Several balancers must not send their requests to the same agent.

    All have observed the same refusals; a fixed order among equal agents would
    make all of them pick the same one.
    """
    counts = collections.Counter()
    for seed in range(50):
        chooser = _chooser(seed)
        for number in range(7):
            # All balancers observe the same refusals.
            chooser.on_sent(0.0, "agent-%d" % number)
            chooser.on_outcome(0.0, "agent-%d" % number, "refused", 0.001)
        for _ in range(14):
            picked = chooser.pick(1.0, _members(7)).agent_id
            chooser.on_sent(1.0, picked)
            counts[picked] += 1
    assert max(counts.values()) <= 1.05 * 100


def test_requests_in_flight_count_by_weight():
    """An agent with requests in flight must get fewer new ones.

    An agent of weight 2 must get twice as many requests as one of weight 1.
    """
    chooser = _chooser()
    members = _members(1, weight=2.0) + _members(2)[1:]
    for _ in range(30):
        chooser.on_sent(0.0, chooser.pick(0.0, members).agent_id)
    chooser.on_outcome(0.0, "agent-1", "ok", 0.1)
    assert chooser.pick(0.0, members).agent_id == "agent-1"
    assert chooser._stats_by_id["agent-0"].in_flight == 20


def test_failed_agent_is_avoided_and_tried_again():
    """A failed agent must get no requests for a time, and then some again.

    An agent that fails fast has no requests in flight and would look idle.
    """
    chooser = _chooser()
    chooser.on_sent(0.0, "agent-0")
    chooser.on_outcome(0.0, "agent-0", "failed", 0.0001)
    for number in range(20):
        assert chooser.pick(0.01, _members(2)).agent_id == "agent-1"
        chooser.on_sent(0.01, "agent-1")
    assert chooser.pick(60.0, _members(1)).agent_id == "agent-0"
    chooser.on_sent(60.0, "agent-0")
    chooser.on_outcome(60.0, "agent-0", "ok", 0.1)
    assert chooser.pick(60.0, _members(2)).agent_id == "agent-0"


def test_key_places_the_request_among_equal_agents():
    """Balancers must pick the same agent for a key when all agents are equal.

    A repetition of the key through another balancer must reach the agent of
    the first attempt. An agent that was tried must not be picked again.
    """
    picks = {
        _chooser(seed).pick(0.0, _members(7), "order-1").agent_id
        for seed in range(10)
    }
    assert len(picks) == 1
    first = picks.pop()
    second = _chooser().pick(0.0, _members(7), "order-1", {first})
    assert second.agent_id != first


def test_hint_is_followed_unless_the_agent_is_avoided():
    """A hint must not make a balancer pick an agent that has just failed.

    The agent that gave the hint does not know of the failure.
    """
    chooser = _chooser()
    chooser.on_sent(0.0, "agent-0")
    assert chooser.pick(0.0, _members(3), hint="agent-0").agent_id == "agent-0"
    chooser.on_outcome(0.0, "agent-0", "failed", 0.1)
    assert chooser.pick(0.0, _members(3), hint="agent-0").agent_id != "agent-0"


def test_slow_agent_gets_less():
    """An agent that answers much slower than the others must get less work.

    With the same number of requests in flight it would look equal.
    """
    chooser = _chooser()
    for _ in range(40):
        for number, latency_s in enumerate((1.0, 0.1, 0.1)):
            chooser.on_sent(0.0, "agent-%d" % number)
            chooser.on_outcome(0.0, "agent-%d" % number, "ok", latency_s)
    assert chooser.pick(0.0, _members(3)).agent_id != "agent-0"


def test_unknown_choice_and_dropped_agents():
    """An unknown choice must raise an error; former agents must be dropped.

    Observations of agents that have left would accumulate otherwise.
    """
    with pytest.raises(exceptions.StateError):
        _chooser(choice="none")
    chooser = _chooser()
    chooser.on_sent(0.0, "agent-0")
    chooser.retain([])
    assert not chooser._stats_by_id
