"""Tests of flow ownership, with simulated agents of one service."""

import collections

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import member as members
from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import packet as packets
from limpetlift.state import actions
from limpetlift.state import flows
from limpetlift.testing import flowsim

_LAG_S = 1.5
_LOSSY = flowsim.Conditions(delay_s=0.009, loss=0.3, lag_s=_LAG_S)
_STEADY = flowsim.Conditions(lag_s=0.5)
_PAUSES_S = (0.03, 0.1, 0.5, 2.0, 4.0)
_GAPS_S = (0.0, 0.0005, 0.003, 0.05)


def _cluster(count, seed=1, conditions=_STEADY, **limits):
    limits.setdefault("slow_start_s", 0.0)
    cluster = flowsim.Cluster(seed, conditions, flows.FlowLimits(**limits))
    for index in range(count):
        cluster.start("old-%d" % index)
    cluster.run(conditions.lag_s + 0.1)
    for agent_id in list(cluster.agents_by_id):
        cluster.join(agent_id)
    cluster.run(4.0)
    return cluster


def _send(cluster, callers, gap=0.001):
    for caller in callers:
        cluster.send(caller)
        cluster.run(gap)


def _tables(cluster):
    return {i: agent.table for i, agent in cluster.agents_by_id.items()}


def _flow_and_entry_counts(cluster):
    tables = _tables(cluster).values()
    return (
        sum(table.flow_count for table in tables),
        sum(table.redirect_count for table in tables),
    )


def _assert_flows_kept(cluster):
    for record in cluster.flows_by_caller.values():
        assert len(record.owners) == 1, record
        assert not record.closed and not record.resets, record
    assert not cluster.opened_while_leaving


_CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ("join", "drain", "weight", "pause", "suspect", "traffic")
        ),
        strategies.integers(0, 20),
        strategies.sampled_from((0.0, 0.05, 0.5, 3.0)),
    ),
    min_size=6,
    max_size=14,
)


def _change(cluster, kind, number):
    """Make one change to the agent that ``number`` selects."""
    ids = list(cluster.agents_by_id)
    agent_id = ids[number % len(ids)]
    if kind == "join":
        cluster.start("new-%d" % len(ids))
        cluster.join("new-%d" % len(ids))
    elif kind == "drain":
        staying = [
            i
            for i, table in _tables(cluster).items()
            if table.member_record.state != members.DRAINING
        ]
        if len(staying) > 2:
            cluster.drain(staying[number % len(staying)])
    elif kind == "weight":
        cluster.set_weight(agent_id, (0.5, 1.0, 2.0, 4.0)[number % 4])
    elif kind == "pause" and not cluster.any_paused:
        # If two agents paused, the owner of a flow and the only holder of its
        # entry could be silent together, and the flow could not be kept.
        cluster.pause(agent_id, _PAUSES_S[number % len(_PAUSES_S)])
    elif kind == "suspect":
        cluster.suspect(agent_id, (0.5, 2.0)[number % 2])


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    strategies.integers(2, 6), strategies.integers(0, 10**6), _CHANGES
)
def test_no_flow_changes_its_agent(count, seed, changes):
    """A second agent must not accept a flow that has an owner.

    It would if it missed the owner, because of changes of the membership,
    pauses, false suspicion, lost messages or an outdated view.
    """
    cluster = _cluster(count, seed, _LOSSY)
    last = 0
    for kind, number, rest in changes:
        _change(cluster, kind, number)
        for step in range(10 + number):
            if step % 5 < 2:
                last += 1
                cluster.send(last)
            elif last:
                cluster.send(last - (step * 7 + number) % min(last, 40))
            cluster.run(_GAPS_S[(step + number) % 4])
        cluster.run(rest)
    cluster.run(15.0)
    _assert_flows_kept(cluster)
    total, redirects = _flow_and_entry_counts(cluster)
    assert redirects <= defaults.REDIRECT_COPIES * total


