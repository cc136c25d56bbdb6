"""Timeline of one flow, from the logs of all processes.

Lines are sorted by time. The clocks of instances differ, so the offset between
two processes is estimated from the flows that one of them passed to the other.
"""

import datetime
import re

import attrs

from limpetlift import exceptions

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

# For each flow, a balancer logs the first event just before an agent logs the
# second one.
_HANDOVER_EVENTS = ("flow_placed", "flow_accepted")

# Shortest time between the two events.
_MIN_HANDOVER_S = 0.0005

# Events of a process that may explain what happened to its flows at that time.
_CONTEXT_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "server_state",
        "agent_state",
        "agent_joined",
        "agent_gone",
        "agent_left",
        "report_other_service",
        "settings_changed",
        "settings_need_restart",
        "routes_in_force",
        "evacuation_began",
        "evacuation_ended",
        "store_lost",
        "store_regained",
        "log_lines_dropped",
    )
)

# Events of a state that lasts: they are shown however long they precede the
# flow.
_LASTING_EVENTS = frozenset(("report_other_service", "settings_need_restart"))

# The other ones are shown from this time before the first line of the flow
# until this time after its last line.
_CONTEXT_BEFORE_S = 2.0
_CONTEXT_AFTER_S = 0.5


@attrs.define
class Line:
    """A parsed line of a log.

    :param unix_s: Unix time of the line; by the clock of its process, until
        :func:`explain` corrects it.
    :param fields_by_name: values of its fields, as strings.
    """

    unix_s: float
    fields_by_name: dict

    @property
    def process(self):
        """Id of the process that wrote the line, or empty."""
        return self.fields_by_name.get("process", "")

    @property
    def event(self):
        """Name of the event."""
        return self.fields_by_name["event"]

    @property
    def flow(self):
        """Id of the flow that the line is about, or empty."""
        return self.fields_by_name.get("flow", "")


def parse(texts):
    """Parse the text of log lines.

    :returns: ``(lines, skipped)``, where ``skipped`` is the number of texts
        that are neither blank nor a line of a log.
    """
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
        unix_s = datetime.datetime.fromisoformat(
            fields_by_name["time"]
        ).timestamp()
    except (KeyError, ValueError):
        return None
    return Line(unix_s, fields_by_name)


def offsets_by_process(lines):
    """Return by how many seconds the clock of each process is ahead.

    The process with the most lines is the reference. A process that shares no
    flow with the reference, directly or through other processes, gets an
    offset of 0.
    """
    placed_by_flow = {}
    differences_s_by_pair = {}
    for line in lines:
        if line.event == _HANDOVER_EVENTS[0]:
            placed_by_flow[line.flow] = line
    for line in lines:
        placed = placed_by_flow.get(line.flow)
        if line.event == _HANDOVER_EVENTS[1] and placed is not None:
            pair = (placed.process, line.process)
            differences_s_by_pair.setdefault(pair, []).append(
                line.unix_s - placed.unix_s
            )
    line_counts = {}
    for line in lines:
        line_counts[line.process] = line_counts.get(line.process, 0) + 1
    if not line_counts:
        return {}
    offsets_s = {max(line_counts, key=line_counts.get): 0.0}
    has_grown = True
    while has_grown:
        has_grown = False
        for (first, second), differences_s in differences_s_by_pair.items():
            difference_s = min(differences_s) - _MIN_HANDOVER_S
            if first in offsets_s and second not in offsets_s:
                offsets_s[second] = offsets_s[first] + difference_s
                has_grown = True
            elif second in offsets_s and first not in offsets_s:
                offsets_s[first] = offsets_s[second] - difference_s
                has_grown = True
    return {process: offsets_s.get(process, 0.0) for process in line_counts}


def explain(texts, flow):
    """Return the timeline of a flow, as lines of text.

    :param texts: lines of the logs of any number of processes.
    :param flow: id of the flow, ``caller_ip:port>service_ip:port``, or a part
        of it that occurs in no other id, such as ``caller_ip:port``.
    :raises StateError: when no flow or more than one flow matches.
    """
    lines, skipped = parse(texts)
    matching = {line.flow for line in lines if flow and flow in line.flow}
    exact = {
        flow_id
        for flow_id in matching
        if flow_id == flow or flow_id.startswith(flow + ">")
    }
    if len(exact) == 1:
        matching = exact
    if len(matching) != 1:
        raise exceptions.StateError(
            "%d flows in the logs match %r, expected exactly one%s"
            % (
                len(matching),
                flow,
                ": " + ", ".join(sorted(matching)[:5]) if matching else "",
            )
        )
    (flow_id,) = matching
    offsets_s = offsets_by_process(lines)
    for line in lines:
        line.unix_s -= offsets_s[line.process]
    flow_lines = [line for line in lines if line.flow == flow_id]
    shown = flow_lines + _context(lines, flow_lines)
    shown.sort(key=lambda line: line.unix_s)
    begin_s = min(line.unix_s for line in flow_lines)
    timeline = ["flow %s, from %s" % (flow_id, _format_time(begin_s))]
    timeline += [_format(line, begin_s) for line in shown]
    for process, offset_s in sorted(offsets_s.items()):
        if abs(offset_s) >= 1.0:
            timeline.append(
                "the clock of %s is %+.1f s off; corrected"
                % (process, offset_s)
            )
    if skipped:
        timeline.append("%d lines could not be read" % skipped)
    return timeline


def _context(lines, flow_lines):
    """Return the context events of the processes that handled the flow."""
    begin_s = min(line.unix_s for line in flow_lines) - _CONTEXT_BEFORE_S
    end_s = max(line.unix_s for line in flow_lines) + _CONTEXT_AFTER_S
    processes = {line.process for line in flow_lines}
    processes |= {line.fields_by_name.get("agent", "") for line in flow_lines}
    addresses = {line.fields_by_name.get("address") for line in flow_lines}
    addresses.discard(None)
    return [
        line
        for line in lines
        if line.event in _CONTEXT_EVENTS
        and line.unix_s <= end_s
        and (begin_s <= line.unix_s or _is_lasting(line))
        and line.process in processes
        and (
            line.fields_by_name.get("agent", line.process) in processes
            or line.fields_by_name.get("address") in addresses
        )
    ]


def _is_lasting(line):
    """Whether a line tells of a state that lasts."""
    return line.event in _LASTING_EVENTS or "replaced" in line.fields_by_name


def _format_time(unix_s):
    return datetime.datetime.fromtimestamp(unix_s).isoformat(
        timespec="milliseconds"
    )


def _format(line, begin_s):
    hidden = ("time", "level", "logger", "process", "event", "flow")
    fields = " ".join(
        "%s=%s" % (name, value)
        for name, value in line.fields_by_name.items()
        if name not in hidden
    )
    return "%+9.3f s  %-24s %-16s %s" % (
        line.unix_s - begin_s,
        line.process,
        line.event,
        fields,
    )
