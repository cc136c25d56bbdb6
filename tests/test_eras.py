"""A store that comes back from an older copy, in a new era."""

import functools
import random
import statistics
import time

import attrs
import platformstandin
import pytest
import segmentkit as kit

from limpetlift import clock
from limpetlift.coordination import directory
from limpetlift.coordination import entries
from limpetlift.coordination import eras
from limpetlift.coordination import revisions
from limpetlift.coordination import watching
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.platform import store
from limpetlift.protocol import tunnel
from limpetlift.state import steering
from limpetlift.tasks import announcing
from limpetlift.tasks import following
from limpetlift.transport import reactor as reactors

_GRACE_S = defaults.LAPSED_ENTRY_GRACE_S
_OWN = ("10.2.0.1", 70)
_COPY_AGES_S = (1.0, 3.0, 10.0)


def _at(era, number):
    return revisions.Revision(era, number)


# Revisions.


@pytest.mark.parametrize(
    "compare",
    [
        lambda a, b: a == b,
        lambda a, b: a != b,
        lambda a, b: a < b,
        lambda a, b: a <= b,
        lambda a, b: a > b,
        lambda a, b: a >= b,
        max,
    ],
)
def test_revisions_of_two_eras_are_not_compared(compare):
    """A revision that is issued again would pass for an earlier write."""
    with pytest.raises(exceptions.EraMismatch):
        compare(_at(1, 5), _at(2, 5))
    compare(_at(2, 4), _at(2, 5))


def test_a_revision_is_not_compared_with_a_number():
    """A number without an era is most likely a mistake of the caller."""
    with pytest.raises(TypeError):
        assert _at(0, 5) < 6
    with pytest.raises(TypeError):
        hash(_at(0, 5))
    assert revisions.of(5) == _at(0, 5)
    assert not _at(3, 0) and _at(3, 1)


def test_the_later_one_of_two_writes_is_of_the_later_era():
    """Two writes with one key or address must have an order."""
    assert revisions.is_later_write(_at(2, 1), _at(1, 9))
    assert not revisions.is_later_write(_at(1, 9), _at(2, 1))
    assert not revisions.is_later_in_era(_at(2, 1), _at(1, 0))
    assert revisions.is_later_in_era(_at(2, 2), _at(2, 1))


# The era in force.


def test_a_higher_era_is_new_and_the_first_one_is_not():
    """A process that starts must not handle the present era as a change."""
    tracker = eras.EraTracker()
    first = tracker.on_answer("3")
    assert (first.era, first.is_new) == (3, False)
    assert first.event == "store_era_known"
    assert tracker.on_answer("3") == eras.Finding(3)
    finding = tracker.on_answer("5")
    assert finding.is_new and finding.event == "store_era_raised"
    assert finding.fields == {"era": 5, "in_force": 3, "source": "answer"}


@pytest.mark.parametrize("text", ["2", "0", None])
def test_a_falling_era_is_ignored_with_its_answer(text):
    """A proxy may answer from both eras for a moment.

    An answer without the header is of era 0. It is logged once.
    """
    tracker = eras.EraTracker()
    tracker.on_answer("3")
    finding = tracker.on_answer(text)
    assert finding.is_outdated and finding.event == "store_era_decreased"
    assert tracker.era == 3
    again = tracker.on_answer(text)
    assert again.is_outdated and not again.event
    assert not tracker.on_answer("3").is_outdated
    assert tracker.on_answer(text).event


@pytest.mark.parametrize(
    "text", ["", "x", "-4", "+4", "4.0", "1_0", "\u0664", "9" * 17]
)
def test_an_era_that_is_no_number_leaves_the_last_one_in_force(text):
    """A header that cannot be read must not make the answer useless."""
    tracker = eras.EraTracker()
    tracker.on_answer("3")
    finding = tracker.on_answer(text)
    assert (finding.era, finding.is_outdated) == (3, False)
    assert finding.event == "store_era_invalid"
    assert not tracker.on_answer(text).event
    tracker = eras.EraTracker()
    assert tracker.on_answer(text).era == 0
    assert tracker.on_answer("2").is_new


def test_a_store_without_eras_is_in_era_0():
    """A deployment whose store never has the header must not change."""
    tracker = eras.EraTracker()
    assert tracker.on_answer(None).era == 0
    assert tracker.on_answer(None) == eras.Finding(0)


