"""Simulation of admission, retries and the choice of agents under load.

Requests pass through balancers and agents with slots on virtual time, with a
constant one-way latency and a given run time each. The simulation uses the
classes of the processes for admission, retries and the choice of agent; other
parts of the system are not modelled.
"""

import heapq
import itertools
import random

import attrs

from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift.protocol import refusal
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import balancing
from limpetlift.state import retries


@attrs.frozen
class Deployment:
    """Size and policies of a simulated deployment.

    :param agents: number of agents.
    :param slots: slots of each agent.
    :param balancers: number of balancers.

    :param latency: one-way seconds between any two processes.
    :param load_exchange_interval_s: seconds between two exchanges of the
        loads of the agents.
    :param policy: policy of the admission queues.
    :param choice: policy of the choice of agent.
    :param retries: whether balancers retry refused requests.
    """

    agents: int
    slots: int
    balancers: int = 2
    latency: float = 0.0005
    load_exchange_interval_s: float = defaults.PEER_LOAD_INTERVAL_S
    policy: str = "deadline"
    choice: str = "least"
    retries: bool = True


@attrs.define(eq=False)
class Request:
    """A request and its outcome.

    :param at: time of its arrival at the balancer.
    :param deadline: time at which the caller stops waiting.
    :param seconds: its run time.
    :param long: whether it is a straggler.
    :param work_class: class of work that the caller declares, or empty.
    :param key: its idempotency key, or empty.
    :param answered_at: time at which the balancer has the whole answer, or
        None.
    :param code: code of the final refusal, ``timeout`` or empty.
    :param starts: how often it began to run.
    :param attempt: its last attempt.
    """

    request_id: str
    at: float
    deadline: float
    seconds: float
    long: bool = False
    work_class: str = ""
    route: str = "POST /orders"
    key: str = ""
    answered_at: float | None = None
    code: str = ""
    starts: int = 0
    attempt: object = None

    @property
    def in_time(self):
        """Whether it was answered before its deadline."""
        return (
            self.answered_at is not None and self.answered_at <= self.deadline
        )

    @property
    def latency(self):
        """Seconds from its arrival to its answer."""
        return self.answered_at - self.at


@attrs.define
class _Agent:
    """An agent: its admission queue and its record."""

    queue: admission.AdmissionQueue
    member: member.Member
    failed: bool = False


@attrs.define(eq=False)
class _Attempt:
    """An attempt to run a request at an agent.

    :param tried: ids of the agents that the request was sent to, including
        this one.
    :param movable: whether the balancer holds a retry token for it, so that
        the agent may hand it back.
    :param settled: whether the balancer knows its outcome.
    :param started_at: when it began to run, or None.
    """

    attempt_id: str
    request: Request
    balancer: object
    agent: _Agent
    tried: tuple
    sent_at: float
    movable: bool = False
    settled: bool = False
    started_at: float | None = None


@attrs.define
class _Balancer:
    """The decision classes of a balancer."""

    chooser: balancing.Chooser
    budget: retries.RetryBudget
    backoff: retries.Backoff


def arrivals(rng, rate_at, until, make):
    """Return requests that arrive as a Poisson process of varying rate.

    :param rate_at: function of the time that returns requests per second.
    :param until: time at which the arrivals end.
    :param make: function of ``(rng, number, time)`` that returns a request.
    """
    requests = []
    now = 0.0
    while True:
        now += rng.expovariate(rate_at(now))
        if now >= until:
            return requests
        requests.append(make(rng, len(requests), now))


