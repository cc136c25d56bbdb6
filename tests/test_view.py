"""Merge rules of member records, their encoding, and anti-entropy."""

import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import antientropy
from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift.coordination import records
from limpetlift.coordination import tokens
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
_AFTER_TIMERS_S = 30.0


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


def _versions_by_id(member_view):
    return {
        record.agent_id: record.version for record in member_view.all_records()
    }


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS, strategies.randoms(use_true_random=False))
def test_any_order_of_records_gives_the_same_view(member_records, rng):
    """Views must agree after the same records in any order.

    Datagrams are reordered, duplicated and delayed. With a merge rule that
    depends on the order, views would differ permanently.
    """
    views = []
    for _ in range(2):
        member_view = view.View("me")
        shuffled = member_records + rng.sample(
            member_records, len(member_records) // 2
        )
        rng.shuffle(shuffled)
        now = 0.0
        for record in shuffled:
            now += rng.random()
            member_view.tick(now)
            member_view.merge(now, record)
        member_view.tick(now + _AFTER_TIMERS_S)
        views.append(member_view)
    assert _versions_by_id(views[0]) == _versions_by_id(views[1])
    assert views[0].digest.root == views[1].digest.root


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS)
def test_digest_and_indexes_follow_the_records(member_records):
    """The digest and the indexes must match the records after every change.

    A digest that deviates once would differ from all others permanently.
    """
    member_view = view.View("me")
    for step, record in enumerate(member_records):
        member_view.merge(float(step), record)
        member_view.tick(float(step))
    root = 0
    for record in member_view.all_records():
        root ^= digest.record_hash(record)
        assert record in member_view.records_of(record.service)
        assert member_view.get_by_key(digest.key_of(record.agent_id)) == record
    assert member_view.digest.root == root
    # Suspect members become dead first, then records of dead ones are removed.
    member_view.tick(1e9)
    member_view.tick(2e9)
    assert len(member_view) == sum(
        record.state in member.LIVE_STATES
        for record in member_view.all_records()
    )


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS)
def test_a_listed_member_is_suspect_before_it_disappears(member_records):
    """A member must be suspect before it disappears from its service.

    Only a planned leave removes it at once. A record with the state dead that
    arrives first would otherwise remove it without a suspicion.
    """
    member_view = view.View("me")
    listed = {}
    for step, record in enumerate(member_records):
        member_view.merge(float(step) / 100, record)
        after = {
            item.agent_id: item for item in member_view.members_of("desk")
        }
        for agent_id in set(listed) - set(after):
            current = member_view.get(agent_id)
            assert current.state == member.LEFT
        listed = after


def test_a_dead_member_is_not_restored_by_an_old_record():
    """An old record that arrives late must not restore a dead member."""
    member_view = view.View("me")
    member_view.merge(0.0, _record())
    member_view.suspect(1.0, "a")
    member_view.tick(1.0 + _AFTER_TIMERS_S)
    assert member_view.get("a").state == member.DEAD
    assert not member_view.merge(40.0, _record())
    member_view.tick(defaults.DEAD_RETENTION_S)
    assert not member_view.merge(
        defaults.DEAD_RETENTION_S, _record(sequence=0)
    )
    assert member_view.members_of("desk") == []
    assert member_view.merge(7000.0, _record(sequence=2))


def test_a_pause_restarts_the_suspicion_timers():
    """A paused process must not declare members dead when it resumes.

    Their refutations may still be in its receive buffer.
    """
    member_view = view.View("me")
    member_view.merge(0.0, _record(state=member.SUSPECT))
    member_view.on_pause(100.0)
    member_view.tick(100.0)
    assert member_view.get("a").state == member.SUSPECT
    member_view.tick(108.0)
    assert member_view.get("a").state == member.DEAD


def test_a_silent_data_centre_changes_states_and_no_records():
    """A silent data centre must change states but no records.

    Otherwise its members would need a message each to become active again.
    """
    member_view = view.View("me")
    member_view.merge(0.0, _record())
    root = member_view.digest.root
    member_view.pop_changed_services()
    member_view.set_silent("d1", member.SUSPECT)
    assert member_view.members_of("desk")[0].state == member.SUSPECT
    assert member_view.pop_changed_services() == {"desk"}
    member_view.set_silent("d1", member.DEAD)
    assert member_view.members_of("desk") == []
    member_view.set_silent("d1", None)
    assert member_view.members_of("desk") == [_record()]
    assert member_view.digest.root == root


