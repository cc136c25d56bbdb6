"""Callers, backend servers and a fabric around real processes on loopback.

They speak the platform's formats and run on the reactor of the soak. Every
process has an address of its own in 127.0.0.0/8; callers get their segments
at the port that balancers and agents take theirs.
"""

import json
import os
import pathlib
import signal
import struct
import subprocess
import sys
import time

import attrs

from limpetlift.platform import packet
from limpetlift.protocol import segment as segments
from limpetlift.transport import datagram
from limpetlift.transport import http1

_SOURCES = pathlib.Path(__file__).resolve().parent.parent / "src"
_UNPROTECTED_SCRIPT = (
    pathlib.Path(__file__).resolve().parent / "unprotected.py"
)
_HEADER = struct.Struct("<H4s4sHHIIIIB")
_SYN, _RST, _ACK, _BOUNCED, _FIN = 128, 64, 32, 16, 4
_SERVICE = ("198.18.0.1", 443)
# The soak removes this route at the end.
REMOVED = ("198.18.0.1", 444)

SEGMENTS_PORT = 18172
_PROBES_PORT = 18167
_REPORTS_PORT = 18166
_OUTBOUND_PORT = 18162
_APP_PORT = 18165
_PEER_PORT = 18720

BEAT_S = 0.6
# A leaving server gets no new flow after this time.
DRAIN_S = 3.0
# A caller gives up a flow whose server is gone after this time.
_TIMEOUT_S = 2.0


def _ip_bytes(ip):
    return bytes(int(part) for part in reversed(ip.split(".")))


def build(sender, receiver, flags, sequence, ack, payload=b"", echo=0):
    """Return a packet."""
    return (
        _HEADER.pack(
            len(payload),
            _ip_bytes(receiver[0]),
            _ip_bytes(sender[0]),
            sender[1],
            receiver[1],
            sequence,
            ack,
            7,
            echo,
            flags,
        )
        + payload
    )