def test_rolling_replacement_keeps_flows_and_bounds_entries():
    """Flows must stay at their agents while all agents are replaced.

    Each join and drain moves entries: a missing one lets a second agent accept
    the flow, and one that is not released stays for good.
    """
    cluster = _cluster(7, conditions=_LOSSY)
    _send(cluster, range(400))
    for index in range(7):
        cluster.start("new-%d" % index)
        cluster.join("new-%d" % index)
        cluster.run(0.4)
        cluster.drain("old-%d" % index)
        _send(cluster, range(400))
        _send(cluster, range(1000 + 20 * index, 1020 + 20 * index))
    cluster.run(8.0)
    before = [r.delivered for r in cluster.flows_by_caller.values()]
    _send(cluster, range(400))
    cluster.run(1.0)
    after = [r.delivered for r in cluster.flows_by_caller.values()]
    assert sum(after) - sum(before) == 400
    _assert_flows_kept(cluster)
    total, redirects = _flow_and_entry_counts(cluster)
    assert total == 540
    assert redirects == defaults.REDIRECT_COPIES * total
    assert not any(t.is_drained for t in _tables(cluster).values())


def test_pause_after_the_first_packet_keeps_the_flow():
    """A flow must stay with an owner that pauses after the first packet.

    Another agent would accept the flow if the owner delivered the packet
    before other agents held an entry for the flow.
    """
    cluster = _cluster(4)
    callers = range(200)
    for caller in callers:
        cluster.send(caller)
    while "old-2" not in {
        owner
        for record in cluster.flows_by_caller.values()
        for owner in record.owners
    }:
        cluster.run(0.0001)
    cluster.pause("old-2", 5.0)
    for _round in range(8):
        cluster.run(0.6)
        _send(cluster, callers)
    cluster.run(3.0)
    _send(cluster, callers)
    cluster.run(1.0)
    _assert_flows_kept(cluster)


def test_agents_that_join_together_keep_flows():
    """An agent with an outdated view must not take over existing flows.

    Agents that join at the same time learn of each other at different times,
    so packets may reach an agent that holds no entry for their flow.
    """
    cluster = _cluster(4, conditions=_LOSSY)
    _send(cluster, range(300))
    for index in range(3):
        cluster.start("new-%d" % index)
    for index in range(3):
        cluster.join("new-%d" % index)
    for _round in range(20):
        _send(cluster, range(300), 0.0005)
    _assert_flows_kept(cluster)


def test_drained_agent_without_flows_reports_it():
    """A drained agent must report it when its last flow has ended.

    A stopping process waits for the report. It would lose open flows if the
    report came too early, and not stop if the report did not come.
    """
    cluster = _cluster(3)
    _send(cluster, range(30))
    cluster.drain("old-0")
    cluster.run(3.0)
    table = _tables(cluster)["old-0"]
    assert table.flow_count and not table.is_drained
    for key, record in cluster.flows_by_caller.items():
        if record.owners == ["old-0"]:
            table.on_closed(cluster.now, key, "close")
    assert table.is_drained
    cluster.run(1.0)
    total, redirects = _flow_and_entry_counts(cluster)
    assert redirects == defaults.REDIRECT_COPIES * total


@pytest.mark.parametrize("passed", [False, True])
def test_leaving_agent_accepts_nothing(passed):
    """A leaving agent must not accept new flows.

    Balancers and agents with an outdated view still send it new flows, and
    flows that wait for answers when the drain begins are not accepted yet.
    """
    cluster = _cluster(3)
    # The flows of these callers wait for answers when the drain begins.
    for caller in range(60):
        packet = attrs.evolve(flowsim.make_packet(caller), is_assigned=passed)
        cluster.transmit("old-0", packet)
    cluster.run(0.0045)
    cluster.drain("old-0")
    before = _tables(cluster)["old-0"].flow_count
    # Callers repeat their first packet, which may be lost during the drain.
    for caller in [*range(200, 260), *range(60), *range(200, 260)]:
        packet = attrs.evolve(flowsim.make_packet(caller), is_assigned=passed)
        cluster.transmit("old-0", packet)
        cluster.run(0.005)
    cluster.run(1.0)
    assert _tables(cluster)["old-0"].flow_count == before
    assert len(cluster.flows_by_caller) == 120
    _assert_flows_kept(cluster)