def test_a_view_of_one_service_ignores_the_others():
    """A view of one service must not keep the agents of other services.

    An agent would otherwise store and receive the members of all services.
    """
    member_view = view.View("me", "desk")
    assert not member_view.merge(0.0, attrs.evolve(_record(), service="photo"))
    assert member_view.merge(0.0, _record())


def test_records_are_encoded_in_datagrams_of_limited_size():
    """Encoded records must fit into datagrams and be decoded unchanged.

    A datagram that is too large would be lost with every attempt.
    """
    member_records = []
    for index in range(300):
        agent_id = "%064x" % (index * 7919**9)
        state = _STATES[index % len(_STATES)]
        member_records.append(_record(agent_id, 10**12 + index, index, state))
    receiver = view.View("me")
    for record in member_records:
        receiver.merge(0.0, attrs.evolve(record, sequence=0, state="active"))
    sealer = envelope.Sealer("x" * 64, 10**12, [b"k" * 16])
    read = set()
    for batch in records.batches(member_records):
        message = batch.message(config_revision=10**9)
        assert len(sealer.seal(message, 1.8e9)) <= defaults.MAX_DATAGRAM_BYTES
        decoded = messages.decode("Gossip", messages.encode(message))
        read.update(records.unpack(decoded, receiver))
    assert read == set(member_records)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=80), strategies.booleans())
def test_unreadable_records_are_rejected(data, packed):
    """Damaged records must raise MalformedMessage and no other error."""
    part = {"packed": data} if packed else {"removals": data}
    message = messages.structs.Gossip(members=[], config_revision=0, **part)
    try:
        assert list(records.unpack(message, view.View("me"))) == []
    except exceptions.MalformedMessage:
        pass


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(_RECORDS, _RECORDS)
def test_pulls_make_two_views_equal(ours, theirs):
    """Two views must be equal after each has pulled from the other.

    Anti-entropy must repair every difference that lost gossip leaves.
    """
    sides = []
    for name, member_records in (("x", ours), ("y", theirs)):
        member_view = view.View(name)
        for record in member_records:
            member_view.merge(0.0, record)
        rng = random.Random(1)
        bucket = tokens.TokenBucket()
        sides.append(antientropy.AntiEntropy(member_view, rng, bucket))
    for puller, answerer in (sides, sides[::-1]):
        hashes = answerer.view.digest.packed_buckets()
        puller.on_digest("peer", messages.structs.Digest(hashes=hashes))
        for action in puller.tick(0.0, 0):
            answerer.on_pull(0.0, "peer", action.message, 0)
        for action in answerer.tick(0.0, 0):
            for record in records.unpack(action.message, puller.view):
                puller.view.merge(0.0, record)
    for side in sides:
        side.view.tick(_AFTER_TIMERS_S)
    assert sides[0].view.digest.root == sides[1].view.digest.root


def test_recent_changes_are_found_latest_first():
    """Recent changes must be found in order, up to the limit.

    After a partition they are requested without a comparison of all records.
    """
    member_view = view.View("me")
    for step, agent_id in enumerate("abc"):
        member_view.merge(float(step), _record(agent_id))
    member_view.merge(3.0, _record("a", sequence=2))
    changed_ids = [
        record.agent_id for record in member_view.changed_since(1.0, 10)
    ]
    assert changed_ids == ["a", "c", "b"]
    assert member_view.changed_since(1.5, 1) == [_record("a", sequence=2)]


def test_a_removal_of_another_incarnation_is_ignored():
    """A removal must apply only to its own incarnation.

    A restarted member would otherwise become suspect or dead because of the
    process before. A truncated removal must be rejected.
    """
    member_view = view.View("me")
    member_view.merge(0.0, _record(incarnation=2))
    old = records.pack_removal(_record(state=member.SUSPECT))
    assert not list(records.unpack_removals(old, member_view))
    with pytest.raises(exceptions.MalformedMessage):
        list(records.unpack_removals(old[:-1], member_view))
