"""Requests in a replay: callers, the balancer's side and the agent's side."""

import random

import attrs

from limpetlift import defaults
from limpetlift.protocol import refusal
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import balancing
from limpetlift.state import requests
from limpetlift.state import retries

_CALLER_PAUSE_S = 0.2
_ROUTE = "POST /work"
_ANSWERED = "answered"


@attrs.define(eq=False)
class Job:
    """What a caller wants done, over all its attempts.

    :param work_s: seconds that a backend server needs.
    :param deadline: virtual time until which the answer is of use.
    :param outcomes: what the caller was told, one entry for each attempt.
    """

    service: str
    work_s: float
    deadline: float
    sent_at: float
    key: str = ""
    long: bool = False
    declared: bool = True
    retries_left: int = 0
    runs: int = 0
    answered_at: float | None = None
    outcomes: list = attrs.field(factory=list)

    @property
    def work_class(self):
        """The work class that the caller declares."""
        return admission.LONG if self.long and self.declared else ""


@attrs.define(eq=False)
class Attempt:
    """One attempt of a caller at one balancer.

    :param settled: whether the caller has its answer.
    :param ran: whether a backend server got the request of this attempt.
    """

    job: Job
    balancer: object
    started: int
    tried: tuple = ()
    settled: bool = False
    ran: bool = False


@attrs.define(eq=False)
class Offer:
    """One attempt offered to one agent."""

    offer_id: str
    attempt: Attempt
    agent: object
    life: int
    sent_at: float
    movable: bool = False
    admitted: bool = False
    closed: bool = False


class Callers:
    """Sends jobs to balancers and repeats them.

    :param world: the :class:`limpetlift.replay.world.World`.
    """

    def __init__(self, world):
        self.world = world
        self.jobs = []
        self.attempts = 0

    def start(self, job):
        """Send a new job."""
        self.jobs.append(job)
        self._attempt(job)

    def _attempt(self, job):
        world = self.world
        alive = [b for b in world.balancers() if b.alive and b.accepts]
        if not alive or world.clock.now >= job.deadline:
            return
        self.attempts += 1
        balancer = world.rng.choice(alive)
        attempt = Attempt(job, balancer, balancer.started)
        balancer.attempts[attempt] = None
        world.clock.after(
            world.header.client_ms / 1000,
            balancer.receive,
            balancer.requests.on_request,
            (attempt,),
        )
        world.clock.at(job.deadline, self._give_up, attempt)

    def _give_up(self, attempt):
        if not attempt.settled:
            self.settle(attempt, "timeout")

    def settle(self, attempt, code):
        """The caller learns how an attempt ended.

        :param code: ``answered`` or a refusal code.
        """
        if attempt.settled:
            return
        attempt.settled = True
        attempt.balancer.attempts.pop(attempt, None)
        job = attempt.job
        job.outcomes.append((code, attempt))
        if code == _ANSWERED:
            job.answered_at = self.world.clock.now
        elif job.retries_left and _may_repeat(job, code):
            job.retries_left -= 1
            self.world.clock.after(
                _CALLER_PAUSE_S * self.world.rng.random(), self._attempt, job
            )


def _may_repeat(job, code):
    """Whether a caller repeats: the key makes it safe, or it never ran."""
    return bool(job.key) or is_not_run(code)


def is_not_run(code):
    """Whether a code promises that the request was not run."""
    entry = refusal.refusals_by_code.get(code)
    return entry is not None and entry.outcome == refusal.NOT_RUN


