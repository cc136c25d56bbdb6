"""Logs neither block a process nor flood their reader."""

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


def test_a_reader_that_stops_never_blocks_and_hears_what_is_missing():
    """A blocked pipe must not stop the packets of callers."""
    reader, writer = os.pipe()
    clock = _Clock()
    handler = boundedlog.BoundedHandler(writer, clock=clock)
    lines = 3000
    for number in range(lines):
        clock.now = number / defaults.LOG_LINES_PER_EVENT_PER_S * 2
        _emit(handler, "flow_placed", number=number, text="x" * 100)
    assert handler.dropped > 0
    seen = _read(reader)
    clock.now += 1.0
    _emit(handler, "flow_placed", number=lines)
    seen += _read(reader)
    counts = [
        int(line.rpartition("flow_placed=")[2])
        for line in seen
        if "log_lines_dropped" in line
    ]
    assert sum(counts) == handler.dropped
    assert all("event=" in line for line in seen)
    os.close(reader)
    os.close(writer)


def test_the_lines_of_one_event_are_bounded():
    """A storm of one event must leave room for the others."""
    reader, writer = os.pipe()
    clock = _Clock()
    handler = boundedlog.BoundedHandler(writer, clock=clock)
    for _ in range(3 * defaults.LOG_LINES_PER_EVENT_PER_S):
        _emit(handler, "flow_searched")
    _emit(handler, "store_lost")
    clock.now = 1.5
    _emit(handler, "flow_searched")
    seen = _read(reader)
    assert sum("event=flow_searched" in line for line in seen) == (
        defaults.LOG_LINES_PER_EVENT_PER_S + 1
    )
    assert any("event=store_lost" in line for line in seen)
    dropped = 2 * defaults.LOG_LINES_PER_EVENT_PER_S
    assert any("flow_searched=%d" % dropped in line for line in seen)
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_harms_nothing():
    """Serving callers goes on when nobody reads the logs."""
    reader, writer = os.pipe()
    handler = boundedlog.BoundedHandler(writer, clock=_Clock())
    os.close(reader)
    _emit(handler, "started")
    os.close(writer)
