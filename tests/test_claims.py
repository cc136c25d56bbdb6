"""Idempotency keys under faults, in simulated time: none may run twice."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import roster as rosters
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages
from limpetlift.state import actions
from limpetlift.state import answers
from limpetlift.state import claims
from limpetlift.testing import keysim

_FAULTS = (
    "kill",
    "restart",
    "pause",
    "resume",
    "remove",
    "remove",
    "leave",
    "cut",
    "cut",
    "cut_store",
)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("request"),
            strategies.integers(0, 1),
            strategies.lists(
                strategies.integers(0, 6), min_size=1, max_size=3
            ),
        ),
        strategies.tuples(
            strategies.sampled_from(_FAULTS),
            strategies.integers(0, 6),
            strategies.integers(0, 6),
        ),
        strategies.tuples(
            strategies.sampled_from(("partition", "store", "heal")),
            strategies.integers(0, 127),
            strategies.booleans(),
        ),
        strategies.tuples(
            strategies.just("wait"),
            strategies.sampled_from((0.005, 0.05, 0.4, 1.0, 3.0)),
            strategies.none(),
        ),
    ),
    min_size=5,
    max_size=60,
)
_NETWORKS = strategies.builds(
    keysim.Network,
    loss=strategies.sampled_from((0.0, 0.05, 0.4)),
    double=strategies.sampled_from((0.0, 0.3)),
    jitter_s=strategies.sampled_from((0.0, 0.002, 0.1)),
    late=strategies.sampled_from((0.0, 0.1)),
)


class _Driver:
    """Applies generated steps to a simulation.

    The name of each public method except ``apply`` is a kind of step.
    """

    def __init__(self, simulation, count):
        self.simulation = simulation
        self.ids = ["agent-%d" % number for number in range(count)]
        self._first_at_by_key = {}

    def _id(self, number):
        return self.ids[number % len(self.ids)]

    def apply(self, kind, first, second):
        """Apply one step."""
        getattr(self, kind)(first, second)

    def request(self, number, agents):
        """Send a key to several agents, if its retry window is open."""
        key = "key-%d" % number
        now = self.simulation.now
        if now - self._first_at_by_key.setdefault(key, now) > (
            self.simulation.window_s
        ):
            return
        for agent in agents:
            self.simulation.request(key, self._id(agent))

    def kill(self, number, _other):
        self.simulation.kill(self._id(number))

    def restart(self, number, _other):
        self.simulation.start(self._id(number))

    def pause(self, number, _other):
        self.simulation.pause(self._id(number))

    def resume(self, number, _other):
        self.simulation.resume(self._id(number))

    def remove(self, number, other):
        """Remove an agent from the roster, whether it is silent or not."""
        self.simulation.change(
            self._id(number), rosters.remove, {self._id(other)}
        )

    def leave(self, number, _other):
        self.simulation.leave(self._id(number))

    def partition(self, mask, _other):
        for number, agent_id in enumerate(self.ids):
            agent = self.simulation.agents_by_id[agent_id]
            agent.side = mask >> number & 1

    def cut(self, number, other):
        """Cut the link between two agents."""
        link = frozenset((self._id(number), self._id(other)))
        self.simulation.cut_links.add(link)

    def cut_store(self, number, _other):
        agent = self.simulation.agents_by_id[self._id(number)]
        agent.reads_store = False

    def store(self, _mask, flag):
        self.simulation.store.up = flag
        self.simulation.store.lose_answer = not flag

    def heal(self, _mask, _flag):
        self.partition(0, 0)
        self.simulation.store.up = True
        self.simulation.cut_links.clear()
        for agent in self.simulation.agents_by_id.values():
            agent.reads_store = True

    def wait(self, seconds, _other):
        self.simulation.run(seconds)


def _random_steps(rng):
    """Return random steps with more faults than ``_STEPS`` generates."""
    steps = []
    for _ in range(rng.randrange(5, 60)):
        choice = rng.random()
        first, second = rng.randrange(7), rng.randrange(7)
        if choice < 0.3:
            agents = [rng.randrange(7) for _ in range(rng.choice((1, 1, 3)))]
            steps.append(("request", rng.randrange(2), agents))
        elif choice < 0.6:
            steps.append((rng.choice(_FAULTS), first, second))
        elif choice < 0.7:
            kind = rng.choice(("partition", "store", "heal"))
            steps.append((kind, rng.randrange(128), rng.random() < 0.5))
        else:
            seconds = rng.choice((0.005, 0.05, 0.4, 1.0, 3.0))
            steps.append(("wait", seconds, None))
    return steps


def _check_scenario(count, seed, network, steps):
    """Run steps, end all faults, and check that no key ran twice."""
    simulation = keysim.Simulation(count, seed, network)
    driver = _Driver(simulation, count)
    simulation.run(1.0)
    for step in steps:
        driver.apply(*step)
    driver.heal(0, True)
    for number in range(count):
        driver.resume(number, 0)
    simulation.run(4.0)
    assert simulation.violations() == []
    assert simulation.largest <= defaults.MAX_DATAGRAM_BYTES


_COUNTS = strategies.sampled_from((3, 2, 4, 3, 1, 5, 6, 7))
_SEEDS = strategies.integers(0, 1 << 30)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(_COUNTS, _SEEDS, _NETWORKS, _STEPS)
def test_no_key_runs_twice_in_drawn_scenarios(count, seed, network, steps):
    """A key must not run twice under any combination of faults.

    Two agents could each collect votes for a key when agents, links or the
    store fail, or when the roster changes, between the claim and the run.
    """
    _check_scenario(count, seed, network, steps)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(_COUNTS, _SEEDS, _NETWORKS)
def test_no_key_runs_twice_in_long_scenarios(count, seed, network):
    """A key must not run twice in long sequences with frequent faults."""
    _check_scenario(count, seed, network, _random_steps(random.Random(seed)))


def _started(count, seed=0, **arguments):
    simulation = keysim.Simulation(count, seed, **arguments)
    simulation.run(6.0)
    return simulation


@hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
@hypothesis.given(
    strategies.integers(1, 7),
    _SEEDS,
    strategies.lists(strategies.integers(0, 6), min_size=2, max_size=7),
)
def test_without_faults_every_key_is_granted(count, seed, agents):
    """Without faults, the rules against double runs must refuse no new key.

    Keys sent to one agent, and one sent to several at once, must all run.
    """
    network = keysim.Network(jitter_s=0.001)
    simulation = _started(count, seed, network=network)
    ids = sorted(simulation.agents_by_id)
    for number in range(20):
        simulation.request("single-%d" % number, ids[number % count])
    for agent in agents:
        simulation.request("shared", ids[agent % count])
    simulation.run(1.0)
    assert len(simulation.runs_by_key) == 21
    assert simulation.violations() == []


@pytest.mark.parametrize("restart", [True, False])
@pytest.mark.parametrize("count", [2, 3, 4, 7])
def test_after_one_death_keys_are_granted_again(count, restart):
    """New keys must be granted soon after one agent has died.

    The remaining members could otherwise wait for the whole retry window,
    because they lack the votes of the dead one.
    """
    simulation = _started(count, window_s=60.0, margin_s=30.0)
    simulation.kill("agent-0")
    if restart:
        simulation.start("agent-0")
    simulation.run(defaults.DEAD_AFTER_S)
    before = simulation.store.read()
    silent = {} if restart else {"agent-0": defaults.DEAD_AFTER_S}
    gone = rosters.silent_members(before, silent)
    # A majority that is left still grants keys, so the dead agent is removed
    # only later.
    assert gone == ({"agent-0"} if count == 2 and not restart else set())
    simulation.change("agent-1", rosters.remove, gone)
    simulation.run(1.0)
    for number in range(10):
        simulation.request("key-%d" % number, "agent-1")
    simulation.run(1.0)
    assert len(simulation.runs_by_key) == 10


def test_the_only_member_waits_for_the_retry_window_after_a_restart():
    """A key must not run again after the only member has restarted.

    No agent has a record of what the member ran before.
    """
    simulation = _started(1)
    simulation.request("key", "agent-0")
    simulation.run(1.0)
    simulation.start("agent-0")
    simulation.run(4.0)
    early = simulation.request("key", "agent-0")
    simulation.run(simulation.window_s + simulation.margin_s)
    late = simulation.request("other", "agent-0")
    simulation.run(1.0)
    assert early.outcome == "roster_pending"
    assert late.ran


def test_a_roster_without_the_old_majority_never_votes():
    """Members without the old majority must not vote, however long they wait.

    The removed members may still grant keys on their side of a partition.
    """
    simulation = _started(4)
    for number in range(3):
        agent = simulation.agents_by_id["agent-%d" % number]
        agent.side, agent.reads_store = 1, False
    simulation.change(
        "agent-3", rosters.remove, {"agent-0", "agent-1", "agent-2"}
    )
    simulation.run(3 * (simulation.window_s + simulation.margin_s))
    first = simulation.request("key", "agent-0")
    second = simulation.request("key", "agent-3")
    simulation.run(4.0)
    assert first.ran
    assert second.outcome == "roster_pending"


def _table(agent_id, roster, **arguments):
    table = claims.ClaimTable(agent_id, 1, **arguments)
    table.on_roster(0.0, roster)
    return table


def _roster(*agent_ids):
    roster = rosters.Roster()
    members = {agent_id: 1 for agent_id in agent_ids}
    return rosters.Roster(
        rosters.Generation(1, members), (), roster.ended_by_id
    )


def _vote_results(table, **fields):
    """Return the results that a table sends for a claim of agent b."""
    claim = {"key": b"k" * 16, "claim_id": 7, "epoch": 1, "incarnation": 1}
    claim.update(fields)
    sent = table.on_message(1.0, "b", messages.structs.Claim(**claim))
    return [step.message.result for step in sent if hasattr(step, "message")]


def test_a_member_votes_only_in_its_epoch_and_for_members():
    """A claim must not get a vote from a member of another epoch.

    A majority of one epoch need not overlap with one of another epoch. The
    same holds for a claim by a non-member.
    """
    assert _vote_results(_table("a", _roster("a", "b"))) == ["granted"]
    later = rosters.add(_roster("a", "b", "c"), "d", 1)
    table = _table("a", _roster("a", "b", "c"))
    table.on_roster(0.0, later)
    assert _vote_results(table) == ["epoch"]
    assert _vote_results(table, epoch=2) == ["unsynced"]
    other = _table("a", _roster("a", "b"))
    assert _vote_results(other, incarnation=2) == []


def test_votes_of_a_member_that_lags_behind_do_not_count_as_pulled():
    """Votes pulled from a member in the old epoch must not count.

    The member may grant further votes in that epoch after the pull.
    """
    later = rosters.remove(_roster("a", "b", "c"), {"c"})
    table = _table("a", _roster("a", "b", "c"))
    steps = table.on_roster(0.0, later)
    pull = [s.message for s in steps if hasattr(s.message, "pull_id")][0]
    for epoch in (1, 2):
        assert not table.may_vote
        page = messages.structs.VoteTable(
            epoch=epoch, cursor=0, last=True, votes=[], next_cursor=0,
            pull_id=pull.pull_id, incarnation=1, synced=1,
        )  # fmt: skip
        table.on_message(0.1, "b", page)
    assert table.may_vote


def test_a_member_that_lags_behind_does_not_hand_out_its_votes():
    """A member must send no votes for an epoch that it has not reached.

    It may grant further votes in the old epoch after the pull.
    """
    table = _table("a", _roster("a", "b", "c"))
    pull = messages.structs.VotePull(
        epoch=2, cursor=0, pull_id=1, incarnation=1
    )
    steps = table.on_message(0.1, "b", pull)
    assert actions.ReadRoster(2) in steps
    assert not any(
        hasattr(s, "message") and s.message.epoch > 1 for s in steps
    )


def test_a_claimer_that_resumes_after_its_timeout_does_not_run():
    """A claim must not succeed after its timeout.

    Votes that waited in the socket of a paused agent are too old: by the time
    of the run they may have expired at the members that granted them.
    """
    table = _table("a", _roster("a", "b", "c"))
    steps = table.on_request(1.0, "key", "r", 100.0)
    claim = [s.message for s in steps if isinstance(s, actions.Send)][0]
    vote = messages.structs.ClaimVote(
        key=claim.key, claim_id=claim.claim_id, result="granted", epoch=1,
        incarnation=1,
    )  # fmt: skip
    steps = table.on_message(1.0 + defaults.CLAIM_TIMEOUT_S, "b", vote)
    assert actions.Denied("r", "no_quorum") in steps


def test_records_are_bounded_and_dropped_after_the_window():
    """Keys beyond the limit must be refused until old records expire.

    A flood of keys would otherwise exhaust the memory of the agent.
    """
    table = _table("a", _roster("a"), record_limit=5)
    answer = actions.Answer(201, (("A", "b"),), b"body")
    for number in range(5):
        key = "key-%d" % number
        steps = table.on_request(1.0, key, key, 9.0)
        assert steps == [actions.Granted(key)]
        table.on_done(2.0, key, answer)
    repeated = table.on_request(3.0, "key-0", "again", 9.0)
    assert repeated == [actions.Replay("again", answer)]
    full = table.on_request(3.0, "more", "more", 9.0)
    assert full == [actions.Denied("more", "claims_full")]
    later = 2.0 + defaults.RETRY_WINDOW_S + defaults.CLAIM_RETENTION_MARGIN_S
    table.tick(later)
    steps = table.on_request(later, "more", "more", later + 9.0)
    assert steps == [actions.Granted("more")]


def test_stored_answers_are_bounded_in_bytes():
    """Stored answers must not exceed their limit; the oldest are dropped.

    Large answers would otherwise exhaust the memory of the agent.
    """
    store = answers.AnswerStore(limit_bytes=3000)
    for key in (b"a", b"b", b"c"):
        store.put(key, actions.Answer(200, (), b"x" * 1400))
    store.put(b"d", actions.Answer(200, (), b"x" * 4000))
    kept = [key for key in (b"a", b"b", b"c", b"d") if store.get(key)]
    assert kept == [b"b", b"c"]


def test_a_long_vote_table_is_pulled_in_pages_that_fit():
    """A vote table larger than a datagram must reach a joining member.

    If it missed the votes of a later page, it could run their keys again.
    """
    simulation = _started(2, window_s=60.0)
    for number in range(300):
        simulation.request("key-%d" % number, "agent-0")
    simulation.run(1.0)
    simulation.start("agent-1")
    simulation.run(2.0)
    again = [simulation.request("key-%d" % i, "agent-1") for i in range(300)]
    simulation.run(4.0)
    known = {"replay", "key_running", "answer_expired", "outcome_unknown"}
    assert {attempt.outcome for attempt in again} <= known
    assert simulation.violations() == []
    assert simulation.largest <= defaults.MAX_DATAGRAM_BYTES


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("add", "leave", "remove")),
            strategies.sampled_from("abc"),
            strategies.booleans(),
        ),
        max_size=40,
    )
)
def test_the_epoch_only_grows_and_the_encoding_is_exact(steps):
    """Each change must make a new epoch, and decoding must lose nothing.

    The votes of a generation that is missing in the history are never pulled.
    """
    roster = rosters.Roster()
    for count, (kind, agent_id, settled) in enumerate(steps):
        arguments = {
            "add": (agent_id, count + 1),
            "leave": (
                agent_id,
                roster.current.incarnations_by_id.get(agent_id, 0),
            ),
            "remove": ({agent_id},),
        }[kind]
        try:
            changed = getattr(rosters, kind)(
                roster, *arguments, settled=roster.epoch if settled else 0
            )
        except exceptions.StateError:
            assert len(roster.history) >= defaults.MAX_ROSTER_HISTORY
            continue
        assert changed is roster or changed.epoch == roster.epoch + 1
        if changed is not roster and roster.epoch:
            assert changed.history[-1] == roster.current
        roster = changed
        if roster.epoch:
            assert rosters.decode(rosters.encode(roster)) == roster


def test_a_single_member_may_restart_any_number_of_times():
    """Restarts of the only member must not fill the history.

    Only a synced majority settles a generation, and no synced member is left
    when the only one restarts.
    """
    roster = rosters.Roster()
    for incarnation in range(200):
        roster = rosters.add(roster, "a", incarnation)
    assert len(roster.history) == 1
    with pytest.raises(exceptions.StateError):
        rosters.add(roster, "a", 100)


@pytest.mark.parametrize(
    "data",
    [
        b"", b"[]", b"{}", b"[" * 99999, b'{"epoch":1,"history":[]}',
        b'{"epoch":0,"members":{},"history":[],"ended":{}}',
        b'{"epoch":1,"members":{"a":true},"history":[],"ended":{}}',
        b'{"epoch":1,"members":{"":1},"history":[],"ended":{}}',
        b'{"epoch":1,"members":{},"ended":{},"history":[{"epoch":1,'
        b'"members":{}}]}',
    ],
)  # fmt: skip
def test_an_invalid_roster_is_rejected(data):
    """A damaged value in the store must not be read as a roster."""
    with pytest.raises(exceptions.StateError):
        rosters.decode(data)
