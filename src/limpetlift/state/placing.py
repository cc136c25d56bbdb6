"""Placing policies: which agent takes a new flow.

A policy is called by a balancer with what the agents of a service told of
their load. Every policy is a function ``(candidates, rng)`` that returns one
of the candidates.
"""

import attrs

from limpetlift import defaults
from limpetlift import registry

policies_by_name = {}


@attrs.define
class Candidate:
    """An agent that may take a new flow.

    :param agent_id: its id.
    :param slots: requests that its backend server runs at a time.
    :param busy: flows whose caller waits for an answer there.
    :param flows: open flows there.
    :param placed: flows that this balancer gave it since that report.
    :param is_warming: whether its backend server is slow after a start.
    :param run_s: seconds in which its server answers a request that it can
        run at once; 0 when it is not known.
    :param is_near: whether it is in the balancer's data centre.
    """

    agent_id: str
    slots: int
    busy: int
    flows: int
    placed: int = 0
    is_warming: bool = False
    is_near: bool = False
    run_s: float = 0.0


def expected_work(candidate, busy_per_flow):
    """Return the requests that a slot of the candidate is to expect.

    :param busy_per_flow: mean share of the time in which the caller of an
        open flow waits, over the service.
    """
    idle = max(candidate.flows - candidate.busy, 0)
    work = candidate.busy + candidate.placed + idle * busy_per_flow
    if candidate.is_warming:
        # A new request is slow as well, even when no other one runs.
        work = (work + 1.0) * defaults.WARMING_FACTOR
    return work / max(candidate.slots, 1)


def near_bonus(candidates):
    """Return the requests per slot that the own data centre may have more.

    A request ahead costs its run time, crossing to another data centre
    :data:`~limpetlift.defaults.DATA_CENTRE_CROSSING_COST_S`.
    """
    known = [candidate.run_s for candidate in candidates if candidate.run_s]
    if not known:
        return defaults.NEAR_BONUS_MIN
    run_s = sum(known) / len(known)
    return min(
        max(
            defaults.DATA_CENTRE_CROSSING_COST_S / run_s,
            defaults.NEAR_BONUS_MIN,
        ),
        defaults.NEAR_BONUS_MAX,
    )


@registry.register(policies_by_name, "random")
def choose_random(candidates, rng):
    """Return any candidate; the baseline."""
    return rng.choice(candidates)


@registry.register(policies_by_name, "two")
def choose_two(candidates, rng):
    """Return the less loaded of two random candidates."""
    return choose_least(rng.sample(candidates, min(2, len(candidates))), rng)


@registry.register(policies_by_name, "least")
def choose_least(candidates, rng):
    """Return the candidate that expects the least work for a slot.

    The own data centre goes first where crossing to another one costs more
    than the longer wait: for work of a few milliseconds nearly always, for
    long work only among equals. Chance decides the rest, so that balancers
    with the same news do not all choose the same agent.
    """
    flows = sum(candidate.flows for candidate in candidates)
    busy = sum(candidate.busy for candidate in candidates)
    busy_per_flow = min(busy / flows, 1.0) if flows else 0.0

    near = near_bonus(candidates)

    def rank(candidate):
        work = expected_work(candidate, busy_per_flow)
        bonus = near if candidate.is_near else 0.0
        return work - bonus + rng.random() * defaults.PLACING_JITTER

    return min(candidates, key=rank)
