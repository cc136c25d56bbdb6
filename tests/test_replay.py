"""Tests of the replay of traces: the targets, and invalid trace files."""

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
    """Guards against a change of the decision modules that misses a target.

    Each stored trace is replayed, and every outcome must meet its target.
    """
    summary = runner.run([path])
    missed = [result for result in summary.results if not result.kept]
    assert not missed, summary.to_text()


def test_plain_hashing_breaks_flows():
    """Guards against a replay that does not detect broken flows.

    Without flow ownership, flows move to other agents when the members of the
    service change, and the replay must report them.
    """
    path = _TRACES / "tidy-nest-planned.jsonl"
    summary = runner.run([path], policies={"ownership": "none"})
    broken = {result.name: result.value for result in summary.results}
    assert broken["flows_broken"] > 0


def test_invalid_lines_are_named(tmp_path):
    """Guards against errors that do not say which lines are invalid.

    The trace has an event of an unknown kind and one with a negative time.
    """
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
