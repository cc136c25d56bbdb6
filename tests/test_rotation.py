"""Tests of the rotation of a data centre's balancers."""

import collections
import json
import pathlib
import statistics
import time
import tomllib
import types

import attrs
import pytest

from limpetlift.coordination import directory
from limpetlift.coordination import revisions
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.scheduling import rotation
from limpetlift.state import segmentsettings
from limpetlift.tasks import announcing
from limpetlift.tasks import segmentbalancer
from limpetlift.transport import reactor as reactors

_BIG = rotation.Capacity(100.0, 2.15)
_MIDDLE = rotation.Capacity(16.0, 0.41)
_SMALL = rotation.Capacity(5.0, 0.12)
# Balancers of one data centre.
_UNEVEN = {
    "b1": _BIG,
    "b2": _BIG,
    "m1": _MIDDLE,
    "s1": _SMALL,
    "s2": _SMALL,
    "s3": _SMALL,
}
_HOLD_S = defaults.ROTATION_HOLD_S
_STARTED_AT = 100.0


def _entries(capacities_by_id, leaving=(), data_centre="a"):
    return [
        directory.ProcessEntry(
            process_id,
            ("10.0.0.1", number),
            data_centre,
            revision=number,
            capacity=capacity,
            is_leaving=process_id in leaving,
        )
        for number, (process_id, capacity) in enumerate(
            capacities_by_id.items(), 1
        )
    ]


def _without(*process_ids):
    return {
        process_id: capacity
        for process_id, capacity in _UNEVEN.items()
        if process_id not in process_ids
    }


def _started(process_id="s1", listed=None):
    """Return the rotation of a balancer that has started long ago."""
    own = rotation.Rotation(process_id, "a", _UNEVEN[process_id])
    own.on_entries(0.0, _entries(_UNEVEN if listed is None else listed))
    return own


def _events(changes):
    return [change.event for change in changes]


def _members(capacities_by_id, known_count=0):
    choice = rotation.choose(
        capacities_by_id, max(known_count, len(capacities_by_id))
    )
    return choice.member_ids and set(choice.member_ids), choice.reason


# The choice.


def test_small_balancers_are_left_out():
    """Three small links must not get half of all uploads.

    All six bear 6 x 5 Mbit/s, the three largest 3 x 16 Mbit/s.
    """
    assert _members(_UNEVEN) == ({"b1", "b2", "m1"}, "smaller")
    choice = rotation.choose(_UNEVEN, 6)
    assert choice.gain == pytest.approx(1.6)


@pytest.mark.parametrize(
    "listed",
    [
        dict.fromkeys(("x", "y", "z"), _SMALL),
        {"b1": _BIG, "b2": _BIG} | dict.fromkeys("uvwxyz", _SMALL),
        {"x": rotation.Capacity(6.0), "y": rotation.Capacity(5.0)},
        {"x": _SMALL},
    ],
)
def test_a_small_gain_changes_nothing(listed):
    """Redundancy must not be given up for little or no capacity.

    Of two large and six small balancers, at least four have to be members.
    """
    assert _members(listed) == (None, "no_gain")


def test_the_smaller_resource_counts():
    """A fast link must not hide a processor that is too small."""
    listed = {
        "x": rotation.Capacity(100.0, 2.0),
        "y": rotation.Capacity(100.0, 0.1),
        "z": rotation.Capacity(5.0, 2.0),
    }
    choice = rotation.choose(listed, 3)
    assert rotation.relative_capacities(list(listed.values())) == [
        1.0,
        0.05,
        0.05,
    ]
    assert choice.member_ids is None


@pytest.mark.parametrize("unknown", [None, rotation.Capacity(link_mbps=100.0)])
def test_an_unknown_capacity_keeps_all_in_rotation(unknown):
    """A process of an earlier version must not be taken for a small one."""
    assert _members(_UNEVEN | {"m1": unknown}) == (None, "unknown_capacity")


def test_a_resource_that_nobody_states_is_left_out():
    """The rotation must work where the deployment states links only."""
    listed = {
        process_id: rotation.Capacity(capacity.link_mbps)
        for process_id, capacity in _UNEVEN.items()
    }
    assert _members(listed) == ({"b1", "b2", "m1"}, "smaller")