# The client of the store.


@pytest.fixture(name="reactor")
def _reactor():
    reactor = reactors.Reactor()
    yield reactor
    reactor.close()


@pytest.fixture(name="standin")
def _standin(reactor):
    standin = platformstandin.StoreStandIn(reactor)
    standin.era = "3"
    standin.keep_copy()
    yield standin
    standin.close()


def _run(reactor, coroutine):
    outcome = []

    async def run():
        try:
            outcome.append((await coroutine, None))
        except exceptions.LimpetliftError as error:
            outcome.append((None, error))
        reactor.stop()

    reactor.spawn(run())
    if not outcome:
        reactor.run()
    ((value, error),) = outcome
    if error is not None:
        raise error
    return value


_run_until = functools.partial(platformstandin.run_until, timeout_s=6.0)


def _client(reactor, standin):
    """Return a client, and the findings that it has told of so far."""
    client = store.PlatformStore(reactor, standin.address)
    findings = []
    client.watch_era(findings.append)
    return client, findings


def test_a_former_revision_is_not_used_in_a_new_era(reactor, standin):
    """A watch and a precondition must not name a revision that is void.

    The number may be that of another write by now, and a watch would miss
    changes. A precondition of the former era is not sent.
    """
    client, findings = _client(reactor, standin)
    standin.put("x/1", b"one")
    _, revision = _run(reactor, client.get_prefix("x/"))
    assert (revision.era, revision.number) == (3, standin.revision)
    standin.restore(0.0)
    with pytest.raises(exceptions.StoreUnavailable) as raised:
        _run(reactor, client.changes("x/", revision, 0.0))
    assert raised.value.code == "era_changed"
    assert [f.event for f in findings] == [
        "store_era_known",
        "store_era_raised",
    ]
    calls = len(standin.calls)
    for call in (
        client.changes("x/", revision, 0.0),
        client.compare_and_swap("x/1", revision, b"two"),
        client.remove("x/1", revision),
    ):
        with pytest.raises(exceptions.StoreUnavailable) as raised:
            _run(reactor, call)
        assert raised.value.code == "era_changed"
    assert len(standin.calls) == calls
    _run(reactor, client.compare_and_swap("x/1", 0, b"two"))
    assert _run(reactor, client.get("x/1")).mod_revision.era == 4


def test_a_watch_of_a_revision_that_was_lost_is_read_anew(reactor, standin):
    """Status 410 in a new era must not count as an outage."""
    client, _ = _client(reactor, standin)
    for number in range(5):
        standin.put("x/%d" % number, b"v")
    _, revision = _run(reactor, client.get_prefix("x/"))
    standin.restore(0.0)
    assert standin.revision < revision.number
    with pytest.raises(exceptions.StoreUnavailable) as raised:
        _run(reactor, client.changes("x/", revision, 0.0))
    assert raised.value.code == "era_changed"


@pytest.mark.parametrize("text", ["2", None])
def test_an_answer_of_a_former_era_is_no_answer(reactor, standin, text):
    """A list of a proxy that is behind must not be taken for the store's.

    A write that it acknowledges may not be in the store.
    """
    client, _ = _client(reactor, standin)
    _run(reactor, client.get_prefix("x/"))
    standin.era = text
    with pytest.raises(exceptions.StoreUnavailable):
        _run(reactor, client.get_prefix("x/"))
    with pytest.raises(exceptions.StoreOutcomeUnknown):
        _run(reactor, client.compare_and_swap("x/1", 0, b"one"))
    standin.era = "3"
    assert _run(reactor, client.get("x/1")).value == b"one"


def test_an_invalid_era_does_not_stop_the_client(reactor, standin):
    """The last valid era stays in force, and nothing else is lost."""
    client, findings = _client(reactor, standin)
    _run(reactor, client.get_prefix("x/"))
    standin.era = "soon"
    revision = _run(reactor, client.compare_and_swap("x/1", 0, b"one"))
    assert revision.era == 3
    assert findings[-1].event == "store_era_invalid"


