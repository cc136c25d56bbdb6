"""Membership of a small fleet on virtual time with loss and doubles."""

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
        """The states of a member in the views that list it."""
        found = set()
        for other in self.net.members_by_id.values():
            record = other.view.get(agent_id)
            if record is not None and other.own.agent_id != agent_id:
                found.add(other.view.effective_state(record))
        return found

    def refuted(self):
        return [
            (now, agent_id)
            for now, agent_id, action in self.events
            if isinstance(action, actions.OwnRecordChanged) and action.refuted
        ]

    def assert_complete(self):
        """Every process must list exactly the live members it needs."""
        everyone = self.net.members_by_id.values()
        own = {one.own.agent_id: one.own for one in everyone}
        roots = set()
        for one in everyone:
            is_balancer = network.is_balancer(one)
            if is_balancer:
                roots.add(one.view.digest.root)
                assert set(one.view.all_balancers()) == {
                    name for name in own if name[0] == "b"
                }
            services = {record.service for record in own.values()} - {""}
            for service in services if is_balancer else [one.own.service]:
                assert one.view.members_of(service) == sorted(
                    (r for r in own.values() if r.service == service),
                    key=lambda record: record.agent_id,
                )
        assert len(roots) == 1


@pytest.fixture(scope="module", name="settled")
def _settled():
    """A fleet that started with nothing but seeds."""
    return _Fleet().run(_SETTLED_S)


@pytest.mark.parametrize("strategy", sorted(strategies.strategies_by_name))
def test_start_with_only_seeds_and_no_false_suspicion(strategy):
    """Loss and doubles must neither hide a member nor blame it."""
    fleet = _Fleet(strategy=strategy).run(_SETTLED_S)
    fleet.assert_complete()
    fleet.run(60.0)
    fleet.assert_complete()
    assert fleet.refuted() == []


@pytest.mark.parametrize("seed", range(4))
def test_views_converge_after_changes_in_heavy_loss(seed):
    """Any interleaving of lost, doubled and reordered messages heals."""
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
    """Agents and balancers must see the suspicion before the removal."""
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
    """A member cut off for some seconds must not stay suspect."""
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
    """It must refute its death and must not blame those it sponsored."""
    fleet = _Fleet().run(_SETTLED_S)
    fleet.net.pause(agent_id)
    fleet.run(30.0)
    assert fleet.states_of(agent_id) == {member.DEAD}
    fleet.net.resume(agent_id, kept)
    fleet.run(_SETTLED_S).assert_complete()
    assert {name for _, name in fleet.refuted()} == {agent_id}


def test_a_process_paused_for_longer_than_the_retention_forgets(settled):
    """Deaths that the others have forgotten must not be undone by it."""
    one = settled.get("b5")
    assert len(one.view) > 1
    copy = fleet.BalancerMembership(one.own, random.Random(1))
    for record in one.view.all_records():
        copy.view.merge(0.0, record)
    copy.tick(1.0)
    copy.tick(1.0 + defaults.DEAD_RETENTION_S)
    assert [r.agent_id for r in copy.view.all_records()] == ["b5"]


def test_the_death_of_sponsors_moves_the_heartbeats():
    """An agent must not look dead because its sponsors are."""
    fleet = _Fleet().run(_SETTLED_S)
    gone = fleet.get("a4").heartbeats.sponsors()
    for agent_id in gone:
        fleet.net.kill(agent_id)
    fleet.run(60.0)
    kept = fleet.get("a4").heartbeats.sponsors()
    assert len(kept) == defaults.SPONSORS_PER_MEMBER and not set(kept) & set(
        gone
    )
    assert fleet.refuted() == []
    fleet.assert_complete()


def test_a_sponsor_that_is_left_does_not_suspect():
    """A better sponsor that joins must not make the old one suspect."""
    fleet = _Fleet(balancers=6).run(_SETTLED_S)
    before = {
        name: fleet.get(name).heartbeats.sponsors() for name in ["a0", "a1"]
    }
    for index in range(6, 24):
        fleet.start("b%d" % index)
    fleet.run(30.0).assert_complete()
    after = {name: fleet.get(name).heartbeats.sponsors() for name in before}
    assert before != after
    assert fleet.refuted() == []


