"""Queue of waiting requests, ordered by the rank that a policy assigns.

Operations take amortised logarithmic time, except
:meth:`Backlog.movable_entries`.
"""

import heapq

import attrs

from limpetlift import defaults


@attrs.define(eq=False)
class Entry:
    """A request that waits or runs.

    :param deadline: local time by which the answer must be complete.
    :param rank: sort key; the entry with the lowest rank starts first.
    :param is_long: whether it was classified as long work on arrival.
    :param estimate_s: estimated run time, 0 when unknown.
    :param history_key: key of its run times in the history.
    :param started_at: start time, or None while it waits.
    :param became_long: whether it was classified as long work while running.
    :param movable: whether its sender can send it to another agent.
    :param sequence: order of insertion; breaks ties of equal sort keys.
    :param quantum: quantum of its deadline, see ``QUEUE_QUANTUM_S``.
    """

    request_id: str
    deadline: float
    rank: float
    is_long: bool
    estimate_s: float
    history_key: tuple
    started_at: float | None = None
    became_long: bool = False
    movable: bool = False
    sequence: int = 0
    quantum: int = 0

    @property
    def counts_as_long(self):
        """Whether its slot counts as held by long work."""
        return self.is_long or self.became_long


@attrs.define
class _FenwickTree:
    """Sums of run times over a ring of deadline quanta."""

    _nodes: list = attrs.field(
        factory=lambda: [0.0] * (defaults.QUEUE_QUANTA + 1)
    )

    def add(self, quantum, run_time_s):
        """Add ``run_time_s``, which may be negative, to a quantum."""
        index = quantum % defaults.QUEUE_QUANTA + 1
        while index <= defaults.QUEUE_QUANTA:
            self._nodes[index] += run_time_s
            index += index & -index

    def sum_between(self, first, last):
        """Return the sum over the quanta from ``first`` to ``last``."""
        first %= defaults.QUEUE_QUANTA
        last %= defaults.QUEUE_QUANTA
        total = self._prefix_sum(last + 1) - self._prefix_sum(first)
        if last < first:
            total += self._prefix_sum(defaults.QUEUE_QUANTA)
        return max(total, 0.0)

    def _prefix_sum(self, index):
        total = 0.0
        while index > 0:
            total += self._nodes[index]
            index -= index & -index
        return total


def _quantum_of(at):
    return int(at / defaults.QUEUE_QUANTUM_S)


@attrs.define
class Backlog:
    """Waiting requests, indexed by id, rank and deadline.

    A removed entry stays in the heaps until it reaches the top or removed
    entries outnumber the live ones, so that a removal needs no search.
    """

    _entries_by_id: dict = attrs.field(factory=dict)
    _movable_by_id: dict = attrs.field(factory=dict)
    _rank_heap: list = attrs.field(factory=list)
    _deadline_heap: list = attrs.field(factory=list)
    _run_times: _FenwickTree = attrs.field(factory=_FenwickTree)
    _last_sequence: int = 0

    def __len__(self):
        return len(self._entries_by_id)

    def __contains__(self, request_id):
        return request_id in self._entries_by_id

    def push(self, now, entry):
        """Add an entry and set its ``sequence`` and ``quantum``."""
        if not self._entries_by_id:
            # A new tree discards accumulated rounding errors.
            self._run_times = _FenwickTree()
        self._last_sequence += 1
        entry.sequence = self._last_sequence
        entry.quantum = _clamped_quantum(now, entry.deadline)
        self._entries_by_id[entry.request_id] = entry
        if entry.movable:
            self._movable_by_id[entry.request_id] = entry
        heapq.heappush(self._rank_heap, (entry.rank, entry.sequence, entry))
        heapq.heappush(
            self._deadline_heap, (entry.deadline, entry.sequence, entry)
        )
        self._run_times.add(entry.quantum, entry.estimate_s)

    def remove(self, request_id):
        """Remove and return the entry of a request, or return None."""
        entry = self._entries_by_id.pop(request_id, None)
        if entry is not None:
            self._movable_by_id.pop(request_id, None)
            self._run_times.add(entry.quantum, -entry.estimate_s)
            self._rank_heap = self._compact(self._rank_heap)
            self._deadline_heap = self._compact(self._deadline_heap)
        return entry

    def pop(self):
        """Remove and return the entry with the lowest rank, or None."""
        entry = self._peek(self._rank_heap)
        return entry and self.remove(entry.request_id)

    def pop_expired(self, now):
        """Remove and return an entry whose deadline has passed, or None."""
        entry = self._peek(self._deadline_heap)
        if entry is None or entry.deadline > now:
            return None
        return self.remove(entry.request_id)

    def movable_entries(self):
        """Return the entries that can be sent to another agent."""
        return list(self._movable_by_id.values())

    def run_time_until(self, now, deadline):
        """Return the estimated run time of all entries due by ``deadline``.

        Deadlines are rounded to quanta, and those beyond the range of the
        tree are taken for its end.
        """
        return self._run_times.sum_between(
            _quantum_of(now), _clamped_quantum(now, deadline)
        )

    def _peek(self, heap):
        """Return the first live entry of a heap, or None."""
        while heap:
            entry = heap[0][2]
            if self._is_live(heap[0]):
                return entry
            heapq.heappop(heap)
        return None

    def _is_live(self, item):
        return self._entries_by_id.get(item[2].request_id) is item[2]

    def _compact(self, heap):
        """Drop removed entries if there are many; return the heap."""
        if len(heap) <= 2 * len(self._entries_by_id) + 64:
            return heap
        heap = [item for item in heap if self._is_live(item)]
        heapq.heapify(heap)
        return heap


def _clamped_quantum(now, deadline):
    horizon_s = (defaults.QUEUE_QUANTA - 1) * defaults.QUEUE_QUANTUM_S
    return _quantum_of(min(max(deadline, now), now + horizon_s))
