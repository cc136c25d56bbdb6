"""Slots and queue of one agent."""

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import backlog
from limpetlift.state import history


def _queue(slots=2, **options):
    return admission.AdmissionQueue(slots, random.Random(1), **options)


def _ask(queue, now, request_id, deadline=10.0, work_class="", **options):
    return queue.on_request(
        now, request_id, deadline, work_class, 0, "POST /", **options
    )


def _warm(queue, seconds=0.1, count=8):
    """Give the queue a history of equal run times."""
    for number in range(count):
        _ask(queue, 0.0, "warm-%d" % number)
        queue.on_finished(0.0, "warm-%d" % number, seconds)


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["ask", "ask", "finish", "cancel", "tick"]),
        strategies.floats(0.0, 0.5),
        strategies.floats(-0.1, 3.0),
        strategies.sampled_from(["", "short", "long"]),
        strategies.integers(0, 1000),
    ),
    max_size=60,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    _EVENTS,
    strategies.sampled_from(["fifo", "deadline"]),
    strategies.integers(1, 3),
)
def test_every_request_has_one_fate(events, policy, slots):
    """A refusal must be true (P4), and no request is lost or runs twice."""
    queue = _queue(slots, policy=policy, queue_limit=5)
    now, fates, deadlines, running = 0.0, {}, {}, []

    def note(results):
        for action in results:
            assert fates.get(action.request_id, "waits") == "waits"
            if isinstance(action, actions.Admit):
                assert deadlines[action.request_id] > now
                running.append(action.request_id)
                fates[action.request_id] = "ran"
            else:
                fates[action.request_id] = action.code

    for number, (kind, pause, slack, work_class, pick) in enumerate(events):
        now += pause
        waiting = [r for r, fate in fates.items() if fate == "waits"]
        if kind == "ask":
            name = str(number)
            deadlines[name] = now + slack
            fates[name] = "waits"
            note(_ask(queue, now, name, now + slack, work_class))
        elif kind == "finish" and running:
            name = running.pop(pick % len(running))
            note(queue.on_finished(now, name, pause))
        elif kind == "cancel" and waiting:
            name = waiting[pick % len(waiting)]
            fates[name] = "cancelled"
            note(queue.on_cancel(now, name))
        else:
            note(queue.tick(now))
            assert all(
                deadlines[r] > now
                for r in waiting
                if r in fates and fates[r] == "waits"
            )
        assert queue.busy_slots == len(running) <= slots
        assert queue.queued == list(fates.values()).count("waits")
    note(queue.drain(now))
    assert "waits" not in fates.values() and queue.queued == 0


def test_early_refusal_spares_the_slot():
    """A request that would end late must be refused at once, not run."""
    queue = _queue(slots=1)
    _warm(queue)
    _ask(queue, 1.0, "runs", 2.0)
    assert _ask(queue, 1.0, "late", 1.15) == [
        actions.Refused("late", "deadline_unreachable")
    ]
    assert _ask(queue, 1.0, "waits", 2.0) == []


def test_earlier_deadline_starts_first():
    """A patient request must not delay an urgent one."""
    queue = _queue(slots=1)
    for name, deadline in (("runs", 9.0), ("patient", 9.0), ("urgent", 3.0)):
        _ask(queue, 0.0, name, deadline)
    assert queue.on_finished(0.1, "runs", 0.1) == [actions.Admit("urgent")]


def test_queue_limit_and_cancel():
    """A full queue must refuse, and a cancel must free a place."""
    queue = _queue(slots=1, queue_limit=1)
    _ask(queue, 0.0, "runs")
    _ask(queue, 0.0, "waits")
    assert _ask(queue, 0.0, "full")[0].code == "queue_full"
    queue.on_cancel(0.0, "waits")
    assert _ask(queue, 0.0, "next") == []


def test_long_work_leaves_a_slot_for_short_work():
    """Declared long work must never hold every slot."""
    queue = _queue(slots=2)
    _ask(queue, 0.0, "long-1", work_class="long")
    assert _ask(queue, 0.0, "long-2", work_class="long") == []
    assert _ask(queue, 0.0, "short") == [actions.Admit("short")]


def test_large_body_counts_as_long():
    """An upload must be recognised although nothing declares it."""
    queue = _queue(slots=2)
    for name in ("first", "second"):
        queue.on_request(
            0.0, name, 9.0, "", defaults.LONG_CONTENT_BYTES, "PUT /photo"
        )
    assert (queue.busy_slots, queue.queued) == (1, 1)


def test_route_history_recognises_long_work():
    """Undeclared long work of a known route must not take every slot."""
    queue = _queue(slots=2)
    _warm(queue)
    for number in range(3):
        queue.on_request(0.0, "u%d" % number, 90.0, "", 0, "PUT /map")
        queue.on_finished(0.0, "u%d" % number, 5.0)
    for name in ("first", "second"):
        queue.on_request(0.0, name, 90.0, "", 0, "PUT /map")
    assert (queue.busy_slots, queue.queued) == (1, 1)


def test_running_past_the_median_counts_as_long():
    """Long work without any sign before its start must count once seen."""
    queue = _queue(slots=2)
    _warm(queue, seconds=0.1)
    _ask(queue, 1.0, "straggler")
    queue.tick(1.4)
    assert queue.load(1.4, "a", "").long_running == 0
    queue.tick(1.6)
    assert queue.load(1.6, "a", "").long_running == 1


