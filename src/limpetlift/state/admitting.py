"""Admission: whether a new flow is worth its place in a queue.

A policy is a function ``(aim_s, run_s, copy)`` that returns the seconds that
a new flow's request may wait; ``copy`` counts the copies of its first segment
that came before this one. A balancer goes by it with the queue that an agent
reported last, and the agent with the queue that it has.
"""

import math

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

    def is_wait_within(self, wait_s):
        """Whether a new request would wait no longer than ``wait_s``."""
        return wait_s == math.inf or self.wait_s <= wait_s


def with_run_time(queue, aim_s):
    """Return the queue with a run time that is likely when none is known.

    Right after a restart nobody has measured one yet.
    """
    if queue.run_s:
        return queue
    return attrs.evolve(queue, run_s=defaults.UNKNOWN_RUN_SHARE * aim_s)


@registry.register(policies_by_name, "always")
def admit_always(_aim_s, _run_s, _copy):
    """Place every flow; the baseline."""
    return math.inf


@registry.register(policies_by_name, "timely")
def admit_timely(aim_s, run_s, copy):
    """Place a flow whose request can still be answered within its aim.

    Beyond the capacity of all servers a queue only makes every answer late.
    A first segment that is not placed comes again as a copy. Its answer is
    late by then, so it takes what new flows leave.
    """
    if not aim_s:
        return math.inf
    left_s = defaults.AIM_WAIT_SHARE * (
        aim_s - defaults.FLOW_NETWORK_TIME_S - run_s
    )
    if copy:
        left_s *= defaults.COPY_WAIT_SHARE
    return max(left_s, defaults.MIN_QUEUE_WAIT_S)
