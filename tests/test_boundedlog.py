"""Tests for the log handler that never blocks and limits the rate."""

import logging
import os

from limpetlift import boundedlog
from limpetlift import defaults


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _emit(handler, event, **fields):
    record = logging.LogRecord("t", logging.INFO, "", 0, event, None, None)
    record.fields = fields
    handler.emit(record)


def _read(descriptor):
    os.set_blocking(descriptor, False)
    try:
        return os.read(descriptor, 1 << 24).decode("utf-8").splitlines()
    except BlockingIOError:
        return []


def test_full_pipe_does_not_block_and_dropped_lines_are_counted():
    """A reader that stops fills the pipe; writing must then drop lines.

    A blocking write would stop the forwarding of packets. The dropped lines
    must be reported when the reader goes on.
    """
    reader, writer = os.pipe()
    clock = _Clock()
    handler = boundedlog.BoundedHandler(writer, clock=clock)
    line_count = 3000
    for number in range(line_count):
        clock.now = number / defaults.LOG_LINES_PER_EVENT_PER_S * 2
        _emit(handler, "flow_placed", number=number, text="x" * 100)
    assert handler.dropped > 0
    output = _read(reader)
    clock.now += 1.0
    _emit(handler, "flow_placed", number=line_count)
    output += _read(reader)
    counts = [
        int(line.rpartition("flow_placed=")[2])
        for line in output
        if "log_lines_dropped" in line
    ]
    assert sum(counts) == handler.dropped
    assert all("event=" in line for line in output)
    os.close(reader)
    os.close(writer)


def test_lines_of_one_event_are_limited():
    """A very frequent event must not displace the lines of other events."""
    reader, writer = os.pipe()
    clock = _Clock()
    handler = boundedlog.BoundedHandler(writer, clock=clock)
    for _ in range(3 * defaults.LOG_LINES_PER_EVENT_PER_S):
        _emit(handler, "flow_searched")
    _emit(handler, "store_lost")
    clock.now = 1.5
    _emit(handler, "flow_searched")
    output = _read(reader)
    assert sum("event=flow_searched" in line for line in output) == (
        defaults.LOG_LINES_PER_EVENT_PER_S + 1
    )
    assert any("event=store_lost" in line for line in output)
    dropped = 2 * defaults.LOG_LINES_PER_EVENT_PER_S
    assert any("flow_searched=%d" % dropped in line for line in output)
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    """A write to a pipe without a reader must not end the process."""
    reader, writer = os.pipe()
    handler = boundedlog.BoundedHandler(writer, clock=_Clock())
    os.close(reader)
    _emit(handler, "started")
    os.close(writer)


def test_lines_lost_to_a_closed_reader_are_counted():
    """A line that nobody can read must not count as written.

    The metric of dropped lines is then the only sign of the loss.
    """
    reader, writer = os.pipe()
    handler = boundedlog.BoundedHandler(writer, clock=_Clock())
    os.close(reader)
    _emit(handler, "started")
    _emit(handler, "stopped")
    assert handler.dropped == 2
    os.close(writer)