def test_members_are_half_of_all_that_the_fabric_may_know():
    """Two of six ready balancers would make the fabric use dead ones too."""
    listed = _without("m1", "s3")
    assert _members(listed)[0] == {"b1", "b2"}
    assert _members(listed, known_count=6) == (None, "no_gain")
    assert _members(_without("m1", "s2", "s3", "b2"), 6) == (
        None,
        "too_few_listed",
    )


# Joining and leaving.


def test_a_small_balancer_is_never_ready_when_it_starts():
    """Flows must not move to a restarted small balancer and back."""
    own = rotation.Rotation("s1", "a", _SMALL)
    assert own.is_in
    changes = own.on_entries(_STARTED_AT, _entries(_UNEVEN))
    assert _events(changes) == ["rotation_left"]
    assert not own.is_in


def test_a_start_of_all_leaves_no_caller_without_balancers():
    """A balancer that sees itself alone first must serve, then step back.

    The entries of others that start at the same time arrive later.
    """
    own = rotation.Rotation("s1", "a", _SMALL)
    own.on_entries(0.0, [])
    assert own.is_in
    assert _events(own.on_entries(0.5, _entries(_UNEVEN))) == [
        "rotation_leaving"
    ]
    assert not own.tick(0.6, True)
    left_at = 0.5 + defaults.ROTATION_START_HOLD_S
    assert _events(own.tick(left_at, True)) == ["rotation_left"]


def test_a_stopping_member_is_replaced_at_once():
    """Callers must not wait for a balancer that was stopped as planned."""
    own = _started()
    changes = own.on_entries(_STARTED_AT, _entries(_UNEVEN, leaving={"m1"}))
    assert _events(changes) == ["rotation_joined"]
    assert changes[0].fields["known"] == 6


def test_a_member_that_dies_is_replaced_when_its_entry_is_gone():
    """A lost member must not leave fewer than half for long."""
    own = _started()
    assert _events(own.on_entries(_STARTED_AT, _entries(_without("b1")))) == [
        "rotation_joined"
    ]


def test_a_member_that_comes_back_moves_flows_once():
    """A member that is gone for seconds must not move all flows twice more.

    This is what a rolling restart of the members looks like, too.
    """
    own = _started()
    now = _STARTED_AT
    for member in ("b1", "b2", "m1"):
        own.on_entries(now, _entries(_without(member)))
        assert own.is_in
        now += 4.0
        own.on_entries(now, _entries(_UNEVEN))
        own.tick(now + _HOLD_S - 0.1, True)
        assert own.is_in
        now += _HOLD_S - 0.1
    own.on_entries(now, _entries(_without("b1")))
    own.on_entries(now + 4.0, _entries(_UNEVEN))
    assert _events(own.tick(now + 4.0 + _HOLD_S, True)) == ["rotation_left"]


def test_a_member_stays_while_its_entry_is_within_its_lease():
    """An entry that does not change must change nothing."""
    own = _started()
    for step in range(20):
        assert not own.on_entries(_STARTED_AT + step, _entries(_UNEVEN))
    assert not own.is_in


def test_added_balancers_change_the_rotation():
    """New large balancers must relieve the small ones, without a restart."""
    own = _started("m1", listed=_without("b1", "b2"))
    assert own.is_in
    added = _UNEVEN | {"b3": _BIG, "b4": _BIG, "b5": _BIG}
    assert _events(own.on_entries(_STARTED_AT, _entries(added))) == [
        "rotation_leaving"
    ]
    own.tick(_STARTED_AT + _HOLD_S, True)
    assert not own.is_in


def test_the_decision_stays_while_the_store_is_away():
    """A balancer must not leave by entries that nobody confirms."""
    own = _started()
    own.on_entries(_STARTED_AT, _entries(_without("b1")))
    own.on_entries(_STARTED_AT + 1.0, _entries(_UNEVEN))
    now = _STARTED_AT + 1.0 + 10 * _HOLD_S
    assert not own.tick(now, False)
    assert own.is_in
    assert not own.tick(now + _HOLD_S - 0.1, True)
    assert _events(own.tick(now + _HOLD_S, True)) == ["rotation_left"]


def test_a_balancer_without_a_directory_is_in_rotation():
    """A start during an outage of the store must be as before."""
    own = rotation.Rotation("s1", "a", _SMALL)
    assert not own.tick(1000.0, True)
    assert own.is_in


