"""Outcomes that a replay measures, and their targets."""

import collections

import attrs

from limpetlift import registry
from limpetlift.replay import requests

outcomes_by_name = {}

# A flow counts as silent when this many of its last datagrams in a row were
# not delivered; the network loses single ones.
_SILENT_FLOW_DATAGRAMS = 4
# Time after the start of a drain in which an agent may still get new flows.
_DRAIN_GRACE_S = 2.0
# The target for the imbalance is stated for 10,000 flows on 7 targets.
_MIN_FLOWS_PER_AGENT = 10_000 // 7


@attrs.define
class FlowRecord:
    """The history of one flow.

    :param service: name of the service.
    :param owner: id and start count of the agent that delivered the last
        datagram, or None before the first delivery.
    :param opened_at: time of the first delivery.
    :param answered: whether a backend server has answered.
    :param undelivered_count: datagrams sent since the last delivery.
    :param moved: whether a second agent delivered a datagram while the owner
        was running.
    :param resets: number of resets sent to the caller.
    """

    service: str
    owner: tuple | None = None
    opened_at: float = 0.0
    answered: bool = False
    undelivered_count: int = 0
    moved: bool = False
    resets: int = 0


@attrs.define
class Outcomes:
    """Collects what happens to flows and packets during a replay.

    :param simulation: the :class:`limpetlift.replay.simulation.Simulation`.
    :param flows_by_caller: the :class:`FlowRecord` of each caller's address.
    :param drops_by_reason: number of dropped packets.
    :param wrong_service: datagrams delivered to a server of another service.
    :param new_flows_on_leaving: flows opened at agents whose drain had begun
        more than ``_DRAIN_GRACE_S`` before.
    :param false_resets: resets of flows whose owner was running.
    """

    simulation: object
    flows_by_caller: dict = attrs.field(factory=dict)
    drops_by_reason: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    wrong_service: int = 0
    new_flows_on_leaving: int = 0
    false_resets: int = 0
    config_lags: list = attrs.field(factory=list)

    def get_or_add_flow(self, service, caller):
        """Return the record of a flow, created at its first datagram."""
        record = self.flows_by_caller.get(caller)
        if record is None:
            record = self.flows_by_caller[caller] = FlowRecord(service)
        return record

    def on_delivered(self, agent, packet):
        """Record that an agent delivered a datagram to its backend server."""
        record = self.flows_by_caller[packet.caller]
        if agent.service.name != record.service:
            self.wrong_service += 1
        record.undelivered_count = 0
        receiver = (agent.id, agent.start_count)
        if record.owner is None:
            record.owner = receiver
            record.opened_at = self.simulation.clock.now
            self._count_if_draining(agent)
        elif record.owner != receiver:
            if self._is_running(record.owner):
                record.moved = True
            record.owner = receiver
        self.simulation.on_server_answer(agent, record)

    def _count_if_draining(self, agent):
        drained_at = agent.drained_at
        if drained_at is not None and (
            self.simulation.clock.now > drained_at + _DRAIN_GRACE_S
        ):
            self.new_flows_on_leaving += 1

    def _is_running(self, owner):
        process = self.simulation.network.processes_by_id[owner[0]]
        return process.alive and process.start_count == owner[1]

    def on_reset(self, agent, packet):
        """Record that an agent reset the flow of a caller."""
        record = self.flows_by_caller[packet.caller]
        record.resets += 1
        if record.owner is not None and self._is_running(record.owner):
            self.false_resets += 1

    def on_dropped(self, reason):
        """Count a dropped packet."""
        self.drops_by_reason[reason] += 1

    def silent_flows(self):
        """Return the flows whose datagrams are no longer delivered.

        Flows whose owner has ended are not included.
        """
        return [
            record
            for record in self.flows_by_caller.values()
            if record.undelivered_count >= _SILENT_FLOW_DATAGRAMS
            and (record.owner is None or self._is_running(record.owner))
        ]


@attrs.frozen
class Result:
    """One measured outcome.

    :param name: name of the outcome.
    :param value: the measured value, or None when the trace has no case of
        it.
    :param limit: the target, or None when the outcome has none.
    :param at_least: whether the target is a lower bound.
    :param kept: whether the target is met.
    """

    name: str
    value: float | None
    limit: float | None
    at_least: bool
    kept: bool


def _outcome(name, limit, at_least=False):
    """Register a function as the outcome ``name``.

    The function takes the :class:`Outcomes` of the run and those of the
    compared run or None, and returns the value or None.
    """

    def decorate(function):
        outcome = (function, limit, at_least)
        registry.register(outcomes_by_name, name)(outcome)
        return function

    return decorate


def evaluate(outcomes, compared):
    """Return a :class:`Result` for each registered outcome.

    The value is None for an outcome of which the trace has no case.

    :param outcomes: the :class:`Outcomes` of the run.
    :param compared: the :class:`Outcomes` of the compared run, or None.
    """
    results = []
    for name, (function, limit, at_least) in outcomes_by_name.items():
        value = function(outcomes, compared)
        kept = value is None or limit is None
        if not kept:
            kept = value >= limit if at_least else value <= limit
        results.append(Result(name, value, limit, at_least, kept))
    return results