def test_packet_of_another_service_is_dropped():
    """An agent must drop packets that are not meant for its backend server.

    A balancer with an outdated table sends packets to an address at which an
    agent of another service runs now; answers are for balancers.
    """
    cluster = _cluster(2)
    other = flowsim.make_packet(1, hashing.service_id("room-photos"))
    table = _tables(cluster)["old-0"]
    assert table.on_packet(cluster.now, other) == [
        actions.Drop("other_service")
    ]
    answer = attrs.evolve(flowsim.make_packet(1), kind=packets.KIND_TO_CALLER)
    assert table.on_packet(cluster.now, answer) == [actions.Drop("unexpected")]


def test_packet_of_own_flow_is_only_delivered():
    """A packet of an own flow must cause no action but its delivery.

    This is the common case, in which no message may be sent.
    """
    cluster = _cluster(3)
    _send(cluster, range(50))
    cluster.run(1.0)
    packet = flowsim.make_packet(0)
    table = _tables(cluster)[cluster.record(packet.key).owners[0]]
    assert table.on_packet(cluster.now, packet) == [
        actions.Deliver(packet.key, packet)
    ]


def test_idle_flow_ends_and_is_released():
    """The entries of idle flows must be deleted at all agents.

    If the owner did not release them when it ends the flow, they would stay
    for good.
    """
    cluster = _cluster(3, idle_s=10.0)
    _send(cluster, range(30))
    cluster.run(7.0)
    _send(cluster, range(10))
    cluster.run(5.0)
    assert _flow_and_entry_counts(cluster) == (10, 20)
    cluster.run(8.0)
    assert _flow_and_entry_counts(cluster) == (0, 0)
    reasons = {r.closed[0][1] for r in cluster.flows_by_caller.values()}
    assert reasons == {"idle"}


def test_new_incarnation_resets_once():
    """The callers of a restarted agent must be notified, each one once.

    The new incarnation does not know their flows. Several agents hold entries
    that name the old one, and each of them could notify the caller.
    """
    cluster = _cluster(4)
    _send(cluster, range(100))
    cluster.run(3.0)
    lost = [
        caller
        for caller in range(100)
        if cluster.record(flowsim.make_packet(caller).key).owners == ["old-0"]
    ]
    cluster.start("old-0", incarnation=int(cluster.now * 1000) + 1)
    cluster.join("old-0")
    cluster.run(2.0)
    for _round in range(3):
        _send(cluster, range(100))
        cluster.run(0.5)
    for caller in range(100):
        record = cluster.record(flowsim.make_packet(caller).key)
        assert record.resets == (1 if caller in lost else 0)
    assert lost


def test_dead_agent_resets_once():
    """Only callers of a dead agent must be notified, each one once.

    Several agents hold an entry for each flow, and each of them could notify
    the caller.
    """
    cluster = _cluster(4)
    _send(cluster, range(100))
    cluster.run(3.0)
    cluster.crash("old-1")
    cluster.run(12.0)
    for _round in range(3):
        _send(cluster, range(100))
        cluster.run(0.5)
    for record in cluster.flows_by_caller.values():
        assert record.resets == (record.owners[0] == "old-1")
        assert record.owners[0] == "old-1" or len(record.owners) == 1


