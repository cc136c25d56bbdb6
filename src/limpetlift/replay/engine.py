"""Virtual clock and simulated network of a replay."""

import heapq
import itertools
import random

import attrs


@attrs.define
class Clock:
    """Runs callbacks in order of virtual time.

    Callbacks for the same time run in the order in which they were added.

    :param now: virtual time in seconds.
    """

    now: float = 0.0
    _queue: list = attrs.field(factory=list)
    _sequence_numbers: object = attrs.field(factory=itertools.count)

    def at(self, when, callback, *arguments):
        """Call ``callback`` at ``when``, or now if that time has passed."""
        heapq.heappush(
            self._queue,
            (
                max(when, self.now),
                next(self._sequence_numbers),
                callback,
                arguments,
            ),
        )

    def after(self, delay_s, callback, *arguments):
        """Call ``callback`` after ``delay_s`` seconds."""
        self.at(self.now + delay_s, callback, *arguments)

    def run(self, until):
        """Run the callbacks that are due up to ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _sequence_number, callback, arguments = heapq.heappop(
                self._queue
            )
            callback(*arguments)
        self.now = until


@attrs.frozen
class _Partition:
    """Two sets of data centres or processes that cannot reach each other."""

    left: frozenset
    right: frozenset

    def separates(self, one, other):
        """Whether two processes are on different sides.

        :param one: set of the id and the data centre of a process.
        :param other: the same of another process.
        """
        return (
            one & self.left
            and other & self.right
            or one & self.right
            and other & self.left
        )


@attrs.define
class Network:
    """Simulated network with delay, loss and partitions.

    A paused process handles the messages that arrived meanwhile when it
    resumes, in the order of arrival. Messages to a process that is not
    running are lost.

    :param clock: the :class:`Clock` of the replay.
    :param header: the :class:`limpetlift.replay.trace.Header`.
    :param rng: source of the delays and of the loss.
    :param processes_by_id: all :class:`limpetlift.replay.nodes.Node` objects.
    :param lag_s_by_id: extra delay of control messages to a process.
    :param datagram_count: number of datagrams sent so far.
    """

    clock: Clock
    header: object
    rng: random.Random
    processes_by_id: dict = attrs.field(factory=dict)
    lag_s_by_id: dict = attrs.field(factory=dict)
    datagram_count: int = 0
    _partitions: list = attrs.field(factory=list)

    def cut(self, left, right, for_s):
        """Partition two sets of data centres or processes for ``for_s``."""
        partition = _Partition(frozenset(left), frozenset(right))
        self._partitions.append(partition)
        self.clock.after(for_s, self._partitions.remove, partition)

    def lag(self, process_id, delay_s, for_s):
        """Delay control messages to a process by ``delay_s`` for ``for_s``."""
        self.lag_s_by_id[process_id] = delay_s
        self.clock.after(for_s, self.lag_s_by_id.pop, process_id, None)

    def is_reachable(self, source, target):
        """Whether no partition separates two processes at present."""
        one = {source.id, source.data_centre}
        other = {target.id, target.data_centre}
        return not any(p.separates(one, other) for p in self._partitions)

    def draw_delay_s(self, source, target):
        """Return a random one-way delay between two processes."""
        base_s = self.header.one_way_ms / 1000
        if source.data_centre == target.data_centre:
            base_s /= 4
        return base_s * self.rng.uniform(0.8, 1.5)

    def send_datagram(
        self, source, target_id, callback, *arguments, is_control=True
    ):
        """Send a datagram, which may be lost.

        :param source: the sender, a :class:`limpetlift.replay.nodes.Node`.
        :param target_id: process id of the receiver.
        :param callback: called with ``arguments`` at the receiver.
        :param is_control: whether it is a control message, which the lag of
            the receiver delays.
        """
        self.datagram_count += 1
        target = self.processes_by_id.get(target_id)
        if target is None or self.rng.random() < self.header.loss:
            return
        if not self.is_reachable(source, target):
            return
        delay_s = self.draw_delay_s(source, target)
        if is_control:
            delay_s += self.lag_s_by_id.get(target_id, 0.0)
        self.clock.after(delay_s, self._deliver, target, callback, arguments)

    def _deliver(self, target, callback, arguments):
        if target.alive:
            target.receive(callback, arguments)

    def send_on_connection(self, source, target_id, callback, *arguments):
        """Send a message on a connection, where no message is lost.

        :param source: the sender, a :class:`limpetlift.replay.nodes.Node`.
        :param target_id: process id of the receiver.
        :param callback: called with ``arguments`` at the receiver.
        :returns: whether the receiver runs and can be reached. If not, the
            message is not sent.
        """
        target = self.processes_by_id.get(target_id)
        if (
            target is None
            or not target.alive
            or not self.is_reachable(source, target)
        ):
            return False
        self.clock.after(
            self.draw_delay_s(source, target),
            self._deliver,
            target,
            callback,
            arguments,
        )
        return True
