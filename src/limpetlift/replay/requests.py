"""Requests in a replay, as handled by callers, balancers and agents."""

import random

import attrs

from limpetlift import defaults
from limpetlift.protocol import refusal
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import balancing
from limpetlift.state import requests
from limpetlift.state import retries

# Upper bound of a caller's random delay before it repeats a request.
_CALLER_RETRY_MAX_S = 0.2
_ROUTE = "POST /work"
_ANSWERED = "answered"


@attrs.define(eq=False)
class Job:
    """A request of a caller with all its attempts.

    :param service: name of the service.
    :param work_s: seconds that a backend server needs to run it.
    :param deadline: virtual time after which the caller gives up.
    :param sent_at: when the caller sent the first attempt.
    :param key: idempotency key, or an empty string.
    :param is_long: whether it is long work.
    :param is_declared: whether a long request carries the long work class.
    :param retries_left: number of times that the caller may still repeat it.
    :param runs: number of times that a backend server has begun to run it.
    :param answered_at: when the caller received the answer, or None.
    :param outcomes: a pair for each ended attempt: its code, which is
        ``answered``, ``timeout`` or a refusal code, and the
        :class:`Attempt`.
    """

    service: str
    work_s: float
    deadline: float
    sent_at: float
    key: str = ""
    is_long: bool = False
    is_declared: bool = True
    retries_left: int = 0
    runs: int = 0
    answered_at: float | None = None
    outcomes: list = attrs.field(factory=list)

    @property
    def work_class(self):
        """The work class that the caller declares."""
        return admission.LONG if self.is_long and self.is_declared else ""


@attrs.define(eq=False)
class Attempt:
    """One attempt of a caller at one balancer.

    :param job: the :class:`Job`.
    :param balancer: the :class:`limpetlift.replay.nodes.Balancer`.
    :param balancer_start_count: start count of the balancer when the attempt
        began, which tells whether it was restarted since.
    :param tried_agent_ids: agents to which the balancer offered the request.
    :param has_ended: whether the caller has an answer or has given up.
    :param was_run: whether a backend server got the request of this attempt.
    """

    job: Job
    balancer: object
    balancer_start_count: int
    tried_agent_ids: tuple = ()
    has_ended: bool = False
    was_run: bool = False


@attrs.define(eq=False)
class Offer:
    """An offer of an attempt to one agent.

    :param offer_id: id of the offer, which the agent uses as request id.
    :param attempt: the :class:`Attempt`.
    :param agent: the :class:`limpetlift.replay.nodes.Agent`.
    :param agent_start_count: start count of the agent when the offer was
        sent, which tells whether it was restarted since.
    :param sent_at: when the offer was sent.
    :param movable: whether the balancer can offer the request to another
        agent after a refusal; it holds a retry token for that.
    :param is_admitted: whether the agent has admitted the request.
    :param is_closed: whether the balancer has an outcome of the offer.
    """

    offer_id: str
    attempt: Attempt
    agent: object
    agent_start_count: int
    sent_at: float
    movable: bool = False
    is_admitted: bool = False
    is_closed: bool = False


class Callers:
    """The callers, which send requests to balancers and repeat them.

    :param simulation: the :class:`limpetlift.replay.simulation.Simulation`.
    """

    def __init__(self, simulation):
        self.simulation = simulation
        self.jobs = []
        self.attempt_count = 0

    def start(self, job):
        """Send the first attempt of a new job."""
        self.jobs.append(job)
        self._start_attempt(job)

    def _start_attempt(self, job):
        simulation = self.simulation
        balancers = [
            b for b in simulation.balancers() if b.alive and b.accepts_requests
        ]
        if not balancers or simulation.clock.now >= job.deadline:
            return
        self.attempt_count += 1
        balancer = simulation.rng.choice(balancers)
        attempt = Attempt(job, balancer, balancer.start_count)
        balancer.attempts[attempt] = None
        simulation.clock.after(
            simulation.header.client_ms / 1000,
            balancer.receive,
            balancer.requests.on_request,
            (attempt,),
        )
        simulation.clock.at(job.deadline, self._give_up, attempt)

    def _give_up(self, attempt):
        if not attempt.has_ended:
            self.end_attempt(attempt, "timeout")

    def end_attempt(self, attempt, code):
        """End an attempt at its caller, which may repeat the request.

        :param attempt: the :class:`Attempt`; nothing happens when it has
            ended already.
        :param code: ``answered``, ``timeout`` or a refusal code.
        """
        if attempt.has_ended:
            return
        attempt.has_ended = True
        attempt.balancer.attempts.pop(attempt, None)
        job = attempt.job
        job.outcomes.append((code, attempt))
        if code == _ANSWERED:
            job.answered_at = self.simulation.clock.now
        elif job.retries_left and _caller_may_retry(job, code):
            job.retries_left -= 1
            self.simulation.clock.after(
                _CALLER_RETRY_MAX_S * self.simulation.rng.random(),
                self._start_attempt,
                job,
            )