@attrs.define(eq=False)
class Program:
    """A real process.

    :param module: ``balancer`` or ``agent``.
    :param without: name of a protection of :mod:`unprotected` to switch off.
    """

    module: str
    name: str
    folder: pathlib.Path
    settings: dict
    without: str = ""
    process: object = None
    paused: bool = False

    def start(self):
        """Start the process, if it does not run."""
        if self.is_running:
            return
        path = self.folder / (self.name + ".toml")
        path.write_text(
            "".join(
                "%s = %s\n" % (name, json.dumps(value))
                for name, value in self.settings.items()
            ),
            encoding="utf-8",
        )
        arguments = ["-m", "limpetlift.platform." + self.module]
        if self.without:
            arguments = [str(_UNPROTECTED_SCRIPT), self.without, self.module]
        log = open(self.folder / (self.name + ".log"), "ab")
        with log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(_SOURCES),
                    "LIMPETLIFT_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        """Send a signal to the process that this object started."""
        if self.is_running:
            self.process.send_signal(number)
            if number == signal.SIGSTOP:
                self.paused = True
            elif number == signal.SIGCONT:
                self.paused = False

    def end(self):
        """End the process for good."""
        if self.is_running:
            self.send(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server:
    """A backend server with its reports; one request at a time a flow."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.ip = world.ip(2, number)
        self.id = ""
        self.state = "down"
        self.drained_at = None
        self.flows_by_key = {}
        self._ended_keys = set()
        self.runs = []
        self._sequence = 0
        self._born = 0
        self._socket = None
        self._health = None
        self._is_calling = False

    def start(self):
        """Begin to serve, holding nothing of before."""
        self.id = "s-%d-%d" % (self.number, len(self.world.events))
        self.state = "ready"
        self.drained_at = None
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.flows_by_key = {}
        self._ended_keys = set()
        if self._socket is None:
            self._socket = datagram.DatagramSocket(
                self.world.reactor, (self.ip, _APP_PORT), self._on_packet
            )
            self._health = http1.Server(
                self.world.reactor,
                (self.ip, _APP_PORT),
                lambda *_: http1.Response(200),
            )

    def crash(self):
        """Stop at once and forget everything."""
        self.state = "down"
        self.flows_by_key = {}
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            self._health.close()

    def drain(self):
        """Say that this server leaves."""
        if self.state == "ready":
            self.state = "draining"

    def beat(self):
        """Report to the agent beside this server."""
        if self.state != "down" and not self._is_calling:
            self._is_calling = True
            self.world.reactor.spawn(self._report())

    async def _report(self):
        self._sequence += 1
        state, server_id = self.state, self.id
        body = {
            "service": "desk",
            "address": "%s:%d" % (self.ip, _APP_PORT),
            "zone": "a",
            "version": "v1",
            "max_concurrency": 3,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        try:
            answer = await http1.call(
                self.world.reactor,
                (self.ip, _REPORTS_PORT),
                "POST",
                "/-/instances/%s/heartbeat" % server_id,
                json.dumps(body).encode(),
                1.0,
            )
        except http1.exceptions.TransportError:
            return
        finally:
            self._is_calling = False
        if answer.status == 200 and state == "draining":
            if self.drained_at is None and server_id == self.id:
                self.drained_at = time.monotonic()

    def _on_packet(self, data, _address):
        found = packet.decode(data, True)
        key = found.key
        flow = self.flows_by_key.get(key)
        if key in self._ended_keys:
            caller = segments.caller_of(key)
            if found.is_final:
                self._send(build(_SERVICE, caller, _ACK, 2, 2))
            elif found.length:
                self._send(build(_SERVICE, caller, _RST, 2, 2))
            return
        if found.opens_flow and flow is None:
            self._check_drain(key)
            if segments.service_of(key) == REMOVED:
                self.world.breach("a removed route took a new flow")
            flow = self.world.rng.randrange(1 << 32)
            self.flows_by_key[key] = flow
        elif flow is None or (
            not found.opens_flow
            and not segments.is_acknowledged(found.ack, flow)
        ):
            bounced = bytearray(data)
            bounced[-1 - found.length] |= _BOUNCED
            self._send(bytes(bounced))
            return
        caller = segments.caller_of(key)
        if found.opens_flow:
            self._send(build(_SERVICE, caller, _SYN | _ACK, flow, 1))
        elif found.is_reset or found.is_final:
            del self.flows_by_key[key]
            self._ended_keys.add(key)
            if found.is_final:
                self._send(build(_SERVICE, caller, _ACK | _FIN, flow + 1, 2))
        elif found.length:
            request = data[_HEADER.size :]
            self.runs.append((request, self.id))
            self.world.on_run(request)
            answer = b"answer to " + request
            self._send(
                build(_SERVICE, caller, _ACK, flow + 1, 1, payload=answer)
            )

    def _check_drain(self, key):
        if self.drained_at is not None:
            late_s = time.monotonic() - self.drained_at
            if late_s > DRAIN_S:
                self.world.breach(
                    "new flow %s at %s, %.1f s after its drain was "
                    "acknowledged"
                    % (segments.format_key(key), self.id, late_s)
                )

    def _send(self, data):
        self._socket.send(data, (self.ip, _OUTBOUND_PORT))


class Caller:
    """A caller that asks again and again.

    :param is_fresh: whether it opens a flow for each request; otherwise it
        keeps one flow for as long as it can.
    """

    def __init__(self, world, number, is_fresh):
        self.world = world
        self.is_fresh = is_fresh
        self.ip = world.ip(3, number)
        self._socket = datagram.DatagramSocket(
            world.reactor, (self.ip, SEGMENTS_PORT), self._on_packet
        )
        self.port = 1024
        self.answered = 0
        self.asked = 0
        self.answered_at = 0.0
        world.callers.append(self)
        self._begin()

    def send_raw(self, data, address):
        """Send a datagram from this caller's socket."""
        self._socket.send(data, address)

    def _begin(self):
        self.port += 1
        self.key = segments.pack_key(
            bytes(int(part) for part in self.ip.split(".")),
            self.port,
            bytes((198, 18, 0, 1)),
            443,
        )
        self._server_sequence = None
        self._request = None
        self._began_at = self._sent_at = self._asked_at = time.monotonic()
        self._copies = 0
        self._is_done = False
        self._send(_SYN, ack=0)

    def _send(self, flags, ack, payload=b""):
        data = build(
            (self.ip, self.port), _SERVICE, flags, 1, ack, payload=payload
        )
        self.world.to_balancer(data)

    def _on_packet(self, data, _address):
        found = packet.decode(data, False)
        if found.key != self.key:
            return
        if found.is_reset:
            self._check_reset()
            self._begin()
        elif found.is_syn:
            if self._server_sequence is None:
                self._server_sequence = found.sequence
                self.ask()
        elif found.length and self._request is not None:
            if not self._is_own(found.data[_HEADER.size :]):
                self.world.breach("%s got another's answer" % self.ip)
            elif found.data[_HEADER.size :] != b"answer to " + self._request:
                # A copy of the answer to an earlier request.
                return
            self.answered += 1
            self.answered_at = time.monotonic()
            self._request = None
            if self.is_fresh:
                self._send(_ACK | _FIN, self._server_sequence + 1)
                self._is_done = True

    def _is_own(self, answer):
        head, _, number = answer.rpartition(b"/")
        return head == b"answer to " + self.ip.encode() and (
            number.isdigit() and int(number) <= self.asked
        )

    def _holder(self):
        if self._server_sequence is None:
            return None
        return self.world.holder(self.key, self._server_sequence)

    def _check_reset(self):
        holder = self._holder()
        if holder is not None:
            self.world.breach(
                "%s was reset while %s holds the flow"
                % (segments.format_key(self.key), holder.id)
            )

    def close(self):
        """Stop asking."""
        self._socket.close()

    def open_removed(self):
        """Send a first segment to the route that was removed."""
        self.world.to_balancer(build((self.ip, 1000), REMOVED, _SYN, 1, 0))

    def ask(self):
        """Send the next request, or go on with the one in progress."""
        now = time.monotonic()
        if self._is_done:
            self._begin()
            return
        if self._server_sequence is None:
            copy = self._copies + 1
            if copy <= 2 and now - self._began_at > (0, 0.2, 0.6)[copy]:
                self._copies = copy
                self._send(_SYN, ack=copy)
            elif now - self._began_at > 1.4:
                self._begin()
            return
        if self._request is None:
            self.asked += 1
            self._request = b"%s/%d" % (self.ip.encode(), self.asked)
            self._asked_at = now
        elif now - self._sent_at < 0.2:
            return
        elif now - self._asked_at > _TIMEOUT_S and self._holder() is None:
            self._send(_RST, self._server_sequence + 1)
            self._begin()
            return
        self._sent_at = now
        self._send(_ACK, self._server_sequence + 1, self._request)


def settings(name, ip, store):
    """Return the settings of a process."""
    return {
        "id": name,
        "data_centre": "a",
        "ip": ip,
        "segments": "%s:%d" % (ip, SEGMENTS_PORT),
        "probes": "%s:%d" % (ip, _PROBES_PORT),
        "store": store,
        "peer_port": _PEER_PORT,
    }


def agent_settings(name, ip, store, is_first_start):
    """Return the settings of an agent."""
    return {
        **settings(name, ip, store),
        "reports": "%s:%d" % (ip, _REPORTS_PORT),
        "server_segments": "%s:%d" % (ip, _OUTBOUND_PORT),
        "server": "%s:%d" % (ip, _APP_PORT),
        "service": "desk",
        "is_first_start": is_first_start,
    }


def probe_address(ip):
    """Return where a process is asked whether it is ready."""
    return ip, _PROBES_PORT
