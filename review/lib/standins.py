"""Stand-ins for a deployment: store, routers, clients and servers.

They follow the published formats, run in one process on asyncio and use
loopback addresses only. The balancers and agents are started as processes with
the commands of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HEADER = struct.Struct("<H4s4sHHIIIIB")
SYN, RST, ACK, BOUNCED, FIN = 128, 64, 32, 16, 4
FLAGS_OFFSET, PAD_OFFSET = 30, 26

REPORT_INTERVAL_S = 1.2
REPORT_RETRY_S = 0.1
SYN_COPIES_AT_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMIT_AFTER_S = 0.2
RETRANSMIT_MAX_S = 1.6
# Ports that are free at these addresses are taken to be free at all.
_PROBED_IPS = ("127.0.0.1", "127.60.0.1", "127.61.0.1", "127.62.0.1")


def _packed_ip(ip):
    return socket.inet_aton(ip)[::-1]


def _text_ip(packed):
    return socket.inet_ntoa(packed[::-1])


def encode(sender, receiver, flags, sequence=0, ack=0, payload=b""):
    """Return a packet; ``sender`` and ``receiver`` are ``(ip, port)``."""
    return (
        HEADER.pack(
            len(payload),
            _packed_ip(receiver[0]),
            _packed_ip(sender[0]),
            sender[1],
            receiver[1],
            sequence & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            # The sum's key is not disclosed, so it stands for a valid one.
            0 if flags == RST else 0x5EA1ED,
            0,
            flags,
        )
        + payload
    )


class Packet:
    """A decoded packet."""

    def __init__(self, data):
        (
            self.length,
            receiver_ip,
            sender_ip,
            sender_port,
            receiver_port,
            self.sequence,
            self.ack,
            self.checksum,
            self.echo,
            self.flags,
        ) = HEADER.unpack_from(data)
        self.sender = (_text_ip(sender_ip), sender_port)
        self.receiver = (_text_ip(receiver_ip), receiver_port)
        self.payload = data[HEADER.size :]
        self.data = data


class Udp(asyncio.DatagramProtocol):
    """A UDP socket that hands its datagrams to a callback."""

    def __init__(self, on_datagram):
        self._on_datagram = on_datagram

    def datagram_received(self, data, address):
        """Handle a datagram."""
        self._on_datagram(data, address)

    def error_received(self, _error):
        """Ignore ICMP errors: the peer may be gone."""


async def open_udp(address, on_datagram):
    """Return the transport of a UDP socket bound to ``address``."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Udp(on_datagram), local_addr=address
    )
    return transport


async def _read_request(reader):
    """Return ``(method, target, body)``, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return method, target, body


async def http_call(address, method, target, body=b"", timeout_s=1.0):
    """Return ``(status, body)``; raises OSError or a timeout."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = (
                "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            ) % (method, target, *address, len(body))
            writer.write(head.encode("ascii") + body)
            await writer.drain()
            answer = await reader.read()
        finally:
            writer.close()
        if not answer.startswith(b"HTTP/1.1 "):
            raise OSError("no answer")
        return int(answer[9:12]), answer.partition(b"\r\n\r\n")[2]

    return await asyncio.wait_for(call(), timeout_s)


