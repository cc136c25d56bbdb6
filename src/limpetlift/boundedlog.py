"""A log handler that neither blocks nor floods."""

import collections
import logging
import os
import time

from limpetlift import defaults
from limpetlift import logs


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Of each event a limited number of lines is written in a second. What was
    left out, by that limit or because the reader does not read, is counted
    in a line ``log_lines_dropped`` as soon as one can be written.

    :param descriptor: made non-blocking.
    :param process: id of the process, for every line.
    :param clock: returns seconds.

    .. versionadded:: 0.2
    """

    def __init__(self, descriptor, process="", clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._second = None
        self._lines_by_event = collections.Counter()
        self._dropped_by_event = collections.Counter()
        self._rest = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)
        self.setFormatter(logs.KeyValueFormatter(process))

    def emit(self, record):
        """Write a record, or count that it was left out."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines_by_event.clear()
            self._report_dropped()
        event = record.getMessage()
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] > defaults.LOG_LINES_PER_EVENT_PER_S:
            self._drop(event)
        elif not self._write(self.format(record)):
            self._drop(event)

    def _drop(self, event):
        self._dropped_by_event[event] += 1
        self.dropped += 1

    def _report_dropped(self):
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
        """Write a line; return whether the descriptor took any of it."""
        if self._rest and not self._flush_rest():
            return False
        self._rest = line.encode("utf-8", "replace") + b"\n"
        size = len(self._rest)
        self._flush_rest()
        if len(self._rest) == size:
            self._rest = b""
            return False
        return True

    def _flush_rest(self):
        """Write what is left of a line; return whether nothing is left."""
        try:
            written = os.write(self._descriptor, self._rest)
        except BlockingIOError:
            return False
        except OSError:
            # Nobody can read any more; serving callers goes on.
            self._rest = b""
            return False
        self._rest = self._rest[written:]
        return not self._rest


def configure(process, descriptor=1):
    """Send the logs of the process to ``descriptor``.

    :param process: id of the process, for every line.
    :returns: the :class:`BoundedHandler`.
    """
    handler = BoundedHandler(descriptor, process)
    logs.install(handler, logging.INFO)
    return handler