def test_pages_of_two_eras_are_not_joined(reactor, standin):
    """A list that began before the change would lack what is in neither."""
    client, _ = _client(reactor, standin)
    for number in range(3):
        standin.put("x/%d" % number, b"v")
    standin.keep_copy()
    standin.page_size = 2
    answer = standin._range

    def answer_and_restore(query):
        result = answer(query)
        standin._range = answer
        reactor.call_at(clock.now(), lambda: standin.restore(0.0))
        return result

    standin._range = answer_and_restore
    with pytest.raises(exceptions.StoreUnavailable) as raised:
        _run(reactor, client.get_prefix("x/"))
    assert raised.value.code == "era_changed"
    found, revision = _run(reactor, client.get_prefix("x/"))
    assert (len(found), revision.era) == (3, 4)


def test_a_refusal_without_the_header_tells_nothing(reactor, standin):
    """Something before the store may answer in its place during an outage."""
    client, findings = _client(reactor, standin)
    _run(reactor, client.get_prefix("x/"))
    standin.era, standin.status = None, 503
    with pytest.raises(exceptions.StoreUnavailable):
        _run(reactor, client.get_prefix("x/"))
    assert len(findings) == 1


# Messages between balancers.


def test_changes_without_an_era_are_those_of_earlier_versions():
    """Balancers of two versions must understand each other before an era."""
    changes = [tunnel.KeyChange("x/1", b"v", 7)]
    message = tunnel.StoreChanges(1, 6, 7, changes)
    assert message.encode()[1] == tunnel.STORE_CHANGES
    assert tunnel.decode(message.encode()) == message
    message = tunnel.StoreChanges(1, 6, 7, changes, 4)
    # An earlier version rejects the kind, so that it compares no revisions.
    assert message.encode()[1] == tunnel.ERA_CHANGES
    assert tunnel.decode(message.encode()) == message


def test_a_malformed_era_in_a_message_is_rejected():
    """A truncated message must not pass for one of another era."""
    data = tunnel.StoreChanges(1, 6, 7, [], 4).encode()
    for malformed in (data[:2] + bytes(8) + data[10:], data[:9], data[:14]):
        with pytest.raises(exceptions.MalformedMessage):
            tunnel.decode(malformed)


def _watch(revision, is_watcher=False):
    watch = watching.Watch(1, _OWN)
    watch.role = watching.Role(is_watcher)
    watch.on_read(0.0, 0.0, None, revision)
    return watch


def test_a_message_of_a_later_era_makes_a_balancer_read_anew():
    """Changes after a revision of another era are not all changes."""
    watch = _watch(_at(3, 7))
    message = tunnel.StoreChanges(
        1, 5, 7, [tunnel.KeyChange("x/1", b"v", 7)], 4
    )
    assert watch.on_message(1.0, message) == []
    assert watch.revision is None and watch.call_at <= 1.0
    # Until it has read, changes of the new era are of no use.
    assert watch.on_message(1.1, message) == []
    watch.on_read(1.2, 1.15, None, _at(4, 6))
    (change,) = watch.on_message(
        1.3,
        tunnel.StoreChanges(1, 6, 7, [tunnel.KeyChange("x/1", b"v", 7)], 4),
    )
    assert change.revision == _at(4, 7)


def test_a_message_of_a_former_era_is_ignored():
    """It must neither confirm what is known nor raise the revision."""
    watch = _watch(_at(4, 7))
    call_at = watch.call_at
    message = tunnel.StoreChanges(
        1, 7, 9, [tunnel.KeyChange("x/1", b"v", 9)], 3
    )
    assert watch.on_message(1.0, message) == []
    assert watch.revision == _at(4, 7) and watch.call_at == call_at


def test_an_answer_of_a_former_era_is_ignored():
    """A call that hung through the change answers after the new list."""
    watch = _watch(_at(3, 7), is_watcher=True)
    watch.on_era(4, 1.0)
    watch.on_read(1.1, 1.0, None, _at(4, 5))
    change = entries.Change("x/1", None, _at(3, 8))
    assert watch.on_read(1.2, 0.5, _at(3, 7), _at(3, 8), [change]) == ([], [])
    assert watch.revision == _at(4, 5)
    # Changes of the new era after a revision of the former one.
    change = entries.Change("x/1", None, _at(4, 8))
    assert watch.on_read(1.3, 0.5, _at(3, 7), _at(4, 8), [change]) == ([], [])
    assert watch.revision is None