class HttpServer:
    """An HTTP server; ``handle`` is a coroutine function."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._on_connection, *self.address
        )

    async def _on_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                status, fields = await self._handle(*request)
                body = json.dumps(fields).encode("utf-8")
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            # The peer has closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.address = address
        self._items_by_key = {}
        self._events = []
        self._revision = 10
        self._ttl_ms_by_lease = {}
        self._expires_at_by_lease = {}
        self._changed = asyncio.Event()
        self._http = HttpServer(address, self.handle)

    async def start(self):
        """Start to serve."""
        await self._http.start()

    def close(self):
        """Stop serving."""
        self._http.close()

    def take_away(self, key):
        """Remove a key without a request."""
        self._revision += 1
        self._remove(key)

    def put(self, key, value, lease=0):
        """Write a key as the operator does."""
        self._revision += 1
        self._put(key, base64.b64encode(value).decode("ascii"), lease)

    def _put(self, key, text, lease):
        known = self._items_by_key.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": lease,
        }
        self._items_by_key[key] = item
        self._notify(item)

    def _remove(self, key):
        if self._items_by_key.pop(key, None) is not None:
            self._notify(
                {"key": key, "revision": self._revision, "removed": True}
            )

    def _notify(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self):
        now = time.monotonic()
        for lease, expires_at in list(self._expires_at_by_lease.items()):
            if expires_at <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._expires_at_by_lease.pop(lease, None)
        keys = [
            key
            for key, item in self._items_by_key.items()
            if item["lease"] == lease
        ]
        if keys:
            self._revision += 1
        for key in keys:
            self._remove(key)

    async def handle(self, method, target, body):
        """Answer a call."""
        await asyncio.sleep(0.004)
        self._expire_leases()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        fields = json.loads(body) if body else {}
        path = url.path.removeprefix("/-/")
        if (method, path) == ("GET", "kv-key"):
            item = self._items_by_key.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self._revision}
        if (method, path) == ("GET", "kv-range"):
            items = [
                item
                for key, item in sorted(self._items_by_key.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items[:500],
                "more_pages": len(items) > 500,
                "store_revision": self._revision,
            }
        if (method, path) == ("GET", "kv-watch"):
            return await self._watch(query)
        if (method, path) == ("POST", "kv-txn"):
            return self._commit(fields)
        if (method, path) == ("POST", "kv-lease"):
            lease = 1000 + len(self._ttl_ms_by_lease)
            self._ttl_ms_by_lease[lease] = fields["ttl_ms"]
            self._renew(lease)
            return 200, {"lease": lease, "ttl_ms": fields["ttl_ms"]}
        name, _, number = path.partition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self._expires_at_by_lease:
            return 404, {}
        if (method, name) == ("POST", "kv-keep"):
            self._renew(lease)
            return 200, {
                "lease": lease,
                "ttl_ms": self._ttl_ms_by_lease[lease],
            }
        if (method, name) == ("DELETE", "kv-lease-end"):
            self._end_lease(lease)
            return 200, {}
        return 404, {}

    def _renew(self, lease):
        self._expires_at_by_lease[lease] = (
            time.monotonic() + self._ttl_ms_by_lease[lease] / 1000
        )

    async def _watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._expire_leases()
            events = [
                event
                for event in self._events
                if event["key"].startswith(query["prefix"])
                and event["revision"] > int(query["after"])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    "events": events,
                    "store_revision": self._revision,
                }
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.2))
            except asyncio.TimeoutError:
                pass

    def _commit(self, fields):
        conditions = fields.get("precondition", [])
        found = [self._items_by_key.get(row["key"]) for row in conditions]
        for row, item in zip(conditions, found):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in found if item]}
        for write in fields.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._expires_at_by_lease:
                return 404, {}
        self._revision += 1
        for write in fields.get("writes", []):
            self._put(write["key"], write["value"], write.get("lease", 0))
        for key in fields.get("remove", []):
            self._remove(key)
        return 200, {"revision": self._revision}


class Gate:
    """A further address of the store, which can turn its callers away."""

    def __init__(self, store, address):
        self.address = address
        self.is_closed = False
        self._store = store
        self._http = HttpServer(address, self._handle)

    async def start(self):
        """Start to serve."""
        await self._http.start()

    def close(self):
        """Stop serving."""
        self._http.close()

    async def _handle(self, method, target, body):
        if self.is_closed:
            return 503, {}
        return await self._store.handle(method, target, body)


class Deployment:
    """The processes and stand-ins of one run, and its record.

    :param record_path: path of the file that records what was sent, answered
        and run.
    """

    def __init__(self, record_path):
        self.rng = random.Random(7)
        self._record = open(record_path, "w", encoding="utf-8")
        self._temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._began_at = time.monotonic()
        self.programs = []
        self.violations = []
        self._closers = []
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text(encoding="utf-8")
        )
        self._roles = deploy["roles"]
        self._pick_ports()
        self.store = None
        self.router = None

    def _pick_ports(self):
        for _ in range(100):
            base = random.randrange(20000, 30000, 20)
            sockets = []
            try:
                for offset in range(6):
                    for ip in _PROBED_IPS:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            probe = socket.socket(socket.AF_INET, kind)
                            sockets.append(probe)
                            probe.bind((ip, base + offset))
            except OSError:
                continue
            finally:
                for probe in sockets:
                    probe.close()
            (
                self.segments_port,
                self.ready_port,
                self.reports_port,
                self.outbound_port,
                self.app_port,
                self.peer_port,
            ) = range(base, base + 6)
            return
        raise OSError("no free ports")

    def note(self, text):
        """Write a line to the record, unless the run has ended."""
        if self._record.closed:
            return
        self._record.write(
            "%8.3f %s\n" % (time.monotonic() - self._began_at, text)
        )
        self._record.flush()

    def violate(self, text):
        """Record that the rule is broken."""
        self.violations.append(text)
        self.note("BROKEN " + text)

    async def start_platform(self, routes):
        """Start the store with a configuration, and the routers.

        :param routes: ``(name, (ip, port), service)`` of each route.
        """
        self.store = Store(("127.60.0.1", self.ready_port))
        self._closers.append(self.store)
        self.store.put(
            "op/config",
            json.dumps(
                {
                    "version": 3,
                    "routes": [
                        {
                            "name": name,
                            "host": address[0],
                            "prefix": "/%d/" % address[1],
                            "service": service,
                            "type": "safe",
                            "timeout_ms": 2000,
                            "aim_ms": 500,
                            "priority": 1,
                            "max_attempts": 1,
                        }
                        for name, address, service in routes
                    ],
                    "services": sorted(
                        (
                            {"name": service, "health_path": "/health"}
                            for service in {row[2] for row in routes}
                        ),
                        key=lambda fields: fields["name"],
                    ),
                    "limits": {"idle_timeout_ms": 20000},
                }
            ).encode("utf-8"),
        )
        await self.store.start()
        self.router = Router(self)

    def program(
        self,
        role,
        name,
        ip,
        service="",
        zone="zone-a",
        first=True,
        store=None,
    ):
        """Return a :class:`Program` that is not started yet.

        :param store: the :class:`Store` or a :class:`Gate` of it.
        """
        agent = role == "agent"
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
            "listen_addrs": {
                "datagram_addr": "%s:%d" % (ip, self.segments_port),
                "ready": "%s:%d" % (ip, self.ready_port),
                "control_plane": (
                    "%s:%d" % (ip, self.reports_port) if agent else ""
                ),
                "outbound": (
                    "%s:%d" % (ip, self.outbound_port) if agent else ""
                ),
            },
            "platform": {"address": "%s:%d" % (store or self.store).address},
            "internal_port_range": [self.peer_port, self.peer_port],
            "app": "%s:%d" % (ip, self.app_port) if agent else "",
            "service": service,
            "bootstrap": first,
            "heartbeat_ms": int(REPORT_INTERVAL_S * 1000),
        }
        program = Program(self, self._roles[role], name, fields)
        self.programs.append(program)
        return program

    @property
    def folder(self):
        """The temporary folder of the run."""
        return self._temporary

    def add_closer(self, closer):
        """Close ``closer`` at the end."""
        self._closers.append(closer)

    def close(self):
        """End all processes and close all stand-ins."""
        for closer in reversed(self._closers):
            closer.close()
        for program in self.programs:
            program.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()


def _render(template, fields):
    """Fill in the placeholders of the settings template that are used."""

    def value(match):
        found = fields
        for part in match[1].split("."):
            found = found[int(part) if part.isdigit() else part]
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Program:
    """A balancer or an agent, started with the command of the deploy file."""

    def __init__(self, deployment, role, name, fields):
        self._deployment = deployment
        self._role = role
        self.name = name
        self.fields = fields
        self._process = None

    def start(self):
        """Start the process."""
        template = (REPOSITORY / self._role["template"]).read_text(
            encoding="utf-8"
        )
        path = self._deployment.folder / (self.name + ".toml")
        path.write_text(_render(template, self.fields), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["LIMPETLIFT_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        with open(self._deployment.folder / (self.name + ".log"), "ab") as log:
            self._process = subprocess.Popen(
                self._role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._deployment.note("start %s" % self.name)

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number):
        """Send a signal."""
        if self.is_running:
            self._deployment.note("signal %d to %s" % (number, self.name))
            self._process.send_signal(number)

    async def wait(self, timeout_s):
        """Wait until the process has ended; kill it after the timeout."""
        until = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.kill()

    def kill(self):
        """Kill the process if it runs."""
        if self.is_running:
            self._process.kill()
            self._process.wait()
            self._deployment.note("end %s" % self.name)


class Router:
    """The routers: they hash flows over the ready balancers (``mod``)."""

    def __init__(self, deployment):
        self._deployment = deployment
        self._zones_by_ip = {}
        self._misses_by_ip = {}
        self._tasks = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        deployment.add_closer(self)

    def add(self, ip, zone="zone-a"):
        """Probe a balancer from now on."""
        self._zones_by_ip[ip] = zone
        self._misses_by_ip[ip] = 2
        self._tasks.append(asyncio.ensure_future(self._probe(ip)))

    async def _probe(self, ip):
        while True:
            try:
                status, _ = await http_call(
                    (ip, self._deployment.ready_port),
                    "GET",
                    "/-/ready",
                    timeout_s=0.4,
                )
            except (OSError, asyncio.TimeoutError):
                status = 0
            was_in = self._misses_by_ip[ip] < 2
            self._misses_by_ip[ip] = (
                0 if status == 200 else self._misses_by_ip[ip] + 1
            )
            is_in = self._misses_by_ip[ip] < 2
            if is_in != was_in:
                self._deployment.note(
                    "balancer %s %s rotation"
                    % (ip, "enters" if is_in else "leaves")
                )
            await asyncio.sleep(0.5)

    def rotation(self, zone="zone-a"):
        """Return the balancers that get the packets of a zone's clients."""
        all_ready = [
            ip for ip, misses in self._misses_by_ip.items() if misses < 2
        ]
        ips = [ip for ip, other in self._zones_by_ip.items() if other == zone]
        ready = [ip for ip in all_ready if ip in ips]
        if not ready:
            # The nearest zone with a balancer in rotation, if there is one.
            return all_ready or ips
        return ready if 2 * len(ready) >= len(ips) else ips

    def send(self, data):
        """Send a packet of a client to a balancer."""
        packet = Packet(data)
        flow = repr((packet.sender, packet.receiver)).encode("ascii")
        rotation = self.rotation()
        number = 0
        for byte in flow:
            number = (number * 1000003 + byte) & 0xFFFFFFFFFFFF
        ip = rotation[(number >> 7) % len(rotation)]
        try:
            self._socket.sendto(data, (ip, self._deployment.segments_port))
        except OSError:
            # A full buffer or a closed port: the datagram is lost.
            pass

    def close(self):
        """Stop probing."""
        for task in self._tasks:
            task.cancel()
        self._socket.close()


