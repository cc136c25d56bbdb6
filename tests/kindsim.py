"""Simulation of callers with kinds of requests that compete for slots.

It extends :mod:`loadsim`: reads come in long flows, whose opening alone can
be refused. A caller whose flow is not open yet has its further reads wait for
it. Writes and uploads open a flow each.
"""

import attrs
import loadsim

from limpetlift.state import routing

# Requests of a caller in one flow.
_READS_PER_FLOW = 20
_CALLERS = 400
_SERVICES = (routing.WeightedService("desk", 1.0),)


@attrs.frozen
class Kind:
    """A kind of requests.

    :param route: its route.
    :param work_s: mean run time.
    :param worth: worth of an answer in time.
    """

    route: object
    work_s: float
    worth: float


def _kind(number, name, work_s, aim_s, timeout_s, priority, worth):
    address = ("198.18.0.%d" % number, 443)
    route = routing.Route(
        name, address, _SERVICES, aim_s, name, timeout_s, priority
    )
    return Kind(route, work_s, worth)


# The kinds of the first deployment that share servers.
KINDS = (
    _kind(1, routing.SAFE, 0.053, 0.369, 3.234, 2, 1.0),
    _kind(2, routing.UNSAFE, 0.069, 0.483, 4.246, 1, 2.0),
)


@attrs.define
class _Caller:
    """A caller of reads.

    :param server: the server that has its flow; None when none is open.
    :param left: number of requests until the flow ends.
    :param waiting: requests that wait for the flow to open; None when it is
        not being opened.
    """

    server: object = None
    left: int = 0
    waiting: object = None


@attrs.define(slots=False)
class KindSimulation(loadsim.LoadSimulation):
    """A simulation of several kinds of requests.

    :param rates: function of the time; returns the rates of :data:`KINDS`.
    :param requests_by_kind: all requests, by the name of their route.
    """

    rates: object = None
    requests_by_kind: dict = attrs.field(factory=dict)

    def _make_requests(self):
        self._callers = [_Caller() for _ in range(_CALLERS)]
        self._caller_by_request = {}
        for admission in self._admissions:
            admission.on_routes([kind.route for kind in KINDS])
        for number, kind in enumerate(KINDS):
            requests = self.requests_by_kind[kind.route.name] = []
            now = 0.0
            while now < self.duration_s:
                now += self._rng.expovariate(self.rates(now)[number])
                request = loadsim.Request(
                    now,
                    self._rng.lognormvariate(-0.125, 0.5) * kind.work_s,
                    aim_s=kind.route.aim_s,
                    deadline_s=kind.route.timeout_s,
                    route=kind.route,
                )
                requests.append(request)
                start = self._try
                if kind.route.kind == routing.SAFE:
                    start = self._read
                self._call_at(now, start, request)

    def _read(self, now, request):
        """Send a read in its caller's flow; open the flow if need be."""
        caller = self._rng.choice(self._callers)
        self._caller_by_request[id(request)] = caller
        if caller.server is not None:
            self._send_read(now, caller, request)
        elif caller.waiting is not None:
            caller.waiting.append(request)
        else:
            caller.waiting = []
            self._try(now, request)

    def _send_read(self, now, caller, request):
        server = caller.server
        request.is_open = True
        caller.left -= 1
        if not caller.left:
            server.flows -= 1
            caller.server = None
        self._call_at(
            now + loadsim.NETWORK_DELAY_S, self._serve, server, request
        )

    def _on_open(self, now, server, request):
        caller = self._caller_by_request.get(id(request))
        if caller is not None and caller.waiting is not None:
            waiting, caller.waiting = caller.waiting, None
            caller.server = server
            caller.left = _READS_PER_FLOW - 1
            server.flows += 1
            for other in waiting:
                self._read_again(now, caller, other)
        self._serve(now, server, request)

    def _read_again(self, now, caller, request):
        if caller.server is not None:
            self._send_read(now, caller, request)
        elif caller.waiting is not None:
            caller.waiting.append(request)
        else:
            caller.waiting = []
            self._try(now, request)

    def _give_up(self, now, request):
        """Let the next waiting read open the flow; the first one is lost."""
        caller = self._caller_by_request.get(id(request))
        if caller is None or caller.waiting is None or request.is_open:
            return
        waiting, caller.waiting = caller.waiting, None
        for other in waiting:
            if now - other.created_at < other.deadline_s:
                self._read_again(now, caller, other)

    def _on_rejected(self, now, server, request):
        if id(request) not in self._caller_by_request:
            super()._on_rejected(now, server, request)
            return
        # It stays in its flow, which cannot be moved.
        request.tries += 1
        if request.tries <= loadsim.MAX_TRIES:
            self._call_at(
                now + loadsim.REJECTION_DELAY_S, self._serve, server, request
            )

    def result(self, since_s, until_s):
        """Return what became of the requests made in a time span.

        :param since_s: start of the time span.
        :param until_s: end of the time span.
        :returns: dictionary of the shares in time and late by kind, and the
            worth of all as a share of the greatest possible under ``worth``;
            late answers count 0.3.
        """
        result = {}
        worth = total = 0.0
        for kind in KINDS:
            outcomes = [
                request.outcome
                for request in self.requests_by_kind[kind.route.name]
                if since_s <= request.created_at < until_s
            ]
            in_time = outcomes.count("in_time") / len(outcomes)
            late = outcomes.count("late") / len(outcomes)
            result[kind.route.name] = in_time, late
            worth += kind.worth * len(outcomes) * (in_time + 0.3 * late)
            total += kind.worth * len(outcomes)
        result["worth"] = worth / total
        return result
