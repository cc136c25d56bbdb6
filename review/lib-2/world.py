"""Stand-ins of the platform and the programs of the deploy file for one case.

Everything runs on loopback addresses. The store, the backend servers, the
callers and the routers run in this process, on one asyncio loop; balancers
and agents run as processes with the commands of ``deploy/system.toml``.
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
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEADER = struct.Struct("<H4s4sHHIIIIB")
SYN, RST, ACK, BOUNCED, FIN = 128, 64, 32, 16, 4
MASK = 0xFFFFFFFF
WINDOW = 76_800
HEARTBEAT_MS = 1200
BOUNDS = {
    "reuse_after_s": 2,
    "stability_window_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "flow_timeout_ms": 2000,
    "flow_lifetime_s": 60,
}
LIMITS = {"cpu_share": 1.0, "cpu_cores": 1, "link_mbps": 1000.0}
# Delays of the copies of a first packet, and when the attempt ends.
COPY_DELAYS_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
CALLER_DELAY_S = 0.003


def pack_ip(ip):
    return socket.inet_aton(ip)[::-1]


def unpack_ip(data):
    return socket.inet_ntoa(data[::-1])


def encode(src, dst, flags, seq, ack, payload=b""):
    """Return a packet; the sum is any value, since no program knows the key."""
    head = HEADER.pack(
        len(payload), pack_ip(dst[0]), pack_ip(src[0]), src[1], dst[1],
        seq & MASK, ack & MASK, 0, 0, flags,
    )
    total = zlib.crc32(head[:22] + bytes((flags,)) + payload) or 1
    return head[:22] + struct.pack("<I", total) + head[26:] + payload


class Packet:
    def __init__(self, data):
        (length, dst, src, sport, dport, self.seq, self.ack, self.sum,
         self.echo, self.flags) = HEADER.unpack_from(data)
        self.src = (unpack_ip(src), sport)
        self.dst = (unpack_ip(dst), dport)
        self.payload = data[HEADER.size:]
        self.data = data

    def has(self, flag):
        return bool(self.flags & flag)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_data):
        self.on_data = on_data

    def datagram_received(self, data, address):
        self.on_data(data, address)

    def error_received(self, error):
        pass


async def open_udp(address, on_data):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Udp(on_data), local_addr=address
    )
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    return transport


async def read_message(reader):
    """Return ``(first line, body)`` of a request or response, or None."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.strip().lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length) if length else b""
    return lines[0], body


