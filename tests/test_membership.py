"""Membership of a small fleet on virtual time.

The simulated network loses and duplicates datagrams.
"""

import random

import attrs
import pytest

from limpetlift.coordination import actions
from limpetlift.coordination import fleet
from limpetlift.coordination import member
from limpetlift.coordination import membership
from limpetlift.coordination import strategies
from limpetlift import defaults
from limpetlift.testing import network

_DATA_CENTRES = 3
_SETTLED_S = 10.0


@attrs.define
class _Fleet:
    """12 balancers and 18 agents of 3 services in 3 data centres."""

    seed: int = 1
    balancers: int = 12
    agents: int = 18
    strategy: str = "logdistance"
    net: network.Network = attrs.field(init=False)
    events: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        rng = random.Random(self.seed)
        self.net = network.Network(rng, loss=0.01, doubled=0.01)
        self.net.on_action = lambda now, agent_id, action: self.events.append(
            (now, agent_id, action)
        )
        for index in range(self.balancers):
            self.start("b%d" % index)
        for index in range(self.agents):
            self.start("a%d" % index)

    def start(self, agent_id, incarnation=1):
        index = int(agent_id[1:])
        is_agent = agent_id[0] == "a"
        record = member.Member(
            agent_id=agent_id,
            kind=member.AGENT if is_agent else member.BALANCER,
            address="10.0.0.%d:%d" % (index, 7000 + is_agent),
            incarnation=incarnation,
            service="s%d" % (index // 6) if is_agent else "",
            data_centre="d%d" % (index % _DATA_CENTRES),
            region="r%d" % (index % _DATA_CENTRES),
            state=member.ACTIVE,
        )
        rng = random.Random("%s %d" % (agent_id, incarnation))
        seeds = ["10.0.0.0:7000", "10.0.0.1:7000"]
        if is_agent:
            started = membership.AgentMembership(record, rng, seeds)
        else:
            started = fleet.BalancerMembership(
                record, rng, seeds, strategy=self.strategy
            )
        self.net.add(started)

    def run(self, seconds):
        self.net.run(seconds)
        return self

    def get(self, agent_id):
        return self.net.members_by_id[agent_id]

    def balancers_up(self):
        return filter(network.is_balancer, self.net.members_by_id.values())

    def states_of(self, agent_id):
        """Return the states of a member in the views that contain it."""
        states = set()
        for other in self.net.members_by_id.values():
            record = other.view.get(agent_id)
            if record is not None and other.own.agent_id != agent_id:
                states.add(other.view.effective_state(record))
        return states

    def refuted(self):
        return [
            (now, agent_id)
            for now, agent_id, action in self.events
            if isinstance(action, actions.OwnRecordChanged) and action.refuted
        ]

    def assert_complete(self):
        """Assert that all views contain exactly the members they need."""
        everyone = self.net.members_by_id.values()
        own_by_id = {process.own.agent_id: process.own for process in everyone}
        roots = set()
        for process in everyone:
            is_balancer = network.is_balancer(process)
            if is_balancer:
                roots.add(process.view.digest.root)
                assert set(process.view.all_balancers()) == {
                    agent_id for agent_id in own_by_id if agent_id[0] == "b"
                }
            services = {record.service for record in own_by_id.values()} - {""}
            for service in services if is_balancer else [process.own.service]:
                assert process.view.members_of(service) == sorted(
                    (r for r in own_by_id.values() if r.service == service),
                    key=lambda record: record.agent_id,
                )
        assert len(roots) == 1


@pytest.fixture(scope="module", name="settled")
def _settled():
    """Return a fleet that was started with no addresses but the seeds."""
    return _Fleet().run(_SETTLED_S)


@pytest.mark.parametrize("strategy", sorted(strategies.strategies_by_name))
def test_start_with_only_seeds_and_no_false_suspicion(strategy):
    """All members must find each other, and none may be suspected wrongly.

    Lost datagrams could hide a member or make it suspect.
    """
    fleet = _Fleet(strategy=strategy).run(_SETTLED_S)
    fleet.assert_complete()
    fleet.run(60.0)
    fleet.assert_complete()
    assert fleet.refuted() == []


@pytest.mark.parametrize("seed", range(4))
def test_views_converge_after_changes_in_heavy_loss(seed):
    """Views must agree after changes despite lost and reordered messages.

    A fifth of the datagrams are lost, a fifth duplicated, and delays are
    random, so that changes overtake each other.
    """
    fleet = _Fleet(seed)
    fleet.net.loss, fleet.net.doubled = 0.2, 0.2
    fleet.net.latency = (0.0, 0.9)
    rng = random.Random(seed)
    for _ in range(10):
        fleet.run(1.0)
        agent_id = rng.choice(list(fleet.net.members_by_id))
        fleet.net.carry_out(
            agent_id,
            fleet.get(agent_id).update(fleet.net.now, weight=rng.random()),
        )
    fleet.net.loss, fleet.net.latency = 0.01, (0.0, 0.05)
    fleet.run(20.0).assert_complete()


def test_a_dead_member_is_suspect_first_and_then_dead():
    """A killed member must be suspect everywhere before it is dead.

    Otherwise a short silence would remove a member that is still running.
    """
    fleet = _Fleet().run(_SETTLED_S)
    fleet.net.kill("a4")
    fleet.net.kill("b4")
    fleet.run(defaults.SUSPECT_AFTER_S + 3.0)
    assert fleet.states_of("a4") == {member.SUSPECT}
    assert fleet.states_of("b4") == {member.SUSPECT}
    assert "a4" in [r.agent_id for r in fleet.get("a5").view.members_of("s0")]
    fleet.run(defaults.DEAD_AFTER_S)
    assert fleet.states_of("a4") == {member.DEAD}
    fleet.assert_complete()
    fleet.start("a4", incarnation=2)
    fleet.run(5.0).assert_complete()


def test_a_suspect_member_that_is_alive_refutes():
    """A member that was cut off for some seconds must not stay suspect."""
    fleet = _Fleet().run(_SETTLED_S)
    fleet.net.is_cut = lambda a, b: "a4" in (a, b)
    fleet.run(defaults.SUSPECT_AFTER_S + 3.0)
    assert fleet.states_of("a4") == {member.SUSPECT}
    fleet.net.is_cut = None
    fleet.run(5.0)
    assert fleet.states_of("a4") == {member.ACTIVE}
    assert {agent_id for _, agent_id in fleet.refuted()} == {"a4"}
    fleet.assert_complete()


@pytest.mark.parametrize("kept", [True, False])
@pytest.mark.parametrize("agent_id", ["a4", "b4"])
def test_a_paused_process_resumes(agent_id, kept):
    """A paused process must refute its death and suspect no other member.

    After the pause, the members it sponsors look silent to it.
    """
    fleet = _Fleet().run(_SETTLED_S)
    fleet.net.pause(agent_id)
    fleet.run(30.0)
    assert fleet.states_of(agent_id) == {member.DEAD}
    fleet.net.resume(agent_id, kept)
    fleet.run(_SETTLED_S).assert_complete()
    assert {refuter for _, refuter in fleet.refuted()} == {agent_id}


def test_a_process_paused_for_longer_than_the_retention_drops_its_view(
    settled,
):
    """A process paused for longer than the retention must drop its view.

    Other processes no longer have the records of members that died meanwhile,
    and would accept the old records of them again.
    """
    process = settled.get("b5")
    assert len(process.view) > 1
    copy = fleet.BalancerMembership(process.own, random.Random(1))
    for record in process.view.all_records():
        copy.view.merge(0.0, record)
    copy.tick(1.0)
    copy.tick(1.0 + defaults.DEAD_RETENTION_S)
    assert [r.agent_id for r in copy.view.all_records()] == ["b5"]


def test_dead_sponsors_are_replaced():
    """An agent whose sponsors all die must choose others.

    It would otherwise become suspect because nobody receives its heartbeats.
    """
    fleet = _Fleet().run(_SETTLED_S)
    dead_sponsors = fleet.get("a4").heartbeats.sponsors()
    for agent_id in dead_sponsors:
        fleet.net.kill(agent_id)
    fleet.run(60.0)
    new_sponsors = fleet.get("a4").heartbeats.sponsors()
    assert len(new_sponsors) == defaults.SPONSORS_PER_MEMBER and not set(
        new_sponsors
    ) & set(dead_sponsors)
    assert fleet.refuted() == []
    fleet.assert_complete()


def test_a_replaced_sponsor_does_not_suspect():
    """A replaced sponsor must not suspect the member that left it.

    Balancers that join replace sponsors, which then miss the heartbeats.
    """
    fleet = _Fleet(balancers=6).run(_SETTLED_S)
    before = {
        agent_id: fleet.get(agent_id).heartbeats.sponsors()
        for agent_id in ["a0", "a1"]
    }
    for index in range(6, 24):
        fleet.start("b%d" % index)
    fleet.run(30.0).assert_complete()
    after = {
        agent_id: fleet.get(agent_id).heartbeats.sponsors()
        for agent_id in before
    }
    assert before != after
    assert fleet.refuted() == []


def test_a_partition_of_regions_heals_without_mass_changes():
    """A partition must change no records, and must end within seconds.

    If each side recorded the other as dead, thousands of records would change
    and change back, and exceed the rate limit.
    """
    fleet = _Fleet().run(_SETTLED_S)
    fleet.net.is_cut = lambda a, b: (int(a[1:]) % 3 == 0) != (
        int(b[1:]) % 3 == 0
    )
    fleet.run(defaults.DEAD_AFTER_S + 5.0)
    view = fleet.get("b1").view
    assert not [r for r in view.members_of("s0") if r.data_centre == "d0"]
    assert view.silent_data_centres() == ["d0"]
    assert fleet.get("a1").view.members_of("s0") == view.members_of("s0")
    fleet.net.kill("a3")
    fleet.net.kill("a4")
    fleet.net.carry_out("a0", fleet.get("a0").update(fleet.net.now, weight=2))
    fleet.run(285.0)
    before = {n: t.sent for n, t in fleet.net.traffic_by_id.items()}
    fleet.net.is_cut = None
    fleet.run(5.0)
    assert view.silent_data_centres() == []
    assert fleet.states_of("a0") == {member.ACTIVE}
    assert fleet.get("b1").view.get("a0").weight == 2
    # On the side that was cut off, a4 is suspect before it is dead.
    fleet.run(defaults.DEAD_AFTER_S).assert_complete()
    assert fleet.refuted() == []
    for agent_id, traffic in fleet.net.traffic_by_id.items():
        sent = traffic.sent - before[agent_id]
        assert sent < 15.0 * defaults.CONTROL_BYTES_PER_S / 3


def test_groups_that_never_met_join_through_the_seeds():
    """Two groups that started apart must find each other through the seeds.

    They have no records of each other, so that gossip cannot connect them.
    """
    fleet = _Fleet()
    fleet.net.is_cut = lambda a, b: (int(a[1:]) % 3 == 0) != (
        int(b[1:]) % 3 == 0
    )
    fleet.run(20.0)
    assert (
        len({process.view.digest.root for process in fleet.balancers_up()})
        == 2
    )
    fleet.net.is_cut = None
    fleet.run(defaults.SEED_INTERVAL_S).assert_complete()
    assert fleet.refuted() == []


def test_members_that_died_with_their_data_centre_are_found():
    """Members that do not return with their data centre must become dead.

    When the data centre is reachable again, their records are still live.
    """
    fleet = _Fleet().run(_SETTLED_S)
    lost = [
        agent_id
        for agent_id in fleet.net.members_by_id
        if int(agent_id[1:]) % 3 == 0
    ]
    for agent_id in lost:
        fleet.net.kill(agent_id)
    fleet.run(30.0)
    assert fleet.get("b1").view.silent_data_centres() == ["d0"]
    for agent_id in lost[:-2]:
        fleet.start(agent_id, incarnation=2)
    fleet.run(30.0).assert_complete()


def test_a_single_lost_balancer_does_not_hide_its_data_centre():
    """A data centre must not become silent because its only balancer dies.

    With few balancers, their silence does not show that the agents ended.
    """
    fleet = _Fleet(balancers=3).run(_SETTLED_S)
    fleet.net.kill("b2")
    fleet.run(30.0).assert_complete()
    assert fleet.refuted() == []


def test_a_mass_restart_converges():
    """All processes must find each other after they restart together.

    None of them has a record of another, only the addresses of the seeds.
    """
    fleet = _Fleet().run(_SETTLED_S)
    for agent_id in list(fleet.net.members_by_id):
        fleet.net.kill(agent_id)
    for agent_id in sorted(fleet.net.traffic_by_id):
        fleet.start(agent_id, incarnation=2)
    fleet.run(_SETTLED_S).assert_complete()
    assert fleet.refuted() == []


def test_a_planned_leave_removes_the_member_at_once():
    """A member that leaves as planned must be removed without a suspicion.

    Its address would otherwise be used until the timers expire.
    """
    fleet = _Fleet().run(_SETTLED_S)
    for agent_id in ("a4", "b4"):
        fleet.net.carry_out(agent_id, fleet.get(agent_id).leave(fleet.net.now))
        fleet.net.kill(agent_id)
    fleet.run(4.0)
    assert fleet.states_of("a4") == fleet.states_of("b4") == {member.LEFT}
    fleet.run(30.0).assert_complete()


def test_a_new_configuration_is_noticed_everywhere():
    """All processes must learn of a new revision well within 4 s."""
    fleet = _Fleet().run(_SETTLED_S)
    source = fleet.get("b7")
    fleet.net.carry_out("b7", source.set_config_revision(fleet.net.now, 5))

    def adopt(now, agent_id, action):
        if isinstance(action, actions.RevisionSeen):
            process = fleet.get(agent_id)
            sends = process.set_config_revision(now, action.revision)
            fleet.net.carry_out(agent_id, sends)

    fleet.net.on_action = adopt
    fleet.run(1.5)
    revisions = [
        process.config_revision for process in fleet.net.members_by_id.values()
    ]
    assert set(revisions) == {5}


def test_a_newer_incarnation_supersedes_the_process(settled):
    """A process must stop when a newer incarnation of its id exists.

    Two processes with one id would otherwise refute each other forever.
    """
    process = membership.AgentMembership(
        settled.get("a0").own, random.Random(1)
    )
    newer = attrs.evolve(process.own, incarnation=9)
    message = settled.get("b0").sponsor.notify("a0", [newer])[0].message
    result = process.on_message(0.0, "b0", 1, message)
    assert result == [actions.Superseded(9)]
