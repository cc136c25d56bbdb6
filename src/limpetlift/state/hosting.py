"""Hosting at an agent: the flows of its backend server.

The agent sees every segment to and from its backend server, so it is the
authority on which flows the server holds. An agent that was started later
than the server does not know all of them, and lets the server decide.
"""

import attrs

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift.state import admitting
from limpetlift.state import loadreporting
from limpetlift.state import reports
from limpetlift.state import steps

_handlers_by_type = {}

# Number of the first report after a server's start, at most.
_FIRST_REPORT = 1
_SEQUENCE_MASK = 0xFFFFFFFF


def _is_after(first, second):
    """Whether a sequence number follows another one, which may wrap."""
    return 0 < (first - second) & _SEQUENCE_MASK < 1 << 31


@attrs.define
class _Flow:
    """A flow of the backend server.

    :param balancer: address of the balancer that sent its last segment.
    :param began_at: when it came here.
    :param active_at: time of its last segment.
    :param first: its first segment here while the server has not answered.
    :param answer_by: when the server must have answered it; a tentative flow
        counts once.
    :param is_tentative: whether the server may not hold it at all.
    :param asked_by: balancers that search for it.
    :param server_sequence: the server's first sequence number, or None.
    :param caller_next: the caller's highest sequence number so far, or None.
    :param ack: what the caller acknowledged last.
    :param last: the caller's last segment after the first one.
    :param is_busy: whether the caller waits for an answer.
    :param asked_at: when the last part of its request came.
    :param started_at: when the server was free to run its request, or None
        when others were ahead of it.
    :param closed_at: when both ends had finished, or None.
    """

    balancer: tuple
    began_at: float
    active_at: float = attrs.field(init=False)
    first: bytes = b""
    answer_by: float = 0.0
    is_tentative: bool = False
    asked_by: set = attrs.field(factory=set)
    server_sequence: object = None
    caller_next: object = None
    ack: int = 0
    last: bytes = b""
    is_busy: bool = False
    asked_at: float = 0.0
    started_at: object = None
    caller_done: bool = False
    server_done: bool = False
    closed_at: object = None

    def __attrs_post_init__(self):
        self.active_at = self.began_at

    @property
    def is_open(self):
        return self.closed_at is None and not self.is_tentative


