"""Choice of an agent by a balancer."""

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
    """Whatever was seen, some usable member must be picked."""
    chooser = _chooser(choice=choice)
    now = 0.0
    for number, outcome, seconds in outcomes:
        now += seconds
        chooser.on_sent(now, "agent-%d" % number)
        chooser.on_admitted(now, "agent-%d" % number, seconds)
        chooser.on_outcome(now, "agent-%d" % number, outcome, seconds)
    picked = chooser.pick(now, _members(4), key, tried)
    assert picked.agent_id not in tried
    assert chooser.pick(now, _members(2), key, {"agent-0", "agent-1"}) is None


def test_equal_agents_share_the_work():
    """Several balancers must not send everything to the same agent."""
    counts = collections.Counter()
    for seed in range(50):
        chooser = _chooser(seed)
        for number in range(7):
            # Every balancer has seen the same refusals.
            chooser.on_sent(0.0, "agent-%d" % number)
            chooser.on_outcome(0.0, "agent-%d" % number, "refused", 0.001)
        for _ in range(14):
            picked = chooser.pick(1.0, _members(7)).agent_id
            chooser.on_sent(1.0, picked)
            counts[picked] += 1
    assert max(counts.values()) <= 1.05 * 100


def test_requests_in_flight_count_by_weight():
    """An agent that still works on requests must get fewer new ones."""
    chooser = _chooser()
    members = _members(1, weight=2.0) + _members(2)[1:]
    for _ in range(30):
        chooser.on_sent(0.0, chooser.pick(0.0, members).agent_id)
    chooser.on_outcome(0.0, "agent-1", "ok", 0.1)
    assert chooser.pick(0.0, members).agent_id == "agent-1"
    assert chooser._stats_by_id["agent-0"].in_flight == 20


def test_failed_agent_is_avoided_and_tried_again():
    """A fast failure must not attract work, nor last for ever."""
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
    """Balancers must agree on the agent of a key when nothing is wrong."""
    picks = {
        _chooser(seed).pick(0.0, _members(7), "order-1").agent_id
        for seed in range(10)
    }
    assert len(picks) == 1
    first = picks.pop()
    second = _chooser().pick(0.0, _members(7), "order-1", {first})
    assert second.agent_id != first


def test_hint_is_followed_unless_the_agent_is_avoided():
    """A hint of an agent must not override what the balancer has seen."""
    chooser = _chooser()
    chooser.on_sent(0.0, "agent-0")
    assert chooser.pick(0.0, _members(3), hint="agent-0").agent_id == "agent-0"
    chooser.on_outcome(0.0, "agent-0", "failed", 0.1)
    assert chooser.pick(0.0, _members(3), hint="agent-0").agent_id != "agent-0"


def test_slow_agent_gets_less():
    """An agent that answers much slower must get less work."""
    chooser = _chooser()
    for _ in range(40):
        for number, seconds in enumerate((1.0, 0.1, 0.1)):
            chooser.on_sent(0.0, "agent-%d" % number)
            chooser.on_outcome(0.0, "agent-%d" % number, "ok", seconds)
    assert chooser.pick(0.0, _members(3)).agent_id != "agent-0"


def test_unknown_choice_and_forgotten_agents():
    """A wrong name must fail loudly; agents that left must not pile up."""
    with pytest.raises(exceptions.StateError):
        _chooser(choice="none")
    chooser = _chooser()
    chooser.on_sent(0.0, "agent-0")
    chooser.retain([])
    assert not chooser._stats_by_id
