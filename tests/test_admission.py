"""Admission control of one agent: slots, queue, history and hints."""

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


def _request(queue, now, request_id, deadline=10.0, work_class="", **options):
    return queue.on_request(
        now, request_id, deadline, work_class, 0, "POST /", **options
    )


def _record_runs(queue, run_time_s=0.1, count=8):
    """Fill the history of the queue with equal run times."""
    for number in range(count):
        _request(queue, 0.0, "warm-%d" % number)
        queue.on_finished(0.0, "warm-%d" % number, run_time_s)


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
def test_every_request_has_one_outcome(events, policy, slots):
    """Guards against lost requests, second runs and false refusals.

    Any order of arrivals, ends, cancels and ticks must give each request one
    outcome: it runs, is refused or cancelled, and nothing follows a refusal.
    """
    queue = _queue(slots, policy=policy, queue_limit=5)
    now, outcomes_by_id, deadlines_by_id, running = 0.0, {}, {}, []

    def check(results):
        for action in results:
            assert outcomes_by_id.get(action.request_id, "waits") == "waits"
            if isinstance(action, actions.Admit):
                assert deadlines_by_id[action.request_id] > now
                running.append(action.request_id)
                outcomes_by_id[action.request_id] = "ran"
            else:
                outcomes_by_id[action.request_id] = action.code

    for number, (kind, pause_s, slack_s, work_class, pick) in enumerate(
        events
    ):
        now += pause_s
        waiting = [
            r for r, outcome in outcomes_by_id.items() if outcome == "waits"
        ]
        if kind == "ask":
            request_id = str(number)
            deadlines_by_id[request_id] = now + slack_s
            outcomes_by_id[request_id] = "waits"
            check(_request(queue, now, request_id, now + slack_s, work_class))
        elif kind == "finish" and running:
            request_id = running.pop(pick % len(running))
            check(queue.on_finished(now, request_id, pause_s))
        elif kind == "cancel" and waiting:
            request_id = waiting[pick % len(waiting)]
            outcomes_by_id[request_id] = "cancelled"
            check(queue.on_cancel(now, request_id))
        else:
            check(queue.tick(now))
            assert all(
                deadlines_by_id[r] > now
                for r in waiting
                if r in outcomes_by_id and outcomes_by_id[r] == "waits"
            )
        assert queue.busy_slots == len(running) <= slots
        assert queue.queued == list(outcomes_by_id.values()).count("waits")
    check(queue.drain(now))
    assert "waits" not in outcomes_by_id.values() and queue.queued == 0


def test_early_refusal_spares_the_slot():
    """A request that would end too late must be refused on arrival.

    If it ran, its result would be useless and others would wait for the slot.
    """
    queue = _queue(slots=1)
    _record_runs(queue)
    _request(queue, 1.0, "runs", 2.0)
    assert _request(queue, 1.0, "late", 1.15) == [
        actions.Refused("late", "deadline_unreachable")
    ]
    assert _request(queue, 1.0, "waits", 2.0) == []


def test_earlier_deadline_starts_first():
    """A request with a late deadline must not delay one that is due earlier.

    Both wait, and the one that is due later arrived first.
    """
    queue = _queue(slots=1)
    for name, deadline in (("runs", 9.0), ("patient", 9.0), ("urgent", 3.0)):
        _request(queue, 0.0, name, deadline)
    assert queue.on_finished(0.1, "runs", 0.1) == [actions.Admit("urgent")]


def test_queue_limit_and_cancel():
    """A full queue must refuse, and a cancelled request must free its place.

    Otherwise the queue grows without bound, or stays full for good.
    """
    queue = _queue(slots=1, queue_limit=1)
    _request(queue, 0.0, "runs")
    _request(queue, 0.0, "waits")
    assert _request(queue, 0.0, "full")[0].code == "queue_full"
    queue.on_cancel(0.0, "waits")
    assert _request(queue, 0.0, "next") == []


def test_long_work_leaves_a_slot_for_short_work():
    """Declared long work must not hold every slot.

    Short work would wait for the whole run time of the long requests.
    """
    queue = _queue(slots=2)
    _request(queue, 0.0, "long-1", work_class="long")
    assert _request(queue, 0.0, "long-2", work_class="long") == []
    assert _request(queue, 0.0, "short") == [actions.Admit("short")]


def test_large_body_counts_as_long():
    """A request with a large body must be classified as long work.

    Uploads that nothing declares as long would take every slot.
    """
    queue = _queue(slots=2)
    for name in ("first", "second"):
        queue.on_request(
            0.0, name, 9.0, "", defaults.LONG_CONTENT_BYTES, "PUT /photo"
        )
    assert (queue.busy_slots, queue.queued) == (1, 1)


def test_route_history_recognises_long_work():
    """Long work that is not declared must be recognised by its route.

    After a few long runs of a route, its requests must not take every slot.
    """
    queue = _queue(slots=2)
    _record_runs(queue)
    for number in range(3):
        queue.on_request(0.0, "u%d" % number, 90.0, "", 0, "PUT /map")
        queue.on_finished(0.0, "u%d" % number, 5.0)
    for name in ("first", "second"):
        queue.on_request(0.0, name, 90.0, "", 0, "PUT /map")
    assert (queue.busy_slots, queue.queued) == (1, 1)


def test_running_past_the_median_counts_as_long():
    """Work that runs much longer than the median must count as long.

    A straggler without any sign before its start would count as short work
    while it holds its slot.
    """
    queue = _queue(slots=2)
    _record_runs(queue, run_time_s=0.1)
    _request(queue, 1.0, "straggler")
    queue.tick(1.4)
    assert queue.load(1.4, "a", "").long_running == 0
    queue.tick(1.6)
    assert queue.load(1.6, "a", "").long_running == 1


