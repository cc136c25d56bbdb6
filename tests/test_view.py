"""Merge rules of member records, and their wire forms."""

import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import antientropy
from limpetlift.coordination import budget
from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift.coordination import records
from limpetlift.coordination import view
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import envelope
from limpetlift.protocol import messages

_STATES = (
    member.JOINING,
    member.ACTIVE,
    member.DRAINING,
    member.SUSPECT,
    member.DEAD,
    member.LEFT,
)
_LONG = 30.0


def _record(agent_id="a", incarnation=1, sequence=1, state=member.ACTIVE):
    return member.Member(
        agent_id=agent_id,
        kind=member.AGENT,
        address="10.0.0.1:7000",
        incarnation=incarnation,
        service="desk",
        data_centre="d1",
        region="r1",
        sequence=sequence,
        state=state,
    )


_RECORDS = strategies.lists(
    strategies.builds(
        _record,
        strategies.sampled_from("abc"),
        strategies.integers(1, 3),
        strategies.integers(0, 3),
        strategies.sampled_from(_STATES),
    ),
    max_size=30,
)


def _states(found):
    return {record.agent_id: record.version for record in found.all_records()}


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS, strategies.randoms(use_true_random=False))
def test_any_order_of_records_gives_the_same_view(found, rng):
    """Lost order, doubles and delays must not leave views apart."""
    views = []
    for _ in range(2):
        one = view.View("me")
        shuffled = found + rng.sample(found, len(found) // 2)
        rng.shuffle(shuffled)
        now = 0.0
        for record in shuffled:
            now += rng.random()
            one.tick(now)
            one.merge(now, record)
        one.tick(now + _LONG)
        views.append(one)
    assert _states(views[0]) == _states(views[1])
    assert views[0].digest.root == views[1].digest.root


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS)
def test_digest_and_indexes_follow_the_records(found):
    """A digest that drifts from the records would never agree again."""
    one = view.View("me")
    for step, record in enumerate(found):
        one.merge(float(step), record)
        one.tick(float(step))
    root = 0
    for record in one.all_records():
        root ^= digest.record_hash(record)
        assert record in one.records_of(record.service)
        assert one.get_by_key(digest.key_of(record.agent_id)) == record
    assert one.digest.root == root
    # First the suspicions become deaths, then the deaths are forgotten.
    one.tick(1e9)
    one.tick(2e9)
    assert len(one) == sum(
        record.state in member.LIVE_STATES for record in one.all_records()
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS)
def test_a_listed_member_is_suspect_before_it_is_gone(found):
    """Only a planned leave may take a member from the list at once."""
    one = view.View("me")
    listed = {}
    for step, record in enumerate(found):
        one.merge(float(step) / 100, record)
        after = {item.agent_id: item for item in one.members_of("desk")}
        for agent_id in set(listed) - set(after):
            current = one.get(agent_id)
            assert current.state == member.LEFT
        listed = after


def test_a_dead_member_is_not_revived_by_an_old_record():
    """An old record that arrives late must not bring back the member."""
    one = view.View("me")
    one.merge(0.0, _record())
    one.suspect(1.0, "a")
    one.tick(1.0 + _LONG)
    assert one.get("a").state == member.DEAD
    assert not one.merge(40.0, _record())
    one.tick(defaults.DEAD_RETENTION_S)
    assert not one.merge(defaults.DEAD_RETENTION_S, _record(sequence=0))
    assert one.members_of("desk") == []
    assert one.merge(7000.0, _record(sequence=2))


def test_a_pause_restarts_the_suspicion_timers():
    """A refutation may wait in the receive buffer of a paused process."""
    one = view.View("me")
    one.merge(0.0, _record(state=member.SUSPECT))
    one.on_pause(100.0)
    one.tick(100.0)
    assert one.get("a").state == member.SUSPECT
    one.tick(108.0)
    assert one.get("a").state == member.DEAD