class Server:
    """A target: it serves requests on flows and reports to its agent.

    :param clock_ahead_s: how far the machine's time of day is ahead at the
        start; it only shows in ``born``.
    """

    def __init__(
        self, deployment, server_id, ip, service, work_s=0.004, clock_ahead_s=0
    ):
        self._deployment = deployment
        self.server_id = server_id
        self.ip = ip
        self.service = service
        self._work_s = work_s
        self._clock_ahead_s = clock_ahead_s
        self.is_alive = False
        # First sequence number by flow, and whether the flow is open.
        self.flows_by_key = {}
        self._ended_keys = set()
        self._answers_by_key = {}
        self._transport = None
        self._health = HttpServer((ip, deployment.app_port), self._on_http)
        self._tasks = []
        self.state = "ready"
        self.born = 0
        self.reports = 0
        self.acknowledged_reports = 0
        deployment.add_closer(self)

    async def _on_http(self, *_):
        return 200, {}

    async def start(self):
        """Start to serve and to report."""
        self._transport = await open_udp(
            (self.ip, self._deployment.app_port), self._on_datagram
        )
        await self._health.start()
        self.born = int((time.time() + self._clock_ahead_s) * 1000)
        self.started_at = time.monotonic()
        self.is_alive = True
        self._deployment.note(
            "server %s of %s starts at %s"
            % (self.server_id, self.service, self.ip)
        )
        self._tasks.append(asyncio.ensure_future(self._report()))

    async def _report(self):
        while True:
            self.reports += 1
            sequence = self.reports
            body = {
                "service": self.service,
                "address": "%s:%d" % (self.ip, self._deployment.app_port),
                "zone": "zone-a",
                "version": "v1",
                "max_concurrency": 3,
                "state": self.state,
                "warmup_left_ms": 0,
                "sequence": sequence,
                "born": self.born,
            }
            try:
                status, _ = await http_call(
                    (self.ip, self._deployment.reports_port),
                    "POST",
                    "/-/instances/%s/heartbeat" % self.server_id,
                    json.dumps(body).encode("utf-8"),
                )
            except (OSError, asyncio.TimeoutError):
                status = 0
            self._deployment.note(
                "report %d of %s: %d" % (sequence, self.server_id, status)
            )
            self.acknowledged_reports += status == 200
            await asyncio.sleep(
                REPORT_INTERVAL_S if status == 200 else REPORT_RETRY_S
            )

    def crash(self):
        """End without notice and discard all flows."""
        if self.is_alive:
            self._deployment.note("server %s ends" % self.server_id)
        self.close()

    def close(self):
        """Close the sockets."""
        self.is_alive = False
        self.flows_by_key = {}
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()
        self._health.close()

    def holds(self, key, sequence):
        """Whether the flow with this first sequence number is open here."""
        return self.is_alive and self.flows_by_key.get(key) == (sequence, True)

    def _send(self, data):
        self._transport.sendto(data, (self.ip, self._deployment.outbound_port))

    def _on_datagram(self, data, _address):
        packet = Packet(data)
        key = (packet.sender, packet.receiver)
        first, is_open = self.flows_by_key.get(key, (None, False))
        if packet.flags & SYN and not packet.flags & ACK:
            if first is None:
                first = self._deployment.rng.randrange(1 << 32)
                self.flows_by_key[key] = (first, False)
                self._deployment.note(
                    "%s of %s takes the first packet %s>%s"
                    % (self.server_id, self.service, *map(_text, key))
                )
                self.on_taken(key)
            self._answer(key, SYN | ACK, first, packet.sequence + 1)
            return
        if key in self._ended_keys:
            if packet.flags & FIN:
                self._answer(key, ACK, packet.ack, packet.sequence + 1)
            elif packet.length:
                self._answer(key, RST, packet.ack, 0)
            return
        if (
            first is None
            or not 0 < (packet.ack - first) & 0xFFFFFFFF < 1 << 26
        ):
            bounced = bytearray(data)
            bounced[FLAGS_OFFSET] |= BOUNCED
            bounced[PAD_OFFSET : PAD_OFFSET + 4] = b"\0\0\0\0"
            self._send(bytes(bounced))
            return
        if not is_open:
            self.flows_by_key[key] = (first, True)
            self._deployment.note(
                "%s has the flow %s>%s" % (self.server_id, *map(_text, key))
            )
        if packet.flags & (RST | FIN):
            del self.flows_by_key[key]
            self._ended_keys.add(key)
            if packet.flags & FIN:
                self._answer(key, FIN | ACK, packet.ack, packet.sequence + 1)
            return
        if packet.length:
            self._on_request(key, packet)

    def _on_request(self, key, packet):
        # A request and its answer are one packet each.
        answers = self._answers_by_key.setdefault(key, {})
        if packet.sequence in answers:
            answer = answers[packet.sequence]
            if answer is not None:
                self._answer(*answer)
            return
        answers[packet.sequence] = None
        self._deployment.note(
            "%s of %s runs %s"
            % (self.server_id, self.service, packet.payload.decode("ascii"))
        )
        self.on_run(key, packet.payload)

        def finish():
            if not self.is_alive or key not in self.flows_by_key:
                return
            payload = b"%s of %s answers %s" % (
                self.server_id.encode("ascii"),
                self.service.encode("ascii"),
                packet.payload,
            )
            answer = (
                key,
                ACK,
                packet.ack,
                packet.sequence + packet.length,
                payload,
            )
            answers[packet.sequence] = answer
            self._answer(*answer)

        asyncio.get_running_loop().call_later(self._work_s, finish)

    def _answer(self, key, flags, sequence, ack, payload=b""):
        client, route = key
        self._send(encode(route, client, flags, sequence, ack, payload))

    def on_taken(self, key):
        """Hook of a case: a first packet was taken."""

    def on_run(self, key, payload):
        """Hook of a case: a request runs."""


