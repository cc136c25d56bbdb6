"""The story of one flow, from the logs of all processes.

Lines are put in the order of time. Clocks of instances differ, so the offset
between two processes is taken from flows that one of them handed to the other.
"""

import datetime
import re

import attrs

from limpetlift import exceptions

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

# A balancer logs the first just before an agent logs the second of one flow.
_HANDED_OVER = ("flow_placed", "flow_accepted")

# Shortest time from one to the other, in seconds.
_WAY_S = 0.0005

# Events about a process that explain what happened to flows near that time.
_STATES = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "server_state",
        "agent_state",
        "agent_joined",
        "agent_gone",
        "routes_in_force",
        "store_lost",
        "store_regained",
        "log_lines_dropped",
    )
)

# Seconds before the first and after the last line of the flow in which such
# events are shown.
_BEFORE_S = 2.0
_AFTER_S = 0.5


@attrs.define
class Line:
    """A line of a log.

    :param at: Unix time by the clock of its process, in seconds.
    :param fields_by_name: its fields, as text.
    """

    at: float
    fields_by_name: dict

    @property
    def process(self):
        """Id of the process that wrote it."""
        return self.fields_by_name.get("process", "")

    @property
    def event(self):
        """What happened."""
        return self.fields_by_name["event"]

    @property
    def flow(self):
        """Id of the flow, or empty."""
        return self.fields_by_name.get("flow", "")


def parse(texts):
    """Return ``(lines, count of texts that are none)``."""
    lines = []
    skipped = 0
    for text in texts:
        line = _parse_line(text)
        if line is None:
            skipped += bool(text.strip())
        else:
            lines.append(line)
    return lines, skipped


def _parse_line(text):
    fields_by_name = {
        name: value.strip('"') for name, value in _FIELD.findall(text)
    }
    if "event" not in fields_by_name:
        return None
    try:
        at = datetime.datetime.fromisoformat(
            fields_by_name["time"]
        ).timestamp()
    except (KeyError, ValueError):
        return None
    return Line(at, fields_by_name)


def offsets_by_process(lines):
    """Return how far the clock of each process is ahead, in seconds.

    The process with the most lines is the measure. A process that shares no
    flow with the others, directly or through others, counts as exact.
    """
    placed_by_flow = {}
    ahead_by_pair = {}
    for line in lines:
        if line.event == _HANDED_OVER[0]:
            placed_by_flow[line.flow] = line
    for line in lines:
        placed = placed_by_flow.get(line.flow)
        if line.event == _HANDED_OVER[1] and placed is not None:
            pair = (placed.process, line.process)
            ahead_by_pair.setdefault(pair, []).append(line.at - placed.at)
    counts = {}
    for line in lines:
        counts[line.process] = counts.get(line.process, 0) + 1
    if not counts:
        return {}
    offsets = {max(counts, key=counts.get): 0.0}
    is_growing = True
    while is_growing:
        is_growing = False
        for (first, second), aheads in ahead_by_pair.items():
            ahead = min(aheads) - _WAY_S
            if first in offsets and second not in offsets:
                offsets[second] = offsets[first] + ahead
                is_growing = True
            elif second in offsets and first not in offsets:
                offsets[first] = offsets[second] - ahead
                is_growing = True
    return {process: offsets.get(process, 0.0) for process in counts}


def explain(texts, flow):
    """Return the lines of text that tell the story of a flow.

    :param texts: lines of the logs of any number of processes.
    :param flow: ``caller_ip:port>service_ip:port``, or a part of it that no
        other flow has, such as ``caller_ip:port``.
    :raises StateError: when no flow or several ones match.
    """
    lines, skipped = parse(texts)
    matching = {line.flow for line in lines if flow and flow in line.flow}
    exact = {name for name in matching if name.startswith(flow + ">")}
    if len(exact) == 1:
        matching = exact
    if len(matching) != 1:
        raise exceptions.StateError(
            "%d flows match %r, expected one%s"
            % (
                len(matching),
                flow,
                ": " + ", ".join(sorted(matching)[:5]) if matching else "",
            )
        )
    (name,) = matching
    offsets = offsets_by_process(lines)
    for line in lines:
        line.at -= offsets[line.process]
    own = [line for line in lines if line.flow == name]
    shown = own + _context(lines, own)
    shown.sort(key=lambda line: line.at)
    begin = min(line.at for line in own)
    found = ["flow %s, from %s" % (name, _format_time(begin))]
    found += [_format(line, begin) for line in shown]
    for process, offset in sorted(offsets.items()):
        if abs(offset) >= 1.0:
            found.append(
                "the clock of %s is %+.1f s off; corrected" % (process, offset)
            )
    if skipped:
        found.append("%d lines could not be read" % skipped)
    return found


def _context(lines, own):
    """Return lines about processes that had to do with the flow."""
    begin = min(line.at for line in own) - _BEFORE_S
    end = max(line.at for line in own) + _AFTER_S
    names = {line.process for line in own}
    names |= {line.fields_by_name.get("agent", "") for line in own}
    return [
        line
        for line in lines
        if line.event in _STATES
        and begin <= line.at <= end
        and (
            line.process in names
            and line.fields_by_name.get("agent", line.process) in names
        )
    ]


def _format_time(at):
    return datetime.datetime.fromtimestamp(at).isoformat(
        timespec="milliseconds"
    )


def _format(line, begin):
    hidden = ("time", "level", "logger", "process", "event", "flow")
    rest = " ".join(
        "%s=%s" % (name, value)
        for name, value in line.fields_by_name.items()
        if name not in hidden
    )
    return "%+9.3f s  %-24s %-16s %s" % (
        line.at - begin,
        line.process,
        line.event,
        rest,
    )
