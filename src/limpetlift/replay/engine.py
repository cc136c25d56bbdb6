"""Virtual time and the network between processes."""

import heapq
import itertools
import random

import attrs


@attrs.define
class Clock:
    """Runs callbacks in order of virtual time."""

    now: float = 0.0
    _queue: list = attrs.field(factory=list)
    _numbers: object = attrs.field(factory=itertools.count)

    def at(self, when, callback, *arguments):
        """Run ``callback`` at ``when``, or at once if that has passed."""
        heapq.heappush(
            self._queue,
            (max(when, self.now), next(self._numbers), callback, arguments),
        )

    def after(self, seconds, callback, *arguments):
        """Run ``callback`` after ``seconds``."""
        self.at(self.now + seconds, callback, *arguments)

    def run(self, until):
        """Run everything that is due before ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _number, callback, arguments = heapq.heappop(self._queue)
            callback(*arguments)
        self.now = until


@attrs.frozen
class _Partition:
    left: frozenset
    right: frozenset

    def separates(self, one, other):
        return (
            one & self.left
            and other & self.right
            or one & self.right
            and other & self.left
        )


@attrs.define
class Network:
    """Delays, loses and cuts messages between processes.

    A paused process gets what was sent to it when it resumes, in the order
    of arrival; a dead one gets nothing.

    :param header: the :class:`limpetlift.replay.trace.Header`.
    """

    clock: Clock
    header: object
    rng: random.Random
    processes_by_id: dict = attrs.field(factory=dict)
    lag_by_id: dict = attrs.field(factory=dict)
    messages: int = 0
    _partitions: list = attrs.field(factory=list)

    def cut(self, left, right, for_s):
        """Separate two sets of data centres or processes."""
        partition = _Partition(frozenset(left), frozenset(right))
        self._partitions.append(partition)
        self.clock.after(for_s, self._partitions.remove, partition)

    def lag(self, process_id, delay_s, for_s):
        """Delay control messages to a process."""
        self.lag_by_id[process_id] = delay_s
        self.clock.after(for_s, self.lag_by_id.pop, process_id, None)

    def reaches(self, source, target):
        """Whether a message now gets from one process to another."""
        one = {source.id, source.data_centre}
        other = {target.id, target.data_centre}
        return not any(p.separates(one, other) for p in self._partitions)

    def delay(self, source, target):
        """Return the seconds that a message takes."""
        base = self.header.one_way_ms / 1000
        if source.data_centre == target.data_centre:
            base /= 4
        return base * self.rng.uniform(0.8, 1.5)

    def datagram(self, source, target_id, callback, *arguments, control=True):
        """Deliver ``callback(*arguments)`` to a process, or lose it."""
        self.messages += 1
        target = self.processes_by_id.get(target_id)
        if target is None or self.rng.random() < self.header.loss:
            return
        if not self.reaches(source, target):
            return
        delay = self.delay(source, target)
        if control:
            delay += self.lag_by_id.get(target_id, 0.0)
        self.clock.after(delay, self._arrive, target, callback, arguments)

    def _arrive(self, target, callback, arguments):
        if target.alive:
            target.receive(callback, arguments)

    def stream(self, source, target_id, callback, *arguments):
        """Deliver over a connection: not lost, but cut with the network.

        :returns: whether the connection stands.
        """
        target = self.processes_by_id.get(target_id)
        if (
            target is None
            or not target.alive
            or not self.reaches(source, target)
        ):
            return False
        self.clock.after(
            self.delay(source, target),
            self._arrive,
            target,
            callback,
            arguments,
        )
        return True