def test_a_pause_starts_the_time_to_leaving_anew():
    """Entries of before a pause are no proof of the time meanwhile."""
    own = _started()
    own.on_entries(_STARTED_AT, _entries(_without("b1")))
    own.on_entries(_STARTED_AT + 1.0, _entries(_UNEVEN))
    own.on_pause(_STARTED_AT + _HOLD_S)
    assert not own.tick(_STARTED_AT + _HOLD_S + 1.0, True)
    assert own.is_in


def test_a_balancer_that_is_gone_for_long_is_forgotten():
    """A data centre that was made smaller must get its rotation again."""
    own = _started("s1")
    own.on_entries(_STARTED_AT, _entries(_without("m1", "s3")))
    assert own.is_in
    forgotten_at = defaults.ROTATION_MEMORY_S + 0.1
    assert _events(own.tick(forgotten_at, True)) == ["rotation_leaving"]
    assert own.member_count == 2


def test_balancers_with_different_views_leave_enough_members():
    """An entry that one balancer reads later must leave half of them ready."""
    views = [_UNEVEN, _without("b1"), _without("m1")]
    for view in views:
        for other_view in views:
            ready = 0
            for index, process_id in enumerate(_UNEVEN):
                own = _started(process_id)
                listed = view if index % 2 else other_view
                own.on_entries(_STARTED_AT, _entries(listed))
                own.tick(_STARTED_AT + _HOLD_S, True)
                ready += own.is_in
            assert ready >= 3


def test_other_data_centres_do_not_count():
    """Large balancers elsewhere get no flow of this data centre."""
    own = rotation.Rotation("s1", "a", _SMALL)
    own.on_entries(
        _STARTED_AT,
        _entries({"b1": _BIG, "b2": _BIG}, data_centre="b")
        + _entries({"s1": _SMALL}),
    )
    assert own.is_in and own.member_count == 1


# Entries and settings.


def test_an_entry_without_a_capacity_looks_as_before():
    """Processes of earlier versions compare and decode these bytes."""
    entry = directory.ProcessEntry("x", ("10.0.0.1", 80), "a")
    assert json.loads(entry.encode()) == {
        "address": "10.0.0.1:80",
        "data_centre": "a",
        "service": "",
    }
    assert directory.decode_entry("x", entry.encode()) == entry


def test_an_entry_carries_its_capacity():
    """Other balancers must decide by the same capacity."""
    for entry in _entries(_UNEVEN, leaving={"s1"}):
        assert (
            directory.decode_entry(entry.process_id, entry.encode()) == entry
        )


@pytest.mark.parametrize(
    "capacity",
    [
        7,
        [],
        {},
        {"link_mbps": "fast"},
        {"link_mbps": -5},
        {"link_mbps": 0, "cores": True},
        {"link_mbps": 1e300},
        {"link_mbps": 10**400},
        {"cores": None},
    ],
)
def test_an_invalid_capacity_counts_as_unknown(capacity):
    """A balancer must stay known as a keeper of records all the same."""
    fields = {"address": "10.0.0.1:80", "data_centre": "a", "service": ""}
    value = json.dumps(fields | {"capacity": capacity})
    assert directory.decode_entry("x", value).capacity is None


def _settings(**environment):
    text = (
        'id = "a"\ndata_centre = "b"\nip = "10.0.0.1"\n'
        'segments = "10.0.0.1:1"\nprobes = "10.0.0.1:2"\n'
        'store = "10.0.0.2:3"\npeer_port = 4\n'
    )
    return segmentsettings.decode(text.encode(), environment)


def test_the_environment_gives_the_capacity():
    """The deploy file passes the limits on; any of them may be empty."""
    path = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"
    role = tomllib.loads(path.read_text("utf-8"))["roles"]["balancer"]
    assert set(role["env"]) == {
        "LINK_MBPS",
        "CPU_SHARE",
        "CPU_CORES",
        "PLACING_POLICY",
        "WARMUP_OVERAGE",
        "WARMUP_SLACK",
    }
    settings = _settings(LINK_MBPS="5", CPU_SHARE="0.5", CPU_CORES="3")
    assert settings.capacity == rotation.Capacity(5.0, 1.5)
    settings = _settings(LINK_MBPS="", CPU_SHARE="0.5", CPU_CORES="")
    assert settings.capacity is None and not settings.invalid_limits
    assert _settings(LINK_MBPS="5").capacity == rotation.Capacity(5.0)


