"""Tests of publishing configurations to a store that fails."""

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
    """A store and operators whose coroutines a test runs step by step.

    :param fault: function that returns the fault of a store call, by path.
    """

    def __init__(self, fault=lambda path: ""):
        self.now = 0.0
        self.state = standin.StoreState(clock=lambda: 0.0)
        self.transport = standin.DirectTransport(
            self.state, fault=fault, pause=_pause
        )
        self.store = store.Store(self.transport)
        # For reads of the test itself, without faults and pauses.
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
    """Run a coroutine to its end and return its result."""
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value


def _interleave(coroutines_by_name, choose, after_step):
    """Run all coroutines to their end; return results or errors by name.

    :param choose: function that selects the name of the next one to run.
    :param after_step: called after each step.
    """
    results_by_name = {}
    running_by_name = dict(coroutines_by_name)
    while running_by_name:
        name = choose(sorted(running_by_name))
        try:
            running_by_name[name].send(None)
        except StopIteration as stop:
            results_by_name[name] = stop.value
        except exceptions.LimpetliftError as error:
            results_by_name[name] = error
        if name in results_by_name:
            del running_by_name[name]
        after_step()
    return results_by_name


def _append_line(name):
    """Return a function that appends a line to the content in force."""
    return lambda data: data + name.encode("ascii") + b"\n"


_FAULTS = ["", "", "", "", "down", "lost", "late"]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
@hypothesis.given(strategies.data())
def test_no_change_is_lost_and_every_result_is_true(data):
    """A change must not be lost, and its reported result must be true.

    Two operators publish at the same time. Either may go wrong by their
    interleaving, by outages, by lost or late responses and by stale reads.
    """
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
        # The configuration must be complete at any time.
        head, content = _result(publication.read_current(world.reader))
        revisions.append(head.revision)
        world.state._stale_values = frozen
        assert content.count(b"\n") == head.revision

    operators = {
        name: world.operator(name, _append_line(name)) for name in "ab"
    }
    results_by_name = _interleave(
        operators,
        lambda names: draw(strategies.sampled_from(names)),
        after_step,
    )
    succeeded_by_name = {
        name: isinstance(result, publication.PublishResult)
        for name, result in results_by_name.items()
    }
    world.state.freeze_reads(False)
    for late in (False, True):
        # A result must stay true when delayed writes arrive after it.
        if late:
            world.transport.deliver_late()
            after_step()
        _, content = _result(publication.read_current(world.reader))
        for name, result in results_by_name.items():
            count = content.count(name.encode("ascii") + b"\n")
            if succeeded_by_name[name]:
                assert count == 1 and result.changed
            elif isinstance(result, exceptions.StoreOutcomeUnknown):
                assert count <= 1
            else:
                assert count == 0
    assert revisions == sorted(revisions)


def test_lost_answer_is_resolved_by_writing_again():
    """A published change must not be reported as a failure.

    That would come about if the head were read after a lost response, because
    the read may be stale.
    """
    faults = iter(["", "", "lost", "down"])
    world = _World(lambda path: next(faults, ""))
    operator = world.operator("a", _append_line("a"))
    world.state.freeze_reads(True)
    result = _result(operator)
    assert result.changed and result.head.revision == 1


def test_an_outage_is_reported_as_nothing_applied():
    """A change that may still take effect must not be reported as failed.

    In an outage before the head is written, nothing was applied; after a lost
    response to that write, the outcome is unknown.
    """
    world = _World(lambda path: "down")
    with pytest.raises(exceptions.StoreUnavailable):
        _result(world.operator("a", _append_line("a")))
    calls = iter(["", ""])
    world = _World(lambda path: next(calls, "late"))
    with pytest.raises(exceptions.StoreOutcomeUnknown):
        _result(world.operator("a", _append_line("a")))
    assert world.transport.late


def test_same_content_is_not_a_new_revision():
    """Publishing the same content twice must not write a second revision."""
    world = _World()
    _result(world.operator("a", lambda data: b"x"))
    result = _result(world.operator("b", lambda data: b"x"))
    assert (result.changed, result.head.revision) == (False, 1)


def test_history_is_pruned_and_large_values_are_split():
    """The store must not grow with each change or be sent too large values.

    It accepts values of up to 1 MB. Old revisions and their chunks are
    deleted.
    """
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
    """A configuration with a missing chunk must not be used.

    A reader would otherwise apply only a part of the content.
    """
    world = _World()
    head = _result(world.operator("a", lambda data: b"x")).head
    _result(world.reader.delete(publication.chunk_key(head.token, 0)))
    with pytest.raises(exceptions.ConfigIncomplete):
        _result(publication.read_current(world.reader))
    assert distribution.EMPTY_HEAD == publication.head_from_entry(None)
