"""Pace of new flows at a backend server that has started or recovered.

It addresses the moments after a start, in which balancers see an idle server
and send it more flows than it bears while it is slow. Two limits are kept by
the agent, because all first segments for its server pass through it:

* The rule: while the server is cold, it gets a bounded number of new flows in
  any span of one second.
* The learned limit: how many callers may wait for the server at a time. It
  grows while answers take their usual time and shrinks when they do not. A
  limit on waiting callers also paces the new flows: a server that takes twice
  as long gets half as many of them.

Nothing here does I/O. Times are monotonic, in seconds.
"""

import collections
import math

import attrs

from limpetlift import defaults
from limpetlift import structs

# Number of the first report after a server's start.
_FIRST_REPORT_NUMBER = 1


@structs.frozen
class Load:
    """What a backend server has to do now.

    :param slots: number of requests that it runs concurrently.
    :param waiting: number of open flows whose caller waits for an answer.
    :param flows: number of open flows.
    """

    slots: int
    waiting: int
    flows: int


@structs.frozen
class Turn:
    """The place of a request in the queue of a backend server.

    :param ahead: number of requests that were running or waiting when it
        came.
    :param after_runs: number of runs of the server that have to end before it
        is run; see :meth:`Pacing.on_request`.
    """

    ahead: int
    after_runs: int


@structs.frozen
class Change:
    """A decision that changed the pace.

    :param event: name of the log event.
    :param fields: the inputs of the decision and its outcome, by name.
    """

    event: str
    fields: dict


