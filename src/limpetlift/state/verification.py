"""Verification that the server at an agent's address is the one that reported.

The address of a server that has ended is given to a server of another service
after a while, possibly beside an agent that runs on. That server would accept
the first segments of the agent's service.
"""

from limpetlift import defaults
from limpetlift import structs


@structs.define
class ServerVerification:
    """Knows until when the server at the address is certainly the known one.

    Methods take ``now``, a monotonic time in seconds.

    :param report_interval_s: seconds between two reports of the server.
    :param address_reuse_s: seconds after a server's end from which on its
        address may belong to a server of another service.

    .. versionadded:: 0.2
    """

    report_interval_s: float
    address_reuse_s: float
    _verified_until: float = float("-inf")
    # When a running server has reported again, counted from the start of this
    # agent or from the end of its last pause.
    _report_due_at: float = float("-inf")
    # When the last pause began, and the number of ticks for which a report
    # may still be one that waited through it.
    _pause_began_at: float = float("-inf")
    _outdated_ticks: int = 0
    # Start time and last report time of a server of another service at the
    # address.
    _other_started_ms: int = 0
    _other_reported_at: float = float("-inf")

    def on_start(self, now):
        """Handle the start of this agent."""
        self._report_due_at = now + self._report_wait_s

    def on_pause(self, now, pause_s):
        """Handle the end of a pause of this agent.

        :param pause_s: how long the process did not run, in seconds.
        """
        self._report_due_at = now + self._report_wait_s
        if not self._outdated_ticks:
            self._pause_began_at = now - pause_s
        self._outdated_ticks = defaults.OUTDATED_REPORT_TICKS

    def tick(self):
        """Count a tick after all datagrams of a pause were read."""
        self._outdated_ticks = max(self._outdated_ticks - 1, 0)

    def on_report(self, now, report):
        """Handle a report of the server, which is in force now.

        Where reports are rarer than addresses are used again, an agent has to
        rely on each one until the next is late.
        """
        if self._is_replaced(now, report):
            return
        # A report that waited through a pause came when it began or later.
        came_at = self._pause_began_at if self._outdated_ticks else now
        self._verify(came_at + max(self._proof_s, self._report_wait_s))

    def on_continued_flow(self, now):
        """Handle a segment by which the server goes on with an open flow.

        Another server at the address does not hold the flow.
        """
        self._verify(now + self._proof_s)

    def on_other_service(self, now, started_ms):
        """Handle a report of another service from the server's address.

        :param started_ms: start time of the server that reported.
        """
        self.end()
        self._other_started_ms = started_ms
        self._other_reported_at = now

    def end(self):
        """Rely on nothing that was heard so far."""
        self._verified_until = float("-inf")

    def is_verified(self, now):
        """Whether the server at the address is certainly the known one."""
        return now < self._verified_until

    def is_report_awaited(self, now):
        """Whether a running server may not have reported yet.

        That is so after the start of this agent and after a pause.
        """
        return now < self._report_due_at

    def _verify(self, until):
        self._verified_until = max(self._verified_until, until)

    def _is_replaced(self, now, report):
        """Whether a report is a late one of a server that was replaced.

        A server of another service that started after it reports from its
        address. As start times are wall-clock times, this counts only while
        that server goes on reporting.
        """
        return (
            report.started_ms < self._other_started_ms
            and now - self._other_reported_at
            <= self.report_interval_s * defaults.SERVER_SILENT_INTERVALS
        )

    @property
    def _proof_s(self):
        """For how long after a server was heard its address is its own.

        What was heard may have waited for as long as a stall of this process
        that does not count as a pause.
        """
        return self.address_reuse_s - defaults.PAUSE_MIN_S

    @property
    def _report_wait_s(self):
        """The time in which a running server certainly reports."""
        return self.report_interval_s * defaults.REPORT_LATE_INTERVALS