def test_a_silent_data_centre_changes_the_look_and_not_the_records():
    """Its members must be back at once, without a message for each."""
    one = view.View("me")
    one.merge(0.0, _record())
    root = one.digest.root
    one.pop_changed_services()
    one.set_silent("d1", member.SUSPECT)
    assert one.members_of("desk")[0].state == member.SUSPECT
    assert one.pop_changed_services() == {"desk"}
    one.set_silent("d1", member.DEAD)
    assert one.members_of("desk") == []
    one.set_silent("d1", None)
    assert one.members_of("desk") == [_record()]
    assert one.digest.root == root


def test_a_view_of_one_service_ignores_the_others():
    """An agent must not hold the members of all services."""
    one = view.View("me", "desk")
    assert not one.merge(0.0, attrs.evolve(_record(), service="photo"))
    assert one.merge(0.0, _record())


def test_records_survive_the_wire_in_datagrams_of_limited_size():
    """A datagram that is too large would be lost every time."""
    found = []
    for index in range(300):
        agent_id = "%064x" % (index * 7919**9)
        state = _STATES[index % len(_STATES)]
        found.append(_record(agent_id, 10**12 + index, index, state))
    receiver = view.View("me")
    for record in found:
        receiver.merge(0.0, attrs.evolve(record, sequence=0, state="active"))
    sealer = envelope.Sealer("x" * 64, 10**12, [b"k" * 16])
    read = set()
    for batch in records.batches(found):
        message = batch.message(config_revision=10**9)
        assert len(sealer.seal(message, 1.8e9)) <= defaults.MAX_DATAGRAM_BYTES
        decoded = messages.decode("Gossip", messages.encode(message))
        read.update(records.unpack(decoded, receiver))
    assert read == set(found)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=80), strategies.booleans())
def test_unreadable_records_are_rejected(data, packed):
    """A damaged part must be an error with a code and nothing else."""
    part = {"packed": data} if packed else {"removals": data}
    message = messages.structs.Gossip(members=[], config_revision=0, **part)
    try:
        assert list(records.unpack(message, view.View("me"))) == []
    except exceptions.MalformedMessage:
        pass


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS, _RECORDS)
def test_pulls_make_two_views_equal(ours, theirs):
    """Anti-entropy must repair whatever difference gossip leaves."""
    sides = []
    for name, found in (("x", ours), ("y", theirs)):
        one = view.View(name)
        for record in found:
            one.merge(0.0, record)
        rng = random.Random(1)
        bucket = budget.TokenBucket()
        sides.append(antientropy.AntiEntropy(one, rng, bucket))
    for puller, answerer in (sides, sides[::-1]):
        hashes = answerer.view.digest.packed_buckets()
        puller.on_digest("peer", messages.structs.Digest(hashes=hashes))
        for action in puller.tick(0.0, 0):
            answerer.on_pull(0.0, "peer", action.message, 0)
        for action in answerer.tick(0.0, 0):
            for record in records.unpack(action.message, puller.view):
                puller.view.merge(0.0, record)
    for side in sides:
        side.view.tick(_LONG)
    assert sides[0].view.digest.root == sides[1].view.digest.root


def test_recent_changes_are_found_latest_first():
    """What a partition hid must be named without comparing all records."""
    one = view.View("me")
    for step, agent_id in enumerate("abc"):
        one.merge(float(step), _record(agent_id))
    one.merge(3.0, _record("a", sequence=2))
    found = [record.agent_id for record in one.changed_since(1.0, 10)]
    assert found == ["a", "c", "b"]
    assert one.changed_since(1.5, 1) == [_record("a", sequence=2)]


def test_a_removal_of_another_incarnation_is_ignored():
    """A restarted member must not be removed by news of the old process."""
    one = view.View("me")
    one.merge(0.0, _record(incarnation=2))
    old = records.pack_removal(_record(state=member.SUSPECT))
    assert not list(records.unpack_removals(old, one))
    with pytest.raises(exceptions.MalformedMessage):
        list(records.unpack_removals(old[:-1], one))
