"""Simulation of callers, balancers and backend servers under high load.

It runs in virtual time and without a network. Callers open a flow for each
request, send two copies of its first segment, abandon a try after 1.4 s, and
retry at once after a refusal, up to two times. Servers run a few requests
concurrently and queue others, and reject requests when the queue is full.
Several balancers place flows by reports of all servers' loads that are up to
20 ms old, or by the loads that a few servers tell when asked.
"""

import heapq
import itertools
import math
import random

import attrs

from limpetlift import defaults
from limpetlift.scheduling import admitting
from limpetlift.scheduling import placing
from limpetlift.scheduling import runtimes
from limpetlift.state import routing

_REPORT_INTERVAL_S = 0.02
# One way between a caller and a server.
NETWORK_DELAY_S = 0.004
# Delays of the first segment and its copies from the start of a try.
_COPY_DELAYS_S = (0.0, 0.2, 0.6)
_TRY_TIMEOUT_S = 1.4
MAX_TRIES = 3
# Time from a server's rejection of a request until the caller reacts.
REJECTION_DELAY_S = 0.06


@attrs.define
class _Server:
    """A backend server.

    :param slots: number of requests that it runs concurrently.
    :param reported_busy: number of running and queued requests at the last
        report.
    :param speed: divides the run times of its requests.
    :param flows: number of its long flows.
    :param estimate: the estimate of its run time of
        :mod:`limpetlift.scheduling.runtimes`.
    :param reported_run_s: mean run time of a request at the last report, in
        whole milliseconds as on the wire; 0 when unknown.
    :param reported_at: time of the last report.
    """

    slots: int
    queue_limit: int
    speed: float = 1.0
    estimate: object = attrs.field(factory=runtimes.MeanRunTime)
    flows: int = 0
    running: int = 0
    queue: list = attrs.field(factory=list)
    reported_busy: int = 0
    reported_run_s: float = 0.0
    reported_at: float = 0.0


@attrs.define
class Request:
    """A request of a caller.

    :param created_at: when the caller made the request.
    :param work_s: run time at a server that is not slowed down.
    :param tries: number of tries so far.
    :param is_open: whether a server accepted the flow of the current try.
    :param outcome: ``in_time``, ``late``, or empty without an answer.
    :param answered_at: when the caller got the answer; infinite without one.
    :param aim_s: target response time.
    :param deadline_s: answers after this time are worthless.
    :param route: the route that it is sent to.
    """

    created_at: float
    work_s: float
    tries: int = 0
    is_open: bool = False
    outcome: str = ""
    answered_at: float = math.inf
    aim_s: float = 0.0
    deadline_s: float = 0.0
    route: object = None


