"""Runs the replay of a trace and summarizes its outcomes."""

import attrs

from limpetlift.replay import outcomes
from limpetlift.replay import simulation
from limpetlift.replay import trace


def run(paths, seed=None, policies=None):
    """Replay a trace and return its :class:`Summary`.

    :param paths: paths of trace files; the header of the first one is used,
        and the events of all are merged.
    :param seed: random seed to use instead of that of the trace, or None.
    :param policies: policy name by kind of policy.
    :raises SettingsError: when a trace is invalid.
    """
    traces = [trace.load(path) for path in paths]
    events = [event for item in traces for event in item.events]
    recorded = trace.Trace(
        traces[0].header, sorted(events, key=lambda event: event.at)
    )
    measured = simulation.Simulation(recorded, seed, policies).run()
    compared = _run_comparison(recorded, seed, policies)
    return Summary(
        name=recorded.header.name,
        results=outcomes.evaluate(measured, compared),
        drops_by_reason=dict(measured.drops_by_reason),
    )


def _run_comparison(recorded, seed, policies):
    """Return the outcomes of the second run, or None without one."""
    compare = recorded.header.compare
    if compare is None:
        return None
    if compare.without_long:
        events = [
            (
                attrs.evolve(event, long_share=0.0)
                if isinstance(event, trace.Requests)
                else event
            )
            for event in recorded.events
        ]
        recorded = trace.Trace(recorded.header, events)
    merged = {**(policies or {}), **compare.policies}
    return simulation.Simulation(recorded, seed, merged).run()


@attrs.frozen
class Summary:
    """The results of a replay.

    :param name: name of the trace.
    :param results: a list of :class:`limpetlift.replay.outcomes.Result`.
    :param drops_by_reason: number of dropped packets.
    """

    name: str
    results: list
    drops_by_reason: dict

    @property
    def kept(self):
        """Whether every target was met."""
        return all(result.kept for result in self.results)

    def to_json(self):
        """Return the summary as a dict that can be written as JSON."""
        return {
            "name": self.name,
            "kept": self.kept,
            "outcomes": [attrs.asdict(result) for result in self.results],
            "drops": self.drops_by_reason,
        }

    def to_text(self):
        """Return the summary as text, a line for each outcome with a value."""
        lines = ["trace %s" % self.name]
        for result in self.results:
            if result.value is not None:
                lines.append(_line(result))
        lines.append("all targets met" if self.kept else "a target was missed")
        return "\n".join(lines)


def _line(result):
    target = ""
    if result.limit is not None:
        relation = "at least" if result.at_least else "at most"
        verdict = "" if result.kept else "  MISSED"
        target = "%s %g%s" % (relation, result.limit, verdict)
    return "%-34s %12.6g  %s" % (result.name, result.value, target)