@attrs.define
class FlowHosting:
    """Decides on the segments, reports and messages of one agent.

    All methods take ``now`` in seconds (monotonic) and return steps.

    :param service: name of the backend server's service.
    :param incarnation: start time of this agent in milliseconds.
    :param decode: turns a datagram of a caller into a segment.
    :param knows_all: whether no other agent served the server before.
    :param report_interval_s: seconds between two reports of the server.

    .. versionadded:: 0.2
    """

    service: str
    incarnation: int
    decode: object
    # Whether this agent knows every flow of the server.
    knows_all: bool = False
    report_interval_s: float = defaults.REPORT_INTERVAL_S
    report: object = None
    flows_by_key: dict = attrs.field(factory=dict)
    is_stopping: bool = False
    _stopping_at: float = float("inf")
    _warm_at: float = 0.0
    _reported_alive_at: float = float("-inf")
    # When the server was heard last, by a report or a segment.
    _heard_at: float = float("-inf")
    # The same by a report or payload: a server that has left goes on to
    # return, reset and acknowledge segments for a while.
    _served_at: float = float("-inf")
    _rival: object = None
    # New flows in a row that the server did not answer.
    _silent_flows: int = 0
    # Tentative flows in a row that the server neither took nor returned.
    _silent_tentative: int = 0
    _probed_at: float = float("-inf")
    # Until when nobody listens at the server's port for certain.
    _absent_until: float = float("-inf")
    # Mean run time of requests, in seconds.
    _run_s: float = 0.0
    _reporting: loadreporting.LoadReporting = attrs.field(
        factory=loadreporting.LoadReporting
    )
    # Number of the last report of load.
    _number: int = 0
    _started_at: object = None
    _ticked_at: float = float("-inf")
    _swept_at: float = float("-inf")
    _service_id: bytes = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.service)

    # The backend server's own words.

    def on_report(self, now, report, age_s=float("inf")):
        """Take over a report of the server.

        A report that is older than the last one, or of a server that was
        there before, changes nothing.

        :param age_s: seconds since the server's start.
        :returns: steps; the state is in force when this returns.
        """
        known = self.report
        if known is not None and not self._is_news(now, report):
            return [
                steps.LogEvent(
                    "report_ignored",
                    fields={
                        "server": report.server_id,
                        "number": report.number,
                        "known_number": known.number,
                        "started_ms": report.started_ms,
                        "known_started_ms": known.started_ms,
                    },
                )
            ]
        found = []
        if known is not None and not reports.is_same_incarnation(
            report, known
        ):
            found += self._repeat_last()
            self.knows_all = True
        if known is None:
            self.knows_all = self.knows_all or self._is_first(report, age_s)
            found.append(steps.Announce())
        self.report = report
        self._reported_alive_at = self._heard_at = self._served_at = now
        self._silent_tentative = 0
        self._rival = None
        self._warm_at = now + report.warmup_remaining_s
        # A server that reports gets another flow to show that it answers.
        self._silent_flows = min(
            self._silent_flows, defaults.MAX_SILENT_FLOWS - 1
        )
        if (
            known is None
            or known.state != report.state
            or known.started_ms != report.started_ms
        ):
            found.append(
                steps.LogEvent(
                    "server_state",
                    fields={
                        "server": report.server_id,
                        "state": report.state,
                        "was": known.state if known else "unknown",
                        "number": report.number,
                        "started_ms": report.started_ms,
                        "slots": report.slots,
                    },
                )
            )
            found += self._tell_load(now)
        return found

    def _is_first(self, report, age_s):
        """Whether no report of this server was acknowledged before.

        The server takes flows from its first report on. After a report that
        was acknowledged the next one follows an interval later; those that
        were not are repeated at once.
        """
        early_s = defaults.REPORT_EARLY_SHARE * self.report_interval_s
        return report.number <= _FIRST_REPORT or 0.0 <= age_s < early_s

    def _is_news(self, now, report):
        """Whether a report replaces the one that is known.

        Starts are told in the time of day, which may be set back. A start
        that looks older is believed when it goes on reporting while the one
        that looks newer is silent; a report that was held up comes once.
        """
        known = self.report
        if reports.is_same_incarnation(report, known):
            return report.number > known.number
        if report.started_ms > known.started_ms:
            return True
        rival = self._rival
        self._rival = report
        return (
            now - self._reported_alive_at
            > self.report_interval_s * defaults.SERVER_SILENT_INTERVALS
            and rival is not None
            and reports.is_same_incarnation(rival, report)
            and report.number > rival.number
        )

    def on_leave(self, now, server_id):
        """Note that the server ends now."""
        if self.report is None or self.report.server_id != server_id:
            return [
                steps.LogEvent("leave_ignored", fields={"server": server_id})
            ]
        if self.report.state == reports.GONE:
            return []
        self.report = attrs.evolve(self.report, state=reports.GONE)
        return [
            steps.LogEvent(
                "server_state",
                fields={
                    "server": server_id,
                    "state": reports.GONE,
                    "flows": len(self.flows_by_key),
                },
            )
        ] + self._tell_load(now)

    def stop(self, now):
        """Take no new flow from now on.

        When the server has left before, it has ended by now, and the callers
        of its flows are told.
        """
        self.is_stopping = True
        self._stopping_at = now
        found = self._tell_load(now)
        if self.report is not None and self.report.state == reports.GONE:
            found += self._end_flows("server_gone")
        return found

    def has_server_ended(self, now):
        """Whether the server of a stopping agent has ended.

        The platform stops an agent after its server's end, or to start it
        again beside a server that lives and reports.

        :returns: None while that is open.
        """
        if self.report is not None and self.report.state == reports.GONE:
            return True
        if self._served_at > self._stopping_at:
            return False
        if (
            now - self._served_at
            >= self.report_interval_s * defaults.REPORT_MISSING_INTERVALS
        ):
            return True
        return None

    def leave(self):
        """Tell the balancers that the server has ended."""
        return [
            steps.SendToPeer(address, tunnel.AgentLeft())
            for address in self._reporting.addresses()
        ] + [
            steps.LogEvent(
                "agent_left",
                fields={
                    "flows": len(self.flows_by_key),
                    "state": self.report.state if self.report else "unknown",
                },
            )
        ]

    @property
    def is_idle(self):
        """Whether no caller waits for an answer."""
        return not any(flow.is_busy for flow in self.flows_by_key.values())

    def _repeat_last(self):
        """Let a server that was started again return what it does not hold.

        It may have taken flows since its start, so its report alone does not
        tell which of the flows are lost.
        """
        return [
            steps.SendToServer(flow.last)
            for flow in self.flows_by_key.values()
            if flow.last
        ]

    def _end_flows(self, reason):
        """Tell the callers of all flows that the server does not hold them."""
        found = []
        for key, flow in self.flows_by_key.items():
            if flow.is_open and flow.server_sequence is not None:
                found.append(steps.Reset(key, flow.ack, reason))
        self.flows_by_key.clear()
        return found

    def on_server_absent(self, now):
        """Note that nobody listens at the server's port.

        A server that starts now holds no flow, and the one that held them has
        ended. It counts only while the server is silent in every other way.
        """
        if not self._may_be_absent(now):
            return []
        self._absent_until = now + defaults.SERVER_PROBE_INTERVAL_S
        self._silent_flows = defaults.MAX_SILENT_FLOWS
        found = [
            steps.LogEvent(
                "server_absent",
                fields={
                    "flows": len(self.flows_by_key),
                    "silent_s": round(now - self._heard_at, 3),
                },
            )
        ]
        for key, flow in self.flows_by_key.items():
            if flow.is_tentative:
                found += self._give_back(flow, key, flow.first)
            elif flow.server_sequence is None and flow.first:
                found += self._decline(
                    flow.balancer, key, "server_silent", flow.first
                )
        return found + self._end_flows("server_gone")

    def _may_be_absent(self, now):
        """Whether the server has been silent where it had to answer.

        It answers every new flow, and returns segments of flows that it does
        not hold; it cannot hold all that are searched for. Without such
        segments the silence of its reports decides.
        """
        silent_s = now - self._heard_at
        if silent_s < defaults.SERVER_ABSENT_AFTER_S:
            return False
        return (
            silent_s
            >= self.report_interval_s * defaults.REPORT_MISSING_INTERVALS
            or self._silent_flows >= defaults.MAX_SILENT_FLOWS
            or self._silent_tentative >= defaults.MAX_SILENT_TENTATIVE_FLOWS
        )

    def _knows_all_at(self, now):
        return self.knows_all or now < self._absent_until

    # Segments of callers, from balancers.

    def on_message(self, now, address, message):
        """Decide on a message of a balancer."""
        handler = _handlers_by_type.get(type(message))
        if handler is None:
            return [
                steps.LogEvent("message_unexpected", fields={"from": address})
            ]
        return handler(self, now, address, message)

    @registry.register(_handlers_by_type, tunnel.Forward)
    def _on_forward(self, now, balancer, forward):
        segment = self.decode(forward.data)
        flow = self.flows_by_key.get(segment.key)
        if flow is None:
            if segment.opens_flow:
                return self._accept(now, balancer, forward, segment)
            if self._knows_all_at(now):
                return [
                    steps.SendToPeer(
                        balancer, tunnel.UnknownFlow(segment.data)
                    )
                ]
            flow = self._try(now, balancer, segment)
        return self._deliver(now, balancer, flow, segment)

    @registry.register(_handlers_by_type, tunnel.LocateRequest)
    def _on_locate(self, now, balancer, locate):
        verdicts = [
            (query.key, self._verdict(now, query)) for query in locate.queries
        ]
        return [steps.SendToPeer(balancer, tunnel.LocateReply(verdicts))]

    def _verdict(self, now, query):
        flow = self.flows_by_key.get(query.key)
        if flow is not None and not flow.is_tentative:
            is_held = self._holds(flow, query.ack)
            return tunnel.HELD if is_held else tunnel.ABSENT
        if self._knows_all_at(now):
            return tunnel.ABSENT
        if self.report is None and (
            self._started_at is None
            or now - self._started_at < defaults.AGENT_STARTING_S
        ):
            return tunnel.STARTING
        return tunnel.UNSURE

    @registry.register(_handlers_by_type, tunnel.TentativeForward)
    def _on_try(self, now, balancer, attempt):
        segment = self.decode(attempt.data)
        flow = self.flows_by_key.get(segment.key)
        if flow is None and not self._knows_all_at(now):
            flow = self._try(now, balancer, segment)
        if flow is None or not (
            flow.is_tentative or self._holds(flow, segment.ack)
        ):
            return [steps.SendToPeer(balancer, tunnel.NotHeld(segment.key))]
        found = self._deliver(now, balancer, flow, segment)
        if flow.is_tentative:
            flow.asked_by.add(balancer)
            return found
        return [steps.SendToPeer(balancer, tunnel.Owned(segment.key))] + found

    def _try(self, now, balancer, segment):
        """Return a new flow that the server may hold."""
        flow = _Flow(
            balancer,
            now,
            first=segment.data,
            answer_by=now + defaults.TENTATIVE_ANSWER_TIMEOUT_S,
            is_tentative=True,
        )
        self.flows_by_key[segment.key] = flow
        return flow

    @staticmethod
    def _holds(flow, ack):
        """Whether the server holds the flow whose caller acknowledges ``ack``.

        Two servers can have answered copies of one first segment; the caller
        goes on with one of them.
        """
        return flow.server_sequence is not None and segments.is_acknowledged(
            ack, flow.server_sequence
        )

    @registry.register(_handlers_by_type, tunnel.Hello)
    def _on_hello(self, now, balancer, hello):
        found = []
        if self._reporting.on_hello(now, balancer, hello.is_near):
            found.append(steps.SendToPeer(balancer, self._load(now)))
        if not hello.is_listed and self.report is not None:
            found.append(steps.Announce())
        return found

    def _deliver(self, now, balancer, flow, segment):
        flow.balancer = balancer
        flow.active_at = now
        if not segment.is_syn:
            flow.ack = segment.ack
            flow.last = segment.data
        if segment.is_reset:
            self.flows_by_key.pop(segment.key, None)
        elif segment.length:
            end = segment.sequence + segment.length & _SEQUENCE_MASK
            if flow.caller_next is None or _is_after(end, flow.caller_next):
                flow.caller_next = end
                self._begin_request(now, flow)
        if segment.is_final:
            flow.caller_done = True
            self._close(now, flow)
        return [steps.SendToServer(segment.data)]

    def _begin_request(self, now, flow):
        slots = self.report.slots if self.report else 1
        flow.asked_at = now
        if not flow.is_busy:
            flow.is_busy = True
            busy = sum(other.is_busy for other in self.flows_by_key.values())
            flow.started_at = now if busy <= slots else None
        elif flow.started_at is not None:
            # More of the same request; the server runs it when it is whole.
            flow.started_at = now

    def _end_request(self, now, flow):
        if flow.started_at is not None:
            took_s = now - flow.started_at
            known_s = self._run_s or took_s
            self._run_s = known_s + defaults.RUN_TIME_WEIGHT * (
                took_s - known_s
            )
        flow.is_busy = False

    def _close(self, now, flow):
        if flow.caller_done and flow.server_done and flow.closed_at is None:
            flow.closed_at = now
            flow.is_busy = False

    def decline_reason(self, service_id):
        """Return why no new flow is taken, or an empty string."""
        if self.is_stopping:
            return "stopping"
        if service_id != self._service_id:
            return "other_service"
        if self.report is None:
            return "server_unknown"
        if self.report.state == reports.DRAINING:
            return "draining"
        if self.report.state == reports.GONE:
            return "server_gone"
        if self._silent_flows >= defaults.MAX_SILENT_FLOWS:
            return "server_silent"
        if self._is_full():
            return "too_many_flows"
        return ""

    def _is_full(self):
        flows = self.flows_by_key
        if len(flows) < defaults.MAX_FLOWS_PER_SERVER:
            return False
        is_open = sum(flow.is_open for flow in flows.values())
        return is_open >= defaults.MAX_FLOWS_PER_SERVER

    def _is_busy_for(self, wait_s):
        """Whether a new request would wait longer than ``wait_s``.

        A balancer decided with a report that is some tens of milliseconds
        old, and other balancers with the same one.
        """
        run_s = self._run_s or wait_s / defaults.UNKNOWN_WAIT_RUNS
        queue = admitting.Queue(
            self.report.slots, self._waiting_callers(), run_s
        )
        return not queue.is_wait_within(wait_s)

    def _waiting_callers(self):
        return sum(
            flow.is_open and (flow.is_busy or bool(flow.first))
            for flow in self.flows_by_key.values()
        )

    def _accept(self, now, balancer, forward, segment):
        reason = self.decline_reason(forward.service)
        if not reason and forward.wait_ms:
            reason = (
                "busy" if self._is_busy_for(forward.wait_ms / 1000) else ""
            )
        if reason:
            return self._decline(balancer, segment.key, reason, segment.data)
        flow = _Flow(
            balancer,
            now,
            first=segment.data,
            answer_by=now + defaults.SERVER_ANSWER_TIMEOUT_S,
        )
        self.flows_by_key[segment.key] = flow
        return self._deliver(now, balancer, flow, segment) + [
            steps.LogEvent("flow_accepted", segment.key, {"copy": segment.ack})
        ]

    def _decline(self, balancer, key, reason, data):
        return [
            steps.SendToPeer(balancer, tunnel.Declined(reason, data)),
            steps.LogEvent(
                "flow_passed_on",
                key,
                {
                    "reason": reason,
                    "report": self.report.number if self.report else "none",
                },
            ),
        ]

    # Segments of the backend server.

    def on_server_segment(self, now, segment):
        """Decide on a segment that the backend server sent or returned."""
        self._silent_flows = self._silent_tentative = 0
        self._heard_at = now
        if segment.is_returned:
            return self._on_returned(now, segment)
        if segment.length:
            self._served_at = now
        flow = self.flows_by_key.get(segment.key)
        found = []
        if flow is None:
            if not segment.is_reset:
                # Known to the server from before this agent's start.
                flow = _Flow((), now)
                self.flows_by_key[segment.key] = flow
        elif flow.is_tentative and segment.is_reset:
            # A server that has not started yet resets flows of others.
            del self.flows_by_key[segment.key]
            return self._give_back(flow, segment.key, flow.first)
        elif flow.is_tentative:
            flow.is_tentative = False
            found += [
                steps.SendToPeer(balancer, tunnel.Owned(segment.key))
                for balancer in flow.asked_by | {flow.balancer}
            ]
        if flow is not None:
            found += self._note_answer(now, flow, segment)
        return found + [steps.SendToCaller(segment.key, segment.data)]

    def _note_answer(self, now, flow, segment):
        found = []
        flow.active_at = now
        flow.first = b""
        if flow.server_sequence is None:
            flow.server_sequence = segment.sequence
            if not segment.is_syn:
                # Not the first one; its caller may acknowledge earlier ones.
                flow.server_sequence -= defaults.MAX_UNACKNOWLEDGED_BYTES
            found.append(steps.Duration("flow_open", now - flow.began_at))
        if segment.length and flow.is_busy:
            found.append(steps.Duration("answer", now - flow.asked_at))
            self._end_request(now, flow)
        if segment.is_reset:
            self.flows_by_key.pop(segment.key, None)
        elif segment.is_final:
            flow.server_done = True
            flow.is_busy = False
            self._close(now, flow)
        return found

    def _on_returned(self, now, segment):
        """Decide on a segment that the server did not accept."""
        flow = self.flows_by_key.get(segment.key)
        if flow is None or flow.closed_at is not None:
            return [steps.LogEvent("returned_dropped", segment.key)]
        if segment.opens_flow:
            if flow.server_sequence is not None:
                return []
            del self.flows_by_key[segment.key]
            return self._decline(
                flow.balancer, segment.key, "server_refused", segment.data
            )
        del self.flows_by_key[segment.key]
        if self._holds(flow, segment.ack):
            return [steps.Reset(segment.key, segment.ack, "server_lost_flow")]
        return self._give_back(flow, segment.key, segment.data)

    @staticmethod
    def _give_back(flow, key, data):
        """Tell balancers that the server does not hold a flow.

        :param data: the segment that the balancer is to deliver elsewhere.
        """
        if flow.asked_by:
            return [
                steps.SendToPeer(balancer, tunnel.NotHeld(key))
                for balancer in flow.asked_by
            ]
        if not flow.balancer:
            return [steps.LogEvent("returned_dropped", key)]
        return [steps.SendToPeer(flow.balancer, tunnel.UnknownFlow(data))]

    # Timers and reports of load.

    def tick(self, now):
        """Run the timers."""
        if self._started_at is None:
            self._started_at = now
        if now - self._ticked_at > defaults.PAUSE_THRESHOLD_S:
            # Silence counts only while this agent itself runs.
            self._heard_at = self._served_at = now
        self._ticked_at = now
        found = self._pass_on_unanswered(now) + self._probe(now)
        if now - self._swept_at >= defaults.SWEEP_INTERVAL_S:
            self._swept_at = now
            self._forget(now)
            found += self._find_balancers(now)
        return found + self._report_load(now)

    def _find_balancers(self, now):
        """Announce this agent again when no balancer knows it any more.

        Balancers remove the entry of an agent that was cut off for long.
        """
        if self.report is None:
            # Without a server there is nothing to find.
            return []
        heard_at = self._reporting.last_hello_at(self._started_at)
        if now - heard_at < defaults.REANNOUNCE_AFTER_S:
            return []
        return [steps.Announce()]

    def _probe(self, now):
        """Ask for the server when it is silent and owes an answer."""
        if (
            now - self._probed_at < defaults.SERVER_PROBE_INTERVAL_S
            or not self._may_be_absent(now)
        ):
            return []
        waiting_since = now - defaults.SERVER_PROBE_AFTER_S
        if not any(
            flow.is_busy or flow.first and flow.began_at <= waiting_since
            for flow in self.flows_by_key.values()
        ):
            return []
        self._probed_at = now
        return [steps.ProbeServer()]

    def _pass_on_unanswered(self, now):
        """Hand new flows on that the server has not answered."""
        found = []
        for key, flow in list(self.flows_by_key.items()):
            if not flow.first or flow.answer_by > now:
                continue
            if flow.is_tentative:
                self._silent_tentative += 1
                flow.answer_by = float("inf")
            else:
                self._silent_flows += 1
                del self.flows_by_key[key]
                found += self._decline(
                    flow.balancer, key, "server_silent", flow.first
                )
        return found

    def _forget(self, now):
        idle = now - defaults.HOSTED_FLOW_IDLE_S
        closed = now - defaults.CLOSED_FLOW_RETENTION_S
        for key, flow in list(self.flows_by_key.items()):
            if flow.active_at < idle or (
                flow.closed_at is not None and flow.closed_at < closed
            ):
                del self.flows_by_key[key]
        if now - self._started_at > defaults.MAX_FLOW_LIFETIME_S:
            self.knows_all = True

    def _load(self, now):
        self._number += 1
        flows = self.flows_by_key.values()
        report = self.report
        return tunnel.LoadReport(
            self.incarnation,
            self._number,
            not self.decline_reason(self._service_id),
            self._warm_at > now,
            report.slots if report else 1,
            self._waiting_callers(),
            sum(flow.is_open for flow in flows),
            round(self._run_s * 1000),
            self._service_id,
        )

    def _report_load(self, now):
        if not self._reporting.is_due(now):
            return []
        return self._reporting.on_load(now, self._load(now))

    def _tell_load(self, now):
        return self._reporting.send_to_all(now, self._load(now))
