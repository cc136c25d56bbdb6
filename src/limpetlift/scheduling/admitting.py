"""Admission policies: how long a new flow may wait in a server's queue.

A policy is a function ``(aim_s, run_s, copy)`` that returns the longest time
in seconds that the request of a new flow may wait: ``aim_s`` is the route's
target response time, ``run_s`` the run time of a request, and ``copy`` the
number of times that the caller sent the flow's first segment before. A
balancer compares the result with the queue that an agent reported last, and
the agent compares it with its current queue.
"""

import math

import attrs

from limpetlift import defaults
from limpetlift import registry
from limpetlift import structs

policies_by_name = {}


@structs.frozen
class Queue:
    """The queue of requests at a backend server.

    :param slots: number of requests that the server runs concurrently.
    :param busy: number of requests that are running or waiting.
    :param run_s: mean run time of a request; 0 when unknown.
    """

    slots: int
    busy: int
    run_s: float

    @property
    def wait_s(self):
        """Expected wait in seconds until the server starts a new request."""
        ahead = max(self.busy + 1 - self.slots, 0)
        return ahead / max(self.slots, 1) * self.run_s

    def is_wait_within(self, max_wait_s):
        """Whether a new request would wait no longer than ``max_wait_s``."""
        return max_wait_s == math.inf or self.wait_s <= max_wait_s


def with_assumed_run_time(queue, aim_s):
    """Return the queue, with an assumed run time if none is known.

    Right after a restart no request has finished whose run time could be
    reported.

    :param aim_s: target response time of the route, from which the run time
        is estimated.
    """
    if queue.run_s:
        return queue
    return attrs.evolve(queue, run_s=defaults.UNKNOWN_RUN_SHARE * aim_s)


@registry.register(policies_by_name, "always")
def admit_always(_aim_s, _run_s, _copy):
    """Admit every flow with any wait; a baseline for comparisons."""
    return math.inf


@registry.register(policies_by_name, "timely")
def admit_timely(aim_s, run_s, copy):
    """Admit a flow whose request can be answered within its target time.

    When the load exceeds the capacity of all servers, a longer queue only
    makes every answer late. The caller sends the first segment again if the
    flow was not placed. By then its answer is late anyway, so such a copy may
    only join a shorter queue than the first segment of a new flow.
    """
    if not aim_s:
        return math.inf
    max_wait_s = defaults.AIM_WAIT_SHARE * (
        aim_s - defaults.FLOW_NETWORK_TIME_S - run_s
    )
    if copy:
        max_wait_s *= defaults.COPY_WAIT_SHARE
    return max(max_wait_s, defaults.MIN_QUEUE_WAIT_S)