@attrs.define(slots=False)
class LoadSimulation:
    """One run of the simulation.

    :param requests_per_s: function of the time; returns the rate of requests.
    :param slowdown: function of the time; returns the factor by which run
        times are longer.
    :param duration_s: time span in which callers make requests.
    :param admission_policy: name of an admission policy.
    :param placing_policy: name of a placing policy.
    :param aim_s: target response time.
    :param deadline_s: answers after this time are worthless.
    :param mean_s: mean run time of requests, apart from the 3% that run 7
        times as long.
    :param up_at: function of a server's number; returns the time from which
        the server is available. Segments are lost while no server is.
    :param agents_admit: whether an agent declines flows for which its current
        queue is too long, so that the balancer tries another agent.
    :param asked: number of random servers that are asked for their loads; 0
        when all servers report their loads.
    :param compared: number of random servers whose reported loads are
        compared; 0 for all.
    :param speed: function of a server's number; returns the factor by which
        its run times are shorter.
    :param report_interval_s: time between two reports of the loads.
    :param estimate: name of an estimate of run times.
    :param is_central: whether one queue serves all servers and the fastest
        idle one takes the next request: the limit of any placing.
    :param requests: all requests that were made.
    """

    requests_per_s: object
    slowdown: object
    duration_s: float
    admission_policy: str = "timely"
    placing_policy: str = "least"
    servers: int = 7
    slots: int = 3
    queue_limit: int = 12
    balancers: int = 6
    aim_s: float = 0.226
    deadline_s: float = 1.2
    mean_s: float = 0.043
    seed: int = 1
    up_at: object = staticmethod(lambda _number: 0.0)
    agents_admit: bool = True
    asked: int = 0
    compared: int = 0
    speed: object = staticmethod(lambda _number: 1.0)
    report_interval_s: float = _REPORT_INTERVAL_S
    estimate: str = "mean"
    is_central: bool = False
    requests: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    def run(self):
        """Run the simulation; return the requests."""
        self._rng = random.Random(self.seed)
        self._choose = placing.policies_by_name[self.placing_policy]
        self._route = routing.Route("all", (), (), self.aim_s)
        # The decisions of each balancer.
        self._admissions = [
            admitting.Admission(self.admission_policy)
            for _ in range(self.balancers)
        ]
        self._servers = [
            _Server(
                self.slots,
                self.queue_limit,
                self.speed(number),
                runtimes.estimates_by_name[self.estimate](),
            )
            for number in range(self.servers)
        ]
        self._central_queue = []
        # By balancer and server: when the balancer placed flows there.
        self._placement_times = [
            [[] for _ in self._servers] for _ in range(self.balancers)
        ]
        self._make_requests()
        self._call_at(0.0, self._report)
        while self._events:
            now, _, callback, arguments = heapq.heappop(self._events)
            callback(now, *arguments)
        return self.requests

    def _make_requests(self):
        """Let callers make requests until the end of the simulation."""
        now = 0.0
        while now < self.duration_s:
            now += self._rng.expovariate(self.requests_per_s(now))
            work_s = self._rng.lognormvariate(-0.125, 0.5) * self.mean_s
            if self._rng.random() < 0.03:
                work_s *= 7.0
            request = Request(
                now,
                work_s,
                aim_s=self.aim_s,
                deadline_s=self.deadline_s,
                route=self._route,
            )
            self.requests.append(request)
            self._call_at(now, self._try, request)

    def _call_at(self, time_s, callback, *arguments):
        heapq.heappush(
            self._events, (time_s, next(self._order), callback, arguments)
        )

    def _report(self, now):
        for server in self._servers:
            server.reported_busy = server.running + len(server.queue)
            server.reported_run_s = _rounded(server.estimate.run_s(now, False))
            server.reported_at = now
        if now < self.duration_s + 3.0:
            self._call_at(now + self.report_interval_s, self._report)

    def _try(self, now, request):
        """Let the caller send the first segment and its copies."""
        if request.outcome:
            return
        if now - request.created_at > request.deadline_s:
            self._give_up(now, request)
            return
        request.tries += 1
        request.is_open = False
        attempt = request.tries
        for copy, delay_s in enumerate(_COPY_DELAYS_S):
            self._call_at(
                now + delay_s + NETWORK_DELAY_S,
                self._on_first_segment,
                request,
                attempt,
                copy,
            )
        self._call_at(
            now + _TRY_TIMEOUT_S, self._on_try_timeout, request, attempt
        )

    def _retry(self, now, request):
        if request.tries < MAX_TRIES:
            self._call_at(now + NETWORK_DELAY_S, self._try, request)
        else:
            self._give_up(now, request)

    def _give_up(self, now, request):
        """Handle that a caller gives up a request."""

    def _on_open(self, now, server, request):
        """Handle that a server accepted the flow of a request."""
        self._serve(now, server, request)

    def _on_rejected(self, now, _server, request):
        """Handle that a server has no place for a request in its queue."""
        self._call_at(now + REJECTION_DELAY_S, self._retry, request)

    def _on_try_timeout(self, now, request, attempt):
        if not request.is_open and attempt == request.tries:
            self._retry(now, request)

    def _on_first_segment(self, now, request, attempt, copy):
        """Place a flow at a balancer, unless this copy is not needed."""
        if request.is_open or attempt != request.tries or request.outcome:
            return
        if now - request.created_at > request.deadline_s:
            return
        if self.is_central:
            request.is_open = True
            self._central_queue.append(request)
            self._serve_central(now)
            return
        balancer = self._rng.randrange(self.balancers)
        placement_times = self._placement_times[balancer]
        candidates = self._candidates(now, placement_times)
        if not candidates:
            return
        known = {candidate.agent_key for candidate in candidates}
        rounds = 1
        declined = 0
        while candidates and declined < defaults.MAX_BUSY_TRIES:
            chosen = self._choose(candidates, self._rng)
            queue = admitting.Queue(
                chosen.slots, chosen.busy + chosen.placed, chosen.run_s
            )
            max_wait_s, _ = self._admissions[balancer].decide(
                request.route, queue, copy
            )
            if max_wait_s is None:
                if not self.asked or rounds >= defaults.MAX_POLL_ROUNDS:
                    break
                rounds += 1
                added = self._candidates(now, placement_times, known)
                if not added:
                    break
                known.update(candidate.agent_key for candidate in added)
                candidates += added
                continue
            server = self._servers[chosen.agent_key]
            placement_times[chosen.agent_key].append(now)
            if not self.agents_admit or _would_admit(now, server, max_wait_s):
                request.is_open = True
                self._on_open(now, server, request)
                return
            candidates.remove(chosen)
            declined += 1
        if copy == defaults.LAST_COPY_NUMBER:
            self._retry(now, request)

    def _candidates(self, now, placement_times, known=()):
        """Return available servers as a balancer's candidates.

        :param known: numbers of the servers that are left out.
        """
        numbers = [
            number
            for number in range(len(self._servers))
            if self.up_at(number) <= now and number not in known
        ]
        sampled = self.asked or self.compared
        if sampled:
            numbers = self._rng.sample(numbers, min(sampled, len(numbers)))
        candidates = []
        for number in numbers:
            server = self._servers[number]
            busy, run_s = server.reported_busy, server.reported_run_s
            oldest_kept = server.reported_at - defaults.LOAD_REPORT_LAG_S
            if self.asked:
                busy = server.running + len(server.queue)
                run_s = _rounded(server.estimate.run_s(now, False))
                oldest_kept = now - defaults.LOAD_REPORT_LAG_S
            placement_times[number] = [
                placed_at
                for placed_at in placement_times[number]
                if placed_at > oldest_kept
            ]
            candidates.append(
                placing.Candidate(
                    number,
                    server.slots,
                    busy,
                    max(busy, server.flows),
                    len(placement_times[number]),
                    run_s=run_s,
                )
            )
        return candidates

    def _serve(self, now, server, request):
        """Start, queue or reject a request at a server."""
        if server.running < server.slots:
            self._start(now, server, request, True)
        elif len(server.queue) < server.queue_limit:
            server.queue.append(request)
        else:
            self._on_rejected(now, server, request)

    def _serve_central(self, now):
        """Start requests of the central queue at the fastest idle servers."""
        for server in sorted(self._servers, key=lambda one: -one.speed):
            while self._central_queue and server.running < server.slots:
                self._start(now, server, self._central_queue.pop(0), True)

    def _start(self, now, server, request, was_idle):
        """Run a request at a server.

        :param was_idle: whether the request did not have to queue; only then
            its run time counts in the mean of an agent that does not know the
            order of the queue.
        """
        server.running += 1
        run_s = request.work_s * self.slowdown(now) / server.speed
        is_measured = was_idle or self.estimate == "robust"
        measured_s = run_s if is_measured else 0.0
        self._call_at(now + run_s, self._finish, server, request, measured_s)

    def _finish(self, now, server, request, run_s):
        """Record a request's outcome and start the next one.

        :param run_s: run time for the server's mean; 0 to leave it out.
        """
        server.running -= 1
        if run_s:
            server.estimate.add(now, run_s, False)
        request.answered_at = now + NETWORK_DELAY_S
        response_s = now + NETWORK_DELAY_S - request.created_at
        if response_s <= request.aim_s:
            request.outcome = "in_time"
        elif response_s <= request.deadline_s:
            request.outcome = "late"
        while server.queue:
            waiting = server.queue.pop(0)
            if now - waiting.created_at < waiting.deadline_s:
                self._start(now, server, waiting, False)
                break
        if self.is_central:
            self._serve_central(now)

    def score(self, since_s=0.0, until_s=float("inf"), late=0.3):
        """Return the mean score of the requests made in a time span.

        :param since_s: start of the time span.
        :param until_s: end of the time span.
        :param late: score of a late answer. An answer within the target time
            scores 1, and no answer scores 0.
        """
        selected = [
            request
            for request in self.requests
            if since_s <= request.created_at < until_s
        ]
        score_by_outcome = {"in_time": 1.0, "late": late, "": 0.0}
        return sum(
            score_by_outcome[request.outcome] for request in selected
        ) / len(selected)


def _rounded(run_s):
    """Return a run time in whole milliseconds, as load reports have it."""
    return round(run_s * 1000) / 1000


def _would_admit(now, server, max_wait_s):
    """Whether a server's agent would accept a flow with its current queue."""
    busy = server.running + len(server.queue)
    run_s = (
        server.estimate.run_s(now, False)
        or max_wait_s / defaults.UNKNOWN_WAIT_RUNS
    )
    return admitting.Queue(server.slots, busy, run_s).is_wait_within(
        max_wait_s
    )