class _HangingStore:
    """A store whose watch hangs until the test ends it."""

    def __init__(self):
        self.reads = 0
        self.hanging = None

    async def get_prefix(self, _prefix):
        self.reads += 1
        return [], _at(2 + self.reads, 5)

    async def changes(self, _prefix, revision, _wait_s):
        self.hanging = reactors.Future()
        await self.hanging
        return [entries.Change("x/1", None, _at(3, 6))], _at(3, 6)


def test_a_watch_that_hangs_does_not_delay_the_next_read(reactor):
    """A watch on a dead connection hangs for up to 2.7 s.

    Its late answer, of the former era, must change nothing.
    """
    hanging_store = _HangingStore()
    watch = watching.Watch(1, _OWN)
    snapshots, changes = [], []
    follower = following.Follower(
        reactor,
        hanging_store,
        "x/",
        watch,
        random.Random(1),
        lambda found, revision: snapshots.append(revision),
        changes.extend,
        lambda: None,
        lambda messages, addresses: None,
        clock.now,
    )
    reactor.spawn(follower.run())
    _run_until(reactor, lambda: hanging_store.hanging is not None)
    began_at = clock.now()
    follower.on_era(4)
    _run_until(reactor, lambda: len(snapshots) == 2)
    assert clock.now() - began_at < 0.5
    assert watch.revision == _at(4, 5)
    hanging, hanging_store.hanging = hanging_store.hanging, None
    hanging.set_value()
    _run_until(reactor, lambda: hanging_store.hanging is not None)
    assert not changes and watch.revision == _at(4, 5)


# The directory, and what balancers decide by it.


def _entry(agent, revision):
    return entries.Entry(
        directory.AGENTS_PREFIX + agent.process_id, agent.encode(), revision
    )


class _FakeStore:
    """The entries of a store with copies, on virtual time."""

    def __init__(self):
        self.era = 3
        self.number = 10
        self._entries_by_id = {}
        self._copies = []

    def write(self, now, agent):
        """Write an agent's entry; keep a copy of what was before it."""
        self._copies.append((now, self.number, dict(self._entries_by_id)))
        self.number += 1
        self._entries_by_id[agent.process_id] = _entry(
            agent, _at(self.era, self.number)
        )

    def remove(self, now, agent):
        """Remove an agent's entry; keep a copy of what was before it."""
        self._copies.append((now, self.number, dict(self._entries_by_id)))
        self.number += 1
        del self._entries_by_id[agent.process_id]

    def restore(self, now, age_s):
        """Come back with what was there ``age_s`` seconds ago."""
        self.era += 1
        for at, number, entries_by_id in self._copies:
            if at > now - age_s:
                self.number = number
                self._entries_by_id = entries_by_id
                break
        self._entries_by_id = {
            process_id: attrs.evolve(
                entry, mod_revision=_at(self.era, entry.mod_revision.number)
            )
            for process_id, entry in self._entries_by_id.items()
        }

    def list(self):
        """Return a list of all entries and its revision."""
        mark = entries.Entry(directory.ERA_KEY, b"%d" % 3, _at(self.era, 1))
        found = [mark, *self._entries_by_id.values()]
        return found, _at(self.era, self.number)


class _Balancer:
    """The directory and the decisions of a balancer, on virtual time."""

    def __init__(self, fake_store, now):
        self.directory = directory.Directory()
        self.steering = steering.FlowSteering(
            kit.balancer(9).address, "a", kit.decode, random.Random(1)
        )
        self.steering.on_routes(now, kit.routes())
        self._store = fake_store
        self._number = 0
        self.read(now)

    def read(self, now):
        """Read a list of the store; return the steps."""
        self.directory.on_snapshot(now, *self._store.list())
        return self.update(now)

    def update(self, now):
        """Expire entries and pass on what is known; return the steps."""
        self.directory.expire(
            now,
            lambda entry: self.steering.agents.is_reporting(
                now, entry.address
            ),
        )
        return self.steering.on_entries(
            now,
            self.directory.agents(),
            [],
            self.directory.unlisted(),
            self.directory.unproven_until,
        )

    def hear(self, now, agent):
        """Receive a load report of an agent."""
        self._number += 1
        return self.steering.on_message(
            now, agent.address, kit.load(self._number, agent.service)
        )

    def is_proved(self, now, port, *agents):
        """Whether a flow that some agents deny is reset."""
        result = self.steering.on_segment(
            now, kit.caller_segment(port, kit.ACK, ack=5)
        )
        for agent in agents:
            result += self.steering.on_message(
                now, agent.address, tunnel.NotHeld(kit.key_of(port))
            )
        result += self.steering.on_directory_read(now + 0.002, now + 0.001)
        return bool(kit.resets(result))

    @property
    def agent_ids(self):
        return sorted(
            agent.entry.process_id
            for agent in self.steering.agents.by_address.values()
        )


