"""A small event loop for sockets, timers, signals and coroutines.

It needs only the ``selectors`` module of the standard library, which keeps the
start of a process short. Importing the event loop and the HTTP modules of
tornado takes 0.15 s of processor time. That is 0.6 s on an instance with a
quarter of a core, for which callers would wait after every restart.
"""

import heapq
import itertools
import os
import selectors
import signal

from limpetlift import clock
from limpetlift import logs

LOG = logs.EventLogger("reactor")

# Size of a read from the wake-up pipe, which holds one byte for each signal.
_SIGNAL_BYTES = 64


class Timer:
    """A callback that is scheduled for a point in time.

    :param deadline: when the callback is due, in seconds (monotonic).
    :param callback: called without arguments.
    """

    __slots__ = ("deadline", "callback")

    def __init__(self, deadline, callback):
        self.deadline = deadline
        self.callback = callback

    def cancel(self):
        """Cancel the timer, so that the callback is not called."""
        self.callback = None


class Future:
    """The result of an operation in progress, awaited by one coroutine."""

    __slots__ = ("is_done", "_value", "_error", "_resume")

    def __init__(self):
        self.is_done = False
        self._value = None
        self._error = None
        self._resume = None

    def set_value(self, value=None):
        """Finish with a value; a future that is done does not change."""
        self._finish(value, None)

    def set_error(self, error):
        """Finish with an exception; a future that is done does not change."""
        self._finish(None, error)

    def _finish(self, value, error):
        if self.is_done:
            return
        self.is_done = True
        self._value = value
        self._error = error
        if self._resume is not None:
            self._resume()

    def __await__(self):
        if not self.is_done:
            yield self
        if self._error is not None:
            raise self._error
        return self._value

    def on_done(self, resume):
        """Call ``resume`` when the future is done."""
        self._resume = resume


class Task:
    """A coroutine that the reactor runs."""

    def __init__(self, coroutine):
        self._coroutine = coroutine
        self.is_done = False

    def step(self):
        """Run the coroutine until it awaits a future or ends."""
        if self.is_done:
            return
        try:
            future = self._coroutine.send(None)
        except StopIteration:
            self.is_done = True
        except Exception as error:
            self.is_done = True
            LOG.error("task_failed", exc_info=_exc_info(error))
        else:
            future.on_done(self.step)

    def cancel(self):
        """Close the coroutine at its current ``await``."""
        if not self.is_done:
            self.is_done = True
            self._coroutine.close()


class Reactor:
    """Runs callbacks for sockets, timers and signals in one thread.

    .. versionadded:: 0.2
    """

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers = []
        # Orders timers with the same deadline.
        self._sequence = itertools.count()
        self._callbacks_by_signal = {}
        self._is_stopped = False
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        signal.set_wakeup_fd(self._wake_writer)
        self.watch(self._wake_reader, self._on_wake)

    def watch(self, source, on_readable=None, on_writable=None):
        """Register callbacks for a socket or another file object.

        A further call for the same object replaces its callbacks; a call
        without callbacks unregisters it.

        :param source: an object with a ``fileno`` method, or a descriptor.
        :param on_readable: called when it can be read.
        :param on_writable: called when it can be written.
        """
        events = 0
        if on_readable is not None:
            events |= selectors.EVENT_READ
        if on_writable is not None:
            events |= selectors.EVENT_WRITE
        is_registered = source in self._selector.get_map()
        if not events:
            if is_registered:
                self._selector.unregister(source)
        elif is_registered:
            self._selector.modify(source, events, (on_readable, on_writable))
        else:
            self._selector.register(source, events, (on_readable, on_writable))

    def call_at(self, deadline, callback):
        """Call ``callback`` at a point in time.

        :param deadline: in seconds (monotonic).
        :returns: a :class:`Timer` that cancels the call.
        """
        timer = Timer(deadline, callback)
        heapq.heappush(self._timers, (deadline, next(self._sequence), timer))
        return timer

    def call_every(self, interval_s, callback):
        """Call ``callback`` at an interval.

        :returns: a function that ends the calls.
        """
        timers = []

        def run():
            timers[:] = [self.call_at(clock.now() + interval_s, run)]
            callback()

        timers.append(self.call_at(clock.now() + interval_s, run))
        return lambda: timers[0].cancel()

    def on_signal(self, number, callback):
        """Call ``callback`` after the signal with this number."""
        self._callbacks_by_signal[number] = callback
        signal.signal(number, _ignore)

    def spawn(self, coroutine):
        """Start a coroutine; return its :class:`Task`."""
        task = Task(coroutine)
        task.step()
        return task

    async def sleep(self, seconds):
        """Wait for ``seconds``."""
        future = Future()
        self.call_at(clock.now() + seconds, future.set_value)
        await future

    def run(self):
        """Run until :meth:`stop` is called."""
        self._is_stopped = False
        while not self._is_stopped:
            for key, mask in self._selector.select(self._timeout_s()):
                on_readable, on_writable = key.data
                if mask & selectors.EVENT_READ and on_readable is not None:
                    self._call(on_readable)
                elif mask & selectors.EVENT_WRITE and on_writable is not None:
                    self._call(on_writable)
            self._run_timers()

    @staticmethod
    def _call(callback):
        """Call a callback; log its exception and keep the loop running."""
        try:
            callback()
        except Exception as error:
            LOG.error("callback_failed", exc_info=_exc_info(error))

    def stop(self):
        """Make :meth:`run` return after the current iteration."""
        self._is_stopped = True

    def _timeout_s(self):
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(self._timers[0][0] - clock.now(), 0.0)

    def _run_timers(self):
        now = clock.now()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                self._call(timer.callback)

    def _on_wake(self):
        for number in os.read(self._wake_reader, _SIGNAL_BYTES):
            callback = self._callbacks_by_signal.get(number)
            if callback is not None:
                self._call(callback)

    def close(self):
        """Close the selector and the wake-up pipe."""
        signal.set_wakeup_fd(-1)
        self._selector.close()
        os.close(self._wake_reader)
        os.close(self._wake_writer)


def _exc_info(error):
    return type(error), error, error.__traceback__


def _ignore(_number, _frame):
    """Do nothing: the reactor reads the signal from its wake-up pipe."""
