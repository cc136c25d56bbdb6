"""Waiting requests in the order of a policy, with logarithmic operations."""

import heapq

import attrs

from limpetlift import defaults


@attrs.define(eq=False)
class Entry:
    """A request that waits or runs.

    :param rank: the lowest one starts first.
    :param long: whether it was recognised as long work before its start.
    :param seconds: estimated run time, 0 when unknown.
    :param route: key of the run time history.
    :param started_at: start time, or None while it waits.
    :param overdue: whether it was recognised as long work while running.
    :param movable: whether its sender can send it to another agent.
    """

    request_id: str
    deadline: float
    rank: float
    long: bool
    seconds: float
    route: tuple
    started_at: float | None = None
    overdue: bool = False
    movable: bool = False
    sequence: int = 0
    quantum: int = 0

    @property
    def holds_long(self):
        """Whether its slot counts as held by long work."""
        return self.long or self.overdue


@attrs.define
class _Sums:
    """A Fenwick tree over a ring of deadline quanta."""

    _nodes: list = attrs.field(
        factory=lambda: [0.0] * (defaults.QUEUE_QUANTA + 1)
    )

    def add(self, quantum, seconds):
        index = quantum % defaults.QUEUE_QUANTA + 1
        while index <= defaults.QUEUE_QUANTA:
            self._nodes[index] += seconds
            index += index & -index

    def between(self, first, last):
        """Return the sum over the quanta from ``first`` to ``last``."""
        first %= defaults.QUEUE_QUANTA
        last %= defaults.QUEUE_QUANTA
        total = self._before(last + 1) - self._before(first)
        if last < first:
            total += self._before(defaults.QUEUE_QUANTA)
        return max(total, 0.0)

    def _before(self, index):
        total = 0.0
        while index > 0:
            total += self._nodes[index]
            index -= index & -index
        return total


def _quantum(seconds):
    return int(seconds / defaults.QUEUE_QUANTUM_S)


@attrs.define
class Backlog:
    """Requests that wait, by rank and by deadline.

    Removed entries stay in the heaps until they surface or outnumber the
    live ones, so that a removal costs no search.
    """

    _entries_by_id: dict = attrs.field(factory=dict)
    _movable_by_id: dict = attrs.field(factory=dict)
    _by_rank: list = attrs.field(factory=list)
    _by_deadline: list = attrs.field(factory=list)
    _sums: _Sums = attrs.field(factory=_Sums)
    _sequence: int = 0

    def __len__(self):
        return len(self._entries_by_id)

    def __contains__(self, request_id):
        return request_id in self._entries_by_id

    def push(self, now, entry):
        """Add ``entry``."""
        if not self._entries_by_id:
            # A fresh tree ends the rounding errors of past sums.
            self._sums = _Sums()
        self._sequence += 1
        entry.sequence = self._sequence
        entry.quantum = _clamped_quantum(now, entry.deadline)
        self._entries_by_id[entry.request_id] = entry
        if entry.movable:
            self._movable_by_id[entry.request_id] = entry
        heapq.heappush(self._by_rank, (entry.rank, entry.sequence, entry))
        heapq.heappush(
            self._by_deadline, (entry.deadline, entry.sequence, entry)
        )
        self._sums.add(entry.quantum, entry.seconds)

    def remove(self, request_id):
        """Return the entry after removing it, or None."""
        entry = self._entries_by_id.pop(request_id, None)
        if entry is not None:
            self._movable_by_id.pop(request_id, None)
            self._sums.add(entry.quantum, -entry.seconds)
            self._by_rank = self._compact(self._by_rank)
            self._by_deadline = self._compact(self._by_deadline)
        return entry

    def pop(self):
        """Remove and return the entry of the lowest rank, or None."""
        entry = self._first(self._by_rank)
        return entry and self.remove(entry.request_id)

    def pop_expired(self, now):
        """Remove and return an entry whose deadline passed, or None."""
        entry = self._first(self._by_deadline)
        if entry is None or entry.deadline > now:
            return None
        return self.remove(entry.request_id)

    def movable(self):
        """Return the entries that can be sent to another agent."""
        return list(self._movable_by_id.values())

    def seconds_before(self, now, deadline):
        """Return the run time of all entries due until ``deadline``."""
        return self._sums.between(
            _quantum(now), _clamped_quantum(now, deadline)
        )

    def _first(self, heap):
        while heap:
            entry = heap[0][2]
            if self._is_live(heap[0]):
                return entry
            heapq.heappop(heap)
        return None

    def _is_live(self, item):
        return self._entries_by_id.get(item[2].request_id) is item[2]

    def _compact(self, heap):
        if len(heap) <= 2 * len(self._entries_by_id) + 64:
            return heap
        heap = [item for item in heap if self._is_live(item)]
        heapq.heapify(heap)
        return heap


def _clamped_quantum(now, deadline):
    horizon = (defaults.QUEUE_QUANTA - 1) * defaults.QUEUE_QUANTUM_S
    return _quantum(min(max(deadline, now), now + horizon))
