"""Stand-ins that run as processes: backend server, fabric and store."""

import asyncio
import collections
import json
import random

from tornado import httpclient
from tornado import httpserver
from tornado import web

from limpetlift.testing import store
from limpetlift.transport import udp

_HEALTH_CHECK_INTERVAL_S = 0.1


class Backend:
    """A backend server whose answers to datagrams and requests name it.

    :param name: its name.
    :param ip: IP address of both servers.
    :param port: port of both servers.
    """

    def __init__(self, name, ip, port):
        self.name = name
        self.runs_by_key = collections.Counter()
        self._socket = udp.UdpSocket((ip, port), self._send_answer)
        application = web.Application(
            [
                (r"/work", _WorkHandler, {"backend": self}),
                (r"/runs", _RunsHandler, {"backend": self}),
            ],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        self._server.listen(port, ip)

    def _send_answer(self, data, address):
        self._socket.send(self.name.encode("ascii") + b" " + data, address)


class _WorkHandler(web.RequestHandler):
    """``POST /work?ms=N``: waits N milliseconds and returns the body."""

    def initialize(self, backend):
        self._backend = backend

    async def post(self):
        """Count a run of the key, wait and answer."""
        key = self.request.headers.get("Idempotency-Key", "")
        if key:
            self._backend.runs_by_key[key] += 1
        await asyncio.sleep(int(self.get_query_argument("ms", "0")) / 1000)
        self.set_header("X-Backend", self._backend.name)
        self.write(self.request.body)


class _RunsHandler(web.RequestHandler):
    """``GET /runs``: returns how often each key was run."""

    def initialize(self, backend):
        self._backend = backend

    def get(self):
        """Answer with a JSON object of the counts by key."""
        self.write(json.dumps(self._backend.runs_by_key))


class Fabric:
    """Forwards each datagram to a random balancer that is ready.

    :param service_addresses: ``ip:port`` of each service.
    :param balancers: ``ip=address`` of each balancer, with the address of its
        administration API.
    :param seed: seed of the random choices.
    """

    def __init__(self, service_addresses, balancers, seed):
        self._random = random.Random(seed)
        self._admin_by_ip = dict(item.split("=") for item in balancers)
        self._ready_ips = []
        self._sockets_by_caller = {}
        self._sockets = [
            self._open_socket(address) for address in service_addresses
        ]

    def _open_socket(self, address):
        ip, _, port = address.rpartition(":")

        def receive(data, caller):
            self._forward(listener, int(port), data, caller)

        listener = udp.UdpSocket((ip, int(port)), receive)
        return listener

    def _forward(self, listener, port, data, caller):
        if not self._ready_ips:
            return
        key = (caller, port)
        if key not in self._sockets_by_caller:

            def receive(answer, _address):
                listener.send(answer, caller)

            self._sockets_by_caller[key] = udp.UdpSocket(
                (caller[0], 0), receive
            )
        balancer_ip = self._random.choice(self._ready_ips)
        self._sockets_by_caller[key].send(data, (balancer_ip, port))

    async def watch(self):
        """Check regularly which balancers are ready, until cancelled."""
        client = httpclient.AsyncHTTPClient()
        while True:
            ready_ips = []
            for ip, admin in self._admin_by_ip.items():
                if await _is_ready(client, admin):
                    ready_ips.append(ip)
            self._ready_ips = ready_ips
            await asyncio.sleep(_HEALTH_CHECK_INTERVAL_S)


async def _is_ready(client, admin):
    try:
        await client.fetch("http://%s/readyz" % admin, request_timeout=0.5)
    except (OSError, httpclient.HTTPError):
        return False
    return True


async def run(kind, arguments):
    """Run a stand-in until the process is stopped.

    :param kind: ``backend``, ``fabric`` or ``store``.
    :param arguments: for a backend server its name, IP address and port; for
        a fabric the addresses of the services, the balancers (both separated
        by commas) and a seed; for a store its IP address, its port and the
        port of its admin server.
    :raises SystemExit: if ``kind`` is unknown.
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
        raise SystemExit("unknown kind of stand-in: %r" % kind)