@pytest.mark.parametrize("age_s", _COPY_AGES_S)
def test_an_agent_that_the_copy_lacks_stays_known(age_s):
    """No open flow may be reset because its agent's entry was lost.

    The agent registered half the copy's age ago and reports.
    """
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    fake_store.write(100.0 - age_s / 2, kit.agent(2))
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, age_s)
    balancer.directory.on_era(4)
    # Before the first list of the era.
    balancer.update(100.1)
    assert not balancer.is_proved(100.1, 1, kit.agent(1), kit.agent(2))
    balancer.read(100.3)
    for number in range(40):
        now = 100.3 + number / 10
        balancer.hear(now, kit.agent(2))
        balancer.update(now)
        balancer.steering.tick(now)
        assert balancer.agent_ids == ["agent-1", "agent-2"]
    assert balancer.directory.unlisted() == {"agent-2"}
    fake_store.write(104.5, kit.agent(2))
    balancer.read(104.5)
    assert not balancer.directory.unlisted()


def test_nothing_is_proved_until_entries_are_back():
    """An agent that nobody knows may write its entry again within 2 s."""
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    balancer = _Balancer(fake_store, 100.0)
    assert balancer.is_proved(100.1, 1, kit.agent(1))
    fake_store.restore(100.2, 1.0)
    balancer.directory.on_era(4)
    balancer.update(100.2)
    assert not balancer.is_proved(100.25, 2, kit.agent(1))
    balancer.read(100.3)
    balancer.steering.tick(100.3 + _GRACE_S - 0.01)
    assert not balancer.is_proved(100.25 + _GRACE_S, 3, kit.agent(1))
    balancer.steering.tick(100.3 + _GRACE_S)
    assert balancer.is_proved(100.4 + _GRACE_S, 4, kit.agent(1))


@pytest.mark.parametrize("has_seen_change", [True, False])
def test_a_balancer_that_starts_during_the_change_waits(has_seen_change):
    """It has no list of the former era, but an answer or a message of it.

    One that has only seen the new era, in which entries had time to come
    back, proves at once, as on a calm day.
    """
    mark = entries.Entry(directory.ERA_KEY, b"4", _at(4, 4))
    agents_directory = directory.Directory()
    if has_seen_change:
        agents_directory.on_era(4)
    agents_directory.on_snapshot(
        10.0, [_entry(kit.agent(1), _at(4, 5)), mark], _at(4, 5)
    )
    wait_until = 10.0 + _GRACE_S if has_seen_change else float("-inf")
    assert agents_directory.unproven_until == wait_until
    assert agents_directory.agents() == [kit.agent(1)]


# Guards against resets by a balancer that started 0.01 s after the store was
# back, and whose list lacked nearly all agents and the other balancer.
@pytest.mark.parametrize("mark", [None, b"3", b"x", b""])
def test_a_balancer_that_starts_right_after_the_change_waits(mark):
    """It saw no failed call, and nobody is left whom it could ask.

    The copy has no mark of this era. After the wait the era is marked.
    """
    listed = [_entry(kit.agent(1), _at(4, 5))]
    if mark is not None:
        listed.append(entries.Entry(directory.ERA_KEY, mark, _at(4, 3)))
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(10.0, listed, _at(4, 5))
    settled_at = 10.0 + _GRACE_S
    assert agents_directory.unproven_until == settled_at
    assert not agents_directory.unreadable_by_key
    assert agents_directory.missing_mark(settled_at - 0.1) is None
    revision, value = agents_directory.missing_mark(settled_at)
    assert value == b"4" and revision == (0 if mark is None else _at(4, 3))
    written = entries.Entry(directory.ERA_KEY, value, _at(4, 6))
    agents_directory.on_changes(
        13.0, [entries.Change(directory.ERA_KEY, written, _at(4, 6))]
    )
    assert agents_directory.missing_mark(13.0) is None


