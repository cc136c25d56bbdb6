"""Placing policies: the choice of the agent that takes a new flow.

A balancer calls a policy with the loads that the agents of a service reported
last. A policy is a function ``(candidates, rng)`` that returns one of the
candidates.
"""

import math

from limpetlift import defaults
from limpetlift import registry
from limpetlift import structs

policies_by_name = {}


@structs.define
class Candidate:
    """An agent that may take a new flow, with its load.

    :param agent_key: identifies the agent to the caller of a policy; any
        value, such as its address.
    :param slots: number of requests that its backend server runs
        concurrently.
    :param busy: number of its flows whose caller waits for an answer.
    :param flows: number of its open flows.
    :param placed: number of flows that this balancer placed there and that
        the reported load may not include yet.
    :param is_warming: whether its backend server is slow after a start.
    :param is_near: whether it is in the balancer's data centre.
    :param run_s: mean run time of a request that its backend server can start
        at once; 0 when unknown.
    :param room: number of new flows that it accepts now under the pace of its
        backend server.
    :param failure_share: share of its recent requests that were not answered
        properly, from 0 to 1.
    """

    agent_key: object
    slots: int
    busy: int
    flows: int
    placed: int = 0
    is_warming: bool = False
    is_near: bool = False
    run_s: float = 0.0
    room: float = math.inf
    failure_share: float = 0.0


def expected_requests(candidate, busy_per_flow):
    """Return the expected number of requests that a candidate has.

    :param busy_per_flow: fraction of the service's open flows whose caller
        waits for an answer; so many idle flows will soon have a request.
    """
    idle = max(candidate.flows - candidate.busy, 0)
    return candidate.busy + candidate.placed + idle * busy_per_flow


def expected_work(candidate, busy_per_flow):
    """Return the expected number of requests per slot of the candidate.

    :param busy_per_flow: as of :func:`expected_requests`.
    """
    work = expected_requests(candidate, busy_per_flow)
    if candidate.is_warming:
        # The new request counts too: it is slow even if no other one runs.
        work = (work + 1.0) * defaults.WARMING_FACTOR
    return work / max(candidate.slots, 1)


def near_bonus(candidates):
    """Return the load advantage of agents in the balancer's data centre.

    It is the number of additional requests per slot at which such an agent
    is still preferred. Each request ahead in the queue costs its run time,
    and crossing to another data centre costs
    :data:`~limpetlift.defaults.DATA_CENTRE_CROSSING_COST_S`.
    """
    known_run_s = [
        candidate.run_s for candidate in candidates if candidate.run_s
    ]
    if not known_run_s:
        return defaults.NEAR_BONUS_MIN
    run_s = sum(known_run_s) / len(known_run_s)
    return min(
        max(
            defaults.DATA_CENTRE_CROSSING_COST_S / run_s,
            defaults.NEAR_BONUS_MIN,
        ),
        defaults.NEAR_BONUS_MAX,
    )


def _busy_per_flow(candidates):
    """Return the fraction of the open flows whose caller waits."""
    flows = sum(candidate.flows for candidate in candidates)
    busy = sum(candidate.busy for candidate in candidates)
    return min(busy / flows, 1.0) if flows else 0.0


@registry.register(policies_by_name, "random")
def choose_random(candidates, rng):
    """Return a random candidate; a baseline for comparisons."""
    return rng.choice(candidates)


@registry.register(policies_by_name, "two")
def choose_two(candidates, rng):
    """Return the less loaded of two random candidates."""
    return choose_least(rng.sample(candidates, min(2, len(candidates))), rng)


@registry.register(policies_by_name, "least")
def choose_least(candidates, rng):
    """Return the candidate with the least expected work per slot.

    An agent in the balancer's data centre is preferred where crossing to
    another one costs more than the longer wait: nearly always for requests of
    a few milliseconds, and only between equally loaded agents for long ones.
    Random jitter keeps balancers with the same load reports from all choosing
    the same agent.
    """
    busy_per_flow = _busy_per_flow(candidates)

    bonus_if_near = near_bonus(candidates)

    def cost(candidate):
        work = expected_work(candidate, busy_per_flow)
        bonus = bonus_if_near if candidate.is_near else 0.0
        return work - bonus + rng.random() * defaults.PLACING_JITTER

    return min(candidates, key=cost)


def _run_times(candidates):
    """Return the run time at each candidate's server when it is warm.

    The mean of the known ones stands for an unknown one.

    :returns: list of seconds, or None when they do not differ by more than
        noise, rounding included, so that nothing is known of the speeds.
    """
    run_times = [
        (
            candidate.run_s / defaults.WARMING_FACTOR
            if candidate.is_warming
            else candidate.run_s
        )
        for candidate in candidates
    ]
    known = [run_s for run_s in run_times if run_s]
    if not known or (
        max(known) - defaults.RUN_TIME_ROUNDING_S
        <= defaults.SAME_SPEED_RATIO
        * (min(known) + defaults.RUN_TIME_ROUNDING_S)
    ):
        return None
    mean_s = sum(known) / len(known)
    return [run_s or mean_s for run_s in run_times]


@registry.register(policies_by_name, "fastest")
def choose_fastest(candidates, rng):
    """Return the candidate with the shortest expected time until the answer.

    That is the run time of the requests ahead per slot and of the new one.
    The latter counts with :data:`~limpetlift.defaults.OWN_RUN_SHARE`, which
    leaves a part of the fast servers to later flows. Servers of one service
    may differ in speed by more than two times; where they do not, the choice
    is that of :func:`choose_least`.

    The preference for the own data centre and the jitter are those of
    :func:`choose_least`, in units of the mean run time of the candidates.
    """
    run_times = _run_times(candidates)
    if run_times is None:
        return choose_least(candidates, rng)
    busy_per_flow = _busy_per_flow(candidates)
    mean_s = sum(run_times) / len(run_times)
    bonus_s = near_bonus(candidates) * mean_s
    jitter_s = defaults.PLACING_JITTER * mean_s

    def cost_s(candidate, run_s):
        if candidate.is_warming:
            run_s *= defaults.WARMING_FACTOR
        ahead = expected_requests(candidate, busy_per_flow) / max(
            candidate.slots, 1
        )
        bonus = bonus_s if candidate.is_near else 0.0
        time_s = (ahead + defaults.OWN_RUN_SHARE) * run_s
        return time_s - bonus + rng.random() * jitter_s

    costs_s = list(map(cost_s, candidates, run_times))
    return candidates[costs_s.index(min(costs_s))]