async def call(address, method, path, body=None, timeout_s=1.0):
    """Return ``(status, body)`` of an HTTP call; raises OSError or timeout."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                b"%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                b"Content-Type: application/json\r\nContent-Length: %d\r\n"
                b"\r\n%s"
                % (method.encode(), path.encode(), address[0].encode(),
                   len(data), data)
            )
            await writer.drain()
            line, answer = await read_message(reader)
            return int(line.split()[1]), answer
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout_s)


class Store:
    """The platform's metadata store, as the protocol page describes it."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.revision = 10
        self.events = []
        self.leases = {}
        # Address of the machine that wrote a key last.
        self.writers = {}
        # When each machine last began to wait for changes of some keys.
        self.waited_at = {}
        self.next_lease = 1000
        # Answers 503 to everybody while it is down.
        self.is_down = False
        # Addresses of machines that it rejects with 503.
        self.rejected = set()
        self.changed = asyncio.Condition()

    async def start(self):
        # Each machine has an address of the store of its own, so that the
        # store can tell machines apart: all connections on loopback come
        # from the same address.
        self.machines = {}
        self.servers = []
        asyncio.ensure_future(self.expire())

    async def address_for(self, machine):
        """Return the address of the store for a machine."""
        ip = self.world.ip(4, len(self.machines) + 1)
        self.machines[ip] = machine
        address = (ip, self.world.port("store"))
        self.servers.append(await asyncio.start_server(self.serve, *address))
        return address

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.is_down:
                for lease in self.leases.values():
                    lease[1] += 0.05
                continue
            for number, (ttl_s, ends_at) in list(self.leases.items()):
                if ends_at <= now:
                    self.end_lease(number)

    def end_lease(self, number):
        self.leases.pop(number, None)
        for key, item in list(self.items.items()):
            if item["lease"] == number:
                self.remove(key)

    def lapse_leases(self):
        """All leases run out."""
        for number in list(self.leases):
            self.end_lease(number)

    def take_keys(self, ip):
        """Take the keys away that a machine wrote."""
        for key in [key for key in self.items if self.writers.get(key) == ip]:
            self.remove(key)
            self.world.log("key taken", key)

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.add_event(item)

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.add_event(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def add_event(self, event):
        self.events.append(event)
        asyncio.ensure_future(self.wake())

    async def wake(self):
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                line, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                peer = self.machines[writer.get_extra_info("sockname")[0]]
                await asyncio.sleep(0.004)
                if self.is_down or peer in self.rejected:
                    status, fields = 503, {}
                else:
                    status, fields = await self.answer(
                        method, target, body, peer
                    )
                    if self.is_down or peer in self.rejected:
                        status, fields = 503, {}
                data = json.dumps(fields).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%s" % (status, len(data), data)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body, peer):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = url.path.removeprefix("/-/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if name == "kv-range":
            items = [
                item for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": items[:500], "more_pages": len(items) > 500,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            if int(query["wait_ms"]):
                self.waited_at[peer] = time.monotonic()
            return await self.watch(query)
        if name == "kv-txn":
            return self.commit(json.loads(body), peer)
        if name == "kv-lease":
            ttl_ms = max(json.loads(body)["ttl_ms"], 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [
                ttl_ms / 1000, time.monotonic() + ttl_ms / 1000
            ]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        name, _, number = name.partition("/")
        lease = self.leases.get(int(number)) if number.isdigit() else None
        if lease is None:
            return 404, {}
        if name == "kv-keep":
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        self.end_lease(int(number))
        return 200, {}

    async def watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event for event in self.events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0 or self.is_down:
                return 200, {
                    "events": events, "store_revision": self.revision
                }
            try:
                async with self.changed:
                    await asyncio.wait_for(
                        self.changed.wait(), min(left_s, 0.1)
                    )
            except asyncio.TimeoutError:
                pass

    def commit(self, fields, peer):
        rows = fields.get("precondition", [])
        now = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, now):
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in now if item]}
        for write in fields.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in fields.get("writes", []):
            self.writers[write["key"]] = peer
            self.put(
                write["key"], base64.b64decode(write["value"]),
                write.get("lease", 0),
            )
        for key in fields.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Program:
    """A balancer or an agent that runs as a process.

    Its settings file and its environment come from the deploy file.
    """

    def __init__(self, world, role, name, ip, **fields):
        self.world = world
        self.role = world.deploy["roles"][role]
        self.name = name
        self.ip = ip
        self.fields = {
            "node_name": name, "ip": ip, "zone": "z-a",
            "listen_addrs": {
                "datagram_addr": "%s:%d" % (ip, world.port("segments")),
                "ready": "%s:%d" % (ip, world.port("ready")),
                "control_plane": "%s:%d" % (ip, world.port("control")),
                "outbound": "%s:%d" % (ip, world.port("outbound")),
            },
            "internal_port_range": [world.port("peer"), world.port("peer")],
            "bootstrap": False,
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS, "limits": LIMITS,
            **fields,
        }
        self.process = None
        world.programs.append(self)

    def fill(self, text):
        def value(match):
            name, _, form = match[1].partition("|")
            found = self.fields
            for part in name.split("."):
                if isinstance(found, list):
                    found = found[int(part)]
                else:
                    found = found.get(part) if found else None
            if form == "json":
                return json.dumps(found)
            if found is None:
                return ""
            return found if isinstance(found, str) else json.dumps(found)

        return re.sub(r"{{([^{}]*)}}", value, text)

    async def start(self):
        if "platform" not in self.fields:
            address = await self.world.store.address_for(self.ip)
            self.fields["platform"] = {"address": "%s:%d" % address}
        template = (ROOT / self.role["template"]).read_text()
        path = self.world.folder / (self.name + ".toml")
        path.write_text(self.fill(template))
        environment = {
            name: self.fill(text)
            for name, text in self.role.get("env", {}).items()
        }
        with open(self.world.folder / (self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, stdout=log, stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "LIMPETLIFT_SETTINGS": str(path),
                    **environment,
                },
            )
        self.world.log("process started", self.name)

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.world.log("signal", self.name, signal.Signals(number).name)
            self.process.send_signal(number)

    async def stop(self):
        """SIGTERM, then SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        ends_at = time.monotonic() + BOUNDS["grace_s"]
        while self.is_running and time.monotonic() < ends_at:
            await asyncio.sleep(0.01)
        if self.is_running:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.world.log("process ended", self.name)

    def end(self):
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Flow:
    def __init__(self, server, caller, route, packet):
        self.server = server
        self.caller = caller
        self.route = route
        self.first = server.world.rng.getrandbits(32)
        self.next = self.first + 1
        self.caller_first = packet.seq
        self.expected = packet.seq + 1 & MASK
        self.is_open = False
        self.acked = self.first
        self.done = False
        self.taken_at = time.monotonic()

    @property
    def key(self):
        return (self.caller, self.route)


class Server:
    """A target beside an agent; it runs until it is ended."""

    def __init__(self, world, number, service, work_s=0.01):
        self.world = world
        self.service = service
        self.ip = world.ip(2, number)
        self.number = number
        self.id = "i-%d" % number
        self.work_s = work_s
        self.flows = {}
        self.ended = set()
        self.state = "ready"
        self.sequence = 0
        self.is_up = False
        self.drain_acked_at = None
        self.agent = Program(
            world, "agent", "side-%d" % number, self.ip, service=service,
            app="%s:%d" % (self.ip, world.port("app")),
        )
        world.servers.append(self)

    @property
    def address(self):
        return (self.ip, self.world.port("app"))

    async def start(self):
        self.is_up = True
        self.born = int(time.time() * 1000)
        self.transport = await open_udp(self.address, self.on_packet)
        self.health = await asyncio.start_server(self.on_health, *self.address)
        self.beats = asyncio.ensure_future(self.beat())

    def end(self):
        """The target ends; its flows end with it."""
        self.is_up = False
        self.transport.close()
        self.health.close()
        self.beats.cancel()
        self.flows = {}

    async def on_health(self, reader, writer):
        try:
            await read_message(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def say(self, state=None):
        self.sequence += 1
        return {
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": "z-a", "version": "v1", "max_concurrency": 3,
            "state": state or self.state, "warmup_left_ms": 0,
            "sequence": self.sequence, "born": self.born,
        }

    async def beat(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def report(self):
        state = self.state
        try:
            status, _ = await call(
                (self.ip, self.world.port("control")), "POST",
                "/-/instances/%s/heartbeat" % self.id, self.say(state),
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        if status == 200 and state == "draining" and not self.drain_acked_at:
            self.drain_acked_at = time.monotonic()
            self.world.log("drain acknowledged", self.id)

    def send(self, data):
        self.transport.sendto(data, (self.ip, self.world.port("outbound")))

    def on_packet(self, data, _address):
        packet = Packet(data)
        caller, route = packet.src, packet.dst
        flow = self.flows.get((caller, route))
        self.world.on_arrival(self, packet)
        if packet.has(SYN):
            if flow is None or flow.caller_first != packet.seq:
                self.ended.discard((caller, route))
                flow = Flow(self, caller, route, packet)
                self.flows[flow.key] = flow
                self.world.on_taken(self, flow)
                asyncio.ensure_future(self.hand_shake(flow))
            return
        if flow is None and (caller, route) in self.ended:
            if packet.has(FIN):
                self.send(encode(route, caller, ACK, 0, packet.seq + 1))
            elif packet.payload:
                self.send(encode(route, caller, RST, packet.ack, 0))
            return
        if flow is None or (
            not flow.is_open and packet.ack != flow.first + 1 & MASK
        ) or (packet.ack - flow.first & MASK) > 1 << 20:
            self.world.count("bounced", self.id)
            returned = bytearray(data)
            returned[30] |= BOUNCED
            self.send(bytes(returned))
            return
        if not flow.is_open:
            flow.is_open = True
            self.world.log("flow open", self.id, *flow.key)
        if packet.has(RST):
            del self.flows[flow.key]
            self.ended.add(flow.key)
            return
        flow.acked = packet.ack
        if packet.payload and packet.seq == flow.expected:
            flow.expected = flow.expected + len(packet.payload) & MASK
            asyncio.ensure_future(self.work(flow, packet.payload))
        if packet.payload:
            self.send(
                encode(route, caller, ACK, flow.next, flow.expected)
            )
        if packet.has(FIN):
            del self.flows[flow.key]
            self.ended.add(flow.key)
            self.send(
                encode(route, caller, ACK | FIN, flow.next, packet.seq + 1)
            )

    async def hand_shake(self, flow):
        pause_s = 0.2
        for _ in range(9):
            if not self.is_up or self.flows.get(flow.key) is not flow:
                return
            if flow.is_open:
                return
            self.send(
                encode(flow.route, flow.caller, SYN | ACK, flow.first,
                       flow.caller_first + 1)
            )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.6)
        if not flow.is_open and self.flows.get(flow.key) is flow:
            del self.flows[flow.key]

    async def work(self, flow, request):
        self.world.log("run", self.id, *flow.key, request.decode())
        await asyncio.sleep(self.work_s)
        answer = b"answer to " + request
        start = flow.next
        flow.next = flow.next + len(answer) & MASK
        pause_s = 0.2
        for _ in range(9):
            if not self.is_up or self.flows.get(flow.key) is not flow:
                return
            self.send(
                encode(flow.route, flow.caller, ACK, start, flow.expected,
                       answer)
            )
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.6)
            if (flow.acked - start & MASK) - len(answer) < 1 << 20:
                return


class Caller:
    """A requester that keeps a flow open for many requests, with pauses."""

    def __init__(self, world, number, route, pause_s=(0.2, 0.6),
                 budget_s=2.0):
        self.world = world
        self.ip = world.ip(3, number)
        self.route = route
        self.pause_s = pause_s
        self.budget_s = budget_s
        self.port = 1024 + 200 * number
        self.state = "new"
        self.answered = 0
        world.callers.append(self)

    async def start(self):
        self.transport = await open_udp(
            (self.ip, self.world.port("segments")), self.on_packet
        )
        self.event = asyncio.Event()
        self.task = asyncio.ensure_future(self.run())

    @property
    def me(self):
        return (self.ip, self.port)

    def send(self, flags, seq, ack, payload=b""):
        data = encode(self.me, self.route, flags, seq, ack, payload)
        asyncio.get_running_loop().call_later(
            CALLER_DELAY_S, self.world.route_packet, self.me, self.route, data
        )

    async def wait(self, seconds):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), seconds)
        except asyncio.TimeoutError:
            pass

    async def run(self):
        while not self.world.is_over:
            await self.use_flow()
            await asyncio.sleep(self.world.rng.uniform(0.02, 0.1))

    async def use_flow(self):
        rng = self.world.rng
        self.port += 1
        self.seq = rng.getrandbits(32)
        self.next = self.seq + 1 & MASK
        self.peer = None
        self.ack = 0
        self.state = "opening"
        self.opened_at = time.monotonic()
        for copy, delay_s in enumerate((*COPY_DELAYS_S, OPEN_TIMEOUT_S)):
            while self.state == "opening" and (
                time.monotonic() < self.opened_at + delay_s
            ):
                await self.wait(self.opened_at + delay_s - time.monotonic())
            if self.state != "opening":
                break
            if copy < len(COPY_DELAYS_S):
                self.send(SYN, self.seq, copy)
        if self.state != "open":
            if self.state == "opening":
                self.world.count("never opened", self.ip)
            self.state = "closed"
            return
        while self.state == "open" and not self.world.is_over and (
            time.monotonic() - self.opened_at < BOUNDS["flow_lifetime_s"] - 5
        ):
            if not await self.request():
                break
            ends_at = time.monotonic() + rng.uniform(*self.pause_s)
            while self.state == "open" and time.monotonic() < ends_at:
                await self.wait(ends_at - time.monotonic())
        if self.state == "open":
            self.send(ACK | FIN, self.next, self.ack)
        self.state = "closed"

    async def request(self):
        text = b"r-%s-%d-%d" % (self.ip.encode(), self.port, self.answered)
        self.expected = b"answer to " + text
        self.is_waiting = True
        start = self.next
        self.next = self.next + len(text) & MASK
        began_at = time.monotonic()
        pause_s = 0.2
        self.world.log("request", *self.me, text.decode())
        while self.state == "open" and self.is_waiting:
            if time.monotonic() - began_at > self.budget_s:
                self.world.count("given up", self.ip)
                return False
            self.send(ACK, start, self.ack, text)
            again_at = time.monotonic() + pause_s
            while (
                self.state == "open" and self.is_waiting
                and time.monotonic() < again_at
            ):
                await self.wait(again_at - time.monotonic())
            pause_s = min(2 * pause_s, 1.6)
        return self.state == "open"

    def on_packet(self, data, address):
        packet = Packet(data)
        if packet.dst != self.me or packet.src != self.route:
            return
        if packet.has(RST):
            self.on_reset(packet, address)
        elif packet.has(SYN):
            if self.peer is None and self.state == "opening":
                self.peer = packet.seq
                self.ack = packet.seq + 1 & MASK
                self.state = "open"
        elif self.state == "open" and packet.payload:
            if packet.seq == self.ack:
                self.ack = self.ack + len(packet.payload) & MASK
                if packet.payload == self.expected and self.is_waiting:
                    self.is_waiting = False
                    self.answered += 1
                    self.world.log("answered", *self.me,
                                   packet.payload.decode())
                else:
                    self.world.violate("MIXED", *self.me, packet.payload)
            self.send(ACK, self.next, self.ack)
        self.event.set()

    def on_reset(self, packet, address):
        if self.state == "open" and (
            packet.seq - self.ack + WINDOW & MASK
        ) > 2 * WINDOW:
            self.world.log("reset out of window", *self.me)
            return
        if self.state not in ("opening", "open"):
            return
        holder = self.world.holder(self)
        from_server = packet.sum != 0
        self.world.log(
            "reset", *self.me, "state", self.state, "from", address[0],
            "held by", holder.id if holder else "nobody",
        )
        if self.state == "open" and holder and not from_server:
            self.world.on_wrong_reset(self, holder, address)
        self.state = "closed"
        self.event.set()


class World:
    """All parts of one run."""

    def __init__(self, record_path, trouble):
        self.trouble = trouble
        self.rng = random.Random()
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.record = open(record_path, "w")
        self.began_at = time.monotonic()
        self.programs = []
        self.servers = []
        self.callers = []
        self.balancers = []
        self.in_rotation = []
        self.misses = {}
        self.violations = []
        self.counts = {}
        self.is_over = False
        self.net = 1 + os.getpid() % 250
        self.ports = {}
        self.router_mix = 0
        self.on_taken = lambda server, flow: None
        self.on_arrival = lambda server, packet: None
        self.store = Store(self)

    def ip(self, kind, number):
        return "127.%d.%d.%d" % (self.net, kind, number)

    def port(self, name):
        """Return the port for a purpose; it is the same on all machines."""
        if name not in self.ports:
            with socket.socket() as one:
                one.bind((self.ip(9, 9), 0))
                found = one.getsockname()[1]
            while found in self.ports.values():
                found += 1
            self.ports[name] = found
        return self.ports[name]

    @property
    def now(self):
        return time.monotonic() - self.began_at

    def log(self, *words):
        self.record.write(
            "%8.3f %s\n" % (self.now, " ".join(map(str, words)))
        )

    def count(self, name, *words):
        self.counts[name] = self.counts.get(name, 0) + 1
        self.log(name, *words)

    def violate(self, rule, *words):
        self.violations.append((rule, words))
        self.log("VIOLATION", rule, *words)

    def holder(self, caller):
        """Return the target at which the caller's flow is open, or None."""
        for server in self.servers:
            flow = server.flows.get((caller.me, caller.route))
            if (
                server.is_up and flow and flow.is_open
                and flow.first == caller.peer
            ):
                return server
        return None

    def on_wrong_reset(self, caller, holder, address):
        self.violate("FLOW", *caller.me, "reset by", address[0],
                     "while", holder.id, "holds it")

    # The routers.

    def add_balancer(self, number):
        balancer = Program(
            self, "balancer", "edge-%d" % number, self.ip(1, number)
        )
        self.balancers.append(balancer)
        return balancer

    async def probe(self):
        while not self.is_over:
            await asyncio.gather(*map(self.probe_one, self.balancers))
            await asyncio.sleep(0.5)

    async def probe_one(self, balancer):
        try:
            status, _ = await call(
                (balancer.ip, self.port("ready")), "GET", "/-/ready",
                timeout_s=0.45,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        if status == 200:
            self.misses[balancer.name] = 0
            if balancer not in self.in_rotation:
                self.in_rotation.append(balancer)
                self.log("in rotation", balancer.name)
            return
        self.misses[balancer.name] = self.misses.get(balancer.name, 0) + 1
        if self.misses[balancer.name] >= 2 and balancer in self.in_rotation:
            self.in_rotation.remove(balancer)
            self.log("out of rotation", balancer.name)

    def route_packet(self, src, dst, data):
        """Send a packet on to one balancer, by its hash over the nodes."""
        nodes = self.in_rotation
        if 2 * len(nodes) < len(self.balancers):
            nodes = self.balancers
        nodes = sorted(nodes, key=lambda node: node.ip)
        number = zlib.crc32(repr((src, dst, self.router_mix)).encode())
        node = nodes[number % len(nodes)]
        self.router.sendto(data, (node.ip, self.port("segments")))

    # The run.

    def write_config(self, version, routes):
        """Write a configuration.

        :param routes: service by route address.
        """
        value = {
            "version": version,
            "routes": [
                {
                    "name": "r-%d" % address[1], "host": address[0],
                    "prefix": "/%d/" % address[1], "type": "safe",
                    "timeout_ms": 2000, "aim_ms": 500, "priority": 1,
                    "service": service, "max_attempts": 2,
                }
                for address, service in routes.items()
            ],
            "services": [
                {"name": name, "health_path": "/health",
                 "max_connections": 2000, "protocol": "h1", "tls": False}
                for name in sorted(set(routes.values()))
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", json.dumps(value).encode())

    async def until(self, condition, timeout_s):
        ends_at = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > ends_at:
                return False
            await asyncio.sleep(0.01)
        return True

    async def start(self):
        await self.store.start()
        self.router = await open_udp((self.ip(5, 1), 0), lambda *_: None)
        asyncio.ensure_future(self.probe())

    def close(self):
        for program in self.programs:
            program.end()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(scenario, record_path, trouble, limit_s=100):
    """Run a scenario; exit with 1 for a broken rule, 0, or 2 for no run.

    :param scenario: coroutine function of a :class:`World`; returns whether
        the case could run.
    :param record_path: file for what was sent, answered and run.
    :param trouble: whether the disruption happens.
    """
    world = World(record_path, trouble)

    def give_up(*_):
        world.log("the time limit is over")
        world.close()
        print("the case could not run: the time limit is over", flush=True)
        os._exit(2)

    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(limit_s + 10)

    async def run():
        could_run = False
        try:
            could_run = await asyncio.wait_for(scenario(world), limit_s)
        except Exception as error:
            world.log("could not run", repr(error))
            print(repr(error))
        finally:
            finish(world, could_run)

    asyncio.run(run())


def finish(world, could_run):
    """Write the results, end all programs and exit."""
    for name, count in sorted(world.counts.items()):
        world.log("count of", name, count)
    answered = sum(caller.answered for caller in world.callers)
    world.log("answered requests", answered)
    world.log("violations", len(world.violations))
    world.close()
    if not could_run:
        print("the case could not run", flush=True)
        os._exit(2)
    for rule, words in world.violations[:10]:
        print(rule, *words)
    print("%d violations" % len(world.violations), flush=True)
    os._exit(1 if world.violations else 0)