def _caller_may_retry(job, code):
    """Whether a caller may repeat a request after an attempt.

    It may when the request has an idempotency key or was certainly not run.
    """
    return bool(job.key) or promises_not_run(code)


def promises_not_run(code):
    """Whether a refusal code states that the request was not run."""
    refusal_kind = refusal.refusals_by_code.get(code)
    return refusal_kind is not None and refusal_kind.outcome == refusal.NOT_RUN


class BalancerRequests:
    """Handles requests at a balancer: the choice of the agent and retries.

    :param node: the :class:`limpetlift.replay.nodes.Balancer`.
    """

    def __init__(self, node):
        self.node = node
        self.simulation = node.simulation
        rng = random.Random(node.simulation.rng.random())
        self.backoff = retries.Backoff(rng)
        choice = node.simulation.policies.get("choice", "least")
        self.chooser_by_service = {
            spec.name: balancing.Chooser(rng, choice)
            for spec in node.simulation.header.services
        }
        self.budget_by_service = {
            spec.name: retries.RetryBudget()
            for spec in node.simulation.header.services
        }

    def on_request(self, attempt):
        """Handle a request from a caller."""
        self.budget_by_service[attempt.job.service].on_request(self.node.now)
        self._offer(attempt, "")

    def _offer(self, attempt, preferred_agent_id):
        """Choose an agent and offer it the request.

        :param attempt: the :class:`Attempt`.
        :param preferred_agent_id: id of the agent that a refusal named; an
            empty string or None when there is none.
        """
        job = attempt.job
        if attempt.has_ended:
            return
        chooser = self.chooser_by_service[job.service]
        members = self.node.tables_by_service[job.service].members
        now = self.node.now
        member = chooser.pick(
            now, members, job.key, attempt.tried_agent_ids, preferred_agent_id
        )
        member = member or chooser.pick(now, members, job.key)
        if member is None:
            self._respond(attempt, "no_target")
            return
        attempt.tried_agent_ids += (member.agent_id,)
        agent = self.simulation.network.processes_by_id[member.agent_id]
        self.simulation.offer_count += 1
        offer = Offer(
            "offer-%d" % self.simulation.offer_count,
            attempt,
            agent,
            agent.start_count,
            now,
        )
        budget = self.budget_by_service[job.service]
        offer.movable = (
            self.simulation.uses_retries
            and len(attempt.tried_agent_ids) < defaults.MAX_REQUEST_ATTEMPTS
            and budget.take_token(now)
        )
        chooser.on_sent(now, agent.id)
        agent.offers[offer] = None
        if not self._send(agent, agent.requests.on_offer, offer):
            agent.offers.pop(offer, None)
            self.on_refused(offer, "connect_failed", "")

    def _send(self, agent, callback, *arguments):
        return self.simulation.network.send_on_connection(
            self.node, agent.id, callback, *arguments
        )

    def on_admitted(self, offer):
        """Send the body, because an agent has admitted the request."""
        if offer.is_closed or offer.attempt.has_ended:
            self._cancel(offer)
            return
        self._record_admission(offer)
        if not self._send(offer.agent, offer.agent.requests.on_body, offer):
            self.on_closed(offer)

    def _record_admission(self, offer):
        service_name = offer.attempt.job.service
        now = self.node.now
        self.chooser_by_service[service_name].on_admitted(
            now, offer.agent.id, now - offer.sent_at
        )
        if offer.movable:
            offer.movable = False
            self.budget_by_service[service_name].return_token(now)

    def _cancel(self, offer):
        self._send(offer.agent, offer.agent.requests.on_cancel, offer)

    def on_answered(self, offer):
        """Pass a complete answer to the caller."""
        if not offer.is_closed:
            self._end(offer, balancing.OK)
            self._respond(offer.attempt, _ANSWERED)

    def on_refused(self, offer, code, retry_at):
        """Retry a refused request if permitted, or refuse it to the caller.

        :param offer: the :class:`Offer`.
        :param code: refusal code, ``connect_failed`` when the agent was not
            reachable.
        :param retry_at: address of another agent that the refusal names, or an
            empty string.
        """
        if offer.is_closed:
            return
        is_unreachable = code == "connect_failed"
        self._end(
            offer, balancing.FAILED if is_unreachable else balancing.REFUSED
        )
        attempt = offer.attempt
        if not self._may_retry(offer, code):
            self._respond(attempt, code)
        elif retry_at:
            self._offer(attempt, self.simulation.process_id_at(retry_at))
        else:
            retry_time = self.backoff.next_at(
                self.node.now, len(attempt.tried_agent_ids)
            )
            self.simulation.clock.at(retry_time, self._offer, attempt, "")

    def _may_retry(self, offer, code):
        attempt = offer.attempt
        if (
            not self.simulation.uses_retries
            or not refusal.refusals_by_code[code].retryable
            or len(attempt.tried_agent_ids) >= defaults.MAX_REQUEST_ATTEMPTS
        ):
            return False
        if offer.movable:
            return True
        budget = self.budget_by_service[attempt.job.service]
        return budget.take_token(self.node.now)

    def on_closed(self, offer):
        """Handle the end of the connection to an agent."""
        if offer.is_closed:
            return
        if offer.is_admitted:
            self._end(offer, balancing.FAILED)
            self._respond(offer.attempt, "outcome_unknown")
        else:
            self.on_refused(offer, "connect_failed", "")

    def _end(self, offer, outcome):
        offer.is_closed = True
        offer.agent.offers.pop(offer, None)
        now = self.node.now
        self.chooser_by_service[offer.attempt.job.service].on_outcome(
            now, offer.agent.id, outcome, now - offer.sent_at
        )

    def _respond(self, attempt, code):
        self.simulation.clock.after(
            self.simulation.header.client_ms / 1000,
            self.simulation.callers.end_attempt,
            attempt,
            code,
        )


