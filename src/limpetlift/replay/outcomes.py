"""What a replay measures, against the stated targets."""

import collections

import attrs

from limpetlift import registry
from limpetlift.replay import requests

outcomes_by_name = {}

# A flow counts as silent when so many of its last datagrams were not
# delivered; single ones may be lost on the way.
_SILENT_DATAGRAMS = 4
_NEW_WORK_S = 2.0
# The target for the imbalance is stated for 10,000 flows on 7 targets.
_FLOWS_PER_TARGET = 10_000 // 7


@attrs.define
class FlowRecord:
    """What became of one flow.

    :param owner: agent id and its life that delivered the first datagram.
    :param opened_at: time of the first delivery.
    :param undelivered: datagrams in a row that were not delivered.
    """

    service: str
    owner: tuple | None = None
    opened_at: float = 0.0
    answered: bool = False
    undelivered: int = 0
    moved: bool = False
    resets: int = 0


@attrs.define
class Outcomes:
    """Counts what the processes of a replay do.

    :param world: the :class:`limpetlift.replay.world.World`.
    """

    world: object
    flows_by_caller: dict = attrs.field(factory=dict)
    drops_by_reason: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    wrong_service: int = 0
    new_on_leaving: int = 0
    false_resets: int = 0
    config_lags: list = attrs.field(factory=list)

    def flow(self, service, caller):
        """Return the record of a flow, made at its first datagram."""
        record = self.flows_by_caller.get(caller)
        if record is None:
            record = self.flows_by_caller[caller] = FlowRecord(service)
        return record

    def delivered(self, agent, packet):
        """An agent handed a datagram to its backend server."""
        record = self.flows_by_caller[packet.caller]
        if agent.service.name != record.service:
            self.wrong_service += 1
        record.undelivered = 0
        by = (agent.id, agent.started)
        if record.owner is None:
            record.owner = by
            record.opened_at = self.world.clock.now
            self._check_leaving(agent)
        elif record.owner != by:
            if self._lives(record.owner):
                record.moved = True
            record.owner = by
        self.world.answer(agent, record)

    def _check_leaving(self, agent):
        left_at = agent.drained_at
        if left_at is not None and (
            self.world.clock.now > left_at + _NEW_WORK_S
        ):
            self.new_on_leaving += 1

    def _lives(self, owner):
        process = self.world.network.processes_by_id[owner[0]]
        return process.alive and process.started == owner[1]

    def reset(self, agent, packet):
        """An agent told a caller that its flow has ended."""
        record = self.flows_by_caller[packet.caller]
        record.resets += 1
        if record.owner is not None and self._lives(record.owner):
            self.false_resets += 1

    def drop(self, reason):
        """A packet was dropped."""
        self.drops_by_reason[reason] += 1

    def silent_flows(self):
        """Return the flows of living owners that get no answers."""
        return [
            record
            for record in self.flows_by_caller.values()
            if record.undelivered >= _SILENT_DATAGRAMS
            and (record.owner is None or self._lives(record.owner))
        ]


@attrs.frozen
class Result:
    """One measured outcome.

    :param limit: the target, or None when the figure has none.
    :param at_least: whether the target is a lower bound.
    """

    name: str
    value: float | None
    limit: float | None
    at_least: bool
    kept: bool


def _outcome(name, limit, at_least=False):
    def decorate(function):
        entry = (function, limit, at_least)
        registry.register(outcomes_by_name, name)(entry)
        return function

    return decorate


def evaluate(outcomes, other):
    """Return a :class:`Result` for each registered outcome.

    An outcome whose value is None did not occur in the trace.

    :param other: the :class:`Outcomes` of the compared run, or None.
    """
    results = []
    for name, (function, limit, at_least) in outcomes_by_name.items():
        value = function(outcomes, other)
        kept = value is None or limit is None
        if not kept:
            kept = value >= limit if at_least else value <= limit
        results.append(Result(name, value, limit, at_least, kept))
    return results


@_outcome("flows_opened", None)
def _flows_opened(outcomes, other):
    return sum(
        record.owner is not None
        for record in outcomes.flows_by_caller.values()
    )


