"""Shared watches: which balancers wait at the store, and what they tell."""

import heapq
import itertools

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import entries
from limpetlift.coordination import revisions
from limpetlift.coordination import watching
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import tunnel

# Routes are in force within this time after the store acknowledged them, the
# shortest bound of the users' deployments.
_CONFIG_BOUND_S = 3.0
_CALL_S = 0.004
_CALL_TIMEOUT_S = 1.5
_OWN = ("10.2.0.1", 70)


def _addresses(count):
    return [
        ("10.2.%d.%d" % divmod(number, 250), 70) for number in range(count)
    ]


def _change(revision, value=b"v", key="x/1"):
    return entries.Change(key, entries.Entry(key, value, revision), revision)


def _watch(revision=5, now=0.0, policy="few"):
    watch = watching.Watch(1, _OWN, "dc-0", policy)
    watch.on_read(now, now, None, revision)
    return watch


# Roles.


def _data_centres(count, data_centre_count=3):
    return {
        address: "dc-%d" % (number % data_centre_count)
        for number, address in enumerate(_addresses(count))
    }


def _roles(count, policy="few"):
    data_centres_by_address = _data_centres(count)
    choose = watching.policies_by_name[policy]
    return {
        own: choose(own, data_centres_by_address)
        for own in data_centres_by_address
    }


def test_every_balancer_gets_changes_from_two_watchers():
    """The loss of one watcher must leave nobody without changes."""
    for count in (3, 10, 200, 500):
        roles = _roles(count)
        for own in roles:
            watchers = [
                other
                for other, role in roles.items()
                if other != own and own in role.receivers
            ]
            expected = defaults.WATCHERS_PER_GROUP - roles[own].is_watcher
            assert len(watchers) == expected


def test_the_watchers_of_a_group_are_in_different_data_centres():
    """The loss of a data centre must leave nobody without changes."""
    for count in (3, 10, 60, 500):
        data_centres_by_address = _data_centres(count)
        for own, role in _roles(count).items():
            if role.receivers:
                others = [
                    address
                    for address in role.receivers
                    if watching.watch_few(
                        address, data_centres_by_address
                    ).is_watcher
                ]
                for other in others:
                    assert (
                        data_centres_by_address[other]
                        != data_centres_by_address[own]
                    )


def test_the_load_of_a_watcher_is_bounded():
    """A watcher must not send to more balancers as the fleet grows."""
    for count in (30, 100, 300, 1000):
        for role in _roles(count).values():
            # Hashes do not split the balancers evenly.
            assert len(role.receivers) <= 1.5 * defaults.WATCH_GROUP_SIZE


def test_a_lost_balancer_changes_few_roles():
    """A restart must not make many balancers call the store."""
    all_by_address = _data_centres(40)
    for lost in all_by_address:
        left_by_address = dict(all_by_address)
        del left_by_address[lost]
        new_watchers = [
            own
            for own in left_by_address
            if watching.watch_few(own, left_by_address).is_watcher
            and not watching.watch_few(own, all_by_address).is_watcher
        ]
        assert len(new_watchers) <= defaults.WATCHERS_PER_GROUP


def test_a_balancer_alone_watches_for_itself():
    """The smallest deployments have one balancer."""
    watch = _watch()
    watch.on_balancers({})
    assert watch.role == watching.Role(True)


# One balancer.


def test_a_lost_message_is_detected():
    """A message that was lost must not leave a change unknown."""
    watch = _watch()
    watch.role = watching.Role(False)
    message = tunnel.StoreChanges(1, 6, 7, [])
    assert watch.on_message(1.0, message) == []
    assert watch.call_at < 1.0 and watch.wait_s == 0.0
    changes, _ = watch.on_read(1.1, 1.1, 5, 7, [_change(6), _change(7)])
    assert [change.revision for change in changes] == [6, 7]
    assert watch.call_at == 1.1 + defaults.SHARED_WATCH_MAX_AGE_S


def test_an_older_answer_does_not_undo_a_change():
    """A change may arrive from a watcher while an own call is answered.

    The answer may have an older change of the same key.
    """
    watch = _watch()
    watch.on_message(
        1.0,
        tunnel.StoreChanges(1, 5, 7, [tunnel.KeyChange("x/1", None, 7)]),
    )
    changes, _ = watch.on_read(1.1, 0.9, 5, 6, [_change(6)])
    assert changes == [] and watch.revision == revisions.Revision(0, 7)


def test_an_answer_that_waited_through_a_pause_confirms_nothing():
    """The answer to a watch may be as old as a freeze of the balancer.

    A watcher that passed it on as recent would keep the others from reading
    a change.
    """
    watch = _watch(now=0.0)
    watch.role = watching.Role(True, tuple(_addresses(3)))
    watch.on_pause(9.0)
    changes, messages = watch.on_read(9.0, 1.0, 5, 6, [_change(6)])
    assert [change.revision for change in changes] == [6]
    assert messages == []
    watch.role = watching.Role(False)
    assert watch.call_at < 9.0