@_outcome("flows_opened", None)
def _flows_opened(outcomes, compared):
    return sum(
        record.owner is not None
        for record in outcomes.flows_by_caller.values()
    )


@_outcome("flows_broken", 0)
def _flows_broken(outcomes, compared):
    return sum(
        record.moved for record in outcomes.flows_by_caller.values()
    ) + len(outcomes.silent_flows())


@_outcome("false_resets", 0)
def _false_resets(outcomes, compared):
    return outcomes.false_resets


@_outcome("wrong_service", 0)
def _wrong_service(outcomes, compared):
    return outcomes.wrong_service


@_outcome("new_flows_on_leaving", 0)
def _new_flows_on_leaving(outcomes, compared):
    return outcomes.new_flows_on_leaving


@_outcome("flow_imbalance", 1.05)
def _flow_imbalance(outcomes, compared):
    worst = None
    for spec in outcomes.simulation.header.services:
        for start, end in outcomes.simulation.stable_spans(spec.name):
            value = _imbalance(outcomes, spec.name, start, end)
            if value is not None:
                worst = max(worst or 0.0, value)
    return worst


def _imbalance(outcomes, service, start, end):
    """Return the maximum over the mean of new flows per agent, or None.

    It counts the flows opened from ``start`` until before ``end``. With fewer
    than ``_MIN_FLOWS_PER_AGENT`` per agent it returns None.
    """
    counts = collections.Counter(
        record.owner[0]
        for record in outcomes.flows_by_caller.values()
        if record.service == service
        and record.owner is not None
        and start <= record.opened_at < end
    )
    agents = outcomes.simulation.accepting_agents(service, start)
    if not agents or sum(counts.values()) < _MIN_FLOWS_PER_AGENT * len(agents):
        return None
    return max(counts.values()) * len(agents) / sum(counts.values())


def _jobs(outcomes):
    return outcomes.simulation.callers.jobs


@_outcome("requests_sent", None)
def _requests_sent(outcomes, compared):
    return len(_jobs(outcomes))


@_outcome("requests_run_twice", 0)
def _requests_run_twice(outcomes, compared):
    return sum(
        job.runs > 1
        for job in _jobs(outcomes)
        if job.key or not _had_not_run_refusal(job)
    )


def _had_not_run_refusal(job):
    """Whether an attempt was refused with the promise that it did not run.

    After such a refusal a caller may repeat a job without a key.
    """
    return any(requests.promises_not_run(code) for code, _ in job.outcomes)


@_outcome("false_not_run", 0)
def _false_not_run(outcomes, compared):
    return sum(
        attempt.was_run and requests.promises_not_run(code)
        for job in _jobs(outcomes)
        for code, attempt in job.outcomes
    )


@_outcome("answered_in_time_share", None)
def _answered_share(outcomes, compared):
    jobs = _jobs(outcomes)
    return _answered_count(jobs) / len(jobs) if jobs else None


def _answered_count(jobs):
    return sum(job.answered_at is not None for job in jobs)


@_outcome("short_p99_ms", None)
def _short_p99_ms(outcomes, compared):
    return _compute_short_p99_ms(outcomes)


def _compute_short_p99_ms(outcomes):
    """Return the 99th percentile of the response times of short requests.

    The result is None when none of them was answered.
    """
    times = sorted(
        job.answered_at - job.sent_at
        for job in _jobs(outcomes)
        if job.answered_at is not None and not job.is_long
    )
    return times[len(times) * 99 // 100] * 1000 if times else None


@_outcome("short_p99_against_without_long", 1.5)
def _short_p99_ratio(outcomes, compared):
    if compared is None or not outcomes.simulation.header.compare.without_long:
        return None
    return _compute_short_p99_ms(outcomes) / _compute_short_p99_ms(compared)


@_outcome("useful_work_against_baseline", 2.0, at_least=True)
def _useful_work_ratio(outcomes, compared):
    if compared is None or not outcomes.simulation.header.compare.policies:
        return None
    answered_count = _answered_count(_compared_jobs(outcomes))
    return answered_count / max(_answered_count(_compared_jobs(compared)), 1)


def _compared_jobs(outcomes):
    compare = outcomes.simulation.header.compare
    start = outcomes.simulation.trace_start
    return [
        job
        for job in _jobs(outcomes)
        if compare.from_s <= job.sent_at - start < compare.until_s
    ]


@_outcome("long_answered_share", 0.9, at_least=True)
def _long_answered(outcomes, compared):
    jobs = [job for job in _jobs(outcomes) if job.is_long]
    return _answered_count(jobs) / len(jobs) if jobs else None


@_outcome("extra_offers_share", 0.1)
def _extra_offers(outcomes, compared):
    simulation = outcomes.simulation
    if not simulation.callers.attempt_count:
        return None
    return simulation.offer_count / simulation.callers.attempt_count - 1
