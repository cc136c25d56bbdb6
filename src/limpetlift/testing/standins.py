"""Stand-ins that run as processes: a backend server and a fabric."""

import asyncio
import collections
import json
import random

from tornado import httpclient
from tornado import httpserver
from tornado import web

from limpetlift.testing import store
from limpetlift.transport import udp

_HEALTH_CHECK_S = 0.1


class Backend:
    """A backend server: answers datagrams and HTTP requests with its name.

    :param name: name that every answer carries.
    """

    def __init__(self, name, ip, port):
        self.name = name
        self.runs_by_key = collections.Counter()
        self._socket = udp.UdpSocket((ip, port), self._answer)
        application = web.Application(
            [
                (r"/work", _WorkHandler, {"backend": self}),
                (r"/runs", _RunsHandler, {"backend": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self._server.listen(port, ip)

    def _answer(self, data, address):
        self._socket.send(self.name.encode("ascii") + b" " + data, address)


class _WorkHandler(web.RequestHandler):
    """``POST /work?ms=N``: works for N milliseconds, returns the body."""

    def initialize(self, backend):
        self._backend = backend

    async def post(self):
        """Count the run of the key, wait, and answer."""
        key = self.request.headers.get("Idempotency-Key", "")
        if key:
            self._backend.runs_by_key[key] += 1
        await asyncio.sleep(int(self.get_query_argument("ms", "0")) / 1000)
        self.set_header("X-Backend", self._backend.name)
        self.write(self.request.body)


class _RunsHandler(web.RequestHandler):
    """``GET /runs``: how often each key was run."""

    def initialize(self, backend):
        self._backend = backend

    def get(self):
        """Answer a JSON object."""
        self.write(json.dumps(self._backend.runs_by_key))


class Fabric:
    """Hands every datagram to a random balancer that is alive.

    :param service_addresses: ``ip:port`` of each service.
    :param balancers: ``ip=admin ip:port`` of each balancer.
    :param seed: seed of the random choice.
    """

    def __init__(self, service_addresses, balancers, seed):
        self._random = random.Random(seed)
        self._admin_by_ip = dict(item.split("=") for item in balancers)
        self._alive = []
        self._ports_by_caller = {}
        self._sockets = [self._open(address) for address in service_addresses]

    def _open(self, address):
        ip, _, port = address.rpartition(":")

        def receive(data, caller):
            self._forward(listener, int(port), data, caller)

        listener = udp.UdpSocket((ip, int(port)), receive)
        return listener

    def _forward(self, listener, port, data, caller):
        if not self._alive:
            return
        key = (caller, port)
        if key not in self._ports_by_caller:

            def receive(answer, _address):
                listener.send(answer, caller)

            self._ports_by_caller[key] = udp.UdpSocket((caller[0], 0), receive)
        target = self._random.choice(self._alive)
        self._ports_by_caller[key].send(data, (target, port))

    async def watch(self):
        """Check the health of the balancers until cancelled."""
        client = httpclient.AsyncHTTPClient()
        while True:
            alive = []
            for ip, admin in self._admin_by_ip.items():
                if await _is_ready(client, admin):
                    alive.append(ip)
            self._alive = alive
            await asyncio.sleep(_HEALTH_CHECK_S)


async def _is_ready(client, admin):
    try:
        await client.fetch("http://%s/readyz" % admin, request_timeout=0.5)
    except (OSError, httpclient.HTTPError):
        return False
    return True


async def run(kind, arguments):
    """Run a stand-in until the process is stopped.

    :param kind: ``backend`` with name, ip and port; ``fabric`` with the
        service addresses, the balancers (both separated by commas) and a
        seed; or ``store`` with ip, port and the port of its faults.
    """
    if kind == "backend":
        name, ip, port = arguments
        backend = Backend(name, ip, int(port))
        assert backend
        await asyncio.Event().wait()
    elif kind == "fabric":
        addresses, balancers, seed = arguments
        fabric = Fabric(addresses.split(","), balancers.split(","), int(seed))
        await fabric.watch()
    elif kind == "store":
        ip, port, admin_port = arguments
        await store.run(ip, int(port), int(admin_port))
    else:
        raise SystemExit("unknown stand-in %r" % kind)
