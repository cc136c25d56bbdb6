"""Which servers fail while their health check is good.

An agent keeps the evidence of its server (:class:`Evidence`) and sends the
share of failed requests in its load reports. A balancer excludes the worst of
the agents that it compares for a new flow (:class:`Ejection`).

This module addresses servers that reset, hang, never answer or take many times
as long on a part of their requests. A server that is slow as a whole, or that
says that its queue is full, is not such a server.
"""

import collections
import heapq
import itertools
import math

import attrs

from limpetlift import defaults
from limpetlift import structs

# Why a request counts as failed.
RESET = "reset"
FINISHED = "finished"
OVERDUE = "overdue"
SILENT = "silent"
GONE = "gone"


@structs.define
class Evidence:
    """How one server has answered its recent requests.

    Requests are counted with a weight that is halved every
    :data:`~limpetlift.defaults.EVIDENCE_HALF_LIFE_S`. All times are monotonic,
    in seconds.

    :param requests: weighted number of requests that were judged.
    :param failed: weighted number of those that failed.
    :param is_failing: whether :meth:`update` last found the server failing.
    """

    requests: float = 0.0
    failed: float = 0.0
    is_failing: bool = False
    _updated_at: float = 0.0
    _started_at: float = float("-inf")
    _ticked_at: float = float("-inf")
    _runs: object = attrs.field(
        factory=lambda: collections.deque(maxlen=defaults.USUAL_RUN_SAMPLES)
    )
    _usual_s: float = 0.0
    # ``(due_at, sequence, flow)`` as a heap; valid while the flow still has
    # this ``verdict_due_at``.
    _due: list = attrs.field(factory=list)
    _sequence: object = attrs.field(factory=itertools.count)

    @property
    def usual_run_s(self):
        """Usual run time of a request in seconds; 0 when unknown.

        It is a low quantile, which a server that is slow on two fifths of its
        requests does not raise.
        """
        return self._usual_s

    def on_run(self, run_s):
        """Record the run time of a request that did not have to wait.

        :param run_s: time from the request to its answer.
        """
        self._runs.append(run_s)
        if len(self._runs) >= defaults.USUAL_RUN_MIN_SAMPLES:
            ordered = sorted(self._runs)
            index = int(len(ordered) * defaults.USUAL_RUN_QUANTILE)
            self._usual_s = ordered[index]

    def answer_timeout_s(self, has_parts, ahead_per_slot):
        """Return the time after which an answer is overdue, in seconds.

        :param has_parts: whether the request came in several parts, so that
            another one may have been lost on its way here. The caller sends
            it again.
        :param ahead_per_slot: requests that the server runs before it, per
            slot.
        """
        if has_parts:
            least_s = defaults.OVERDUE_PARTS_MIN_S
        elif self._usual_s:
            least_s = defaults.OVERDUE_MIN_S
        else:
            least_s = defaults.OVERDUE_UNKNOWN_S
        usual_s = self._usual_s * (1.0 + ahead_per_slot)
        return max(least_s, defaults.OVERDUE_RUNS * usual_s)

    def on_request(self, now, flow, is_whole, has_parts, ahead_per_slot):
        """Expect an answer to a request, or to one with a further part.

        :param flow: object with ``verdict_due_at``, which is set here.
        :param is_whole: whether the request looks complete. The answer to
            another one is never overdue: a link on the way may be cut, which
            says nothing of the server.
        :param has_parts: as of :meth:`answer_timeout_s`.
        :param ahead_per_slot: as of :meth:`answer_timeout_s`.
        """
        if not is_whole:
            flow.verdict_due_at = math.inf
            return
        flow.verdict_due_at = now + self.answer_timeout_s(
            has_parts, ahead_per_slot
        )
        heapq.heappush(
            self._due, (flow.verdict_due_at, next(self._sequence), flow)
        )

    def on_answer(self, now, flow):
        """Judge a request that is answered.

        :returns: the reason why it counts as failed; empty when it does not.
        """
        due_at, flow.verdict_due_at = flow.verdict_due_at, None
        if due_at is None:
            # It has been judged, or may have been delayed by a pause.
            return ""
        if now > due_at and self.is_stalled(now):
            return ""
        if now > due_at:
            return self.on_failure(now, OVERDUE)
        self._add(now, 1.0, 0.0)
        return ""

    def on_failure(self, now, reason, flow=None):
        """Count a request without a proper answer.

        :param reason: one of the constants of this module.
        :param flow: its flow if the request may have been judged already; it
            is counted once.
        :returns: the reason; empty when it was not counted.
        """
        if flow is not None:
            if flow.verdict_due_at is None:
                return ""
            flow.verdict_due_at = None
        self._add(now, 1.0, 1.0)
        return reason

    def on_given_up(self, now, flow):
        """Judge a request that its caller has given up.

        It counts only if the answer was overdue; otherwise the caller may
        have had other reasons.

        :returns: as of :meth:`on_answer`.
        """
        due_at, flow.verdict_due_at = flow.verdict_due_at, None
        if due_at is None or now < due_at:
            return ""
        return self.on_failure(now, OVERDUE)

    def pop_overdue(self, now, is_known):
        """Return the flows whose requests are overdue, and count them.

        It is called regularly. After a late call, answers may wait unread,
        and no request under way is judged.

        :param is_known: function of a flow; whether it still exists.
        """
        is_stalled = self.is_stalled(now)
        self._ticked_at = now
        if is_stalled:
            self.on_pause()
            return []
        overdue = []
        while self._due and self._due[0][0] <= now:
            due_at, _, flow = heapq.heappop(self._due)
            if flow.verdict_due_at == due_at and is_known(flow):
                self.on_failure(now, OVERDUE, flow)
                overdue.append(flow)
        return overdue

    def is_stalled(self, now):
        """Whether this agent has not run for a while until now."""
        return now - self._ticked_at > defaults.EVIDENCE_STALL_S

    def on_pause(self):
        """Judge no request whose answer a pause of this process delayed."""
        for _, _, flow in self._due:
            flow.verdict_due_at = None
        self._due.clear()

    def on_restart(self, now):
        """Discard the evidence, because another server process runs now.

        A server that restarts again and again fails as a whole, so what is
        known is kept if the last start was shortly before.
        """
        is_repeated = now - self._started_at < defaults.RESTART_KEEPS_S
        self._started_at = now
        self.on_pause()
        if not is_repeated:
            self.requests = self.failed = self._usual_s = 0.0
            self._runs.clear()

    def share(self, now):
        """Return the share of recent requests that failed, from 0 to 1.

        Few requests give a small share, and shares that healthy servers have
        too count as 0.
        """
        self._decay(now)
        share = self.failed / (self.requests + defaults.EVIDENCE_PRIOR)
        return share if share >= defaults.FAILURE_SHARE_NOISE else 0.0

    def update(self, now):
        """Return whether the server began or ceased to fail.

        The result is in ``is_failing``.
        """
        limit = (
            defaults.EJECTION_END_SHARE
            if self.is_failing
            else defaults.EJECTION_SHARE
        )
        was_failing = self.is_failing
        self.is_failing = self.share(now) >= limit
        return self.is_failing != was_failing

    def _add(self, now, requests, failed):
        self._decay(now)
        self.requests += requests
        self.failed += failed

    def _decay(self, now):
        elapsed_s = max(now - self._updated_at, 0.0)
        factor = 0.5 ** (elapsed_s / defaults.EVIDENCE_HALF_LIFE_S)
        self.requests *= factor
        self.failed *= factor
        self._updated_at = max(now, self._updated_at)