class BalancerRequests:
    """The balancer's side: choice of agent and retries.

    :param node: the :class:`limpetlift.replay.nodes.Balancer`.
    """

    def __init__(self, node):
        self.node = node
        self.world = node.world
        seed = random.Random(node.world.rng.random())
        self.backoff = retries.Backoff(seed)
        choice = node.world.policies.get("choice", "least")
        self.chooser_by_service = {
            spec.name: balancing.Chooser(seed, choice)
            for spec in node.world.header.services
        }
        self.budget_by_service = {
            spec.name: retries.RetryBudget()
            for spec in node.world.header.services
        }

    def on_request(self, attempt):
        """A caller's request arrived."""
        self.budget_by_service[attempt.job.service].on_request(self.node.now)
        self._offer(attempt, "")

    def _offer(self, attempt, hint):
        job = attempt.job
        if attempt.settled:
            return
        chooser = self.chooser_by_service[job.service]
        members = self.node.tables_by_name[job.service].members
        now = self.node.now
        member = chooser.pick(now, members, job.key, attempt.tried, hint)
        member = member or chooser.pick(now, members, job.key)
        if member is None:
            self._tell(attempt, "no_target")
            return
        attempt.tried += (member.agent_id,)
        agent = self.world.network.processes_by_id[member.agent_id]
        self.world.offers += 1
        offer = Offer(
            "offer-%d" % self.world.offers, attempt, agent, agent.started, now
        )
        budget = self.budget_by_service[job.service]
        offer.movable = (
            self.world.uses_retries
            and len(attempt.tried) < defaults.MAX_REQUEST_ATTEMPTS
            and budget.take_token(now)
        )
        chooser.on_sent(now, agent.id)
        agent.offers[offer] = None
        if not self._stream(agent, agent.requests.on_offer, offer):
            agent.offers.pop(offer, None)
            self.on_refused(offer, "connect_failed", "")

    def _stream(self, agent, callback, *arguments):
        return self.world.network.stream(
            self.node, agent.id, callback, *arguments
        )

    def on_admitted(self, offer):
        """An agent admitted the request; send the body."""
        if offer.closed or offer.attempt.settled:
            self._cancel(offer)
            return
        self._note_admitted(offer)
        if not self._stream(offer.agent, offer.agent.requests.on_body, offer):
            self.on_closed(offer)

    def _note_admitted(self, offer):
        name = offer.attempt.job.service
        now = self.node.now
        self.chooser_by_service[name].on_admitted(
            now, offer.agent.id, now - offer.sent_at
        )
        if offer.movable:
            offer.movable = False
            self.budget_by_service[name].return_token(now)

    def _cancel(self, offer):
        self._stream(offer.agent, offer.agent.requests.on_cancel, offer)

    def on_answered(self, offer):
        """The whole answer arrived."""
        if not offer.closed:
            self._end(offer, balancing.OK)
            self._tell(offer.attempt, _ANSWERED)

    def on_refused(self, offer, code, retry_at):
        """An agent refused the request, or it was not reached."""
        if offer.closed:
            return
        failed = code == "connect_failed"
        self._end(offer, balancing.FAILED if failed else balancing.REFUSED)
        attempt = offer.attempt
        if not self._may_retry(offer, code):
            self._tell(attempt, code)
        elif retry_at:
            self._offer(attempt, self.world.process_at(retry_at))
        else:
            when = self.backoff.next_at(self.node.now, len(attempt.tried))
            self.world.clock.at(when, self._offer, attempt, "")

    def _may_retry(self, offer, code):
        attempt = offer.attempt
        if (
            not self.world.uses_retries
            or not refusal.refusals_by_code[code].retryable
            or len(attempt.tried) >= defaults.MAX_REQUEST_ATTEMPTS
        ):
            return False
        if offer.movable:
            return True
        budget = self.budget_by_service[attempt.job.service]
        return budget.take_token(self.node.now)

    def on_closed(self, offer):
        """The connection to the agent broke."""
        if offer.closed:
            return
        if offer.admitted:
            self._end(offer, balancing.FAILED)
            self._tell(offer.attempt, "outcome_unknown")
        else:
            self.on_refused(offer, "connect_failed", "")

    def _end(self, offer, outcome):
        offer.closed = True
        offer.agent.offers.pop(offer, None)
        now = self.node.now
        self.chooser_by_service[offer.attempt.job.service].on_outcome(
            now, offer.agent.id, outcome, now - offer.sent_at
        )

    def _tell(self, attempt, code):
        self.world.clock.after(
            self.world.header.client_ms / 1000,
            self.world.callers.settle,
            attempt,
            code,
        )


class AgentRequests:
    """The agent's side, with the backend server that runs the work.

    :param node: the :class:`limpetlift.replay.nodes.Agent`.
    :param claims: the claims of keys, or None.
    """

    def __init__(self, node, claims=None):
        self.node = node
        self.world = node.world
        policy = node.world.policies.get("admission", "deadline")
        self.queue = admission.AdmissionQueue(
            node.service.slots,
            random.Random(node.world.rng.random()),
            policy,
        )
        self.table = requests.RequestTable(self.queue, claims)
        self.offers_by_id = {}
        self._keys_by_id = {}

    def on_offer(self, offer):
        """A balancer offers a request."""
        job = offer.attempt.job
        now = self.node.now
        self.offers_by_id[offer.offer_id] = offer
        self.perform(
            self.table.on_request(
                now,
                offer.offer_id,
                job.deadline,
                key=job.key,
                work_class=job.work_class,
                route=_ROUTE,
                movable=offer.movable,
            )
        )

    def on_body(self, offer):
        """The body arrived: the backend server runs the request."""
        job = offer.attempt.job
        job.runs += 1
        offer.attempt.ran = True
        work_s = job.work_s * self.node.slowness
        self.world.clock.after(
            work_s, self.node.receive, self._on_worked, (offer, work_s)
        )

    def _on_worked(self, offer, work_s):
        if not self.node.alive or self.node.started != offer.life:
            return
        self.offers_by_id.pop(offer.offer_id, None)
        self.perform(
            self.table.on_answered(
                self.node.now,
                offer.offer_id,
                work_s,
                actions.Answer(200, (), offer.attempt.job.key.encode()),
            )
        )
        self._stream(offer, "on_answered", offer)

    def on_cancel(self, offer):
        """The balancer no longer waits; the work has not begun."""
        if self.offers_by_id.pop(offer.offer_id, None) is None:
            return
        if offer.admitted:
            steps = self.table.on_failed(
                self.node.now, offer.offer_id, ran=False
            )
        else:
            steps = self.table.on_cancel(self.node.now, offer.offer_id)
        self.perform(steps)

    def _stream(self, offer, name, *arguments):
        balancer = offer.attempt.balancer
        if balancer.started == offer.attempt.started:
            self.world.network.stream(
                self.node,
                balancer.id,
                getattr(balancer.requests, name),
                *arguments,
            )

    def perform(self, steps):
        """Carry out actions of the request table."""
        for step in steps:
            if isinstance(step, actions.Send):
                self.node.send_message(step.agent_id, step.message)
                continue
            if self.node.roster.perform(step):
                continue
            offer = self.offers_by_id.get(step.request_id)
            if offer is None:
                continue
            if isinstance(step, actions.Admit):
                offer.admitted = True
                self._stream(offer, "on_admitted", offer)
                continue
            del self.offers_by_id[step.request_id]
            if isinstance(step, actions.Replay):
                self._stream(offer, "on_answered", offer)
            else:
                self._stream(
                    offer, "on_refused", offer, step.code, step.retry_at
                )

    def tick(self):
        """Run the timers."""
        self.perform(self.table.tick(self.node.now))