def test_a_store_without_eras_is_not_marked():
    """Its deployments must neither wait nor write."""
    agents_directory = directory.Directory()
    agents_directory.on_snapshot(10.0, [_entry(kit.agent(1), 5)], 5)
    assert agents_directory.unproven_until == float("-inf")
    assert agents_directory.missing_mark(20.0) is None


def test_an_entry_that_stays_missing_is_gone():
    """A dead agent must not keep callers of its flows from their proof."""
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    fake_store.write(99.5, kit.agent(2))
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, 1.0)
    balancer.read(100.1)
    assert not balancer.is_proved(100.2, 1, kit.agent(1))
    balancer.update(100.2 + _GRACE_S)
    balancer.steering.tick(100.2 + _GRACE_S)
    assert balancer.agent_ids == ["agent-1"]
    assert balancer.is_proved(100.3 + _GRACE_S, 2, kit.agent(1))


@pytest.mark.parametrize("ages_s", [(1.0, 3.0), (10.0, 1.0), (3.0, 3.0)])
def test_a_second_era_begins_the_wait_anew(ages_s):
    """The store may come back twice before the entries are back."""
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    fake_store.write(99.5, kit.agent(2))
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, ages_s[0])
    balancer.read(100.1)
    fake_store.write(100.9, kit.agent(2))
    balancer.read(101.0)
    fake_store.restore(101.5, ages_s[1])
    balancer.read(101.6)
    balancer.steering.tick(100.2 + _GRACE_S)
    assert not balancer.is_proved(100.3 + _GRACE_S, 1, kit.agent(1))
    assert balancer.agent_ids == ["agent-1", "agent-2"]
    balancer.update(101.7 + _GRACE_S)
    balancer.steering.tick(101.7 + _GRACE_S)
    assert balancer.steering.searches.are_agents_known


def test_a_list_of_a_former_era_is_ignored():
    """A list that was read before the change may arrive after it."""
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    former = fake_store.list()
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, 1.0)
    fake_store.write(100.1, kit.agent(2))
    balancer.read(100.2)
    assert not balancer.directory.on_snapshot(100.3, *former)
    balancer.directory.on_changes(
        100.4, [entries.Change(directory.AGENTS_PREFIX + "agent-2", None, 99)]
    )
    assert balancer.directory.is_listed(directory.AGENTS_PREFIX + "agent-2")
    # A precondition for the removal of an entry is of this era.
    key = directory.AGENTS_PREFIX + "agent-1"
    assert balancer.directory.revision(key) == _at(4, 11)


@pytest.mark.parametrize("age_s", _COPY_AGES_S)
def test_a_replaced_address_does_not_go_back_to_its_former_agent(age_s):
    """No flow may go to an agent of another service that is not there.

    The copy has the former agent of an address, and lacks the present one,
    which writes its entry again.
    """
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1, "photos"))
    former = kit.agent(1, "photos")
    present = attrs.evolve(kit.agent(1, "desk"), process_id="agent-7")
    changed_at = 100.0 - age_s / 2
    fake_store.remove(changed_at, former)
    fake_store.write(changed_at, present)
    balancer = _Balancer(fake_store, 100.0)
    balancer.hear(100.0, present)
    fake_store.restore(100.0, age_s)
    balancer.read(100.1)
    assert balancer.agent_ids == ["agent-7"]
    balancer.hear(101.0, present)
    balancer.read(101.0)
    assert balancer.agent_ids == ["agent-7"]
    fake_store.write(101.5, present)
    balancer.read(101.6)
    balancer.hear(102.0, present)
    balancer.update(101.7 + _GRACE_S)
    assert balancer.agent_ids == ["agent-7"]
    assert balancer.steering.agents.of_services(["photos"]) == []


