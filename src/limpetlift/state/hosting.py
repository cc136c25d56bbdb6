"""Decisions of an agent about the flows of its backend server.

Every segment to and from the backend server passes through the agent, so the
agent's flow table determines which flows the server holds. An agent that was
started later than its server does not know all of its flows; segments of
unknown flows are then sent to the server, which accepts or returns them.
"""

import math

import attrs

from limpetlift import defaults
from limpetlift.protocol import hashing
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift.scheduling import admitting
from limpetlift.scheduling import ejection
from limpetlift.scheduling import pacing
from limpetlift.scheduling import runtimes
from limpetlift.state import hostedflows
from limpetlift.state import reports
from limpetlift.state import steps
from limpetlift.state import verification
from limpetlift import structs

_handlers_by_type = {}

# Reasons to decline new flows that end with the server's next report.
_RECOVERING_REASONS = frozenset(("server_unknown", "server_unverified"))

# Number of the first report after a server's start.
_FIRST_REPORT_NUMBER = 1


@structs.define
class FlowHosting:
    """Handles the segments, server reports and messages of one agent.

    Methods that handle an event take ``now``, a monotonic time in seconds,
    and return a list of :mod:`~limpetlift.state.steps`.

    :param service: name of the backend server's service.
    :param incarnation: start time of this agent in milliseconds.
    :param decode_segment: function that decodes a caller's datagram into a
        segment.
    :param knows_all_flows: whether this agent knows every flow of the server.
        Initially true when no other agent served the server before. It stays
        true, also for a later server, because every flow that opens after
        this agent's start passes through it.
    :param report_interval_s: seconds between two reports of the server.
    :param address_reuse_s: seconds after a server's end from which on its
        address may belong to a server of another service.
    :param estimate: name of an estimate of
        :mod:`limpetlift.scheduling.runtimes`.
    :param pace: the :class:`~limpetlift.scheduling.pacing.Pacing` of the
        server.
    :param report: the report of the server that is in force, or None.
    :param flows: the :class:`~limpetlift.state.hostedflows.FlowTable` of the
        server's flows.
    :param is_stopping: whether this agent is stopping.
    :param evidence: how the server has answered its recent requests.
    :raises StateError: when the estimate does not exist.

    .. versionadded:: 0.2
    """

    service: str
    incarnation: int
    decode_segment: object
    knows_all_flows: bool = False
    report_interval_s: float = defaults.REPORT_INTERVAL_S
    address_reuse_s: float = defaults.ADDRESS_REUSE_S
    estimate: str = "mean"
    pace: pacing.Pacing = attrs.field(factory=pacing.Pacing)
    report: object = None
    flows: hostedflows.FlowTable = attrs.field(factory=hostedflows.FlowTable)
    is_stopping: bool = False
    evidence: ejection.Evidence = attrs.field(factory=ejection.Evidence)
    # Whether messages that waited through a pause are being handled.
    _is_catching_up: bool = False
    _stopping_at: float = float("inf")
    _warmed_up_at: float = 0.0
    _reported_at: float = float("-inf")
    # When this agent was announced for the first time.
    _announced_at: float = float("-inf")
    # Time of the last report or segment of the server.
    _last_heard_at: float = float("-inf")
    # Time of the last report or payload of the server. Other segments don't
    # show that it serves: a server that has left still returns, resets and
    # acknowledges segments for a while.
    _last_served_at: float = float("-inf")
    # The last report of a start that looks older than that of ``report``.
    _older_report: object = None
    # ``(server_id, started_ms)`` of the last start that was said to end.
    _ended: object = None
    # Consecutive new flows that the server did not answer.
    _unanswered_flows: int = 0
    # Consecutive tentative flows that the server neither accepted nor
    # returned.
    _unanswered_tentative_flows: int = 0
    _last_probe_at: float = float("-inf")
    # When a probe last found no listener at the server's port.
    _refused_at: float = float("-inf")
    # Until then a refused probe counts as proof that the server is absent.
    _absent_until: float = float("-inf")
    # Time of the last hello of each balancer.
    _hello_at_by_address: dict = attrs.field(factory=dict)
    # Number of the last load report.
    _load_number: int = 0
    _started_at: object = None
    _last_sweep_at: float = float("-inf")
    _service_id: bytes = attrs.field(init=False)
    _verification: verification.ServerVerification = attrs.field(init=False)
    _run_time: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._service_id = hashing.service_id(self.service)
        self._run_time = registry.lookup(
            runtimes.estimates_by_name, self.estimate, "estimate of run time"
        )()
        self._verification = verification.ServerVerification(
            self.report_interval_s, self.address_reuse_s
        )

    # Pauses.

    def on_pause(self, now, pause_s):
        """Handle the end of a pause of this agent.

        :param pause_s: how long the process did not run, in seconds.
        """
        self._is_catching_up = True
        self.evidence.on_pause()
        self._verification.on_pause(now, pause_s)
        # The server's silence counts only while the agent itself runs.
        self._last_heard_at = self._last_served_at = now
        self.flows.extend_answer_times(now + defaults.SERVER_ANSWER_TIMEOUT_S)
        return []

    def on_caught_up(self):
        """Handle that all messages of the last pause have been read."""
        self._is_catching_up = False

    # State of the backend server and of this agent.

    def on_report(self, now, report):
        """Handle a report of the server.

        A report that is older than the last one, or that comes from an
        earlier server, is ignored.

        :returns: steps. The reported state is in force when this returns.
        """
        known_report = self.report
        if known_report is not None and not self._replaces_known(now, report):
            return [
                steps.LogEvent(
                    "report_ignored",
                    fields={
                        "server": report.server_id,
                        "number": report.number,
                        "known_number": known_report.number,
                        "started_ms": report.started_ms,
                        "known_started_ms": known_report.started_ms,
                    },
                )
            ]
        result = []
        is_restarted = (
            known_report is not None
            and not reports.is_same_incarnation(report, known_report)
        )
        if is_restarted:
            self.evidence.on_restart(now)
            result += self._resend_last_segments()
            result += self._run_time_event(
                "run_time_dropped", self._run_time.on_restart()
            )
        if known_report is None:
            self._announced_at = now
            result.append(steps.Announce())
        elif not self.knows_all_flows and _are_first_two(known_report, report):
            result += self._on_all_flows_known("first_reports")
        if not is_restarted:
            self._note_recovery(now, is_reported=True)
        self.pace.on_report(now, report, self._predecessor_ended_by(now))
        self.report = report
        self._reported_at = self._last_heard_at = self._last_served_at = now
        self._unanswered_tentative_flows = 0
        self._older_report = None
        self._verification.on_report(now, report)
        self._warmed_up_at = now + report.warmup_remaining_s
        # After a report the server is sent one more new flow, which shows
        # whether it answers.
        self._unanswered_flows = min(
            self._unanswered_flows, defaults.MAX_SILENT_FLOWS - 1
        )
        if (
            known_report is None
            or is_restarted
            or known_report.state != report.state
        ):
            result.append(
                steps.LogEvent(
                    "server_state",
                    fields={
                        "server": report.server_id,
                        "service": report.service,
                        "state": report.state,
                        "was": (
                            known_report.state if known_report else "unknown"
                        ),
                        "number": report.number,
                        "started_ms": report.started_ms,
                        "slots": report.slots,
                    },
                )
            )
        return result

    def _predecessor_ended_by(self, now):
        """Return when an earlier agent of the server had ended; None for no.

        An agent that knows all flows has no predecessor.
        """
        if self.knows_all_flows:
            return None
        return now if self._started_at is None else self._started_at

    def _note_recovery(self, now, is_reported):
        """Tell the pace when the server is heard again after its silence.

        An own pause of this agent is no silence of the server.

        :param is_reported: whether a report was received, not a segment.
        """
        if self.report is None:
            return
        if self._unanswered_flows >= defaults.MAX_SILENT_FLOWS:
            reason = "silent"
        elif now - self._last_heard_at > (
            self.report_interval_s * defaults.REPORT_LATE_INTERVALS
        ):
            reason = "unheard"
        else:
            return
        self.pace.on_recovered(now, reason, is_reported)

    def unverify_server(self):
        """Accept no flows until the next report.

        Another server may listen at the address.
        """
        self._verification.end()

    def on_other_service(self, now, started_ms):
        """Handle a report of another service from the server's address.

        :param started_ms: start time of the server that reported.
        """
        self._verification.on_other_service(now, started_ms)

    def _on_all_flows_known(self, reason):
        """Record that no flow of the server is unknown to this agent.

        :param reason: how it became known, for the log.
        """
        self.knows_all_flows = True
        for flow in self.flows.by_key.values():
            flow.is_known_from_start = flow.is_accepted
        return [steps.LogEvent("all_flows_known", fields={"reason": reason})]

    def _replaces_known(self, now, report):
        """Whether a report replaces the known one.

        Start times are wall-clock times, and the clock may be set back. A
        start that looks older is therefore accepted when its reports continue
        while the start that looks newer is silent. A single report is not
        enough, because it may be a delayed one of an earlier server.
        """
        known_report = self.report
        if (report.server_id, report.started_ms) == self._ended:
            return False
        if reports.is_same_incarnation(report, known_report):
            return report.number > known_report.number
        if report.started_ms > known_report.started_ms:
            return True
        older_report = self._older_report
        self._older_report = report
        return (
            now - self._reported_at
            > self.report_interval_s * defaults.SERVER_SILENT_INTERVALS
            and older_report is not None
            and reports.is_same_incarnation(older_report, report)
            and report.number > older_report.number
        )

    def on_leave(self, now, server_id, started_ms=0):
        """Handle the server's message that it is leaving.

        :param started_ms: start time of the server, as in its reports; 0 when
            the message does not contain it.
        """
        if (
            self.report is None
            or self.report.server_id != server_id
            or (started_ms and started_ms != self.report.started_ms)
        ):
            return [
                steps.LogEvent(
                    "leave_ignored",
                    fields={"server": server_id, "started_ms": started_ms},
                )
            ]
        if self.report.state == reports.GONE:
            return []
        self.report = attrs.evolve(self.report, state=reports.GONE)
        self._verification.end()
        if started_ms:
            self._ended = (server_id, started_ms)
        return [
            steps.LogEvent(
                "server_state",
                fields={
                    "server": server_id,
                    "service": self.report.service,
                    "state": reports.GONE,
                    "flows": len(self.flows.by_key),
                },
            )
        ]

    def stop(self, now):
        """Decline new flows from now on.

        If the server left before, it has ended by now, and the callers of
        its flows are sent resets.
        """
        self.is_stopping = True
        self._stopping_at = now
        if self.report is not None and self.report.state == reports.GONE:
            return self._reset_flows("server_gone")
        return []

    def has_server_ended(self, now):
        """Whether the server of a stopping agent has ended.

        The platform stops an agent after its server has ended, or restarts it
        beside a server that is still running. A running server reports, but
        not while it stands still; its port then has a listener.

        :returns: True, False, or None while that is not known.
        """
        if self.report is not None and self.report.state == reports.GONE:
            return True
        if self._last_served_at > self._stopping_at:
            return False
        if self._misses_reports(now) and self._refused_at > self._stopping_at:
            return True
        return None

    def _misses_reports(self, now):
        """Whether the server neither reported nor served for too long."""
        return now - self._last_served_at >= (
            self.report_interval_s * defaults.REPORT_MISSING_INTERVALS
        )

    def leave(self):
        """Notify balancers that the server has ended.

        They are those that said hello recently or sent a segment of one of
        the flows. The others learn it from the store.
        """
        addresses = set(self._hello_at_by_address)
        addresses.update(
            flow.balancer
            for flow in self.flows.by_key.values()
            if flow.balancer
        )
        return [
            steps.SendToPeer(address, tunnel.AgentLeft(self.incarnation))
            for address in sorted(addresses)
        ] + [
            steps.LogEvent(
                "agent_left",
                fields={
                    "flows": len(self.flows.by_key),
                    "state": self.report.state if self.report else "unknown",
                },
            )
        ]

    @property
    def is_idle(self):
        """Whether no caller waits for an answer."""
        return not self.flows.awaiting_count

    def _resend_last_segments(self):
        """Resend the callers' last segments to a restarted server.

        The server returns the segments of flows that it does not hold. It may
        have accepted flows since its start, so its report alone does not show
        which flows are lost.
        """
        return [
            steps.SendToServer(flow.last_caller_segment)
            for flow in self.flows.by_key.values()
            if flow.last_caller_segment
        ]

    def _reset_flows(self, reason):
        """Remove all flows; reset the open ones that the server answered."""
        result = []
        for key, flow in self.flows.by_key.items():
            if flow.is_open and flow.server_initial_sequence is not None:
                result.append(steps.Reset(key, flow.caller_ack, reason))
        self.flows.clear()
        return result

    def on_server_absent(self, now):
        """Handle a probe that found no listener at the server's port.

        The server that held the flows has then ended, and one that starts now
        holds none. The probe counts only while the server is also silent in
        every other way.
        """
        self._refused_at = now
        if not self._may_be_absent(now):
            return []
        self._absent_until = now + defaults.SERVER_PROBE_INTERVAL_S
        self._verification.end()
        self._unanswered_flows = defaults.MAX_SILENT_FLOWS
        result = [
            steps.LogEvent(
                "server_absent",
                fields={
                    "flows": len(self.flows.by_key),
                    "silent_s": round(now - self._last_heard_at, 3),
                },
            )
        ]
        for key, flow in self.flows.by_key.items():
            if flow.is_tentative:
                result += self._report_not_held(flow, key, flow.first_segment)
            elif flow.server_initial_sequence is None and flow.first_segment:
                result += self._decline(
                    now,
                    flow.balancer,
                    key,
                    "server_silent",
                    flow.first_segment,
                )
        for flow in self.flows.by_key.values():
            self.evidence.on_failure(now, ejection.GONE, flow)
        return result + self._reset_flows("server_gone")

    def _may_be_absent(self, now):
        """Whether the server has been silent where it had to answer.

        A running server answers every new flow and returns the segments of
        flows that it does not hold, and it cannot hold all flows that are
        searched for. Without such segments, missing reports decide.
        """
        silent_s = now - self._last_heard_at
        if silent_s < defaults.SERVER_ABSENT_AFTER_S:
            return False
        return (
            silent_s
            >= self.report_interval_s * defaults.REPORT_MISSING_INTERVALS
            or self._unanswered_flows >= defaults.MAX_SILENT_FLOWS
            or self._unanswered_tentative_flows
            >= defaults.MAX_SILENT_TENTATIVE_FLOWS
        )

    def _knows_all_flows_at(self, now):
        """Whether a flow that this agent does not know is certainly lost.

        That is also so just after a probe found no server.
        """
        return self.knows_all_flows or now < self._absent_until

    # Segments of callers, from balancers.

    def on_message(self, now, address, message):
        """Handle a message of a balancer."""
        handler = _handlers_by_type.get(type(message))
        if handler is None:
            return [
                steps.LogEvent("message_unexpected", fields={"from": address})
            ]
        return handler(self, now, address, message)

    @registry.register(_handlers_by_type, tunnel.Forward)
    def _on_forward(self, now, balancer, forward):
        segment = self.decode_segment(forward.data)
        flow = self.flows.by_key.get(segment.key)
        if segment.opens_flow and (
            flow is None
            # A later flow between the same ports, not a late copy.
            or (flow.closed_at is not None and not segment.ack)
        ):
            return self._accept_or_decline(now, balancer, forward, segment)
        if segment.opens_flow:
            reason = self._copy_decline_reason(now, forward.service, flow)
            is_new_to_server = (
                not flow.is_accepted and flow.server_initial_sequence is None
            )
            if not reason and (
                is_new_to_server
                or self.pace.is_of_former_server(flow.created_at)
            ):
                if self.pace.admits(now, self._pace_load(), is_copy=True):
                    self.pace.on_accepted(now)
                    flow.created_at = now
                else:
                    reason = "busy"
            if reason:
                return self._decline_copy(now, balancer, flow, segment, reason)
        if flow is None:
            if self._knows_all_flows_at(now):
                return [
                    steps.SendToPeer(
                        balancer, tunnel.UnknownFlow(segment.data)
                    )
                ]
            flow = self._add_tentative_flow(now, balancer, segment)
        elif flow.belongs_to_other_server(segment):
            return [
                steps.SendToPeer(balancer, tunnel.UnknownFlow(segment.data)),
                steps.LogEvent(
                    "flow_elsewhere", segment.key, {"ack": segment.ack}
                ),
            ]
        return self._deliver(now, balancer, flow, segment)

    @registry.register(_handlers_by_type, tunnel.LocateRequest)
    def _on_locate_request(self, now, balancer, request):
        verdicts = [
            (query.key, self._verdict(now, query)) for query in request.queries
        ]
        return [steps.SendToPeer(balancer, tunnel.LocateReply(verdicts))]

    def _verdict(self, now, query):
        """Return the answer to the query of a balancer that searches."""
        flow = self.flows.by_key.get(query.key)
        if flow is not None and not flow.is_undecided:
            is_held = flow.is_held(query.ack)
            return tunnel.HELD if is_held else tunnel.ABSENT
        if self._knows_all_flows_at(now):
            return tunnel.ABSENT
        if self.report is None and (
            self._started_at is None
            or now - self._started_at < defaults.AGENT_STARTING_S
        ):
            return tunnel.STARTING
        return tunnel.UNSURE

    @registry.register(_handlers_by_type, tunnel.TentativeForward)
    def _on_tentative_forward(self, now, balancer, forward):
        segment = self.decode_segment(forward.data)
        flow = self.flows.by_key.get(segment.key)
        is_untried = flow is None or (
            flow.is_undecided and not flow.is_tentative
        )
        if is_untried and not self._knows_all_flows_at(now):
            flow = self._add_tentative_flow(now, balancer, segment)
        if flow is None or not (
            flow.is_tentative or flow.is_held(segment.ack)
        ):
            return [steps.SendToPeer(balancer, tunnel.NotHeld(segment.key))]
        result = self._deliver(now, balancer, flow, segment)
        if flow.is_tentative:
            flow.searched_by.add(balancer)
            return result
        return [steps.SendToPeer(balancer, tunnel.Owned(segment.key))] + result

    def _add_tentative_flow(self, now, balancer, segment):
        """Add and return a flow that the server may hold."""
        flow = hostedflows.Flow(
            segment.key,
            balancer,
            now,
            first_segment=segment.data,
            answer_due_at=now + defaults.TENTATIVE_ANSWER_TIMEOUT_S,
            is_tentative=True,
        )
        self.flows.add(flow)
        return flow

    @registry.register(_handlers_by_type, tunnel.Hello)
    def _on_hello(self, now, balancer, hello):
        self._hello_at_by_address[balancer] = now
        self.pace.on_configured(hello.config_version, hello.warmup_per_s)
        result = [steps.SendToPeer(balancer, self._next_load_report(now))]
        if not hello.is_listed and self.report is not None:
            result.append(steps.Announce())
        return result

    def _deliver(self, now, balancer, flow, segment):
        flow.balancer = balancer
        flow.last_segment_at = now
        if not segment.is_syn:
            flow.caller_ack = segment.ack
            flow.last_caller_segment = segment.data
        failure = ""
        if segment.is_reset:
            failure = self.evidence.on_given_up(now, flow)
            self._abandon_request(now, flow)
            self.flows.remove(segment.key)
        elif segment.length:
            if flow.advance_caller(segment):
                self._begin_request(now, flow, segment)
        elif segment.is_syn:
            flow.caller_initial_sequence = segment.sequence
        if segment.is_final:
            flow.caller_finished = True
            flow.close_if_finished(now)
        self.flows.update(flow)
        return [
            steps.SendToServer(segment.data),
            *self._log_failure(now, flow, failure),
        ]

    def _begin_request(self, now, flow, segment):
        """Record a new request of a flow, or a further part of one.

        :param segment: the segment with the last part.
        """
        slots = self.report.slots if self.report else 1
        flow.requested_at = now
        ahead = self.flows.awaiting_count - flow.is_awaiting_answer
        flow.turn = self.pace.on_request(ahead, slots)
        if not flow.is_tentative:
            is_whole = not (
                flow.has_gap or segment.length >= defaults.FULL_SEGMENT_BYTES
            )
            self.evidence.on_request(
                now,
                flow,
                is_whole,
                flow.is_awaiting_answer,
                max(ahead + 1 - slots, 0) / max(slots, 1),
            )
        if not flow.is_awaiting_answer:
            flow.is_awaiting_answer = True
            is_free = self.flows.awaiting_count < slots
            flow.run_started_at = now if is_free else None
            if not is_free:
                self._run_time.on_queued(flow)
        elif flow.run_started_at is not None:
            # Another part of the same request: the server runs the request
            # once it is complete.
            flow.run_started_at = now

    def _end_request(self, now, flow):
        """Record the answer to a request, and update the mean run time.

        An answer to a request that has not been started, by what is known
        here, says nothing of the run time: a server rejects so what its queue
        has no place for.

        :returns: steps.
        """
        if not self._is_catching_up:
            self.pace.on_answer(
                now, now - flow.requested_at, flow.turn, self._pace_load()
            )
        is_rejection = now - flow.requested_at < (
            defaults.REJECTION_RUN_SHARE * self.evidence.usual_run_s
        )
        if is_rejection:
            # Neither a proper answer nor a failure.
            flow.verdict_due_at = None
        flow.is_awaiting_answer = False
        if flow.run_started_at is None:
            return []
        if is_rejection and self.estimate == "robust":
            self._run_time.on_slot_free(now, self._is_waiting_for_slot)
            return []
        run_s = now - flow.run_started_at
        if flow.run_started_at == flow.requested_at:
            # It did not wait for a slot.
            self.evidence.on_run(run_s)
        learned = self._run_time.add(now, run_s, self._is_warming(now))
        self._run_time.on_slot_free(now, self._is_waiting_for_slot)
        return self._run_time_event("run_time_learned", learned)

    def _abandon_request(self, now, flow):
        """Let the next request start when one ends without an answer."""
        if flow.is_awaiting_answer and flow.run_started_at is not None:
            self._run_time.on_slot_free(now, self._is_waiting_for_slot)

    def _is_waiting_for_slot(self, flow):
        return (
            self.flows.by_key.get(flow.key) is flow
            and flow.is_awaiting_answer
            and flow.run_started_at is None
        )

    def _run_time_event(self, event, learned):
        """Return the step that logs what was learned; none without it."""
        if learned is None:
            return []
        server = self.report.server_id if self.report else "none"
        return [steps.LogEvent(event, fields={"server": server, **learned})]

    def _is_warming(self, now):
        """Whether the server is slow after a start."""
        return self._warmed_up_at > now

    def run_s(self, now):
        """Return the expected run time of a request in seconds.

        It is 0 when it is not known.
        """
        return self._run_time.run_s(now, self._is_warming(now))

    @property
    def run_time_samples(self):
        """Number of run times that the estimate comes from."""
        return self._run_time.samples

    def _pace_load(self):
        """Return the load of the server as its pace sees it."""
        return pacing.Load(
            self.report.slots if self.report else 1,
            self.flows.waiting_count,
            self.flows.open_count,
        )

    def room(self, now):
        """Return how many new flows the pace of the server permits now.

        :returns: 0 or more; infinity without a limit.
        """
        return self.pace.room(now, self._pace_load())

    def _log_failure(self, now, flow, reason):
        """Return the step that logs a request without a proper answer.

        :param reason: a reason of :mod:`~limpetlift.scheduling.ejection`;
            nothing is logged when it is empty.
        """
        if not reason:
            return []
        fields = {
            "reason": reason,
            "waited_s": round(now - flow.requested_at, 3),
            "usual_ms": round(self.evidence.usual_run_s * 1000),
        }
        return [steps.LogEvent("request_failed", flow.key, fields)]

    def _update_evidence(self, now):
        """Log whether the server began or ceased to fail."""
        evidence = self.evidence
        if not evidence.update(now):
            return []
        fields = {
            "server": self.report.server_id if self.report else "none",
            "failure_share": round(evidence.share(now), 2),
            "requests": round(evidence.requests, 1),
            "failed": round(evidence.failed, 1),
            "usual_ms": round(evidence.usual_run_s * 1000),
            "report": self.report.number if self.report else "none",
        }
        event = "server_failing" if evidence.is_failing else "server_recovered"
        return [steps.LogEvent(event, fields=fields)]

    def decline_reason(self, now, service_id):
        """Return why a new flow is declined; empty when it is accepted.

        :param service_id: id of the service that the flow was routed to.
        """
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
        if self._unanswered_flows >= defaults.MAX_SILENT_FLOWS:
            return "server_silent"
        if not self._verification.is_verified(now):
            return "server_unverified"
        if self._is_full():
            return "too_many_flows"
        return ""

    def is_accepting(self, now):
        """Whether new flows of the own service are accepted."""
        return not self.decline_reason(now, self._service_id)

    def _is_recovering(self, now):
        """Whether new flows are declined only until the report that is due."""
        return self._verification.is_report_awaited(now) and (
            self.decline_reason(now, self._service_id) in _RECOVERING_REASONS
        )

    def _is_full(self):
        return self.flows.open_count >= defaults.MAX_FLOWS_PER_SERVER

    def _exceeds_wait(self, now, wait_s):
        """Whether a new request would wait longer than ``wait_s``.

        The agent checks this again because the balancer decided by a load
        report that is some tens of milliseconds old, and other balancers
        decided by the same report.
        """
        run_s = self.run_s(now) or wait_s / defaults.UNKNOWN_WAIT_RUNS
        queue = admitting.Queue(
            self.report.slots, self.flows.waiting_count, run_s
        )
        return not queue.is_wait_within(wait_s)

    def _accept_or_decline(self, now, balancer, forward, segment):
        reason = self.decline_reason(now, forward.service)
        if self._is_catching_up:
            # The balancer has to know that the segment is of unknown age.
            reason = "paused"
        if not reason and forward.wait_ms:
            reason = (
                "busy"
                if self._exceeds_wait(now, forward.wait_ms / 1000)
                else ""
            )
        if not reason and not self.pace.admits(
            now, self._pace_load(), segment.ack > 0
        ):
            reason = "busy"
        if reason:
            return self._decline(
                now, balancer, segment.key, reason, segment.data
            )
        self.pace.on_accepted(now)
        flow = hostedflows.Flow(
            segment.key,
            balancer,
            now,
            first_segment=segment.data,
            answer_due_at=now + defaults.SERVER_ANSWER_TIMEOUT_S,
            is_accepted=True,
            is_known_from_start=self.knows_all_flows,
        )
        self.flows.add(flow)
        return self._deliver(now, balancer, flow, segment) + [
            steps.LogEvent(
                "flow_accepted",
                segment.key,
                {"copy": segment.ack, **self._report_fields(now, balancer)},
            )
        ]

    def report_age_s(self, now):
        """Return the time since the report in force; None without one."""
        return None if self.report is None else now - self._reported_at

    def _report_fields(self, now, balancer):
        """Return the log fields of the report that a decision went by.

        :param balancer: address of the balancer that sent the flow.
        """
        report = self.report
        age_s = self.report_age_s(now)
        return {
            "server": report.server_id if report else "none",
            "server_service": report.service if report else "none",
            "service": self.service,
            "report_age_s": "none" if age_s is None else round(age_s, 3),
            "balancer": "%s:%d" % balancer if balancer else "none",
        }

    def _copy_decline_reason(self, now, service_id, flow):
        """Return why a copy of a known flow's first segment is declined.

        What was accepted stays accepted while the server is the same one. A
        flow that the server may hold has not been accepted by this agent.

        :returns: the reason; empty when the server may receive the copy.
        """
        if not flow.is_accepted:
            return self.decline_reason(now, service_id)
        if service_id != self._service_id:
            return "other_service"
        is_verified = self._verification.is_verified(now)
        return "" if is_verified else "server_unverified"

    def _decline_copy(self, now, balancer, flow, segment, reason):
        """Decline a copy of the first segment of a known flow.

        A flow that the server has answered, or that it may have held before,
        is kept.
        """
        if flow.is_accepted and flow.server_initial_sequence is None:
            self.flows.remove(segment.key)
        return self._decline(now, balancer, segment.key, reason, segment.data)

    def _decline(self, now, balancer, key, reason, data):
        room = self.room(now) if reason == "busy" else math.inf
        return [
            steps.SendToPeer(balancer, tunnel.Declined(reason, data)),
            steps.LogEvent(
                "flow_passed_on",
                key,
                {
                    "reason": reason,
                    "report": self.report.number if self.report else "none",
                    **({} if room == math.inf else {"room": room}),
                    **self._report_fields(now, balancer),
                },
            ),
        ]

    # Segments of the backend server.

    def on_server_segment(self, now, segment):
        """Handle a segment that the backend server sent or returned."""
        self._note_recovery(now, is_reported=False)
        self._unanswered_flows = self._unanswered_tentative_flows = 0
        self._last_heard_at = now
        if segment.is_returned:
            return self._on_returned(now, segment)
        if segment.length:
            self._last_served_at = now
        flow = self.flows.by_key.get(segment.key)
        result = []
        if flow is None:
            if not segment.is_reset:
                # The server holds it since before this agent's start.
                flow = hostedflows.Flow(segment.key, (), now)
                self.flows.add(flow)
        elif flow.is_tentative and segment.is_reset:
            # A server that is still starting also resets flows that another
            # server holds, so the caller is not reset.
            self.flows.remove(segment.key)
            return self._report_not_held(flow, segment.key, flow.first_segment)
        elif flow.is_tentative:
            flow.is_tentative = False
            result += [
                steps.SendToPeer(balancer, tunnel.Owned(segment.key))
                for balancer in flow.searched_by | {flow.balancer}
            ]
        if flow is not None:
            if flow.is_continued_by(segment) and not self._is_catching_up:
                self._verification.on_continued_flow(now)
            result += self._update_from_server(now, flow, segment)
        return result + [steps.SendToCaller(segment.key, segment.data)]

    def _update_from_server(self, now, flow, segment):
        """Update a flow by a segment that the server sent."""
        result = []
        failure = ""
        is_refused = bool(flow.first_segment) and segment.is_reset
        flow.last_segment_at = now
        flow.first_segment = b""
        if flow.advance_server(segment):
            result.append(steps.Duration("flow_open", now - flow.created_at))
        if segment.length and flow.is_awaiting_answer:
            result.append(steps.Duration("answer", now - flow.requested_at))
            result += self._end_request(now, flow)
            failure = self.evidence.on_answer(now, flow)
        if segment.is_reset:
            # A reset may answer the first segment or a request.
            failure = self.evidence.on_failure(
                now, ejection.RESET, None if is_refused else flow
            )
            self._abandon_request(now, flow)
            self.flows.remove(segment.key)
        elif segment.is_final:
            failure = failure or self.evidence.on_failure(
                now, ejection.FINISHED, flow
            )
            self._abandon_request(now, flow)
            flow.server_finished = True
            flow.is_awaiting_answer = False
            flow.close_if_finished(now)
        self.flows.update(flow)
        return result + self._log_failure(now, flow, failure)

    def _on_returned(self, now, segment):
        """Handle a segment that the server returned as not accepted."""
        flow = self.flows.by_key.get(segment.key)
        if flow is None or flow.closed_at is not None:
            return [steps.LogEvent("returned_dropped", segment.key)]
        if segment.opens_flow:
            if flow.server_initial_sequence is not None:
                return []
            self.flows.remove(segment.key)
            self.pace.on_returned(flow.created_at)
            return self._decline(
                now, flow.balancer, segment.key, "server_refused", segment.data
            )
        self.flows.remove(segment.key)
        if flow.is_held(segment.ack):
            return [steps.Reset(segment.key, segment.ack, "server_lost_flow")]
        return self._report_not_held(flow, segment.key, segment.data)

    @staticmethod
    def _report_not_held(flow, key, data):
        """Report to balancers that the server does not hold a flow.

        :param data: datagram that the balancer delivers elsewhere.
        """
        if flow.searched_by:
            return [
                steps.SendToPeer(balancer, tunnel.NotHeld(key))
                for balancer in flow.searched_by
            ]
        if not flow.balancer:
            return [steps.LogEvent("returned_dropped", key)]
        return [steps.SendToPeer(flow.balancer, tunnel.UnknownFlow(data))]

    # Timers and load reports.

    def tick(self, now):
        """Run the timers that are due."""
        if not self._is_catching_up:
            self._verification.tick()
        if self._started_at is None:
            self._started_at = now
            self._verification.on_start(now)
            # The server's silence counts from the start of this agent.
            self._last_heard_at = max(self._last_heard_at, now)
            self._last_served_at = max(self._last_served_at, now)
        result = self._decline_unanswered(now) + self._probe_if_silent(now)
        self.pace.tick(now, self._pace_load())
        result += [
            steps.LogEvent(change.event, fields=change.fields)
            for change in self.pace.take_changes()
        ]
        for flow in self.evidence.pop_overdue(
            now, lambda flow: self.flows.by_key.get(flow.key) is flow
        ):
            result += self._log_failure(now, flow, ejection.OVERDUE)
        result += self._check_entry_if_unknown(now)
        if now - self._last_sweep_at >= defaults.SWEEP_INTERVAL_S:
            self._last_sweep_at = now
            self._remove_old_flows(now)
            if (
                not self.knows_all_flows
                and now - self._started_at > defaults.MAX_FLOW_LIFETIME_S
            ):
                result += self._on_all_flows_known("flow_lifetime")
            result += self._update_evidence(now)
            self._forget_balancers(now)
        return result

    def _forget_balancers(self, now):
        """Forget the balancers that have not said hello recently.

        One is always kept, because the time of the last hello is needed.
        """
        hello_at_by_address = self._hello_at_by_address
        oldest_kept = min(
            now - defaults.HELLO_MAX_AGE_S,
            max(hello_at_by_address.values(), default=now),
        )
        for address, hello_at in list(hello_at_by_address.items()):
            if hello_at < oldest_kept:
                del hello_at_by_address[address]

    def _check_entry_if_unknown(self, now):
        """Check this agent's entry when no balancer contacts it any more.

        Balancers remove the directory entry of an agent that they could not
        reach for long. Those that have started since the store lost the entry
        do not know the agent, so nobody tells it.
        """
        if self.report is None:
            # Without a server there are no flows to find at this agent.
            return []
        last_hello_at = max(
            self._hello_at_by_address.values(), default=self._started_at
        )
        last_known_at = max(last_hello_at, self._announced_at)
        if now - last_known_at < defaults.ENTRY_CHECK_AFTER_S:
            return []
        return [steps.CheckEntry()]

    def _probe_if_silent(self, now):
        """Probe the server's port when it is silent and has to answer.

        A stopping agent probes it to find out whether the server has ended.
        """
        if now - self._last_probe_at < defaults.SERVER_PROBE_INTERVAL_S:
            return []
        if self.is_stopping and self._misses_reports(now):
            self._last_probe_at = now
            return [steps.ProbeServer()]
        if not self._may_be_absent(now):
            return []
        waiting_since = now - defaults.SERVER_PROBE_AFTER_S
        if not any(
            flow.is_awaiting_answer
            or flow.first_segment
            and flow.created_at <= waiting_since
            for flow in self.flows.by_key.values()
        ):
            return []
        self._last_probe_at = now
        return [steps.ProbeServer()]

    def _decline_unanswered(self, now):
        """Decline new flows that the server has not answered in time.

        Tentative flows are kept, and count as unanswered once.
        """
        result = []
        # After a stall of this agent the answer may wait unread.
        is_stalled = self.evidence.is_stalled(now)
        for flow in self.flows.pop_overdue(now):
            if flow.is_tentative:
                self._unanswered_tentative_flows += 1
                continue
            self._unanswered_flows += 1
            if not is_stalled:
                self.evidence.on_failure(now, ejection.SILENT)
            self.flows.remove(flow.key)
            result += self._decline(
                now,
                flow.balancer,
                flow.key,
                "server_silent",
                flow.first_segment,
            )
        return result

    def _remove_old_flows(self, now):
        """Remove flows that are idle or were closed a while ago."""
        idle_before = now - defaults.HOSTED_FLOW_IDLE_S
        closed_before = now - defaults.CLOSED_FLOW_RETENTION_S
        for key, flow in list(self.flows.by_key.items()):
            if flow.last_segment_at < idle_before or (
                flow.closed_at is not None and flow.closed_at < closed_before
            ):
                self.flows.remove(key)

    def _next_load_report(self, now):
        """Return a report of the current load with the next number."""
        self._load_number += 1
        report = self.report
        return tunnel.LoadReport(
            self.incarnation,
            self._load_number,
            self.is_accepting(now),
            self._is_warming(now),
            report.slots if report else 1,
            self.flows.waiting_count,
            self.flows.open_count,
            round(self.run_s(now) * 1000),
            self._service_id,
            self._is_recovering(now),
            int(min(self.room(now), tunnel.NO_LIMIT)),
            failure_share=round(self.evidence.share(now) * 255),
        )


def _are_first_two(first, second):
    """Whether two reports are the first two after a server's start.

    The agent that received both knows all flows of the server: the server
    accepts flows from its first report on. The first one alone does not show
    that, nor does a change of the server: a report may arrive late, when a
    later server is running whose flows an earlier agent forwarded. The time
    of day at the server's start shows nothing, as the clock may have jumped.
    """
    return (
        reports.is_same_incarnation(first, second)
        and first.number == _FIRST_REPORT_NUMBER
        and second.number == _FIRST_REPORT_NUMBER + 1
    )