@pytest.mark.parametrize("value", ["x", "-1", "0", "nan", "inf", "1e99"])
def test_an_invalid_limit_does_not_stop_the_start(value):
    """A balancer must serve although one of its limits is invalid."""
    settings = _settings(LINK_MBPS=value, CPU_SHARE="0.5", CPU_CORES="2")
    assert settings.capacity == rotation.Capacity(None, 1.0)
    assert settings.invalid_limits == ("link_mbps is %r" % value,)


class _Store:
    """Holds one entry; a write takes until the next turn of the loop."""

    def __init__(self):
        self.values = []
        self.on_write = None

    async def grant(self, _ttl_s):
        return 1

    async def compare_and_swap(self, _key, revision, value, _lease):
        assert revision == len(self.values)
        if self.on_write is not None:
            self.on_write()
        self.values.append(value)
        return len(self.values)


def test_an_entry_that_is_replaced_during_a_write_is_written_again():
    """A balancer that stops while it registers must be seen to leave."""
    reactor = reactors.Reactor()
    store = _Store()
    announcer = announcing.Announcer(reactor, store, "k", b"1", None, 6.0)

    def replace():
        store.on_write = None
        announcer.replace(b"2")

    store.on_write = replace
    reactor.spawn(announcer.run())
    announcer.replace(b"3")
    reactor.close()
    assert store.values == [b"1", b"2", b"3"]


def _process(own):
    """Return a balancer process that could serve callers."""
    process = object.__new__(segmentbalancer.SegmentBalancer)
    process.is_stopping = False
    process.counts_by_event = collections.Counter()
    process._rotation = own
    process._has_directory = True
    process.decisions = types.SimpleNamespace(
        routes=types.SimpleNamespace(version=1),
        evacuations=types.SimpleNamespace(is_known=True),
        agents=types.SimpleNamespace(is_connected=lambda _now: True),
    )
    return process


def test_a_balancer_outside_of_the_rotation_is_not_ready():
    """The fabric must be told, or the decision would have no effect."""
    own = _started()
    process = _process(own)
    assert not process.is_ready()
    process._log_rotation(
        own.on_entries(_STARTED_AT, _entries(_without("b1")))
    )
    assert process.is_ready()
    assert process.counts_by_event["rotation_joined"] == 1


# Load.


def test_a_decision_is_cheap_for_a_large_data_centre():
    """A change of any entry must not delay segments for long.

    With 1,800 balancers in three data centres, 600 entries decide. The
    readiness probe and the tick between changes take no computation.
    """
    capacities_by_id = {
        "x%d" % number: (_BIG, _MIDDLE, _SMALL)[number % 3]
        for number in range(600)
    }
    entries = _entries(capacities_by_id)
    own = rotation.Rotation("x2", "a", _SMALL)
    own.on_entries(0.0, entries)
    ticks = []
    for step in range(1, 200):
        started_at = time.perf_counter()
        own.tick(step / 10, True)
        ticks.append(time.perf_counter() - started_at)
    assert statistics.median(ticks) < 0.00005
    started_at = time.perf_counter()
    own.on_entries(30.0, entries)
    assert time.perf_counter() - started_at < 0.05


def test_settings_errors_are_still_reported():
    """A limit that is accepted must not hide an invalid setting."""
    with pytest.raises(exceptions.SettingsError):
        _settings(LINK_MBPS="x", ADDRESS_REUSE_S="x")


def test_changes_name_their_inputs():
    """An operator must see by which facts a balancer left the rotation."""
    own = _started()
    own.on_entries(_STARTED_AT, _entries(_without("b1")))
    (change,) = own.on_entries(_STARTED_AT + 1.0, _entries(_UNEVEN))
    assert change == attrs.evolve(change, event="rotation_leaving")
    assert change.fields == {
        "reason": "smaller",
        "members": 3,
        "listed": 6,
        "known": 6,
        "gain": 1.6,
        "excluded_s": 0.0,
        "link_mbps": 5.0,
        "cores": 0.12,
        "revision": 6,
    }


def test_entries_of_two_eras_are_compared_by_capacity_only():
    """Entries from before the store came back may be kept for some seconds.

    Comparing their revisions with those of the new era would raise.
    """
    own = rotation.Rotation("b1", "a", rotation.Capacity(100.0))
    entries = [
        directory.ProcessEntry(
            "b%d" % number,
            ("10.0.0.%d" % number, 70),
            "a",
            revision=revisions.Revision(number, 50 - number),
            capacity=rotation.Capacity(100.0),
        )
        for number in (1, 2)
    ]
    assert not own.on_entries(0.0, entries)
    assert own.is_in and own.member_count == 2
