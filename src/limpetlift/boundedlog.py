"""A log handler that never blocks and limits the rate of lines."""

import collections
import logging
import os
import time

from limpetlift import defaults
from limpetlift import logs


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    For each event, at most ``LOG_LINES_PER_EVENT_PER_S`` lines per second are
    written. Lines that were dropped, because of this limit or because the
    reader did not keep up, are counted by event in a ``log_lines_dropped``
    line as soon as it can be written.

    :param descriptor: file descriptor; it is made non-blocking.
    :param process: id of the process, written in every line.
    :param clock: function that returns the time in seconds.

    .. versionadded:: 0.2
    """

    def __init__(self, descriptor, process="", clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._current_second = None
        self._lines_by_event = collections.Counter()
        self._dropped_by_event = collections.Counter()
        self._unwritten = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)
        self.setFormatter(logs.KeyValueFormatter(process))

    def emit(self, record):
        """Write a record, or drop and count it."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_by_event.clear()
            self._log_dropped_counts()
        event = record.getMessage()
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] > defaults.LOG_LINES_PER_EVENT_PER_S:
            self._count_dropped(event)
        elif not self._write(self.format(record)):
            self._count_dropped(event)

    def _count_dropped(self, event):
        self._dropped_by_event[event] += 1
        self.dropped += 1

    def _log_dropped_counts(self):
        if not self._dropped_by_event:
            return
        record = logging.LogRecord(
            "limpetlift.log",
            logging.WARNING,
            "",
            0,
            "log_lines_dropped",
            None,
            None,
        )
        record.fields = dict(self._dropped_by_event)
        if self._write(self.format(record)):
            self._dropped_by_event.clear()

    def _write(self, line):
        """Write a line; return False if it counts as dropped."""
        if self._unwritten and not self._flush():
            return False
        self._unwritten = line.encode("utf-8", "replace") + b"\n"
        size = len(self._unwritten)
        self._flush()
        if len(self._unwritten) == size:
            self._unwritten = b""
            return False
        return True

    def _flush(self):
        """Write the rest of a line; return whether all of it was written."""
        try:
            written = os.write(self._descriptor, self._unwritten)
        except OSError:
            # The pipe is full, or the reader is gone. In both cases the
            # process goes on without logs.
            return False
        self._unwritten = self._unwritten[written:]
        return not self._unwritten


def configure(process, descriptor=1):
    """Write the logs of the process to ``descriptor``.

    :param process: id of the process, written in every line.
    :returns: the :class:`BoundedHandler`.
    """
    handler = BoundedHandler(descriptor, process)
    logs.install(handler, logging.INFO)
    return handler