def test_a_message_that_waited_through_a_pause_confirms_nothing():
    """Datagrams in a socket are as old as a freeze of the balancer."""
    watch = _watch(now=0.0)
    watch.role = watching.Role(False)
    watch.on_pause(9.0)
    message = tunnel.StoreChanges(1, 5, 6, [tunnel.KeyChange("x/1", b"v", 6)])
    assert len(watch.on_message(9.0, message, is_outdated=True)) == 1
    assert watch.call_at < 9.0


def test_an_unknown_policy_is_refused():
    """A policy that does not exist must not be found at the first change."""
    with pytest.raises(exceptions.StateError):
        watching.Watch(1, _OWN, policy="none")


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from([0, 10, 900, 1_250, 1_400, 70_000]),
            strategies.booleans(),
        ),
        max_size=30,
    ),
    strategies.integers(0, 3),
    strategies.sets(strategies.integers(0, 40)),
)
def test_no_change_is_missed(steps, tail, lost):
    """A receiver either knows a change or notices that one is missing.

    Messages are lost, changes are too large for a message, and one
    transaction makes several changes.
    """
    revision = 5
    changes = []
    for number, (step, size, is_removed) in enumerate(steps):
        revision += step
        key = "x/%d" % number
        entry = entries.Entry(key, b"v" * size, revision)
        changes.append(
            entries.Change(key, None if is_removed else entry, revision)
        )
    changes = [change for change in changes if change.revision > 5]
    sender, receiver = _watch(), _watch()
    sender.role = watching.Role(True, (("10.2.0.2", 70),))
    receiver.role = watching.Role(False)
    _, messages = sender.on_read(1.0, 1.0, 5, revision + tail, changes)
    known = set()
    for number, message in enumerate(messages):
        data = message.encode()
        assert len(data) < 65_507
        assert tunnel.decode(data) == message
        if number not in lost:
            for change in receiver.on_message(1.0, tunnel.decode(data)):
                known.add(change.key)
    for change in changes:
        revision_of_change = revisions.of(change.revision)
        assert (change.key in known) or receiver.revision < revision_of_change
    is_last_known = messages and len(messages) - 1 not in lost
    if is_last_known and receiver.revision.number < revision + tail:
        assert receiver.call_at < 1.0
    for change in changes:
        if change.revision <= receiver.revision.number:
            assert change.key in known


# Several balancers on virtual time.


@attrs.define
class _Balancer:
    """A balancer that follows one key, and its faults.

    :param versions: ``(time, version)`` for each version of the key.
    """

    watch: object
    versions: list = attrs.field(factory=list)
    is_dead: bool = False
    frozen_until: float = 0.0
    refused_until: float = 0.0
    calls: int = 0

    def version_at(self, now):
        """Return the version that was in force."""
        return max(
            (version for at, version in self.versions if at <= now), default=0
        )


