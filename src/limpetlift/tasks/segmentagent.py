"""The agent process: forwards segments to and from its backend server."""

from limpetlift import clock
from limpetlift.coordination import directory as directories
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift import logs
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.scheduling import pacing
from limpetlift.state import hosting
from limpetlift.state import steps
from limpetlift.tasks import announcing
from limpetlift.tasks import segmentprocess
from limpetlift.transport import probing

LOG = logs.EventLogger("agent")


class SegmentAgent(segmentprocess.SegmentProcess):
    """Forwards segments between balancers and one backend server.

    The backend server runs on the same instance as the agent.

    .. versionadded:: 0.2
    """

    kind = "agent"

    def __init__(self, settings_path, deployment):
        super().__init__(settings_path, deployment)
        # Ids of the servers of other services whose reports were logged; the
        # values are not used, but the order is.
        self._other_server_ids = {}
        # Address of the server by the settings before the last change of it.
        self._former_server = None

    def start(self):
        """Open sockets and start timers and tasks."""
        settings = self.settings
        self.decisions = hosting.FlowHosting(
            settings.service,
            self.incarnation,
            self.decode_caller,
            settings.is_first_start,
            settings.report_interval_ms / 1000,
            settings.address_reuse_s,
            "robust" if settings.placing_policy == "fastest" else "mean",
            pacing.Pacing(
                settings.is_pace_learned,
                settings.warmup_overage,
                settings.warmup_slack,
            ),
        )
        self._peer_socket = self.open_socket(
            settings.segments, self.on_datagram
        )
        self._server_socket = self.open_socket(
            settings.server_segments, self._on_server_datagram
        )
        self._caller_port = settings.segments[1]
        self.serve(settings.reports)
        self.serve(settings.probes)
        entry = directories.ProcessEntry(
            settings.id,
            settings.segments,
            settings.data_centre,
            settings.service,
        )
        self._announcer = announcing.Announcer(
            self.reactor,
            self.store,
            segmentprocess.KEY_PREFIX
            + directories.AGENTS_PREFIX
            + settings.id,
            entry.encode(),
            self.rng,
        )
        self._is_announcing = False
        self.call_every(defaults.HOSTING_TICK_S, self.tick)

    def on_era(self, era):
        """Write the entry again in a new era of the store."""
        self._announcer.on_era()

    # Messages, segments and reports.

    def _on_server_datagram(self, data, _address):
        self.decide(
            lambda now: self.decisions.on_server_segment(
                now, self.deployment.decode(data, False)
            )
        )

    def on_report(self, report):
        """Handle a report of the backend server.

        :param report: a :class:`~limpetlift.state.reports.Report`.
        :raises MalformedMessage: when it names another service than the one
            that this agent was started for, which its entry names.
        """
        if report.service != self.decisions.service:
            self._log_other_service(report)
            if report.address == _format_endpoint(self.settings.server):
                self.decisions.on_other_service(
                    self.observe(), report.started_ms
                )
            raise exceptions.MalformedMessage(
                "report of service %r to an agent of service %r"
                % (report.service, self.decisions.service)
            )
        self.perform(self.decisions.on_report(self.observe(), report))
        if report.address and report.address == self._former_server:
            # It shows nothing of the server at the address of the settings.
            self.decisions.unverify_server()

    def _log_other_service(self, report):
        """Count a report of another service; log it once per server.

        Only the last few servers are remembered.
        """
        self.count("report_other_service")
        if report.server_id in self._other_server_ids:
            return
        self._other_server_ids[report.server_id] = None
        if len(self._other_server_ids) > defaults.MAX_OTHER_SERVERS:
            del self._other_server_ids[next(iter(self._other_server_ids))]
        LOG.warning(
            "report_other_service",
            server=report.server_id,
            service=report.service,
            own_service=self.decisions.service,
        )

    def on_settings(self, changed, former):
        """Handle settings that were put in force."""
        if "server" in changed:
            self._former_server = _format_endpoint(former.server)
            self.decisions.unverify_server()

    def on_leave(self, server_id, started_ms=0):
        """Handle the backend server's notice that it shuts down now.

        :param started_ms: start time of the server; 0 when it is not known.
        """
        self.perform(
            self.decisions.on_leave(clock.now(), server_id, started_ms)
        )

    def perform(self, next_steps):
        """Carry out the steps of a decision."""
        for step in next_steps:
            if isinstance(step, steps.SendToServer):
                self.send(self._server_socket, step.data, self.settings.server)
            elif isinstance(step, steps.SendToCaller):
                self._send_caller(step.key, step.data)
            elif isinstance(step, steps.SendToPeer):
                self.send(
                    self._peer_socket, step.message.encode(), step.address
                )
            elif isinstance(step, steps.Reset):
                self._reset(step)
            elif isinstance(step, steps.Announce):
                self._announce()
            elif isinstance(step, steps.CheckEntry):
                if self._is_announcing:
                    self._announcer.check_entry()
            elif isinstance(step, steps.ProbeServer):
                probing.PortProbe(
                    self.reactor, self.settings.server, self._on_probed
                )
            elif isinstance(step, steps.Duration):
                self.measure(step.name, step.seconds)
            else:
                self.log_event(step)

    def _announce(self):
        """Write the entry of this agent, or write it again.

        It is written only after the first report of the backend server.
        Otherwise balancers would search for flows at an agent that may stop
        without ever having had a server.
        """
        if self._is_announcing:
            self._announcer.on_entry_missing()
        else:
            self._is_announcing = True
            self.reactor.spawn(self._announcer.run())

    def _on_probed(self, outcome):
        self.log_event(
            steps.LogEvent("server_probed", fields={"outcome": outcome})
        )
        if outcome == probing.REFUSED:
            self.perform(self.decisions.on_server_absent(self.observe()))

    def _send_caller(self, key, data):
        ip, _ = segments.caller_of(key)
        self.send(self._peer_socket, data, (ip, self._caller_port))

    def _reset(self, step):
        self.log_event(
            steps.LogEvent("flow_reset", step.key, {"reason": step.reason})
        )
        self._send_caller(
            step.key, self.deployment.encode_reset(step.key, step.ack)
        )

    def is_ready(self):
        """Whether this agent serves balancers; False once it stops."""
        return not self.is_stopping

    def gauges(self):
        """Return the current values of the gauges, by name."""
        now = clock.now()
        return {
            **super().gauges(),
            "flows": len(self.decisions.flows.by_key),
            "accepting": int(self.decisions.is_accepting(now)),
            "failure_share": round(self.decisions.evidence.share(now), 3),
            "report_age_seconds": self.decisions.report_age_s(now) or 0.0,
            "run_time_seconds": self.decisions.run_s(now),
            "run_time_samples": self.decisions.run_time_samples,
            "pace_limit": self.decisions.pace.limit or 0.0,
            "pace_room": min(self.decisions.room(now), tunnel.NO_LIMIT),
            "pace_declined": self.decisions.pace.declined_count,
            "pace_rejected": self.decisions.pace.rejected_count,
            "pace_slowdown": self.decisions.pace.slowdown,
        }

    async def stop(self):
        """Serve until no caller waits and the server's state is known.

        The entry is removed only when the server has ended too, if need be
        after an outage of the store. While it stays, balancers cannot tell
        callers that a flow is lost unless this agent answers them.
        """
        now = clock.now()
        latest = now + defaults.STOP_MAX_S
        self.perform(self.decisions.stop(now))
        # Flows that balancers place by an earlier answer are still declined.
        await self.reactor.sleep(defaults.STOP_NOTICE_S)
        while clock.now() < latest and self._has_work():
            await self.reactor.sleep(defaults.HOSTING_TICK_S)
        if self.decisions.has_server_ended(clock.now()):
            self.perform(self.decisions.leave())
            await self._announcer.withdraw(latest)
        # Otherwise the entry stays: the agent is started again for the same
        # server.

    def _has_work(self):
        has_ended = self.decisions.has_server_ended(clock.now())
        return has_ended is None or not (has_ended or self.decisions.is_idle)


def _format_endpoint(endpoint):
    """Return ``(ip, port)`` as in reports; None without an endpoint."""
    return endpoint and "%s:%d" % endpoint