class AgentRequests:
    """Handles requests at an agent and simulates its backend server.

    :param node: the :class:`limpetlift.replay.nodes.Agent`.
    :param claims: a :class:`limpetlift.state.claims.ClaimTable`, or None when
        idempotency keys are not claimed.
    """

    def __init__(self, node, claims=None):
        self.node = node
        self.simulation = node.simulation
        policy = node.simulation.policies.get("admission", "deadline")
        self.queue = admission.AdmissionQueue(
            node.service.slots,
            random.Random(node.simulation.rng.random()),
            policy,
        )
        self.table = requests.RequestTable(self.queue, claims)
        self.offers_by_id = {}
        self._keys_by_id = {}

    def on_offer(self, offer):
        """Handle the offer of a request by a balancer."""
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
        """Run the request on the backend server, because its body arrived."""
        job = offer.attempt.job
        job.runs += 1
        offer.attempt.was_run = True
        work_s = job.work_s * self.node.slowness
        self.simulation.clock.after(
            work_s, self.node.receive, self._on_work_done, (offer, work_s)
        )

    def _on_work_done(self, offer, work_s):
        if (
            not self.node.alive
            or self.node.start_count != offer.agent_start_count
        ):
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
        self._send(offer, "on_answered", offer)

    def on_cancel(self, offer):
        """Cancel a request whose work has not begun."""
        if self.offers_by_id.pop(offer.offer_id, None) is None:
            return
        if offer.is_admitted:
            steps = self.table.on_failed(
                self.node.now, offer.offer_id, ran=False
            )
        else:
            steps = self.table.on_cancel(self.node.now, offer.offer_id)
        self.perform(steps)

    def _send(self, offer, handler_name, *arguments):
        """Call a method of the balancer's requests over the network.

        Nothing is sent to a balancer that was restarted after the attempt.
        """
        balancer = offer.attempt.balancer
        if balancer.start_count == offer.attempt.balancer_start_count:
            self.simulation.network.send_on_connection(
                self.node,
                balancer.id,
                getattr(balancer.requests, handler_name),
                *arguments,
            )

    def perform(self, steps):
        """Carry out the actions that the request table returned."""
        for step in steps:
            if isinstance(step, actions.Send):
                self.node.send_message(step.agent_id, step.message)
                continue
            if self.node.roster_maintainer.perform(step):
                continue
            offer = self.offers_by_id.get(step.request_id)
            if offer is None:
                continue
            if isinstance(step, actions.Admit):
                offer.is_admitted = True
                self._send(offer, "on_admitted", offer)
                continue
            del self.offers_by_id[step.request_id]
            if isinstance(step, actions.Replay):
                self._send(offer, "on_answered", offer)
            else:
                self._send(
                    offer, "on_refused", offer, step.code, step.retry_at
                )

    def tick(self):
        """Run the timers of the request table."""
        self.perform(self.table.tick(self.node.now))