@structs.define
class Pacing:
    """Decides how many new flows a backend server gets now.

    Methods take ``now``, a monotonic time in seconds.

    :param is_learning: whether the learned limit is used.
    :param overage: factor on the requests per second that a cold server bears
        by the configuration; None when there is no rule.
    :param slack: new flows per second besides; None when there is no rule.
    :param usual_s: usual run time of a request in seconds, without the wait
        for a slot; 0 when unknown. It outlives the server.
    :param limit: number of callers that may wait at a time; None without a
        learned limit.
    :param slowdown: run time of the last requests as a multiple of
        ``usual_s``.
    :param declined_count: number of new flows declined since the start of the
        agent because there was no room.
    :param rejected_count: number of requests since then that the server most
        likely rejected because its queue was full.

    .. versionadded:: 0.2
    """

    is_learning: bool = False
    overage: object = None
    slack: object = None
    usual_s: float = 0.0
    limit: object = None
    slowdown: float = 1.0
    declined_count: int = 0
    rejected_count: int = 0
    # The configured rate of a cold server, and the version that states it; 0
    # before a balancer has told it.
    _warmup_per_s: float = 0.0
    _config_version: int = 0
    # ``(server_id, started_ms)`` of the server, and when it replaced another.
    _start: object = None
    _replaced_at: float = float("-inf")
    _slots: int = 1
    _cold_until: float = float("-inf")
    # Whether the server recovered and has not reported since. It may have
    # been started again.
    _is_unreported: bool = False
    # Until then flows that an earlier agent accepted count for the rule.
    _predecessor_until: float = float("-inf")
    # When new flows were accepted, within the span of the rule.
    _accepted_at: object = attrs.field(factory=collections.deque)
    _last_accepted_at: float = float("-inf")
    # When the learned limit last left no room.
    _bound_at: float = float("-inf")
    # Runs that have ended.
    _run_count: int = 0
    # Answers that ``usual_s`` comes from, answers since the limit began, and
    # since it was lowered last.
    _usual_count: int = 0
    _answer_count: int = 0
    _answers_since_cut: int = 0
    # Share of the open flows whose caller waits, over the last moments.
    _busy_share: float = 1.0
    _ticked_at: object = None
    _changes: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        if self.usual_s:
            self._usual_count = defaults.PACE_USUAL_ANSWERS

    @property
    def has_rule(self):
        """Whether the settings state the rule for cold servers."""
        return self.overage is not None and self.slack is not None

    def take_changes(self):
        """Return the :class:`Change` list since the last call."""
        changes, self._changes = self._changes, []
        return changes

    # Facts.

    def on_configured(self, version, warmup_per_s):
        """Handle the configured rate of a cold server, told by a balancer.

        The highest version counts. Balancers of one version may differ when a
        value of it was invalid and some of them never had a valid one; then
        the lowest stated rate counts, because the rule holds at every one.

        :param version: version of the configuration; 0 when not told.
        :param warmup_per_s: requests per second; 0 when none is configured.
        """
        known = self._warmup_per_s
        if not self.has_rule or version < max(self._config_version, 1):
            return
        if version == self._config_version and not (
            warmup_per_s and (not known or warmup_per_s < known)
        ):
            return
        was_known = self._config_version > 0
        self._config_version = version
        self._warmup_per_s = warmup_per_s
        if was_known and warmup_per_s == known:
            return
        self._changes.append(
            Change(
                "pace_configured",
                {
                    "version": version,
                    "warmup_per_s": round(warmup_per_s, 3),
                    "was": round(known, 3) if was_known else "unknown",
                    "limit_per_s": _or_none(self._rule_limit()),
                },
            )
        )

    def on_report(self, now, report, agent_started_at=None):
        """Handle a report of the server that is in force.

        A delay makes a report's end of the cold time later than it is, so the
        earliest one of a start counts. A time of 0 is also sent by servers
        that do not report it, and proves nothing against an earlier report.

        :param report: a :class:`~limpetlift.state.reports.Report`.
        :param agent_started_at: start of this agent if an earlier agent may
            have served the server, otherwise None.
        """
        start = (report.server_id, report.started_ms)
        is_first = self._start is None
        is_new = start != self._start
        self._start = start
        self._slots = max(report.slots, 1)
        self._is_unreported = False
        warmup_s = min(report.warmup_remaining_s, defaults.MAX_COLD_S)
        cold_until = now + warmup_s if warmup_s > 0 else -math.inf
        if is_new or self._cold_until == -math.inf:
            self._cold_until = cold_until
        elif warmup_s > 0:
            self._cold_until = min(self._cold_until, cold_until)
        if not is_new:
            if warmup_s > 0 and self.limit is None and self._is_cold(now):
                self._begin(now, "cold")
            return
        if not is_first:
            self._replaced_at = now
            self._begin(now, "restarted")
        elif report.number <= _FIRST_REPORT_NUMBER:
            self._begin(now, "started")
        elif self._is_cold(now):
            self._begin(now, "cold")
            if agent_started_at is not None:
                self._predecessor_until = (
                    agent_started_at + defaults.COLD_SPAN_S
                )

    def on_recovered(self, now, reason, is_reported):
        """Handle that the server answers again.

        :param reason: what it did before, for the log.
        :param is_reported: whether a report shows it. Otherwise the server
            may have been started again and counts as cold until it reports.
        """
        self._is_unreported = not is_reported
        self._begin(now, reason)

    def on_accepted(self, now):
        """Count a new flow that the server gets."""
        self._last_accepted_at = now
        if self.has_rule:
            self._forget_accepted(now)
            self._accepted_at.append(now)

    def on_returned(self, accepted_at):
        """Do not count a new flow any more that the server has returned.

        :param accepted_at: time given to :meth:`on_accepted`.
        """
        if accepted_at in self._accepted_at:
            self._accepted_at.remove(accepted_at)

    def is_of_former_server(self, accepted_at):
        """Whether a flow was accepted before the server was replaced.

        A copy of its first segment is a new flow to the server of now.

        :returns: False also when neither limit is used.
        """
        return accepted_at < self._replaced_at and (
            self.is_learning or self.has_rule
        )

    def on_request(self, ahead, slots):
        """Return the :class:`Turn` of a request that comes to the server.

        :param ahead: number of requests that are running or waiting.
        :param slots: number of requests that the server runs concurrently.
        """
        return Turn(ahead, self._run_count + max(ahead + 1 - slots, 0))

    def on_answer(self, now, took_s, turn, load):
        """Compare the time of an answer with the usual one.

        The wait for a slot is the queue's, not the server's: the time is
        divided by the number of runs that the queue makes of it. A single
        answer counts as at most :data:`~limpetlift.defaults.PACE_CLIP` usual
        ones, as some requests take 7 times as long.

        :param took_s: seconds from the end of the request to the answer.
        A server whose queue is full answers at once that it has not run the
        request. Such an answer out of turn says nothing about run times.

        :param took_s: seconds from the end of the request to the answer.
        :param turn: the :class:`Turn` of the request.
        :param load: the :class:`Load`.
        """
        if not self.is_learning:
            return
        if (
            self._run_count < turn.after_runs
            and took_s < defaults.PACE_REJECTION_SHARE * self.usual_s
        ):
            self.rejected_count += 1
            return
        self._run_count += 1
        slots = max(load.slots, 1)
        run_s = took_s * slots / (slots + max(turn.ahead + 1 - slots, 0))
        if run_s <= 0:
            return
        usual_s = self.usual_s or run_s
        run_s = min(run_s, defaults.PACE_CLIP * usual_s)
        is_slow_by_start = self.limit is not None and self._is_cold(now)
        if not is_slow_by_start or (
            self._usual_count < defaults.PACE_USUAL_ANSWERS
        ):
            self._usual_count += 1
            weight = max(1 / self._usual_count, defaults.PACE_USUAL_WEIGHT)
            self.usual_s = usual_s + weight * (run_s - usual_s)
        if self.limit is not None:
            self._adapt(run_s / usual_s, load)

    def _adapt(self, slowdown, load):
        """Raise or lower the limit after an answer.

        It is raised only while at least half of it is used: otherwise a quiet
        time would permit a burst that nothing has shown to be borne.
        """
        self._answer_count += 1
        self._answers_since_cut += 1
        self.slowdown += defaults.PACE_SLOWDOWN_WEIGHT * (
            slowdown - self.slowdown
        )
        was = self.limit
        if self.slowdown <= defaults.PACE_SLOW:
            if 2 * load.waiting >= was:
                step = self._slots * defaults.PACE_STEP
                self.limit = min(was + step, self._ceiling())
            self.limit = max(self.limit, self._floor())
        elif self._answers_since_cut >= defaults.PACE_MIN_ANSWERS:
            self._answers_since_cut = 0
            self.limit = max(was * defaults.PACE_CUT, self._floor())
        is_raised = self.limit // self._slots > was // self._slots
        if self.limit < was or is_raised:
            self._changes.append(
                Change(
                    "pace_raised" if is_raised else "pace_lowered",
                    {
                        "limit": round(self.limit, 1),
                        "was": round(was, 1),
                        "slowdown": round(self.slowdown, 2),
                        "usual_ms": round(self.usual_s * 1000, 1),
                        "answers": self._answer_count,
                        "waiting": load.waiting,
                    },
                )
            )

    def tick(self, now, load):
        """End the learned limit when it is not needed any more.

        :param load: the :class:`Load`.
        """
        if self.limit is None:
            return
        if load.flows:
            weight = min((now - self._ticked_at) / defaults.PACE_SHARE_S, 1.0)
            share = load.waiting / load.flows
            self._busy_share += weight * (share - self._busy_share)
        self._ticked_at = now
        if (
            self._is_cold(now)
            or self._answer_count < defaults.PACE_MIN_ANSWERS
        ):
            return
        unbound_s = now - self._bound_at
        if (
            unbound_s >= defaults.PACE_UNBOUND_S
            or self.limit >= self._ceiling()
        ):
            self._changes.append(
                Change(
                    "pace_ended",
                    {
                        "limit": round(self.limit, 1),
                        "slowdown": round(self.slowdown, 2),
                        "usual_ms": round(self.usual_s * 1000, 1),
                        "answers": self._answer_count,
                        "unbound_s": round(unbound_s, 3),
                    },
                )
            )
            self.limit = None

    # Decisions.

    def room(self, now, load):
        """Return how many new flows are accepted now.

        :param load: the :class:`Load`.
        :returns: 0 or more; infinity without a limit.
        """
        room = min(self._rule_room(now), self._learned_room(now, load))
        return max(room, 0)

    def admits(self, now, load, is_copy=False):
        """Whether a new flow is accepted now; a declined one is counted.

        As for the admission by expected wait, a copy of a first segment may
        join only the first fifth of the queue: its answer is late in any
        case, and would make that of a new flow late too.

        :param load: the :class:`Load`.
        :param is_copy: whether the flow's caller sent its first segment
            before.
        """
        if self.room(now, load) >= 1 and not (
            is_copy and self._is_closed_to_copies(load)
        ):
            return True
        self.declined_count += 1
        return False

    def _is_closed_to_copies(self, load):
        if self.limit is None:
            return False
        queue = defaults.COPY_WAIT_SHARE * max(self.limit - load.slots, 0)
        return load.waiting >= load.slots + queue

    def _rule_room(self, now):
        """Return what the rule leaves of the last span, or infinity."""
        limit = self._rule_limit()
        if limit is None or not self._is_cold(now):
            return math.inf
        if now < self._predecessor_until:
            return 0
        self._forget_accepted(now)
        return limit - len(self._accepted_at)

    def _rule_limit(self):
        """Return the new flows of a cold server in a second, or None.

        Before a balancer has told the configured rate, only the slack is
        certain to be within the rule.
        """
        if not self.has_rule:
            return None
        if not self._config_version:
            return math.floor(self.slack)
        if not self._warmup_per_s:
            return None
        return math.floor(self._warmup_per_s * self.overage + self.slack)

    def _learned_room(self, now, load):
        """Return how many more callers may wait, or infinity.

        Idle flows count by the share of them that will ask: long flows bring
        their later requests with them, which nobody can refuse. The floor is
        one new flow at a time while a slot is free.
        """
        if self.limit is None:
            return math.inf
        expected = max(load.waiting, load.flows * self._busy_share)
        room = math.floor(self.limit - expected)
        if room >= 1:
            return room
        self._bound_at = now
        is_due = now - self._last_accepted_at >= defaults.PACE_FLOOR_INTERVAL_S
        return int(load.waiting < load.slots and is_due)

    def _is_cold(self, now):
        return now < self._cold_until or self._is_unreported

    def _floor(self):
        """Return the lowest limit: one runs at each slot, some wait.

        A caller that is turned away comes back after 200 ms. So the floor
        permits a wait of up to half of that, within what servers queue.
        """
        per_slot = defaults.PACE_MIN_PER_SLOT
        if self.usual_s:
            queue = defaults.PACE_FLOOR_WAIT_S / self.usual_s
            per_slot = min(
                max(1 + queue, per_slot), defaults.PACE_MAX_FLOOR_PER_SLOT
            )
        return float(self._slots * per_slot)

    def _ceiling(self):
        return float(self._slots * defaults.PACE_MAX_PER_SLOT)

    def _forget_accepted(self, now):
        accepted_at = self._accepted_at
        while accepted_at and accepted_at[0] <= now - defaults.COLD_SPAN_S:
            accepted_at.popleft()

    def _begin(self, now, reason):
        """Begin with the lowest limit."""
        if not self.is_learning:
            return
        was = self.limit
        self.limit = self._floor()
        self.slowdown = 1.0
        self._answer_count = self._answers_since_cut = 0
        self._busy_share = 1.0
        self._ticked_at = now
        self._changes.append(
            Change(
                "pace_began",
                {
                    "reason": reason,
                    "limit": self.limit,
                    "was": "none" if was is None else round(was, 1),
                    "slots": self._slots,
                    "cold_s": round(max(self._cold_until - now, 0.0), 3),
                    "usual_ms": round(self.usual_s * 1000, 1),
                    "limit_per_s": _or_none(self._rule_limit()),
                    "version": self._config_version,
                },
            )
        )


def _or_none(limit):
    """Return a limit for a log line."""
    return "none" if limit is None else limit
