"""Tests of the distribution of configuration revisions between processes."""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from limpetlift.coordination import distribution
from limpetlift import defaults
from limpetlift import exceptions

_IDS = ["balancer-%d" % i for i in range(5)]

# A balancer and its first witness. Faults affect only these two and their
# links, so that they often coincide.
_FIRST, _SECOND = _IDS[0], distribution.WitnessRing(_IDS).witnesses(_IDS[0])[0]
_ACTORS = strategies.sampled_from([_FIRST, _SECOND])


def _data(revision):
    return b"configuration %d" % revision


def _head(revision):
    data = _data(revision)
    return distribution.Head(
        revision, distribution.compute_digest(data), len(data)
    )


class Fleet(stateful.RuleBasedStateMachine):
    """Five balancers and a store, under random faults.

    Guards against a process that falls back to an older revision than it had
    in force. That may come about after a restart, when messages were lost or
    delayed and the store is down or its reads are stale. At most two
    balancers restart at the same time, so that a third one still holds the
    revision.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.newest_revision = 0
        self.messages = []
        self.delayed = []
        self.mode_by_link = {}
        self.in_force_by_id = dict.fromkeys(_IDS, 0)
        self.incarnations_by_id = dict.fromkeys(_IDS, 0)
        self.processes_by_id = {}
        self.seen_incarnations_by_id = {}
        for agent_id in _IDS:
            self._start(agent_id)
        for agent_id in _IDS:
            self._perform(agent_id, self._read(agent_id, current=True))

    def _start(self, agent_id):
        self.incarnations_by_id[agent_id] += 1
        process = distribution.Distribution(
            agent_id, self.incarnations_by_id[agent_id], random.Random(1)
        )
        self.seen_incarnations_by_id[agent_id] = {}
        self.processes_by_id[agent_id] = process
        steps = process.on_view(self.now, _IDS)
        self._perform(agent_id, steps)

    def _perform(self, agent_id, steps):
        process = self.processes_by_id[agent_id]
        for step in steps:
            if isinstance(step, distribution.PutInForce):
                # The revision in force never decreases, even by a restart.
                assert step.head.revision >= self.in_force_by_id[agent_id]
                assert step.data == _data(step.head.revision)
                self.in_force_by_id[agent_id] = step.head.revision
            elif not isinstance(step, distribution.ReadStore):
                self.messages.append(
                    (agent_id, process.incarnation, step.agent_id, step)
                )
        if process.ready:
            assert process.held.revision >= self.in_force_by_id[agent_id]

    def _read(self, agent_id, current, revision=None):
        revision = self.newest_revision if current else revision
        head, data = distribution.EMPTY_HEAD, b""
        if revision:
            head, data = _head(revision), _data(revision)
        return self.processes_by_id[agent_id].on_store_read(
            self.now, head, data, current
        )

    def _deliver(self, sender_id, incarnation, receiver_id, step):
        receiver = self.processes_by_id[receiver_id]
        # The replay window of envelopes drops messages of earlier
        # incarnations.
        if (
            self.seen_incarnations_by_id[receiver_id].get(sender_id, 0)
            > incarnation
        ):
            return
        self.seen_incarnations_by_id[receiver_id][sender_id] = incarnation
        if isinstance(step, distribution.Notify):
            steps = receiver.on_notice(
                self.now, sender_id, incarnation, step.notice
            )
            self._perform(receiver_id, steps)
            return
        # A pull uses its own connection, so its response arrives or it fails.
        puller = self.processes_by_id[sender_id]
        if puller.incarnation != incarnation:
            return
        if receiver.held == step.head:
            steps = puller.on_pulled(self.now, step.head, receiver.data)
        else:
            steps = puller.on_pull_failed(self.now)
        self._perform(sender_id, steps)

    @stateful.rule(
        agent_id=_ACTORS,
        mode=strategies.sampled_from(["lost", "delayed"]),
        reached=strategies.sampled_from([[], [_FIRST], [_SECOND], _IDS[2:]]),
    )
    def publish(self, agent_id, mode, reached):
        """A relay reads a new revision; its notices reach only some peers."""
        self.isolate(agent_id, mode)
        for peer in reached:
            self.set_link(agent_id, peer, "up")
            self.set_link(peer, agent_id, "up")
        self.newest_revision += 1
        self._perform(
            agent_id, self._read(agent_id, False, self.newest_revision)
        )
        self._flush()
        self.heal()

    @stateful.rule(
        agent_id=_ACTORS,
        behind=strategies.integers(0, 3),
        current=strategies.booleans(),
    )
    def read_store(self, agent_id, behind, current):
        """One process reads the store; at all other times the store is down.

        :param behind: number of revisions by which a stale read is behind.
        """
        revision = max(0, self.newest_revision - behind)
        self._perform(agent_id, self._read(agent_id, current, revision))
        self._flush()

    @stateful.rule(
        agent_id=_ACTORS, mode=strategies.sampled_from(["lost", "delayed"])
    )
    def isolate(self, agent_id, mode):
        for peer in _IDS:
            self.mode_by_link[agent_id, peer] = mode
            self.mode_by_link[peer, agent_id] = mode

    @stateful.rule(
        agent_id=_ACTORS,
        peer=_ACTORS,
        mode=strategies.sampled_from(["up", "lost", "delayed"]),
    )
    def set_link(self, agent_id, peer, mode):
        self.mode_by_link[agent_id, peer] = mode

    @stateful.rule()
    def heal(self):
        """All links work again; delayed messages stay delayed."""
        self.mode_by_link.clear()

    @stateful.rule()
    def tick_all(self):
        for agent_id in _IDS:
            self.tick(agent_id)

    @stateful.rule(agent_id=_ACTORS, lost=strategies.booleans())
    def release_delayed(self, agent_id, lost):
        """Deliver or lose the delayed messages of one sender."""
        released = [item for item in self.delayed if item[0] == agent_id]
        self.delayed = [item for item in self.delayed if item[0] != agent_id]
        if not lost:
            for item in released:
                self._deliver(*item)
            self._flush()

    def _flush(self):
        """Deliver messages in order until none is pending."""
        while self.messages:
            item = self.messages.pop(0)
            mode = self.mode_by_link.get((item[0], item[2]), "up")
            if mode == "up":
                self._deliver(*item)
            elif mode == "delayed":
                self.delayed.append(item)

    @stateful.rule(agent_id=_ACTORS)
    def tick(self, agent_id):
        # The step is small, so that CONFIG_CLIENT_WAIT_S does not end: a
        # restarted process must hear from all its clients.
        self.now += 0.001
        process = self.processes_by_id[agent_id]
        process._next_notice_at = 0.0
        self._perform(agent_id, process.tick(self.now))
        self._flush()

    @stateful.rule(agent_id=_ACTORS, asks=strategies.booleans())
    def restart(self, agent_id, asks):
        others = [p for i, p in self.processes_by_id.items() if i != agent_id]
        if sum(not process.ready for process in others) <= 1:
            self._start(agent_id)
            self._flush()
            if asks:
                self.tick(agent_id)

    def teardown(self):
        """All processes converge to the newest revision without faults."""
        self.mode_by_link.clear()
        for agent_id in _IDS:
            self._perform(agent_id, self._read(agent_id, current=True))
        for agent_id in _IDS * 5:
            self.tick(agent_id)
        for process in self.processes_by_id.values():
            assert process.in_force.revision == self.newest_revision


TestFleet = Fleet.TestCase
TestFleet.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    stateful_step_count=40,
)


def _process(incarnation=1, **options):
    return distribution.Distribution(
        "balancer-0", incarnation, random.Random(1), **options
    )


def _notice(revision, ready=True, answers_to=1):
    return distribution.Notice(
        _head(revision) if revision else distribution.EMPTY_HEAD,
        ready,
        False,
        answers_to,
    )


def test_restart_in_an_outage_needs_two_witnesses():
    """A restarted process must not fall back to an older revision.

    That would come about if it became ready on the notice of one witness,
    which may itself hold an old revision.
    """
    process = _process(has_store=False)
    process.on_view(0.0, _IDS[:3])
    first, second = distribution.WitnessRing(_IDS[:3]).witnesses("balancer-0")
    process.on_notice(0.1, first, 1, _notice(1))
    process.on_pulled(0.1, _head(1), _data(1))
    assert not process.ready
    process.on_notice(0.2, second, 1, _notice(2, answers_to=7))
    assert not process.ready, "the notice replies to an earlier incarnation"
    process.on_notice(0.2, second, 1, _notice(1, ready=False))
    assert not process.ready, "the second witness is not ready itself"
    steps = process.on_notice(0.2, second, 1, _notice(2))
    assert not process.ready, "revision 2 has not arrived yet"
    assert distribution.Pull(second, _head(2)) in steps or process._pull
    process.on_pulled(0.3, _head(2), _data(2))
    assert process.ready
    assert process.in_force.revision == 0, "only one witness holds revision 2"
    process.on_notice(0.4, first, 1, _notice(2))
    assert process.in_force.revision == 2


def test_restarted_witness_asks_its_clients():
    """A restarted witness must recover the revision that it confirmed.

    Its own witnesses may not hold that revision yet; the processes that it is
    a witness of do. Without them it would start with an older revision.
    """
    process = _process(has_store=False)
    process.on_view(0.0, _IDS)
    ring = distribution.WitnessRing(_IDS)
    for peer in ring.witnesses("balancer-0")[:2]:
        process.on_notice(0.1, peer, 1, _notice(0))
    assert not process.ready
    for peer in ring.client_balancers("balancer-0"):
        process.on_notice(0.1, peer, 1, _notice(0))
    assert process.ready


def test_peer_whose_pull_failed_is_not_asked_again_at_once():
    """Pulls from a peer that is not listening yet must not form a tight loop.

    Each notice of such a peer would start another pull at once.
    """
    process = _process(has_store=False)
    process.on_view(0.0, _IDS[:3])
    one, two = _IDS[1:3]
    pull = distribution.Pull(one, _head(1))
    assert pull in process.on_notice(0.1, one, 1, _notice(1))
    process.on_pull_failed(0.1)
    assert pull not in process.on_notice(0.2, one, 1, _notice(1))
    assert pull not in process.tick(0.3)
    other = distribution.Pull(two, _head(1))
    assert other in process.on_notice(0.3, two, 1, _notice(1))
    process.on_pull_failed(0.4)
    later = 0.1 + defaults.CONFIG_PULL_RETRY_S
    assert pull in process.tick(later)


def test_same_revision_with_another_digest_is_ignored():
    """A revision in force must keep its content.

    Other content that arrives under the same revision number must not replace
    it.
    """
    process = _process()
    process.on_store_read(0.0, _head(3), _data(3), True)
    other = distribution.Head(3, distribution.compute_digest(b"x"), 1)
    process.on_store_read(0.0, other, b"x", True)
    assert process.data == _data(3) and process.in_force == _head(3)


def test_damaged_bytes_are_refused():
    """Content that was truncated on the way must not be put in force."""
    process = _process()
    with pytest.raises(exceptions.ConfigIncomplete):
        process.on_store_read(0.0, _head(3), _data(3)[:-1], True)
    assert process.held == distribution.EMPTY_HEAD


def test_large_data_is_split_and_heads_round_trip():
    """Content above the store's limit of 1 MB per value must be split.

    The store would reject it as a single value.
    """
    data = bytes(1_300_000)
    chunks = distribution.split_chunks(data)
    assert [len(chunk) for chunk in chunks] == [524_288, 524_288, 251_424]
    head = distribution.Head(
        7, distribution.compute_digest(data), len(data), "t"
    )
    assert distribution.head_from_bytes(head.to_bytes(author="a")) == head
    distribution.check_data(head, b"".join(chunks))
    with pytest.raises(exceptions.ConfigIncomplete):
        distribution.head_from_bytes(b"[]")


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.integers(0, 12), strategies.integers(0, 30))
def test_witnesses_and_clients_agree(balancers, agents):
    """The ring must list the same witnesses in both directions.

    Otherwise a restarted witness would not ask a process that relies on it.
    """
    ids = ["b%d" % i for i in range(balancers)]
    agent_ids = ["a%d" % i for i in range(agents)]
    ring = distribution.WitnessRing(ids, agent_ids)
    for witness in ids:
        assert sorted(ring.client_balancers(witness)) == sorted(
            i for i in ids if witness in ring.witnesses(i)
        )
        assert sorted(ring.client_agents(witness)) == sorted(
            i for i in agent_ids if witness in ring.witnesses(i)
        )