@_outcome("flows_broken", 0)
def _flows_broken(outcomes, other):
    return sum(
        record.moved for record in outcomes.flows_by_caller.values()
    ) + len(outcomes.silent_flows())


@_outcome("false_resets", 0)
def _false_resets(outcomes, other):
    return outcomes.false_resets


@_outcome("wrong_service", 0)
def _wrong_service(outcomes, other):
    return outcomes.wrong_service


@_outcome("new_flows_on_leaving", 0)
def _new_on_leaving(outcomes, other):
    return outcomes.new_on_leaving


@_outcome("flow_imbalance", 1.05)
def _flow_imbalance(outcomes, other):
    worst = None
    for spec in outcomes.world.header.services:
        for start, end in outcomes.world.stable_spans(spec.name):
            value = _imbalance(outcomes, spec.name, start, end)
            if value is not None:
                worst = max(worst or 0.0, value)
    return worst


def _imbalance(outcomes, service, start, end):
    """Return max over mean of the flows opened between two times."""
    counts = collections.Counter(
        record.owner[0]
        for record in outcomes.flows_by_caller.values()
        if record.service == service
        and record.owner is not None
        and start <= record.opened_at < end
    )
    takers = outcomes.world.takers(service, start)
    if not takers or sum(counts.values()) < _FLOWS_PER_TARGET * len(takers):
        return None
    return max(counts.values()) * len(takers) / sum(counts.values())


def _jobs(outcomes):
    return outcomes.world.callers.jobs


@_outcome("requests_sent", None)
def _requests_sent(outcomes, other):
    return len(_jobs(outcomes))


@_outcome("requests_run_twice", 0)
def _run_twice(outcomes, other):
    return sum(
        job.runs > 1
        for job in _jobs(outcomes)
        if job.key or not _was_refused(job)
    )


def _was_refused(job):
    """Whether a later attempt of a job without a key was allowed."""
    return any(requests.is_not_run(code) for code, _ in job.outcomes)


@_outcome("false_not_run", 0)
def _false_not_run(outcomes, other):
    return sum(
        attempt.ran and requests.is_not_run(code)
        for job in _jobs(outcomes)
        for code, attempt in job.outcomes
    )


@_outcome("answered_in_time_share", None)
def _answered_share(outcomes, other):
    jobs = _jobs(outcomes)
    return _answered(jobs) / len(jobs) if jobs else None


def _answered(jobs):
    return sum(job.answered_at is not None for job in jobs)


@_outcome("short_p99_ms", None)
def _short_p99(outcomes, other):
    return _p99_of_short(outcomes)


def _p99_of_short(outcomes):
    """Return milliseconds from sending to the answer, or None."""
    times = sorted(
        job.answered_at - job.sent_at
        for job in _jobs(outcomes)
        if job.answered_at is not None and not job.long
    )
    return times[len(times) * 99 // 100] * 1000 if times else None


@_outcome("short_p99_against_without_long", 1.5)
def _short_p99_ratio(outcomes, other):
    if other is None or not outcomes.world.header.compare.without_long:
        return None
    return _p99_of_short(outcomes) / _p99_of_short(other)


@_outcome("useful_work_against_baseline", 2.0, at_least=True)
def _useful_work_ratio(outcomes, other):
    if other is None or not outcomes.world.header.compare.policies:
        return None
    useful = _answered(_compared_jobs(outcomes))
    return useful / max(_answered(_compared_jobs(other)), 1)


def _compared_jobs(outcomes):
    compare = outcomes.world.header.compare
    start = outcomes.world.trace_start
    return [
        job
        for job in _jobs(outcomes)
        if compare.from_s <= job.sent_at - start < compare.until_s
    ]


@_outcome("long_answered_share", 0.9, at_least=True)
def _long_answered(outcomes, other):
    jobs = [job for job in _jobs(outcomes) if job.long]
    return _answered(jobs) / len(jobs) if jobs else None


@_outcome("extra_offers_share", 0.1)
def _extra_offers(outcomes, other):
    world = outcomes.world
    if not world.callers.attempts:
        return None
    return world.offers / world.callers.attempts - 1