def test_a_partition_of_regions_heals_without_a_storm():
    """No record may change for it, and the other side must be back soon."""
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
    # The death of a4 is first a suspicion on the side that was cut off.
    fleet.run(defaults.DEAD_AFTER_S).assert_complete()
    assert fleet.refuted() == []
    for name, traffic in fleet.net.traffic_by_id.items():
        sent = traffic.sent - before[name]
        assert sent < 15.0 * defaults.CONTROL_BYTES_PER_S / 3


def test_groups_that_never_met_join_through_the_seeds():
    """A partition at the start must not leave two fleets for ever."""
    fleet = _Fleet()
    fleet.net.is_cut = lambda a, b: (int(a[1:]) % 3 == 0) != (
        int(b[1:]) % 3 == 0
    )
    fleet.run(20.0)
    assert len({one.view.digest.root for one in fleet.balancers_up()}) == 2
    fleet.net.is_cut = None
    fleet.run(defaults.SEED_INTERVAL_S).assert_complete()
    assert fleet.refuted() == []


def test_members_that_died_with_their_data_centre_are_found():
    """When a lost data centre returns in part, the rest must not look live."""
    fleet = _Fleet().run(_SETTLED_S)
    lost = [name for name in fleet.net.members_by_id if int(name[1:]) % 3 == 0]
    for name in lost:
        fleet.net.kill(name)
    fleet.run(30.0)
    assert fleet.get("b1").view.silent_data_centres() == ["d0"]
    for name in lost[:-2]:
        fleet.start(name, incarnation=2)
    fleet.run(30.0).assert_complete()


def test_a_single_lost_balancer_does_not_hide_its_data_centre():
    """Few balancers cannot show that the agents beside them are gone."""
    fleet = _Fleet(balancers=3).run(_SETTLED_S)
    fleet.net.kill("b2")
    fleet.run(30.0).assert_complete()
    assert fleet.refuted() == []


def test_a_mass_restart_converges():
    """All processes at once must find each other from the seeds."""
    fleet = _Fleet().run(_SETTLED_S)
    for name in list(fleet.net.members_by_id):
        fleet.net.kill(name)
    for name in sorted(fleet.net.traffic_by_id):
        fleet.start(name, incarnation=2)
    fleet.run(_SETTLED_S).assert_complete()
    assert fleet.refuted() == []


def test_a_planned_leave_removes_the_member_at_once():
    """A leaving member is gone without a suspicion."""
    fleet = _Fleet().run(_SETTLED_S)
    for name in ("a4", "b4"):
        fleet.net.carry_out(name, fleet.get(name).leave(fleet.net.now))
        fleet.net.kill(name)
    fleet.run(4.0)
    assert fleet.states_of("a4") == fleet.states_of("b4") == {member.LEFT}
    fleet.run(30.0).assert_complete()


def test_a_new_configuration_is_noticed_everywhere():
    """Processes must hear of a revision well within 4 s."""
    fleet = _Fleet().run(_SETTLED_S)
    source = fleet.get("b7")
    fleet.net.carry_out("b7", source.set_config_revision(fleet.net.now, 5))

    def adopt(now, agent_id, action):
        if isinstance(action, actions.RevisionSeen):
            one = fleet.get(agent_id)
            found = one.set_config_revision(now, action.revision)
            fleet.net.carry_out(agent_id, found)

    fleet.net.on_action = adopt
    fleet.run(1.5)
    revisions = [m.config_revision for m in fleet.net.members_by_id.values()]
    assert set(revisions) == {5}


def test_a_newer_incarnation_supersedes_the_process(settled):
    """Two processes with one id must not refute each other for ever."""
    one = membership.AgentMembership(settled.get("a0").own, random.Random(1))
    newer = attrs.evolve(one.own, incarnation=9)
    message = settled.get("b0").sponsor.notify("a0", [newer])[0].message
    found = one.on_message(0.0, "b0", 1, message)
    assert found == [actions.Superseded(9)]
