"""Two operators who apply at the same time, with a failing store."""

import random
import types

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift.coordination import distribution
from limpetlift.coordination import publication
from limpetlift.coordination import store
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.testing import store as standin


@types.coroutine
def _pause(*_arguments):
    yield


class _World:
    """A store, and operators that a test moves on step by step."""

    def __init__(self, fault=lambda path: ""):
        self.now = 0.0
        self.state = standin.StoreState(clock=lambda: 0.0)
        self.transport = standin.DirectTransport(
            self.state, fault=fault, pause=_pause
        )
        self.store = store.Store(self.transport)
        # Reads of the test itself, without faults and pauses.
        self.reader = store.Store(standin.DirectTransport(self.state))

    def clock(self):
        self.now += 0.2
        return self.now

    def operator(self, name, prepare):
        tokens = iter("%s%d" % (name, i) for i in range(100))
        return publication.Publisher(
            self.store,
            self.clock,
            _pause,
            author=name,
            new_token=lambda: next(tokens),
        ).publish(prepare)


def _result(coroutine):
    """Run a coroutine that never really waits."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value


def _interleave(coroutines_by_name, choose, after_step):
    """Run all coroutines to their end; return results or errors by name."""
    results = {}
    waiting = dict(coroutines_by_name)
    while waiting:
        name = choose(sorted(waiting))
        try:
            waiting[name].send(None)
        except StopIteration as stop:
            results[name] = stop.value
        except exceptions.LimpetliftError as error:
            results[name] = error
        if name in results:
            del waiting[name]
        after_step()
    return results


def _adding(name):
    """An operator who adds one line to what is in force."""
    return lambda data: data + name.encode("ascii") + b"\n"


_FAULTS = ["", "", "", "", "down", "lost", "late"]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(strategies.data())
def test_no_change_is_lost_and_every_verdict_is_true(data):
    """Interleavings, outages, lost and late answers, stale reads."""
    draw = data.draw

    def fault(path):
        return draw(strategies.sampled_from(_FAULTS))

    world = _World(fault)
    revisions = []

    def after_step():
        action = draw(strategies.sampled_from(["", "", "late", "stale", ""]))
        if action == "late":
            world.transport.deliver_late()
        elif action == "stale":
            world.state.freeze_reads(draw(strategies.booleans()))
        frozen = world.state._stale_values
        world.state.freeze_reads(False)
        # A reader must at any time find a whole configuration.
        head, content = _result(publication.read_current(world.reader))
        revisions.append(head.revision)
        world.state._stale_values = frozen
        assert content.count(b"\n") == head.revision

    operators = {name: world.operator(name, _adding(name)) for name in "ab"}
    results = _interleave(
        operators,
        lambda names: draw(strategies.sampled_from(names)),
        after_step,
    )
    verdicts = {
        name: isinstance(result, publication.Verdict)
        for name, result in results.items()
    }
    world.state.freeze_reads(False)
    for late in (False, True):
        # A verdict must stay true when delayed writes arrive after it.
        if late:
            world.transport.deliver_late()
            after_step()
        _, content = _result(publication.read_current(world.reader))
        for name, result in results.items():
            count = content.count(name.encode("ascii") + b"\n")
            if verdicts[name]:
                assert count == 1 and result.changed
            elif isinstance(result, exceptions.StoreOutcomeUnknown):
                assert count <= 1
            else:
                assert count == 0
    assert revisions == sorted(revisions)


def test_lost_answer_is_resolved_by_writing_again():
    """A stale read-back must not turn an applied change into a failure."""
    faults = iter(["", "", "lost", "down"])
    world = _World(lambda path: next(faults, ""))
    operator = world.operator("a", _adding("a"))
    world.state.freeze_reads(True)
    verdict = _result(operator)
    assert verdict.changed and verdict.head.revision == 1


def test_an_outage_is_reported_as_nothing_applied():
    """An operator must be told apart "not applied" and "unknown"."""
    world = _World(lambda path: "down")
    with pytest.raises(exceptions.StoreUnavailable):
        _result(world.operator("a", _adding("a")))
    calls = iter(["", ""])
    world = _World(lambda path: next(calls, "late"))
    with pytest.raises(exceptions.StoreOutcomeUnknown):
        _result(world.operator("a", _adding("a")))
    assert world.transport.late


def test_same_content_is_not_a_new_revision():
    """Applying twice must be harmless."""
    world = _World()
    _result(world.operator("a", lambda data: b"x"))
    verdict = _result(world.operator("b", lambda data: b"x"))
    assert (verdict.changed, verdict.head.revision) == (False, 1)


def test_history_is_pruned_and_large_values_are_split():
    """The store must not grow with every change, nor get a value over 1 MB."""
    world = _World()
    count = defaults.CONFIG_HISTORY_REVISIONS + 3
    for index in range(count):
        content = random.Random(index).randbytes(600_000 if index > 50 else 9)
        _result(world.operator("a", lambda data, c=content: c))
    keys = sorted(world.state.values_by_key)
    history = [key for key in keys if key.startswith(b"config/history/")]
    chunks = [key for key in keys if key.startswith(b"config/chunks/")]
    assert len(history) == defaults.CONFIG_HISTORY_REVISIONS
    assert len(chunks) == defaults.CONFIG_HISTORY_REVISIONS + 2
    sizes = [len(value.data) for value in world.state.values_by_key.values()]
    assert max(sizes) <= defaults.CONFIG_CHUNK_BYTES
    assert _result(publication.read_current(world.reader))[1] == content


def test_missing_chunk_is_refused():
    """A reader must never take half a change."""
    world = _World()
    head = _result(world.operator("a", lambda data: b"x")).head
    _result(world.reader.delete(publication.chunk_key(head.token, 0)))
    with pytest.raises(exceptions.ConfigIncomplete):
        _result(publication.read_current(world.reader))
    assert distribution.EMPTY_HEAD == publication.head_from_entry(None)
