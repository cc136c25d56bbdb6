"""Replays of the stored traces against the stated targets."""

import json
import pathlib

import pytest

from limpetlift import exceptions
from limpetlift.replay import runner
from limpetlift.replay import trace

_TRACES = pathlib.Path(__file__).parent.parent / "traces"


@pytest.mark.parametrize(
    "path", sorted(_TRACES.glob("*.jsonl")), ids=lambda path: path.stem
)
def test_trace_meets_every_target(path):
    """A change of a decision must not miss a target of a recorded trace."""
    summary = runner.run([path])
    missed = [result for result in summary.results if not result.kept]
    assert not missed, summary.to_text()


def test_plain_hashing_breaks_flows():
    """The replay must notice the faults that flow ownership prevents."""
    path = _TRACES / "tidy-nest-planned.jsonl"
    summary = runner.run([path], policies={"ownership": "none"})
    broken = {result.name: result.value for result in summary.results}
    assert broken["flows_broken"] > 0


def test_invalid_lines_are_named(tmp_path):
    """A bad trace must be refused with the line and the reason."""
    header = (_TRACES / "tidy-nest-balance.jsonl").read_text().splitlines()[0]
    path = tmp_path / "bad.jsonl"
    events = [{"at": 1, "event": "melt"}, {"at": -1, "event": "kill"}]
    lines = [header] + [json.dumps(event) for event in events]
    path.write_text("\n".join(lines), encoding="utf-8")
    with pytest.raises(exceptions.SettingsError) as caught:
        trace.load(path)
    assert [line.split(": ")[0] for line in caught.value.problems] == [
        "%s:2" % path,
        "%s:3" % path,
    ]
