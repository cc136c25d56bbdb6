"""Simulation of servers that have just started, under high load.

It adds the pace of new flows to the simulation of ``loadsim``: some servers
start during the run and are slower for a while. Balancers ask a few servers
for their loads and use an answer for 20 ms. Flows may carry several requests,
of which only the first one can be refused.
"""

import functools
import math
import statistics

import attrs
import loadsim

from limpetlift import defaults
from limpetlift.scheduling import admitting
from limpetlift.scheduling import pacing
from limpetlift.scheduling import placing
from limpetlift.state import reports

# When the servers start, and for how long they are slow.
START_S = 1.5
WARMUP_S = 2.0


@attrs.define
class FixedRamp(pacing.Pacing):
    """A baseline: the permitted rate grows evenly up to the full one.

    :param full_per_s: flows per second that a warm server runs.
    """

    full_per_s: float = 0.0
    _tokens: float = 1.0
    _at: float = START_S

    def room(self, now, load):
        """Return the number of flows that the ramp permits now."""
        share = 0.1 + 0.9 * (now - START_S) / WARMUP_S
        if share >= 1:
            return math.inf
        self._tokens += (now - self._at) * share * self.full_per_s
        self._tokens = min(self._tokens, 4.0)
        self._at = now
        return math.floor(self._tokens)

    def on_accepted(self, now):
        """Take the flow off the permitted ones."""
        self._tokens -= 1


@attrs.define(slots=False)
class PacedSimulation(loadsim.LoadSimulation):
    """One run of the simulation.

    :param pace: ``learned``, ``ramp`` or ``none``.
    :param cold: number of servers that start at :data:`START_S`.
    :param factor: how many times as long they take while they are slow.
    :param knows_usual: whether their agents know the usual run time.
    :param flow_requests: number of requests of each flow.
    :param think_s: time between an answer and the flow's next request.
    :param rejected: number of requests that a full server rejected.
    :param cold_s: response times of the requests that came to the servers
        that had started, while these were slow.
    """

    pace: str = "learned"
    cold: int = 1
    factor: float = 1.6
    knows_usual: bool = True
    flow_requests: int = 1
    think_s: float = 0.5
    rejected: int = 0
    cold_s: list = attrs.field(factory=list)

    def run(self):
        """Run the simulation; return the requests."""
        self.asked = 5
        self.up_at = lambda number: START_S if number < self.cold else 0.0
        self._paces, self._flows, self._answers = {}, {}, {}
        self._flow, self._arrived = {}, {}
        return super().run()

    def _number(self, server):
        return next(i for i, s in enumerate(self._servers) if s is server)

    def _pace(self, now, number):
        if number not in self._paces:
            is_cold = number < self.cold and self.pace != "none"
            usual_s = self.mean_s if self.knows_usual else 0.0
            if is_cold and self.pace == "ramp":
                per_s = self.slots / self.mean_s
                made = FixedRamp(full_per_s=per_s)
            else:
                made = pacing.Pacing(is_cold, usual_s=usual_s)
            made.on_report(
                now,
                reports.Report(
                    "s", "s", 1, 1, reports.READY, self.slots, WARMUP_S
                ),
            )
            self._paces[number] = made
        return self._paces[number]

    def _load(self, number):
        server = self._servers[number]
        busy = server.running + len(server.queue)
        flows = max(busy, self._flows.get(number, 0))
        return pacing.Load(server.slots, busy, flows)

    def _candidate(self, now, balancer, number):
        """Return a server by its last answer, which is up to 20 ms old."""
        asked_at, load, room, placed = self._answers.get(
            (balancer, number), (-math.inf, None, 0, [])
        )
        if now - asked_at > defaults.LOAD_REUSE_S:
            load = self._load(number)
            room, placed = self._pace(now, number).room(now, load), []
            self._answers[balancer, number] = (now, load, room, placed)
        return placing.Candidate(
            number,
            load.slots,
            load.waiting,
            load.flows,
            len(placed),
            number < self.cold and now < START_S + WARMUP_S,
            run_s=self._servers[number].estimate.run_s(now, False),
            room=room - len(placed),
        )

    def _on_first_segment(self, now, request, attempt, copy):
        """Place a flow as a balancer and the agents that it tries do."""
        if request.is_open or attempt != request.tries or request.outcome:
            return
        balancer = self._rng.randrange(self.balancers)
        up = [n for n in range(len(self._servers)) if self.up_at(n) <= now]
        tried = set()
        for _ in range(defaults.MAX_BUSY_TRIES):
            left = [number for number in up if number not in tried]
            chosen = self._choose_server(now, balancer, left, copy, tried)
            if chosen is None:
                break
            number, max_wait_s = chosen
            self._answers[balancer, number][3].append(now)
            pace, load = self._pace(now, number), self._load(number)
            server = self._servers[number]
            if loadsim._would_admit(now, server, max_wait_s) and pace.admits(
                now, load, bool(copy)
            ):
                pace.on_accepted(now)
                request.is_open = True
                self._flows[number] = self._flows.get(number, 0) + 1
                self._flow[id(request)] = (number, self.flow_requests - 1)
                self._serve(now, server, request)
                return
            tried.add(number)
        if copy == defaults.LAST_COPY_NUMBER:
            self._retry(now, request)

    def _choose_server(self, now, balancer, left, copy, tried):
        """Return a server and the longest wait there, or None."""
        order = self._rng.sample(left, len(left))
        window = []
        for _ in range(defaults.MAX_POLL_ROUNDS):
            asked, order = order[: self.asked], order[self.asked :]
            window += [self._candidate(now, balancer, n) for n in asked]
            chosen = self._admitted([c for c in window if c.room >= 1], copy)
            if chosen is not None:
                return chosen
        if tried or any(c.room >= 1 for c in window):
            return None
        return self._admitted(window, copy)

    def _admitted(self, candidates, copy):
        if not candidates:
            return None
        chosen = self._choose(candidates, self._rng)
        queue = admitting.with_assumed_run_time(
            admitting.Queue(
                chosen.slots, chosen.busy + chosen.placed, chosen.run_s
            ),
            self.aim_s,
        )
        max_wait_s = admitting.admit_timely(self.aim_s, queue.run_s, copy)
        if not queue.is_wait_within(max_wait_s):
            return None
        return chosen.agent_key, max_wait_s

    def _serve(self, now, server, request):
        load = self._load(self._number(server))
        is_full = load.waiting >= server.slots + self.queue_limit
        self.rejected += is_full
        pace = self._pace(now, self._number(server))
        turn = pace.on_request(load.waiting, server.slots)
        if is_full:
            self._end_flow(request)
            pace.on_answer(now, 0.001, turn, load)
        self._arrived[id(request)] = now, turn
        super()._serve(now, server, request)

    def _end_flow(self, request):
        number, left = self._flow.pop(id(request))
        self._flows[number] -= 1
        return number, left

    def _start(self, now, server, request, was_idle):
        number = self._number(server)
        is_slow = number < self.cold and now < START_S + WARMUP_S
        self.slowdown = lambda _now: self.factor if is_slow else 1.0
        super()._start(now, server, request, was_idle)

    def _finish(self, now, server, request, run_s):
        number, left = self._end_flow(request)
        arrived_at, turn = self._arrived.pop(id(request))
        pace = self._pace(now, number)
        load = self._load(number)
        pace.on_answer(now, now - arrived_at, turn, load)
        pace.tick(now, load)
        if number < self.cold and arrived_at < START_S + WARMUP_S:
            self.cold_s.append(now - request.created_at)
        if left:
            self._flows[number] += 1
            later = loadsim.Request(
                now + self.think_s,
                self._rng.expovariate(1 / self.mean_s),
                aim_s=request.aim_s,
                deadline_s=request.deadline_s,
                route=request.route,
            )
            later.tries, later.is_open = loadsim.MAX_TRIES, True
            self._flow[id(later)] = (number, left - 1)
            self.requests.append(later)
            self._call_at(now + self.think_s, self._serve_next, server, later)
        super()._finish(now, server, request, run_s)

    def _serve_next(self, now, server, request):
        self._serve(now, server, request)


