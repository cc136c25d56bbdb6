"""Tests for the metrics of balancers and agents that forward segments."""

import collections
import pathlib
import re

from prometheus_client import parser

from limpetlift import segmentmetrics
from limpetlift import tallies

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_counts_gauges_and_durations_are_exposed():
    """The platform could not scrape metrics that are not Prometheus text."""
    durations = tallies.Durations()
    for seconds in (0.0004, 0.03, 0.03, 99.0):
        durations.add(seconds)
    text = segmentmetrics.exposition(
        collections.Counter(flow_placed=3),
        {"flows": 7},
        {"answer": durations},
        2,
    ).decode("utf-8")
    samples = {
        (sample.name, *sample.labels.values()): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert samples[("limpetlift_decisions_total", "flow_placed")] == 3
    assert samples[("limpetlift_flows",)] == 7
    assert samples[("limpetlift_log_lines_dropped_total",)] == 2
    assert samples[("limpetlift_answer_seconds_bucket", "0.05")] == 3
    assert samples[("limpetlift_answer_seconds_count",)] == 4


def test_every_event_is_documented_for_operators():
    """Operators cannot act on an event that OPERATIONS.md does not explain.

    The events are found in the source by the calls that log or count them.
    """
    page = (_ROOT / "docs" / "OPERATIONS.md").read_text("utf-8")
    events = set()
    for path in (_ROOT / "src" / "limpetlift").rglob("*.py"):
        if path.stem in (
            "steering",
            "hosting",
            "searching",
            "knownagents",
        ) or path.stem.startswith(
            ("segment", "following", "announcing", "reactor", "http1")
        ):
            text = path.read_text("utf-8")
            events.update(
                re.findall(
                    r'(?:LogEvent|LOG\.\w+|count|\.event)\(\s*"([a-z_]+)"',
                    text,
                )
            )
            events.update(re.findall(r'Reset\([^)]*"([a-z_]+)"\)', text))
    assert {"flow_placed", "search_delayed", "agent_joined"} <= events
    missing = sorted(event for event in events if event not in page)
    assert not missing