@pytest.mark.parametrize("slots", [1, 2, 3])
def test_waiting_classes_take_turns_by_time_used(slots):
    """Neither class may starve the other when both wait."""
    queue = _queue(slots=slots, queue_limit=1000)
    now, running, used = 0.0, [], {"short": 0.0, "long": 0.0}
    seconds = {"short": 0.1, "long": 1.0}
    results = []
    for number in range(300):
        for kind in ("short", "long"):
            name = "%s-%d" % (kind, number)
            results += _ask(queue, 0.0, name, 900.0, kind)
    while now < 15.0:
        for action in results:
            kind = action.request_id.partition("-")[0]
            used[kind] += seconds[kind]
            running.append((now + seconds[kind], action.request_id, kind))
        running.sort()
        now, name, kind = running.pop(0)
        results = queue.on_finished(now, name, seconds[kind])
    share = used["short"] / (used["short"] + used["long"])
    assert 1 / 3 - 0.05 <= share <= 2 / 3 + 0.05


def test_drain_refuses_waiting_and_new_requests():
    """A draining agent must finish what runs and take nothing else."""
    queue = _queue(slots=1)
    _ask(queue, 0.0, "runs")
    _ask(queue, 0.0, "waits")
    assert queue.drain(0.0) == [actions.Refused("waits", "draining")]
    assert _ask(queue, 0.0, "new") == [actions.Refused("new", "draining")]
    assert queue.on_finished(0.1, "runs", 0.1) == []


def test_hints_spread_over_free_peers_and_ignore_old_loads():
    """Refused requests must not all be sent to one peer or a stale one."""
    queue = _queue(slots=1)
    _warm(queue)
    loads = [
        admission.Load(name, name, 2, 0, wait, wait)
        for name, wait in (("a", 0.0), ("b", 0.0), ("busy", 5.0))
    ]
    queue.on_peer_loads(0.0, loads)
    _ask(queue, 0.0, "runs")
    hints = [
        _ask(queue, 0.0, str(number), 0.01)[0].retry_at for number in range(5)
    ]
    # After two hints each, the peers look as busy as this agent.
    assert sorted(hints) == ["", "a", "a", "b", "b"]
    later = defaults.PEER_LOAD_MAX_AGE_S + 0.1
    assert _ask(queue, later, "x", later + 0.01)[0].retry_at == ""


def test_movable_request_goes_to_a_free_peer():
    """A request that can move must not wait behind long work."""
    queue = _queue(slots=1)
    _warm(queue)
    queue.on_peer_loads(0.0, [admission.Load("a", "a", 2, 0, 0.0, 0.0)])
    _ask(queue, 0.0, "runs")
    assert _ask(queue, 0.0, "moves", movable=True) == [
        actions.Refused("moves", "peer_free", "a")
    ]
    assert _ask(queue, 0.0, "stays", movable=False) == []


def test_invalid_use_is_reported():
    """A wrong policy, size or a repeated id must fail loudly."""
    for arguments in ({"policy": "none"}, {"slots": 0}):
        with pytest.raises(exceptions.StateError):
            _queue(**arguments)
    queue = _queue()
    _ask(queue, 0.0, "id")
    with pytest.raises(exceptions.StateError):
        _ask(queue, 0.0, "id")


class _Counted(float):
    """A deadline that counts comparisons."""

    count = 0

    def __lt__(self, other):
        _Counted.count += 1
        return float.__lt__(self, other)


@pytest.mark.parametrize("size", [10, 1_000, 100_000])
def test_queue_operations_are_logarithmic(size):
    """A long queue must not make enqueue, refuse and cancel slow."""
    rng = random.Random(size)
    waiting = backlog.Backlog()

    def entry(number):
        due = _Counted(rng.uniform(1.0, 60.0))
        return backlog.Entry(str(number), due, due, False, 0.1, ("", ""))

    for number in range(size):
        waiting.push(0.0, entry(number))
    _Counted.count = 0
    for number in range(size, size + 100):
        waiting.push(0.0, entry(number))
        waiting.remove(str(number - size // 2))
        waiting.pop()
    assert _Counted.count <= 300 * 6 * math.log2(size + 100)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 63.0), max_size=40),
    strategies.floats(0.0, 1e6),
    strategies.floats(0.0, 63.0),
)
def test_seconds_before_agrees_with_a_plain_sum(slacks, now, until):
    """The wait estimate must count exactly the entries due earlier."""
    waiting = backlog.Backlog()
    for number, slack in enumerate(slacks):
        due = now + slack
        waiting.push(
            now, backlog.Entry(str(number), due, due, False, 1.0, ("", ""))
        )
    quantum = defaults.QUEUE_QUANTUM_S
    least = sum(slack <= until - quantum for slack in slacks)
    most = sum(slack <= until + quantum for slack in slacks)
    total = waiting.run_time_until(now, now + until)
    assert least - 1e-6 <= total <= most + 1e-6


def test_route_leaves_out_identifiers():
    """Identifiers in paths must not make one route per request."""
    assert history.route_of("GET", "/orders/17/items?x=1") == (
        "GET /orders/*/items"
    )
    assert history.route_of("GET", "/" + "x" * 40) == "GET /*"
