"""A small event loop for processes that start often on slow instances.

It serves sockets, timers, signals and coroutines with the standard library's
``selectors`` alone. Importing the loop and the HTTP modules of tornado takes
0.15 s of processor time, which is 0.6 s on an entry instance with a quarter of
a core: 0.6 s in which callers wait after every restart.
"""

import heapq
import itertools
import os
import selectors
import signal
import time

from limpetlift import logs

LOG = logs.EventLogger("reactor")

# Signals read at a time.
_SIGNAL_BYTES = 64


class Timer:
    """A callback that is due at a time.

    :param deadline: in seconds (monotonic).
    """

    __slots__ = ("deadline", "callback")

    def __init__(self, deadline, callback):
        self.deadline = deadline
        self.callback = callback

    def cancel(self):
        """Do not call back."""
        self.callback = None


class Future:
    """The result of an operation in progress; awaited by one coroutine."""

    __slots__ = ("is_done", "_value", "_error", "_resume")

    def __init__(self):
        self.is_done = False
        self._value = None
        self._error = None
        self._resume = None

    def set_value(self, value=None):
        """Finish with a value; a finished future stays as it is."""
        self._finish(value, None)

    def set_error(self, error):
        """Finish with an exception."""
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
        """Call ``resume`` when it is finished."""
        self._resume = resume


class Task:
    """A coroutine that the reactor runs."""

    def __init__(self, coroutine):
        self._coroutine = coroutine
        self.is_done = False

    def step(self):
        """Run the coroutine until it waits or ends."""
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
        """End the coroutine where it waits."""
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
        self._order = itertools.count()
        self._callbacks_by_signal = {}
        self._is_stopped = False
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        signal.set_wakeup_fd(self._wake_writer)
        self.watch(self._wake_reader, self._on_wake)

    def watch(self, source, on_readable=None, on_writable=None):
        """Call back when a socket can be read or written.

        A second call for the same socket replaces the callbacks; without any
        the socket is forgotten.
        """
        events = 0
        if on_readable is not None:
            events |= selectors.EVENT_READ
        if on_writable is not None:
            events |= selectors.EVENT_WRITE
        known = source in self._selector.get_map()
        if not events:
            if known:
                self._selector.unregister(source)
        elif known:
            self._selector.modify(source, events, (on_readable, on_writable))
        else:
            self._selector.register(source, events, (on_readable, on_writable))

    def call_at(self, deadline, callback):
        """Call back at ``deadline``; return the :class:`Timer`."""
        timer = Timer(deadline, callback)
        heapq.heappush(self._timers, (deadline, next(self._order), timer))
        return timer

    def call_every(self, seconds, callback):
        """Call back every ``seconds``; return a function that ends it."""
        timers = []

        def run():
            timers[:] = [self.call_at(time.monotonic() + seconds, run)]
            callback()

        timers.append(self.call_at(time.monotonic() + seconds, run))
        return lambda: timers[0].cancel()

    def on_signal(self, number, callback):
        """Call back after a signal."""
        self._callbacks_by_signal[number] = callback
        signal.signal(number, _ignore)

    def spawn(self, coroutine):
        """Run a coroutine; return its :class:`Task`."""
        task = Task(coroutine)
        task.step()
        return task

    async def sleep(self, seconds):
        """Wait for ``seconds``."""
        future = Future()
        self.call_at(time.monotonic() + seconds, future.set_value)
        await future

    def run(self):
        """Run until :meth:`stop`."""
        self._is_stopped = False
        while not self._is_stopped:
            for key, mask in self._selector.select(self._wait_s()):
                on_readable, on_writable = key.data
                if mask & selectors.EVENT_READ and on_readable is not None:
                    self._call(on_readable)
                elif mask & selectors.EVENT_WRITE and on_writable is not None:
                    self._call(on_writable)
            self._run_timers()

    @staticmethod
    def _call(callback):
        """Call back; a fault in one callback must not end the others."""
        try:
            callback()
        except Exception as error:
            LOG.error("callback_failed", exc_info=_exc_info(error))

    def stop(self):
        """Let :meth:`run` return."""
        self._is_stopped = True

    def _wait_s(self):
        while self._timers and self._timers[0][2].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return None
        return max(self._timers[0][0] - time.monotonic(), 0.0)

    def _run_timers(self):
        now = time.monotonic()
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
        """Release what the loop itself holds."""
        signal.set_wakeup_fd(-1)
        self._selector.close()
        os.close(self._wake_reader)
        os.close(self._wake_writer)


def _exc_info(error):
    return type(error), error, error.__traceback__


def _ignore(_number, _frame):
    """Receive a signal that the reactor reads from its pipe."""
