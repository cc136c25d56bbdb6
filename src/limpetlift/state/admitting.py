"""Admission policies: whether a new flow is worth its place in a queue.

A policy is called by a balancer with the queue of the backend server that
would take the flow. Every policy is a function ``(queue, aim_s, copy)`` that
returns whether to place it now; ``copy`` counts the copies of its first
segment that came before this one.
"""

import attrs

from limpetlift import defaults
from limpetlift import registry

policies_by_name = {}


@attrs.frozen
class Queue:
    """The requests at a backend server.

    :param slots: requests that it runs at a time.
    :param busy: requests that run or wait there.
    :param run_s: mean run time in seconds; 0 when none has run yet.
    """

    slots: int
    busy: int
    run_s: float

    @property
    def wait_s(self):
        """Seconds until the server runs a new request."""
        ahead = max(self.busy + 1 - self.slots, 0)
        return ahead / max(self.slots, 1) * self.run_s


@registry.register(policies_by_name, "always")
def admit_always(_queue, _aim_s, _copy):
    """Place every flow; the baseline."""
    return True


@registry.register(policies_by_name, "timely")
def admit_timely(queue, aim_s, copy):
    """Place a flow whose request can still be answered within its aim.

    Beyond the capacity of all servers a queue only makes every answer late.
    A first segment that is not placed comes again as a copy. Its answer is
    late by then, so it takes what new flows leave.
    """
    if not aim_s or not queue.run_s:
        return True
    left_s = defaults.AIM_SHARE * (aim_s - defaults.WAY_S - queue.run_s)
    if copy:
        left_s *= defaults.COPY_SHARE
    return queue.wait_s <= max(left_s, defaults.QUEUE_MIN_S)
