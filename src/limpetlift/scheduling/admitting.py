"""Admission policies: how long a new flow may wait in a server's queue.

A policy is a function ``(aim_s, run_s, copy, rank=0)`` that returns the
longest time in seconds that the request of a new flow may wait: ``aim_s`` is
the route's target response time, ``run_s`` the run time of a request, ``copy``
the number of times that the caller sent the flow's first segment before, and
``rank`` the number of higher priorities among the routes to the same services.
A balancer compares the result with the queue that an agent reported last, and
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
def admit_always(_aim_s, _run_s, _copy, _rank=0):
    """Admit every flow with any wait; a baseline for comparisons."""
    return math.inf


@registry.register(policies_by_name, "timely")
def admit_timely(aim_s, run_s, copy, _rank=0):
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


@registry.register(policies_by_name, "priority")
def admit_by_priority(aim_s, run_s, copy, rank=0):
    """Admit a flow by its priority and by what its caller has left.

    Flows of a lower priority may only join a shorter queue. The queue then
    stays at the length that they may join, and those of the highest priority
    find room. Copies may join the same queue as first segments: where flows
    are long, more is left of them than the first request, which is late.

    A copy of the highest priority may use what its delay has left of the
    target time, but not less than by :func:`admit_timely`.
    """
    if not aim_s:
        return math.inf
    if rank:
        share = defaults.LOWER_PRIORITY_WAIT_SHARE**rank
        max_wait_s = share * admit_timely(aim_s, run_s, 0)
        return max(max_wait_s, defaults.MIN_QUEUE_WAIT_S)
    left_s = (
        aim_s - defaults.COPY_DELAYS_S[min(copy, defaults.LAST_COPY_NUMBER)]
    )
    return max(
        admit_timely(left_s, run_s, 0) if left_s > 0 else 0.0,
        admit_timely(aim_s, run_s, copy),
    )


@structs.frozen
class Standing:
    """The priority of a route among those to the same services.

    :param rank: number of the higher priorities; 0 for the highest.
    :param services: names of the services that the route leads to.
    """

    rank: int
    services: frozenset


def standings(routes):
    """Return the :class:`Standing` of each route whose priority matters.

    These are the routes that share a service with a route of another
    priority.

    :param routes: iterable of :class:`~limpetlift.state.routing.Route`.
    :returns: dictionary by the address of the route.
    """
    services_by_address = {}
    priorities_by_service = {}
    for route in routes:
        services = frozenset(route.services_for(0.0))
        services_by_address[route.address] = services
        for service in services:
            priorities_by_service.setdefault(service, set()).add(
                route.priority
            )
    result = {}
    for route in routes:
        services = services_by_address[route.address]
        priorities = set().union(
            *(priorities_by_service[service] for service in services)
        )
        if len(priorities) > 1:
            higher = [one for one in priorities if one < route.priority]
            result[route.address] = Standing(len(higher), services)
    return result


@structs.define
class Admission:
    """The admission of new flows at one balancer.

    It addresses load beyond the capacity of a service's servers. Where routes
    to the same services have different priorities, the ``priority`` policy
    lets the lower ones yield; all other flows are admitted by ``timely``.

    Lower priorities keep a floor. They may always join short queues, and for
    each flow of the highest priority that had to join a queue, they get
    :data:`~limpetlift.defaults.FLOOR_SHARE` of a request that may join as long
    a queue as without priorities. Only copies of a first segment may use it,
    so a caller that opens another flow instead of waiting for its next copy
    gains nothing. A long flow takes as much as it brings requests.

    :param policy: name of an admission policy.
    :param standings_by_address: the :class:`Standing` of routes.
    :raises StateError: when the policy does not exist.

    .. versionadded:: 0.2
    """

    policy: str
    standings_by_address: dict = attrs.field(factory=dict)
    # Requests of lower priorities that the floor admits now, by service.
    _credit_by_service: dict = attrs.field(factory=dict)
    _max_wait_s: object = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._max_wait_s = registry.lookup(
            policies_by_name, self.policy, "admission policy"
        )

    def on_routes(self, routes):
        """Put the priorities of routes in force.

        :param routes: iterable of :class:`~limpetlift.state.routing.Route`.
        """
        self.standings_by_address = {}
        if self.policy == "priority":
            self.standings_by_address = standings(routes)
        services = set().union(
            *(one.services for one in self.standings_by_address.values())
        )
        self._credit_by_service = {
            service: credit
            for service, credit in self._credit_by_service.items()
            if service in services
        }

    def decide(self, route, queue, copy):
        """Decide whether a new flow may join a queue.

        :param route: the :class:`~limpetlift.state.routing.Route`.
        :param queue: the :class:`Queue`; its run time may be unknown.
        :param copy: number of the copy of the flow's first segment.
        :returns: ``(max_wait_s, reason)``: the longest time that the flow's
            request may wait, or None when it may not join; and why, which is
            ``room``, ``floor``, ``overloaded`` or ``priority`` when only its
            priority is too low.
        """
        queue = with_assumed_run_time(queue, route.aim_s)
        standing = self.standings_by_address.get(route.address)
        if standing is None:
            policy = self._max_wait_s
            if self.policy == "priority":
                policy = admit_timely
            max_wait_s = policy(route.aim_s, queue.run_s, copy)
            if queue.is_wait_within(max_wait_s):
                return max_wait_s, "room"
            return None, "overloaded"
        max_wait_s = self._max_wait_s(
            route.aim_s, queue.run_s, copy, standing.rank
        )
        if queue.is_wait_within(max_wait_s):
            if not standing.rank and queue.wait_s:
                self._earn(standing.services)
            return max_wait_s, "room"
        if not standing.rank:
            return None, "overloaded"
        own_wait_s = admit_timely(route.aim_s, queue.run_s, 0)
        if not queue.is_wait_within(own_wait_s):
            return None, "overloaded"
        if copy and self._spend(standing.services, _requests(route)):
            return own_wait_s, "floor"
        return None, "priority"

    def expires_before_next_copy(self, route, copy):
        """Whether the caller gives up before it sends another copy.

        A flow that is left to the next copy then certainly fails. It is not
        so where the configuration does not tell the time budget.

        :param copy: number of the copy that finds no room.
        """
        if not route.timeout_s or copy >= defaults.LAST_COPY_NUMBER:
            return False
        return (
            route.address in self.standings_by_address
            and route.timeout_s <= defaults.COPY_DELAYS_S[copy + 1]
        )

    def _earn(self, services):
        for service in services:
            self._credit_by_service[service] = min(
                self._credit_by_service.get(service, 0.0)
                + defaults.FLOOR_SHARE,
                defaults.FLOOR_BURST,
            )

    def _spend(self, services, requests):
        for service in services:
            credit = self._credit_by_service.get(service, 0.0)
            # The sum of many shares may be just below a whole number.
            if credit >= requests - defaults.FLOOR_SHARE / 2:
                self._credit_by_service[service] = credit - requests
                return True
        return False


def _requests(route):
    """Return the number of requests that a flow of a route brings."""
    if route.kind in defaults.LONG_FLOW_KINDS:
        return defaults.LONG_FLOW_REQUESTS
    return 1