def test_a_replaced_address_stays_so_when_two_eras_follow():
    """The second era begins before the grace time of the first has ended."""
    fake_store = _FakeStore()
    former = kit.agent(1, "photos")
    present = attrs.evolve(kit.agent(1, "desk"), process_id="agent-7")
    fake_store.write(0.0, former)
    fake_store.remove(99.5, former)
    fake_store.write(99.5, present)
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, 1.0)
    balancer.read(100.1)
    fake_store.restore(101.0, 0.1)
    balancer.directory.on_era(5)
    balancer.update(101.1)
    assert balancer.agent_ids == ["agent-7"]
    balancer.read(101.2)
    assert balancer.agent_ids == ["agent-7"]
    balancer.update(101.3 + _GRACE_S)
    assert balancer.agent_ids == ["agent-1"]


def test_an_entry_that_lapsed_before_is_kept_through_a_new_era():
    """What was known as lapsed in an outage may have been back in the store.

    It is lost again with the copy, so its grace time begins anew.
    """
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    fake_store.write(0.0, kit.agent(2))
    balancer = _Balancer(fake_store, 100.0)
    balancer.directory.on_unreachable()
    fake_store.remove(100.5, kit.agent(2))
    balancer.read(101.0)
    balancer.directory.on_era(4)
    balancer.update(101.5 + _GRACE_S)
    assert balancer.agent_ids == ["agent-1", "agent-2"]
    fake_store.restore(103.0, 0.5)
    balancer.read(104.0)
    balancer.update(103.9 + _GRACE_S)
    assert balancer.agent_ids == ["agent-1", "agent-2"]
    balancer.update(104.1 + _GRACE_S)
    assert balancer.agent_ids == ["agent-1"]


def test_an_older_entry_of_a_process_waits_for_the_known_one():
    """The copy may have a process with the address that it had before.

    The older entry takes effect if the process does not report in time.
    """
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    moved = attrs.evolve(kit.agent(2), process_id="agent-1")
    fake_store.write(99.5, moved)
    balancer = _Balancer(fake_store, 100.0)
    fake_store.restore(100.0, 1.0)
    for now in (100.1, 100.5):
        balancer.read(now)
        assert balancer.directory.agents() == [moved]
        assert balancer.directory.unlisted() == {"agent-1"}
    balancer.update(100.2 + _GRACE_S)
    assert balancer.directory.agents() == [kit.agent(1)]
    assert not balancer.directory.unlisted()


def test_an_agent_that_has_left_does_not_return_by_its_older_entry():
    """The copy may have the entry of an agent that ended since.

    Taken for a later process, it would get new flows.
    """
    fake_store = _FakeStore()
    fake_store.write(0.0, kit.agent(1))
    fake_store.write(0.0, kit.agent(2))
    balancer = _Balancer(fake_store, 100.0)
    balancer.hear(100.0, kit.agent(2))
    balancer.steering.on_message(
        100.0, kit.agent(2).address, tunnel.AgentLeft()
    )
    fake_store.remove(100.0, kit.agent(2))
    balancer.read(100.1)
    fake_store.restore(100.2, 1.0)
    result = balancer.read(100.3)
    assert not kit.log_fields(result, "agent_returned")
    assert balancer.steering.agents.by_address[kit.agent(2).address].has_left
    # A process that registers in the new era is a later one.
    fake_store.write(101.0, kit.agent(2))
    assert kit.log_fields(balancer.read(101.0), "agent_returned")


def test_a_draining_agent_stays_known_as_such():
    """What an agent said of itself must outlast its entry."""
    fake_store = _FakeStore()
    fake_store.write(99.5, kit.agent(1))
    balancer = _Balancer(fake_store, 100.0)
    address = kit.agent(1).address
    balancer.steering.on_message(100.0, address, kit.load(1, accepting=False))
    fake_store.restore(100.0, 1.0)
    balancer.read(100.1)
    assert not balancer.steering.agents.by_address[address].load.accepting


# The configuration.


def test_the_configuration_never_goes_back():
    """The copy may have a version before the one in force."""
    balancer = _Balancer(_FakeStore(), 0.0)
    balancer.steering.on_routes(1.0, kit.routes(5), 3)
    result = balancer.steering.on_routes(2.0, kit.routes(4, "photos"), 4)
    assert kit.log_fields(result, "routes_ignored")
    assert balancer.steering.routes == kit.routes(5)