class _Deployment:
    """Balancers of three data centres and a store, on virtual time."""

    def __init__(self, count, policy="few"):
        self.now = 0.0
        self.version = 0
        self.changed_at_by_version = {}
        self._events = []
        self._sequence = itertools.count()
        self._waiting = []
        data_centres_by_address = _data_centres(count)
        self.balancers_by_address = {
            address: _Balancer(watching.Watch(1, address, data_centre, policy))
            for address, data_centre in data_centres_by_address.items()
        }
        for balancer in self.balancers_by_address.values():
            balancer.watch.on_balancers(data_centres_by_address)
            balancer.watch.on_read(0.0, 0.0, None, 0)
            # Balancers do not start at the same moment.
            self.at(0.01 * next(self._sequence), self._call, balancer)

    def at(self, at, callback, *arguments):
        """Call ``callback`` at a point in time."""
        heapq.heappush(
            self._events, (at, next(self._sequence), callback, arguments)
        )

    def run(self, until):
        """Run until a point in time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now = until

    def change(self):
        """Write a new version of the key; wake the calls that wait."""
        self.version += 1
        self.changed_at_by_version[self.version] = self.now
        waiting, self._waiting = self._waiting, []
        for answer in waiting:
            answer()

    def watchers(self):
        """Return the balancers that watch."""
        return [
            balancer
            for balancer in self.balancers_by_address.values()
            if balancer.watch.role.is_watcher
        ]

    def freeze(self, balancer, until):
        """Freeze a balancer."""
        balancer.frozen_until = until
        self.at(until, balancer.watch.on_pause, until)

    def _when_running(self, balancer, callback, *arguments):
        """Call ``callback`` now, or when the balancer is not frozen."""
        if balancer.is_dead:
            return
        if balancer.frozen_until > self.now:
            self.at(balancer.frozen_until, callback, *arguments)
        else:
            callback(*arguments)

    def _call(self, balancer):
        if balancer.is_dead:
            return
        if balancer.frozen_until > self.now:
            self.at(balancer.frozen_until, self._call, balancer)
            return
        if balancer.watch.call_at > self.now:
            # Checked as often as an event would wake the process.
            at = min(balancer.watch.call_at, self.now + 0.1)
            self.at(at, self._call, balancer)
            return
        balancer.calls += 1
        if balancer.refused_until > self.now:
            self.at(self.now + _CALL_TIMEOUT_S, self._call, balancer)
            return
        began_at = self.now
        after = balancer.watch.revision.number
        is_answered = []

        def answer():
            if not is_answered:
                is_answered.append(True)
                self.at(
                    self.now + _CALL_S,
                    self._when_running,
                    balancer,
                    self._on_answer,
                    balancer,
                    began_at,
                    after,
                    self.version,
                )

        if self.version > after or not balancer.watch.wait_s:
            answer()
        else:
            self._waiting.append(answer)
            self.at(self.now + balancer.watch.wait_s, answer)

    def _on_answer(self, balancer, began_at, after, version):
        changes = [
            _change(revision, b"%d" % revision)
            for revision in range(after + 1, version + 1)
        ]
        new_changes, messages = balancer.watch.on_read(
            self.now, began_at, after, version, changes
        )
        self._apply(balancer, new_changes)
        for message in messages:
            for address in balancer.watch.role.receivers:
                self._when_running(
                    self.balancers_by_address[address],
                    self._on_message,
                    self.balancers_by_address[address],
                    message,
                    self.now,
                )
        at = max(self.now, began_at + defaults.FOLLOW_PAUSE_S)
        self.at(at, self._call, balancer)

    def _on_message(self, balancer, message, sent_at):
        is_outdated = sent_at < balancer.frozen_until
        self._apply(
            balancer, balancer.watch.on_message(self.now, message, is_outdated)
        )

    def _apply(self, balancer, changes):
        for change in changes:
            balancer.versions.append((self.now, int(change.entry.value)))

    def slowest_s(self, left_out=()):
        """Return the longest time until a version was in force.

        :param left_out: balancers that are not in touch.
        """
        slowest_s = 0.0
        for balancer in self.balancers_by_address.values():
            if balancer.is_dead or balancer in left_out:
                continue
            for version, changed_at in self.changed_at_by_version.items():
                in_force_at = min(
                    (at for at, v in balancer.versions if v >= version),
                    default=self.now,
                )
                slowest_s = max(slowest_s, in_force_at - changed_at)
        return slowest_s


def _calls_per_s(count, policy):
    deployment = _Deployment(count, policy)
    for second in range(10, 50, 10):
        deployment.at(float(second), deployment.change)
    # Before the first message of a watcher each balancer calls once.
    deployment.run(5.0)
    balancers = deployment.balancers_by_address.values()
    calls_before = sum(balancer.calls for balancer in balancers)
    deployment.run(65.0)
    assert deployment.slowest_s() <= _CONFIG_BOUND_S
    calls = sum(balancer.calls for balancer in balancers) - calls_before
    return calls / 60.0


def test_calls_do_not_grow_with_the_balancers():
    """The calls of a deployment must not grow with its balancers.

    Each call to the store is billed, and the store refuses calls beyond a
    rate. With a watch of its own, each balancer adds as many calls.
    """
    assert _calls_per_s(60, "few") < 1.1 * _calls_per_s(10, "few")
    assert _calls_per_s(60, "each") > 5 * _calls_per_s(10, "each")
    assert _calls_per_s(60, "few") < _calls_per_s(60, "each") / 10


def _fail_dead(deployment, balancer, _until):
    balancer.is_dead = True


def _fail_frozen(deployment, balancer, until):
    deployment.freeze(balancer, until)


def _fail_refused(_deployment, balancer, until):
    balancer.refused_until = until


@pytest.mark.parametrize("fail", [_fail_dead, _fail_frozen, _fail_refused])
@pytest.mark.parametrize("failed", [1, 2])
@pytest.mark.parametrize("changed_at", [8.01, 9.0, 10.4, 12.0])
def test_routes_are_in_force_in_time_when_watchers_fail(
    fail, failed, changed_at
):
    """Routes must be in force in time whatever happens to the watchers.

    They die, freeze or are turned away by the store while the others are not.
    """
    deployment = _Deployment(12)
    deployment.run(8.0)
    watchers = deployment.watchers()[:failed]
    for balancer in watchers:
        fail(deployment, balancer, 11.0)
    deployment.at(changed_at, deployment.change)
    deployment.run(20.0)
    assert deployment.slowest_s(watchers) <= _CONFIG_BOUND_S
    if fail is not _fail_dead:
        for balancer in watchers:
            assert balancer.version_at(11.0 + _CONFIG_BOUND_S) >= 1


def test_the_loss_of_one_watcher_costs_no_calls():
    """One watcher must be enough to keep the others from calling."""
    deployment = _Deployment(12)
    deployment.run(8.0)
    deployment.watchers()[0].is_dead = True
    deployment.run(40.0)
    calls = [
        balancer.calls
        for balancer in deployment.balancers_by_address.values()
        if not balancer.watch.role.is_watcher
    ]
    assert max(calls) <= 1
