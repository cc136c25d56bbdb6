"""Admission policies: whether a new flow is worth its place in a queue.

A policy is called by a balancer with the agent that would take the flow. Every
policy is a function ``(route, candidate, copy)`` that returns whether to place
it now; ``copy`` counts the copies of the first segment that came before.
"""

from limpetlift import defaults
from limpetlift import registry

policies_by_name = {}


def expected_wait_s(candidate):
    """Return the seconds until the candidate's server runs a new request."""
    work = candidate.busy + candidate.placed
    ahead = max(work + 1 - candidate.slots, 0)
    return ahead / max(candidate.slots, 1) * candidate.run_s


@registry.register(policies_by_name, "always")
def admit_always(_route, _candidate, _copy):
    """Place every flow; the baseline."""
    return True


@registry.register(policies_by_name, "timely")
def admit_timely(route, candidate, copy):
    """Place a flow whose request can still be answered within its aim.

    Beyond the capacity of all servers a queue only makes every answer late.
    A first segment that is not placed comes again as a copy. Its answer is
    late by then, so it takes what new flows leave.
    """
    if not route.aim_s or not candidate.run_s:
        return True
    left_s = defaults.AIM_SHARE * (
        route.aim_s - defaults.WAY_S - candidate.run_s
    )
    if copy:
        left_s *= defaults.COPY_SHARE
    return expected_wait_s(candidate) <= max(left_s, defaults.QUEUE_MIN_S)