def _text(address):
    return "%s:%d" % address


class Client:
    """A requester that keeps a flow, or opens one for each request.

    :param route: ``(ip, port)`` of the route.
    :param pause_s: between an answer and the next request.
    :param keeps_flow: whether it sends many requests on a flow.
    """

    def __init__(
        self, deployment, name, ip, route, pause_s=0.5, keeps_flow=True
    ):
        self._deployment = deployment
        self.name = name
        self._ip = ip
        self._route = route
        self._pause_s = pause_s
        self._keeps_flow = keeps_flow
        self._port = 1024
        self._transport = None
        self._task = None
        self._packets = asyncio.Queue()
        self.answered = 0
        self.key = None
        self.server_sequence = None
        deployment.add_closer(self)

    async def start(self):
        """Begin to send requests."""
        self._transport = await open_udp(
            (self._ip, self._deployment.segments_port),
            lambda data, _: self._packets.put_nowait(Packet(data)),
        )
        self._task = asyncio.ensure_future(self._run())

    def close(self):
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def _send(self, flags, sequence, ack, payload=b""):
        self._deployment.router.send(
            encode(self.key[0], self._route, flags, sequence, ack, payload)
        )

    async def _receive(self, until):
        """Return the next packet of the flow, or None at the time limit."""
        while True:
            left_s = until - time.monotonic()
            if left_s <= 0:
                return None
            try:
                packet = await asyncio.wait_for(self._packets.get(), left_s)
            except asyncio.TimeoutError:
                return None
            if (packet.receiver, packet.sender) == self.key:
                return packet

    async def _run(self):
        number = 0
        while True:
            number += 1
            if not await self._open():
                await self._pause_before_retry()
                continue
            while await self._request(number):
                self.answered += 1
                if not self._keeps_flow:
                    break
                await self._rest()
                if self.server_sequence is None:
                    break
                number += 1
            else:
                await self._pause_before_retry()
                continue
            if self.server_sequence is not None:
                self._send(FIN | ACK, self._sequence, self._server_next)
                self.server_sequence = None
                await asyncio.sleep(self._pause_s)

    async def _pause_before_retry(self):
        await asyncio.sleep(self._deployment.rng.uniform(0.05, 0.6))

    async def _rest(self):
        """Pause, and notice a reset meanwhile."""
        until = time.monotonic() + self._pause_s
        while (packet := await self._receive(until)) is not None:
            if packet.flags & RST:
                self._on_reset(packet)

    async def _open(self):
        self._port += 1
        self.key = ((self._ip, self._port), self._route)
        self.server_sequence = None
        self._sequence = self._deployment.rng.randrange(1 << 32)
        began_at = time.monotonic()
        self._deployment.note(
            "%s opens from port %d" % (self.name, self._port)
        )
        copies_at = [0.0, *SYN_COPIES_AT_S, OPENING_TIMEOUT_S]
        for copy, at in enumerate(copies_at[:-1]):
            self._send(SYN, self._sequence, copy)
            until = began_at + copies_at[copy + 1]
            while (packet := await self._receive(until)) is not None:
                if packet.flags & RST:
                    self._deployment.note("%s is refused" % self.name)
                    return False
                if packet.flags & SYN and packet.flags & ACK:
                    self.server_sequence = packet.sequence
                    self._server_next = packet.sequence + 1
                    self._sequence += 1
                    self._send(ACK, self._sequence, self._server_next)
                    return True
        return False

    def _on_reset(self, packet):
        """Handle a reset; return whether it ends the flow."""
        distance = (packet.sequence - self._server_next) & 0xFFFFFFFF
        if min(distance, (1 << 32) - distance) > 76800:
            return False
        self._deployment.note(
            "%s gets a reset of its flow from port %d"
            % (self.name, self._port)
        )
        self.on_reset(packet)
        self.server_sequence = None
        return True

    async def _request(self, number):
        payload = b"%s/%d" % (self.name.encode("ascii"), number)
        self._deployment.note("%s sends %s" % (self.name, payload.decode()))
        deadline = time.monotonic() + 4.0
        retransmit_s = RETRANSMIT_AFTER_S
        while time.monotonic() < deadline:
            self._send(ACK, self._sequence, self._server_next, payload)
            until = min(time.monotonic() + retransmit_s, deadline)
            retransmit_s = min(2 * retransmit_s, RETRANSMIT_MAX_S)
            while (packet := await self._receive(until)) is not None:
                if packet.flags & RST:
                    if self._on_reset(packet):
                        return False
                elif packet.flags & FIN:
                    continue
                elif packet.payload.endswith(b" answers " + payload):
                    self._deployment.note(
                        "%s gets: %s"
                        % (self.name, packet.payload.decode("ascii"))
                    )
                    self._sequence += len(payload)
                    self._server_next = packet.sequence + packet.length
                    self._send(ACK, self._sequence, self._server_next)
                    self.on_answer(packet.payload)
                    return True
        self._deployment.note("%s gives up %s" % (self.name, payload.decode()))
        self._send(RST, self._sequence, self._server_next)
        self.server_sequence = None
        return False

    def on_reset(self, packet):
        """Hook of a case: a reset ended an open flow."""

    def on_answer(self, payload):
        """Hook of a case: a request was answered."""


def run_case(record_path, scenario):
    """Run a scenario and exit with 0, 1 or 2.

    :param record_path: path of the record.
    :param scenario: coroutine function of a :class:`Deployment` and of
        whether the disruption is left out. It returns an error text when the
        case could not run.
    """

    async def run():
        deployment = Deployment(record_path)
        try:
            error = await scenario(
                deployment, os.environ.get("TROUBLE", "1") != "0"
            )
            if error:
                deployment.note("could not run: " + error)
            else:
                deployment.note(
                    "end: broken %d times" % len(deployment.violations)
                )
            return 2 if error else int(bool(deployment.violations))
        finally:
            deployment.close()

    def end(*_):
        raise SystemExit(2)

    # All processes are ended when the run is stopped, too.
    signal.signal(signal.SIGTERM, end)
    try:
        code = asyncio.run(asyncio.wait_for(run(), 110))
    except (OSError, asyncio.TimeoutError, KeyError) as error:
        print("could not run: %r" % error)
        code = 2
    raise SystemExit(code)