def test_a_version_that_is_written_anew_is_in_force():
    """Operators may write another configuration as the same version again.

    Balancers that start read it, so that the others must not keep the lost
    one. Within one era a version stays what it is.
    """
    balancer = _Balancer(_FakeStore(), 0.0)
    balancer.steering.on_routes(1.0, kit.routes(5), 3)
    lost = kit.routes(5, "photos")
    balancer.steering.on_routes(1.5, lost, 3)
    assert balancer.steering.routes == kit.routes(5)
    result = balancer.steering.on_routes(2.0, kit.routes(5), 4)
    assert kit.log_fields(result, "routes_ignored")
    result = balancer.steering.on_routes(2.5, lost, 4)
    assert kit.log_fields(result, "routes_in_force")[0]["era"] == 4
    assert balancer.steering.routes == lost


# Own entries and leases.


def test_an_entry_and_its_lease_are_written_anew(reactor, standin):
    """A lease of the former era may be that of another process by now."""
    client, _ = _client(reactor, standin)
    announcer = announcing.Announcer(
        reactor, client, "x/1", b"me", random.Random(1), 6.0
    )
    client.watch_era(lambda finding: finding.is_new and announcer.on_era())
    reactor.spawn(announcer.run())
    _run_until(reactor, lambda: "x/1" in standin.items_by_key)
    lease = standin.items_by_key["x/1"]["lease"]
    _run_until(reactor, lambda: len(standin.calls) == 2)
    standin.restore(0.0)
    assert "x/1" not in standin.items_by_key
    # Another process has got the same lease in the new era.
    standin.ttl_ms_by_lease[lease] = 6000
    client.learn_era(4)
    _run_until(reactor, lambda: "x/1" in standin.items_by_key)
    assert standin.items_by_key["x/1"]["lease"] != lease
    assert ("POST", "/-/kv-keep/%d" % lease) not in standin.calls


def test_an_entry_that_the_copy_has_is_not_written_again(reactor, standin):
    """A new era must not cost a write for each of many agents."""
    client, _ = _client(reactor, standin)
    announcer = announcing.Announcer(
        reactor, client, "x/1", b"me", random.Random(1)
    )
    client.watch_era(lambda finding: finding.is_new and announcer.on_era())
    reactor.spawn(announcer.run())
    _run_until(reactor, lambda: "x/1" in standin.items_by_key)
    standin.keep_copy()
    _run_until(reactor, lambda: len(standin.calls) == 1)
    standin.restore(0.0)
    revision = standin.revision
    client.learn_era(4)
    _run_until(reactor, lambda: len(standin.calls) == 2)
    reactor.call_at(clock.now() + 0.1, reactor.stop)
    reactor.run()
    assert standin.revision == revision and len(standin.calls) == 2


# Load.


def test_balancers_spread_their_reads_in_a_new_era(reactor):
    """1,800 lists at once would keep the store from answering.

    Only the watchers read at once; they tell the others that there is an era.
    """
    addresses = [
        ("10.2.%d.%d" % divmod(number, 250), 70) for number in range(1800)
    ]
    data_centres_by_address = dict.fromkeys(addresses, "a")
    read_at = []
    for number, address in enumerate(addresses[:300]):
        watch = watching.Watch(1, address, "a")
        watch.on_balancers(data_centres_by_address)
        watch.on_read(0.0, 0.0, None, _at(3, 7))
        follower = following.Follower(
            reactor, None, "x/", watch, random.Random(number), *5 * [None]
        )
        follower.on_era(4)
        read_at.append(watch.call_at - clock.now())
    at_once = sum(at <= 0.0 for at in read_at)
    assert at_once < 0.1 * len(read_at)
    for tenth in range(10):
        until = (tenth + 1) * defaults.ERA_SPREAD_S / 10
        due = sum(at <= until for at in read_at) - at_once
        assert due < (tenth + 2) * len(read_at) / 10
    assert max(read_at) <= defaults.ERA_SPREAD_S


def test_decisions_on_eras_are_fast():
    """A decision must take less than 50 microseconds in the median."""
    tracker = eras.EraTracker()
    tracker.on_answer("3")
    watch = _watch(_at(3, 7))
    message = tunnel.StoreChanges(1, 7, 7, [], 3)
    durations_s = []
    for number in range(2000):
        began_at = time.perf_counter()
        tracker.on_answer("3")
        watch.on_message(float(number), message)
        durations_s.append(time.perf_counter() - began_at)
    assert statistics.median(durations_s) < 50e-6