@structs.frozen
class Change:
    """A change of what a balancer believes of an agent.

    :param agent_key: as of :class:`~limpetlift.scheduling.placing.Candidate`.
    :param event: ``agent_ejected`` or ``agent_readmitted``.
    :param fields: the inputs of the decision, for logs.
    """

    agent_key: object
    event: str
    fields: dict


@structs.define
class Ejection:
    """The agents that one balancer gives hardly any new flows.

    :param ejected: keys of the agents that were excluded when they were last
        compared.
    """

    ejected: set = attrs.field(factory=set)
    _changes: list = attrs.field(factory=list)

    def select(self, candidates, rng, may_try=True):
        """Return the candidates without those that fail.

        An agent is excluded when the share of its failed requests is large,
        and much larger than that of the median: when all fail alike, another
        cause is more likely, and excluding some only loads the others. At
        most half are excluded.

        :param candidates: list of
            :class:`~limpetlift.scheduling.placing.Candidate`.
        :param rng: a :class:`random.Random`; used only when one is excluded.
        :param may_try: whether the flow may go to an excluded agent to find
            out whether it still fails.
        """
        if not self.ejected and not any(
            candidate.failure_share >= defaults.EJECTION_SHARE
            for candidate in candidates
        ):
            return candidates
        ordered = sorted(
            candidates,
            key=lambda candidate: candidate.failure_share,
            reverse=True,
        )
        # The lower one of two in the middle.
        median = ordered[len(ordered) // 2].failure_share
        excluded = [
            candidate
            for candidate in ordered[: len(ordered) // 2]
            if candidate.failure_share
            >= max(self._limit(candidate), median + defaults.EJECTION_MARGIN)
        ]
        excluded_keys = {candidate.agent_key for candidate in excluded}
        for candidate in candidates:
            self._note(candidate, excluded_keys, median, len(candidates))
        if not excluded:
            return candidates
        kept = [
            candidate
            for candidate in candidates
            if candidate.agent_key not in excluded_keys
        ]
        if may_try and rng.random() < defaults.EJECTION_TRIAL_SHARE:
            kept.append(rng.choice(excluded))
        return kept

    def _limit(self, candidate):
        if candidate.agent_key in self.ejected:
            return defaults.EJECTION_END_SHARE
        return defaults.EJECTION_SHARE

    def _note(self, candidate, excluded_keys, median, compared):
        key = candidate.agent_key
        is_excluded = key in excluded_keys
        if is_excluded == (key in self.ejected):
            return
        if is_excluded:
            self.ejected.add(key)
        elif candidate.failure_share >= defaults.EJECTION_END_SHARE:
            # It fails, but the others of this comparison are no better.
            return
        else:
            self.ejected.discard(key)
        self._changes.append(
            Change(
                key,
                "agent_ejected" if is_excluded else "agent_readmitted",
                {
                    "failure_share": round(candidate.failure_share, 2),
                    "median": round(median, 2),
                    "compared": compared,
                },
            )
        )

    def take_changes(self, known_keys):
        """Return the changes since the last call.

        :param known_keys: collection of the keys of all agents; what is known
            of others is forgotten.
        """
        if not self.ejected and not self._changes:
            return []
        self.ejected.intersection_update(
            [key for key in self.ejected if key in known_keys]
        )
        changes, self._changes = self._changes, []
        return changes