@functools.cache
def figures(pace, load, seeds=6, **fields):
    """Return the mean figures of some runs.

    :param load: offered work as a share of what all servers run when warm.
    :param fields: fields of :class:`PacedSimulation`.
    :returns: dict with, for requests made while servers are slow, ``in_time``
        and ``answered`` (shares); ``served``, ``p50_ms`` and ``p99_ms`` of
        the servers that had started; and ``rejected``.
    """
    runs = []
    for seed in range(seeds):
        simulation = PacedSimulation(
            None, None, START_S + WARMUP_S, pace=pace, seed=seed, **fields
        )
        mean_s = 1.18 * simulation.mean_s * simulation.flow_requests
        rate = load * simulation.servers * simulation.slots / mean_s
        simulation.requests_per_s = lambda _now, rate=rate: rate
        made = [r for r in simulation.run() if r.created_at >= START_S]
        times = sorted(simulation.cold_s) or [0.0]
        runs.append(
            {
                "in_time": sum(r.outcome == "in_time" for r in made)
                / len(made),
                "answered": sum(bool(r.outcome) for r in made) / len(made),
                "served": len(simulation.cold_s),
                "p50_ms": 1000 * times[len(times) // 2],
                "p99_ms": 1000 * times[len(times) * 99 // 100],
                "rejected": simulation.rejected,
            }
        )
    return {
        name: round(statistics.mean(run[name] for run in runs), 4)
        for name in runs[0]
    }


# Two slots, work of 53 ms and an objective of 369 ms, as the first deployment.
DEPLOYMENT = {
    "slots": 2,
    "mean_s": 0.053,
    "aim_s": 0.369,
    "deadline_s": 3.2,
    "queue_limit": 4,
    "balancers": 12,
    "servers": 12,
}

# One slot, work of 19 ms and an objective of 306 ms, as the second one.
_ONE_SLOT = {"slots": 1, "mean_s": 0.019, "aim_s": 0.306}

if __name__ == "__main__":
    import sys

    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 6
    for name, fields in (
        ("one of 12 starts", {"cold": 1}),
        ("all 12 start", {"cold": 12}),
        ("all 12 start and are fast", {"cold": 12, "factor": 1.0}),
        ("all 12 start, long flows", {"cold": 12, "flow_requests": 6}),
        ("all 12 start, one slot", {"cold": 12, **_ONE_SLOT}),
    ):
        print(name)
        for load in (0.5, 0.7, 0.9, 1.2):
            for pace in ("none", "ramp", "learned"):
                values = figures(pace, load, seeds, **{**DEPLOYMENT, **fields})
                print("  %.1f %-8s" % (load, pace), values)