@pytest.mark.parametrize("slots", [1, 2, 3])
def test_waiting_classes_take_turns_by_time_used(slots):
    """Short and long work must not starve each other when both wait.

    Each class must get its share of the run time, although a long request
    takes ten times as long.
    """
    queue = _queue(slots=slots, queue_limit=1000)
    now, running, usage_s_by_class = 0.0, [], {"short": 0.0, "long": 0.0}
    run_time_s_by_class = {"short": 0.1, "long": 1.0}
    results = []
    for number in range(300):
        for kind in ("short", "long"):
            name = "%s-%d" % (kind, number)
            results += _request(queue, 0.0, name, 900.0, kind)
    while now < 15.0:
        for action in results:
            kind = action.request_id.partition("-")[0]
            usage_s_by_class[kind] += run_time_s_by_class[kind]
            running.append(
                (now + run_time_s_by_class[kind], action.request_id, kind)
            )
        running.sort()
        now, name, kind = running.pop(0)
        results = queue.on_finished(now, name, run_time_s_by_class[kind])
    share = usage_s_by_class["short"] / (
        usage_s_by_class["short"] + usage_s_by_class["long"]
    )
    assert 1 / 3 - 0.05 <= share <= 2 / 3 + 0.05


def test_drain_refuses_waiting_and_new_requests():
    """A draining agent must not start further requests.

    Waiting and new requests must be refused, and a slot that becomes free must
    stay empty.
    """
    queue = _queue(slots=1)
    _request(queue, 0.0, "runs")
    _request(queue, 0.0, "waits")
    assert queue.drain(0.0) == [actions.Refused("waits", "draining")]
    assert _request(queue, 0.0, "new") == [actions.Refused("new", "draining")]
    assert queue.on_finished(0.1, "runs", 0.1) == []


def test_hints_spread_over_free_peers_and_ignore_old_loads():
    """Hints must not point all refused requests to one peer or a silent one.

    Loads are reported at intervals, so the hints given since then must count,
    and an expired load must not be used.
    """
    queue = _queue(slots=1)
    _record_runs(queue)
    loads = [
        admission.Load(name, name, 2, 0, wait, wait)
        for name, wait in (("a", 0.0), ("b", 0.0), ("busy", 5.0))
    ]
    queue.on_peer_loads(0.0, loads)
    _request(queue, 0.0, "runs")
    hints = [
        _request(queue, 0.0, str(number), 0.01)[0].retry_at
        for number in range(5)
    ]
    # With two hints each, the peers have the same estimated wait as this
    # agent.
    assert sorted(hints) == ["", "a", "a", "b", "b"]
    later = defaults.PEER_LOAD_MAX_AGE_S + 0.1
    assert _request(queue, later, "x", later + 0.01)[0].retry_at == ""


def test_movable_request_goes_to_a_free_peer():
    """A request that can move must not wait while a peer has a free slot.

    One that cannot move must wait here.
    """
    queue = _queue(slots=1)
    _record_runs(queue)
    queue.on_peer_loads(0.0, [admission.Load("a", "a", 2, 0, 0.0, 0.0)])
    _request(queue, 0.0, "runs")
    assert _request(queue, 0.0, "moves", movable=True) == [
        actions.Refused("moves", "peer_free", "a")
    ]
    assert _request(queue, 0.0, "stays", movable=False) == []


def test_invalid_use_is_reported():
    """An unknown policy, no slots or a repeated id must raise an error.

    A second request with an id in use would overwrite the first one.
    """
    for arguments in ({"policy": "none"}, {"slots": 0}):
        with pytest.raises(exceptions.StateError):
            _queue(**arguments)
    queue = _queue()
    _request(queue, 0.0, "id")
    with pytest.raises(exceptions.StateError):
        _request(queue, 0.0, "id")


class _Counted(float):
    """A deadline that counts its comparisons."""

    count = 0

    def __lt__(self, other):
        _Counted.count += 1
        return float.__lt__(self, other)


@pytest.mark.parametrize("size", [10, 1_000, 100_000])
def test_queue_operations_are_logarithmic(size):
    """Adding, removing and starting must not get slow in a long queue.

    A search through the queue would need more comparisons than permitted.
    """
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
def test_run_time_until_agrees_with_a_plain_sum(slacks_s, now, until_s):
    """The wait estimate must count exactly the entries that are due earlier.

    Errors in the indexes of the ring of quanta would add or lose entries; one
    quantum of rounding is permitted.
    """
    waiting = backlog.Backlog()
    for number, slack_s in enumerate(slacks_s):
        due = now + slack_s
        waiting.push(
            now, backlog.Entry(str(number), due, due, False, 1.0, ("", ""))
        )
    quantum_s = defaults.QUEUE_QUANTUM_S
    least = sum(slack_s <= until_s - quantum_s for slack_s in slacks_s)
    most = sum(slack_s <= until_s + quantum_s for slack_s in slacks_s)
    total = waiting.run_time_until(now, now + until_s)
    assert least - 1e-6 <= total <= most + 1e-6


def test_route_leaves_out_identifiers():
    """Identifiers in paths must not make one route per request.

    No route would then get enough run times to recognise long work.
    """
    assert history.route_of("GET", "/orders/17/items?x=1") == (
        "GET /orders/*/items"
    )
    assert history.route_of("GET", "/" + "x" * 40) == "GET /*"
