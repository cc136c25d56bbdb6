"""A model of callers, balancers and backend servers at a crest.

It has no network and virtual time. Callers open a flow for each request, send
two copies of its first segment, give up a try after 1.4 s, and come back at
once after a refusal, with two further tries. Servers run a few requests at a
time, keep a queue and reject what does not fit into it. Several balancers
place flows by reports of load that are 20 ms old.
"""

import heapq
import itertools
import random

import attrs

from limpetlift import defaults
from limpetlift.state import admitting
from limpetlift.state import placing

_REPORT_S = 0.02
_WAY_S = 0.004
_COPIES_S = (0.0, 0.2, 0.6)
_TRY_S = 1.4
_TRIES = 3
_REJECTED_S = 0.06


@attrs.define
class _Server:
    slots: int
    queue_limit: int
    running: int = 0
    queue: list = attrs.field(factory=list)
    told: int = 0
    run_s: float = 0.0


@attrs.define
class _Request:
    at: float
    work_s: float
    tries: int = 0
    opened: bool = False
    outcome: str = ""


@attrs.define(slots=False)
class LoadSimulation:
    """One run of the model.

    :param per_s: function of the time to requests a second.
    :param slow: function of the time to the factor of every work time.
    :param admission: name of an admission policy.
    :param placing_policy: name of a placing policy.
    :param up_at: function of a server's number to the time from which it is
        there; before, segments are lost.
    :param agents_admit: whether an agent hands flows on by what it knows
        itself when a balancer's news of it was old.
    """

    per_s: object
    slow: object
    length_s: float
    admission: str = "timely"
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
    requests: list = attrs.field(factory=list)
    _events: list = attrs.field(factory=list)
    _order: object = attrs.field(factory=itertools.count)

    def run(self):
        """Play the run; return the requests."""
        self._rng = random.Random(self.seed)
        self._choose = placing.policies_by_name[self.placing_policy]
        self._admit = admitting.policies_by_name[self.admission]
        self._servers = [
            _Server(self.slots, self.queue_limit) for _ in range(self.servers)
        ]
        self._placed = [
            [[] for _ in self._servers] for _ in range(self.balancers)
        ]
        at = 0.0
        while at < self.length_s:
            at += self._rng.expovariate(self.per_s(at))
            work = self._rng.lognormvariate(-0.125, 0.5) * self.mean_s
            if self._rng.random() < 0.03:
                work *= 7.0
            request = _Request(at, work)
            self.requests.append(request)
            self._after(at, self._try, request)
        self._after(0.0, self._report)
        while self._events:
            now, _, call, arguments = heapq.heappop(self._events)
            call(now, *arguments)
        return self.requests

    def _after(self, at, call, *arguments):
        heapq.heappush(self._events, (at, next(self._order), call, arguments))

    def _report(self, now):
        for server in self._servers:
            server.told = server.running + len(server.queue)
        if now < self.length_s + 3.0:
            self._after(now + _REPORT_S, self._report)

    def _try(self, now, request):
        if now - request.at > self.deadline_s or request.outcome:
            return
        request.tries += 1
        request.opened = False
        attempt = request.tries
        for copy, after_s in enumerate(_COPIES_S):
            self._after(
                now + after_s + _WAY_S, self._arrive, request, attempt, copy
            )
        self._after(now + _TRY_S, self._give_up, request, attempt)

    def _again(self, now, request):
        if request.tries < _TRIES:
            self._after(now + _WAY_S, self._try, request)

    def _give_up(self, now, request, attempt):
        if not request.opened and attempt == request.tries:
            self._again(now, request)

    def _arrive(self, now, request, attempt, copy):
        if request.opened or attempt != request.tries or request.outcome:
            return
        if now - request.at > self.deadline_s:
            return
        placed = self._placed[self._rng.randrange(self.balancers)]
        candidates = self._candidates(now, placed)
        if not candidates:
            return
        for _ in range(defaults.MAX_BUSY_TRIES):
            chosen = self._choose(candidates, self._rng)
            queue = admitting.with_assumed_run_time(
                admitting.Queue(
                    chosen.slots, chosen.busy + chosen.placed, chosen.run_s
                ),
                self.aim_s,
            )
            wait_s = self._admit(self.aim_s, queue.run_s, copy)
            if not queue.is_wait_within(wait_s):
                break
            server = self._servers[chosen.agent_key]
            placed[chosen.agent_key].append(now)
            if not self.agents_admit or _is_timely(server, wait_s):
                request.opened = True
                self._serve(now, server, request)
                return
            candidates.remove(chosen)
            if not candidates:
                break
        if copy == defaults.LAST_COPY_NUMBER:
            self._again(now, request)

    def _candidates(self, now, placed):
        horizon = now - defaults.LOAD_REPORT_LAG_S
        candidates = []
        for number, server in enumerate(self._servers):
            if self.up_at(number) > now:
                continue
            placed[number] = [at for at in placed[number] if at > horizon]
            candidates.append(
                placing.Candidate(
                    number,
                    server.slots,
                    server.told,
                    server.told,
                    len(placed[number]),
                    run_s=server.run_s,
                )
            )
        return candidates

    def _serve(self, now, server, request):
        if server.running < server.slots:
            self._start(now, server, request, True)
        elif len(server.queue) < server.queue_limit:
            server.queue.append(request)
        else:
            self._after(now + _REJECTED_S, self._again, request)

    def _start(self, now, server, request, is_direct):
        server.running += 1
        took_s = request.work_s * self.slow(now)
        known_s = took_s if is_direct else 0.0
        self._after(now + took_s, self._finish, server, request, known_s)

    def _finish(self, now, server, request, run_s):
        server.running -= 1
        if run_s:
            known_s = server.run_s or run_s
            server.run_s = known_s + defaults.RUN_TIME_WEIGHT * (
                run_s - known_s
            )
        took_s = now + _WAY_S - request.at
        if took_s <= self.aim_s:
            request.outcome = "in_time"
        elif took_s <= self.deadline_s:
            request.outcome = "late"
        while server.queue:
            waiting = server.queue.pop(0)
            if now - waiting.at < self.deadline_s:
                self._start(now, server, waiting, False)
                break

    def worth(self, since_s=0.0, until_s=float("inf"), late=0.3):
        """Return the share of the worth of the requests made in a time."""
        found = [
            request
            for request in self.requests
            if since_s <= request.at < until_s
        ]
        worth_by_outcome = {"in_time": 1.0, "late": late, "": 0.0}
        return sum(
            worth_by_outcome[request.outcome] for request in found
        ) / len(found)


def _is_timely(server, wait_s):
    busy = server.running + len(server.queue)
    run_s = server.run_s or wait_s / defaults.UNKNOWN_WAIT_RUNS
    return admitting.Queue(server.slots, busy, run_s).is_wait_within(wait_s)