def test_entries_that_name_each_other_end_the_loop():
    """Two entries that name each other must not forward a packet forever.

    Each agent denies that it owns the flow, which deletes the entries; the
    hop limit ends the loop until then.
    """
    cluster = _cluster(3)
    tables = _tables(cluster)
    packet = flowsim.make_packet(7)
    for one, two in (("old-0", "old-1"), ("old-1", "old-0")):
        incarnation = tables[two].member_record.incarnation
        entries = tables[one]._flow_state.redirects
        entries.store(packet.key, two, incarnation, 0)
    for _round in range(2):
        cluster.transmit("old-0", packet)
        cluster.run(1.0)
    record = cluster.record(packet.key)
    assert record.delivered and len(record.owners) == 1
    assert record.delivered + len(cluster.drops) == 2


@pytest.mark.parametrize("count", [3, 7])
def test_join_and_drain_move_a_bounded_share(count):
    """A join or drain must move at most 1.2 / n of the buckets.

    More would move if a change also reassigned buckets between other agents.
    """
    cluster = _cluster(count)

    def owners():
        view = _tables(cluster)["old-1"]._flow_state.view
        return [
            view.order(bucket)[0]
            for bucket in range(defaults.PLACEMENT_BUCKETS)
        ]

    def share(before, after):
        moved = sum(one != two for one, two in zip(before, after))
        return moved / defaults.PLACEMENT_BUCKETS

    first = owners()
    cluster.start("new-0")
    cluster.join("new-0")
    cluster.run(3.0)
    second = owners()
    cluster.drain("old-0")
    cluster.run(3.0)
    assert 0 < share(first, second) <= 1.2 / (count + 1)
    assert 0 < share(second, owners()) <= 1.2 / (count + 1)


def _imbalance(cluster, callers, ids):
    counts = collections.Counter(
        cluster.record(flowsim.make_packet(caller).key).owners[0]
        for caller in callers
    )
    assert set(counts) == set(ids)
    return max(counts.values()) * len(ids) / sum(counts.values())


def test_bounded_sharing_is_even_before_and_after_a_change():
    """No agent may get more than 1.05 times the mean of 10,000 new flows.

    After a join, the new agent would get more than its share if the counts
    included flows that were opened before.
    """
    cluster = _cluster(7, max_flows=10_000)
    ids = list(cluster.agents_by_id)
    _send(cluster, range(10_000), 0.0005)
    cluster.run(1.0)
    assert _imbalance(cluster, range(10_000), ids) <= 1.05
    cluster.start("new-0")
    cluster.join("new-0")
    cluster.run(3.0)
    _send(cluster, range(20_000, 30_000), 0.0005)
    cluster.run(1.0)
    late = range(20_000, 30_000)
    assert _imbalance(cluster, late, [*ids, "new-0"]) <= 1.05


@pytest.mark.parametrize("policy", ["natural", "bounded", "two"])
def test_full_agent_passes_flows_on(policy):
    """An agent must not accept more flows than its backend server holds.

    Agents decide by load reports that are out of date, and a full agent must
    pass flows on instead of accepting them.
    """
    cluster = _cluster(3, max_flows=40, policy=policy)
    _send(cluster, range(150), 0.005)
    cluster.run(1.0)
    counts = [table.flow_count for table in _tables(cluster).values()]
    assert max(counts) <= 40
    assert sum(counts) >= 110


def test_slow_start_raises_the_weight_in_steps():
    """The weight of a joining agent must rise in steps.

    A backend server that has just started is slow, and would be overloaded by
    its full share of the new flows.
    """
    cluster = _cluster(2, slow_start_s=5.0)
    cluster.run(6.0)
    cluster.start("new-0", weight=2.0)
    cluster.join("new-0")
    weights = []
    for _step in range(60):
        cluster.run(0.1)
        weights.append(_tables(cluster)["new-0"].member_record.weight)
    rising = weights[weights.index(min(weights)) :]
    assert min(weights) == pytest.approx(0.2)
    assert rising == sorted(rising)
    assert rising[-1] == 2.0
    assert len(set(rising)) == defaults.SLOW_START_STEPS