@attrs.define
class Model:
    """A run of the simulation; its results are stored in ``requests``.

    :param requests: the requests that arrive.
    :param fail_at: time at which the agents in ``fail`` begin to refuse
        connections.
    :param fail: ids of the agents that fail.
    :param attempts: number of attempts sent.
    :param trace: ``(time, loads of all agents)`` of each exchange of loads.
    """

    deployment: Deployment
    seed: int
    requests: list
    fail_at: float = float("inf")
    fail: tuple = ()
    attempts: int = 0
    trace: list = attrs.field(factory=list)
    _agents_by_id: dict = attrs.field(factory=dict, init=False)
    _balancers: list = attrs.field(factory=list, init=False)
    _events: list = attrs.field(factory=list, init=False)
    _event_numbers: object = attrs.field(factory=itertools.count, init=False)
    _attempts_by_id: dict = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self):
        rng = random.Random(self.seed)
        parameters = self.deployment
        for number in range(parameters.agents):
            record = member.Member(
                agent_id="agent-%d" % number,
                kind=member.AGENT,
                address="127.0.0.1:%d" % (7000 + number),
                incarnation=1,
                state=member.ACTIVE,
            )
            queue = admission.AdmissionQueue(
                parameters.slots,
                random.Random(rng.random()),
                parameters.policy,
            )
            self._agents_by_id[record.agent_id] = _Agent(queue, record)
        for _ in range(parameters.balancers):
            self._balancers.append(
                _Balancer(
                    balancing.Chooser(
                        random.Random(rng.random()), parameters.choice
                    ),
                    retries.RetryBudget(),
                    retries.Backoff(random.Random(rng.random())),
                )
            )

    def run(self):
        """Run until every request has ended and return the requests."""
        balancers = itertools.cycle(self._balancers)
        for request in self.requests:
            self._schedule(
                request.at, self._on_arrival, request, next(balancers)
            )
        end = max(request.deadline for request in self.requests) + 1.0
        for agent in self._agents_by_id.values():
            self._schedule(defaults.FLOW_TICK_S, self._tick, agent, end)
        self._schedule(
            self.deployment.load_exchange_interval_s, self._exchange_loads, end
        )
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)
        return self.requests

    def queued(self):
        """Return the number of requests that wait at all agents."""
        return sum(a.queue.queued for a in self._agents_by_id.values())

    def _schedule(self, when, function, *arguments):
        heapq.heappush(
            self._events,
            (when, next(self._event_numbers), function, arguments),
        )

    def _tick(self, now, agent, end):
        self._perform(now, agent.queue.tick(now))
        if now < end:
            self._schedule(now + defaults.FLOW_TICK_S, self._tick, agent, end)

    def _exchange_loads(self, now, end):
        """Send the load of each agent to all other agents."""
        loads = [
            agent.queue.load(now, agent.member.agent_id, agent.member.address)
            for agent in self._agents_by_id.values()
        ]
        self.trace.append((now, loads))
        for agent in self._agents_by_id.values():
            others = [
                load
                for load in loads
                if load.agent_id != agent.member.agent_id
            ]
            # The loads arrive at the other agents after the latency.
            self._schedule(
                now + self.deployment.latency,
                agent.queue.on_peer_loads,
                others,
            )
        if now < end:
            self._schedule(
                now + self.deployment.load_exchange_interval_s,
                self._exchange_loads,
                end,
            )

    def _on_arrival(self, now, request, balancer):
        balancer.budget.on_request(now)
        self._schedule(request.deadline, self._on_caller_timeout, request)
        self._send(now, request, balancer, (), "")

    def _on_caller_timeout(self, now, request):
        """Cancel a request whose caller has stopped waiting."""
        if request.answered_at is None and not request.code:
            request.code = "timeout"
            attempt = request.attempt
            if not attempt.settled:
                self._settle(now, attempt, balancing.CANCELLED)
                self._after_latency(now, self._cancel, attempt)

    def _cancel(self, now, attempt):
        # A backend server does not detect that the caller has disconnected,
        # so a running request keeps its slot.
        if attempt.started_at is None:
            queue = attempt.agent.queue
            self._perform(now, queue.on_cancel(now, attempt.attempt_id))

    def _send(self, now, request, balancer, tried, agent_id_hint):
        if request.code:
            return
        members = [agent.member for agent in self._agents_by_id.values()]
        chosen = balancer.chooser.pick(
            now, members, request.key, tried, agent_id_hint
        )
        chosen = chosen or balancer.chooser.pick(now, members, request.key)
        self.attempts += 1
        attempt = _Attempt(
            "%s/%d" % (request.request_id, len(tried)),
            request,
            balancer,
            self._agents_by_id[chosen.agent_id],
            tried + (chosen.agent_id,),
            now,
        )
        attempt.movable = (
            self.deployment.retries
            and len(attempt.tried) < defaults.MAX_REQUEST_ATTEMPTS
            and balancer.budget.take_token(now)
        )
        request.attempt = attempt
        self._attempts_by_id[attempt.attempt_id] = attempt
        balancer.chooser.on_sent(now, chosen.agent_id)
        self._after_latency(now, self._receive, attempt)

    def _receive(self, now, attempt):
        if now >= self.fail_at and attempt.agent.member.agent_id in self.fail:
            self._after_latency(
                now, self._on_refused, attempt, "connect_failed", ""
            )
            return
        request = attempt.request
        self._perform(
            now,
            attempt.agent.queue.on_request(
                now,
                attempt.attempt_id,
                request.deadline - self.deployment.latency,
                request.work_class,
                0,
                request.route,
                attempt.movable,
            ),
        )

    def _perform(self, now, results):
        for action in results:
            attempt = self._attempts_by_id[action.request_id]
            if isinstance(action, actions.Admit):
                attempt.started_at = now
                attempt.request.starts += 1
                self._after_latency(now, self._on_admitted, attempt)
                end = now + attempt.request.seconds
                self._schedule(end, self._on_finished, attempt)
            else:
                self._after_latency(
                    now,
                    self._on_refused,
                    attempt,
                    action.code,
                    action.retry_at,
                )

    def _on_finished(self, now, attempt):
        self._perform(
            now,
            attempt.agent.queue.on_finished(
                now, attempt.attempt_id, attempt.request.seconds
            ),
        )
        self._after_latency(now, self._on_answered, attempt)

    def _on_admitted(self, now, attempt):
        if not attempt.settled:
            attempt.balancer.chooser.on_admitted(
                now, attempt.agent.member.agent_id, now - attempt.sent_at
            )
        if attempt.movable:
            attempt.movable = False
            attempt.balancer.budget.return_token(now)

    def _on_answered(self, now, attempt):
        if not attempt.settled:
            attempt.request.answered_at = now
            self._settle(now, attempt, balancing.OK)

    def _on_refused(self, now, attempt, code, retry_at):
        if attempt.settled:
            return
        request = attempt.request
        failed = code == "connect_failed"
        movable, attempt.movable = attempt.movable, False
        self._settle(
            now, attempt, balancing.FAILED if failed else balancing.REFUSED
        )
        budget = attempt.balancer.budget
        is_retried = (
            self.deployment.retries
            and refusal.refusals_by_code[code].retryable
            and len(attempt.tried) < defaults.MAX_REQUEST_ATTEMPTS
            and (movable or budget.take_token(now))
        )
        if not is_retried:
            request.code = code
            return
        agent_id_hint = ""
        when = attempt.balancer.backoff.next_at(now, len(attempt.tried))
        if retry_at:
            agent_id_hint = "agent-%d" % (
                int(retry_at.rpartition(":")[2]) - 7000
            )
            when = now
        self._schedule(
            when,
            self._send,
            request,
            attempt.balancer,
            attempt.tried,
            agent_id_hint,
        )

    def _settle(self, now, attempt, outcome):
        """Report the outcome of an attempt to the choice of agents."""
        attempt.settled = True
        self._on_admitted(now, attempt)
        attempt.balancer.chooser.on_outcome(
            now,
            attempt.agent.member.agent_id,
            outcome,
            now - attempt.sent_at,
        )

    def _after_latency(self, now, function, *arguments):
        """Schedule a call after the latency between two processes."""
        self._schedule(now + self.deployment.latency, function, *arguments)


def percentile(values, share):
    """Return the value that a ``share`` of ``values`` lies below."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
