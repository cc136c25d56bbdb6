"""Stand-ins for callers and backend servers, and the programs of the soak.

The stand-ins use the formats of the platform and run on the reactor of the
soak. Balancers, callers, and servers with their agents have one address each
in 127.0.0.0/8; callers receive segments on the same port as the programs.
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

from limpetlift import clock
from limpetlift.platform import packet
from limpetlift.protocol import segment as segments
from limpetlift.transport import datagram
from limpetlift.transport import http1

_SOURCE_FOLDER = pathlib.Path(__file__).resolve().parent.parent / "src"
_UNPROTECTED_SCRIPT = (
    pathlib.Path(__file__).resolve().parent / "unprotected.py"
)
_HEADER = struct.Struct("<H4s4sHHIIIIB")
_SYN, _RST, _ACK, _BOUNCED, _FIN = 128, 64, 32, 16, 4
SERVICES = ("job-desk", "photo-intake")
ADDRESSES_BY_SERVICE = {
    "job-desk": ("198.18.0.1", 443),
    "photo-intake": ("198.18.0.2", 443),
}
# The soak removes the route of this address before its final checks.
REMOVED_ROUTE_ADDRESS = ("198.18.0.1", 444)

SEGMENTS_PORT = 18172
_PROBES_PORT = 18167
_REPORTS_PORT = 18166
_OUTBOUND_PORT = 18162
_APP_PORT = 18165
_PEER_PORT = 18720

REPORT_INTERVAL_S = 0.6
# A draining server gets no new flow this long after its drain is acknowledged.
DRAIN_GRACE_S = 3.0
REQUEST_TIMEOUT_S = 2.0


def _encode_ip(ip):
    return bytes(int(part) for part in reversed(ip.split(".")))


def encode_packet(sender, receiver, flags, sequence, ack, payload=b"", echo=0):
    """Return a packet in the format of the platform.

    :param sender: ``(ip, port)``.
    :param receiver: ``(ip, port)``.
    """
    return (
        _HEADER.pack(
            len(payload),
            _encode_ip(receiver[0]),
            _encode_ip(sender[0]),
            sender[1],
            receiver[1],
            sequence,
            ack,
            # The keyed sum, which no program checks.
            7,
            echo,
            flags,
        )
        + payload
    )


@attrs.define(eq=False)
class Program:
    """A balancer or an agent that runs as a process.

    :param module: ``balancer`` or ``agent``.
    :param name: of its settings file and log file.
    :param folder: for these files.
    :param settings: values of the settings by name.
    :param disabled_protection: name of a protection in :mod:`unprotected`, or
        an empty string.
    """

    module: str
    name: str
    folder: pathlib.Path
    settings: dict
    disabled_protection: str = ""
    process: object = None
    is_paused: bool = False
    # Whether the instance is lost, so that the process never starts again.
    is_lost: bool = False

    def write_settings(self):
        """Write the settings file in one step; return its path."""
        path = self.folder / (self.name + ".toml")
        new_path = path.with_suffix(".new")
        new_path.write_text(
            "".join(
                "%s = %s\n" % (name, json.dumps(value))
                for name, value in self.settings.items()
            ),
            encoding="utf-8",
        )
        new_path.replace(path)
        return path

    def start(self):
        """Start the process unless it is running or its instance is lost."""
        if self.is_running or self.is_lost:
            return
        path = self.write_settings()
        arguments = ["-m", "limpetlift.platform." + self.module]
        if self.disabled_protection:
            arguments = [
                str(_UNPROTECTED_SCRIPT),
                self.disabled_protection,
                self.module,
            ]
        log = open(self.folder / (self.name + ".log"), "ab")
        with log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(_SOURCE_FOLDER),
                    "LIMPETLIFT_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.process.send_signal(number)
            if number == signal.SIGSTOP:
                self.is_paused = True
            elif number == signal.SIGCONT:
                self.is_paused = False

    def kill(self):
        """Kill the process, also when it is paused, and wait for its end."""
        if self.is_running:
            self.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Server:
    """A backend server that reports to the agent on its address.

    A lost server and the one that replaces it at its address share this
    object.

    :param service: name of its service.

    ``first_sequences_by_key`` holds its open flows and the first sequence
    number that it chose for each. ``executed_requests`` lists the request
    and the id of the server for each execution since the run began.
    """

    def __init__(self, soak_run, number, service):
        self.soak_run = soak_run
        self.number = number
        self.service = service
        self.ip = soak_run.ip(2, number)
        self.id = ""
        self.state = "down"
        # Whether it is lost, so that it never starts again.
        self.is_lost = False
        self.drain_acknowledged_at = None
        self.first_sequences_by_key = {}
        self._ended_keys = set()
        self.executed_requests = []
        self._sequence = 0
        self._started_ms = 0
        self._socket = None
        self._http_server = None
        self._is_reporting = False

    def start(self):
        """Start serving with a new id and without flows, unless lost."""
        if self.is_lost:
            return
        self.id = "s-%d-%d" % (self.number, len(self.soak_run.injected_faults))
        self.state = "ready"
        self.drain_acknowledged_at = None
        self._sequence = 0
        self._started_ms = int(time.time() * 1000)
        self.first_sequences_by_key = {}
        self._ended_keys = set()
        if self._socket is None:
            self._socket = datagram.DatagramSocket(
                self.soak_run.reactor, (self.ip, _APP_PORT), self._on_packet
            )
            self._http_server = http1.Server(
                self.soak_run.reactor,
                (self.ip, _APP_PORT),
                lambda *_: http1.Response(200),
            )

    def crash(self):
        """Stop serving without notice and drop all flows."""
        self.state = "down"
        self.first_sequences_by_key = {}
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            self._http_server.close()

    def lose(self):
        """Stop serving for good."""
        self.crash()
        self.is_lost = True

    def replace(self, service):
        """Start a new server of ``service`` at the address of the lost one."""
        self.is_lost = False
        self.service = service
        self.start()

    def drain(self):
        """Report state ``draining`` from now on."""
        if self.state == "ready":
            self.state = "draining"

    def send_report(self):
        """Send a report to the agent unless one is still in progress."""
        if self.state != "down" and not self._is_reporting:
            self._is_reporting = True
            self.soak_run.reactor.spawn(self._post_report())

    async def _post_report(self):
        self._sequence += 1
        state, server_id = self.state, self.id
        body = {
            "service": self.service,
            "address": "%s:%d" % (self.ip, _APP_PORT),
            "zone": "a",
            "version": "v1",
            "max_concurrency": 3,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._started_ms,
        }
        try:
            answer = await http1.call(
                self.soak_run.reactor,
                (self.ip, _REPORTS_PORT),
                "POST",
                "/-/instances/%s/heartbeat" % server_id,
                json.dumps(body).encode(),
                1.0,
            )
        except http1.exceptions.TransportError:
            return
        finally:
            self._is_reporting = False
        if answer.status == 200 and state == "draining":
            if self.drain_acknowledged_at is None and server_id == self.id:
                self.drain_acknowledged_at = clock.now()

    def _on_packet(self, data, _address):
        segment = packet.decode(data, True)
        key = segment.key
        caller, route = segments.caller_of(key), segments.service_of(key)
        first_sequence = self.first_sequences_by_key.get(key)
        if key in self._ended_keys:
            if segment.is_final:
                self._send(encode_packet(route, caller, _ACK, 2, 2))
            elif segment.length:
                self._send(encode_packet(route, caller, _RST, 2, 2))
            return
        if segment.opens_flow and first_sequence is None:
            self._check_not_drained(key)
            self.soak_run.check_not_evacuated(self, key)
            self.soak_run.check_route(self, route, key, "took")
            if route == REMOVED_ROUTE_ADDRESS:
                self.soak_run.add_violation(
                    "a new flow was opened on a removed route"
                )
            first_sequence = self.soak_run.traffic_rng.randrange(1 << 32)
            self.first_sequences_by_key[key] = first_sequence
        elif first_sequence is None or (
            not segment.opens_flow
            and not segments.is_acknowledged(segment.ack, first_sequence)
        ):
            bounced = bytearray(data)
            bounced[-1 - segment.length] |= _BOUNCED
            self._send(bytes(bounced))
            return
        if segment.opens_flow:
            self._send(
                encode_packet(route, caller, _SYN | _ACK, first_sequence, 1)
            )
        elif segment.is_reset or segment.is_final:
            del self.first_sequences_by_key[key]
            self._ended_keys.add(key)
            if segment.is_final:
                self._send(
                    encode_packet(
                        route,
                        caller,
                        _ACK | _FIN,
                        first_sequence + 1,
                        2,
                    )
                )
        elif segment.length:
            request = data[_HEADER.size :]
            self.executed_requests.append((request, self.id))
            self.soak_run.check_route(self, route, key, "ran a request of")
            self.soak_run.on_request_executed(self, key, request)
            answer = b"answer to " + request
            self._send(
                encode_packet(
                    route,
                    caller,
                    _ACK,
                    first_sequence + 1,
                    1,
                    payload=answer,
                )
            )

    def _check_not_drained(self, key):
        if self.drain_acknowledged_at is not None:
            elapsed_s = clock.now() - self.drain_acknowledged_at
            if elapsed_s > DRAIN_GRACE_S:
                self.soak_run.add_violation(
                    "new flow %s at server %s, %.1f s after its drain was "
                    "acknowledged"
                    % (segments.format_key(key), self.id, elapsed_s)
                )

    def _send(self, data):
        self._socket.send(data, (self.ip, _OUTBOUND_PORT))


class Caller:
    """A caller that sends one request after the other.

    :param service: name of the service that it calls.
    :param opens_flow_per_request: whether it opens a flow for each request;
        otherwise it keeps a flow until it is reset or lost.
    :param timeout_s: it abandons a flow when a request on it has no answer
        after this time and no server holds the flow.
    """

    def __init__(
        self,
        soak_run,
        number,
        service,
        opens_flow_per_request,
        timeout_s=REQUEST_TIMEOUT_S,
    ):
        self.soak_run = soak_run
        self._timeout_s = timeout_s
        self.opens_flow_per_request = opens_flow_per_request
        self.route_address = ADDRESSES_BY_SERVICE[service]
        self.ip = soak_run.ip(3, number)
        self._socket = datagram.DatagramSocket(
            soak_run.reactor, (self.ip, SEGMENTS_PORT), self._on_packet
        )
        self.port = 1024
        self.requests_answered = 0
        self.requests_sent = 0
        self.last_answered_at = 0.0
        soak_run.callers.append(self)
        self._open_flow()

    def send_raw(self, data, address):
        """Send a datagram from this caller's socket."""
        self._socket.send(data, address)

    def _open_flow(self):
        self.port += 1
        route_ip, route_port = self.route_address
        self.key = segments.pack_key(
            _encode_ip(self.ip)[::-1],
            self.port,
            _encode_ip(route_ip)[::-1],
            route_port,
        )
        self._server_sequence = None
        self._pending_request = None
        self._opened_at = self._last_sent_at = self._request_started_at = (
            clock.now()
        )
        self._syn_copies = 0
        self._is_finished = False
        self._send(_SYN, ack=0)

    def _send(self, flags, ack, payload=b""):
        data = encode_packet(
            (self.ip, self.port),
            self.route_address,
            flags,
            1,
            ack,
            payload=payload,
        )
        self.soak_run.send_to_balancer(data)

    def _on_packet(self, data, _address):
        segment = packet.decode(data, False)
        if segment.key != self.key:
            return
        if segment.is_reset:
            self._check_reset()
            self._open_flow()
        elif segment.is_syn:
            if self._server_sequence is None:
                self._server_sequence = segment.sequence
                self.tick()
        elif segment.length and self._pending_request is not None:
            if not self._is_answer_to_own_request(
                segment.data[_HEADER.size :]
            ):
                self.soak_run.add_violation(
                    "caller %s got an answer to a request that it did not send"
                    % self.ip
                )
            elif (
                segment.data[_HEADER.size :]
                != b"answer to " + self._pending_request
            ):
                # Another copy of the answer to an earlier request.
                return
            self.requests_answered += 1
            self.last_answered_at = clock.now()
            self._pending_request = None
            if self.opens_flow_per_request:
                self._send(_ACK | _FIN, self._server_sequence + 1)
                self._is_finished = True

    def _is_answer_to_own_request(self, answer):
        prefix, _, number = answer.rpartition(b"/")
        return prefix == b"answer to " + self.ip.encode() and (
            number.isdigit() and int(number) <= self.requests_sent
        )

    def _find_holder(self):
        if self._server_sequence is None:
            return None
        return self.soak_run.find_holder(self.key, self._server_sequence)

    def _check_reset(self):
        holder = self._find_holder()
        if holder is not None:
            self.soak_run.add_violation(
                "flow %s was reset while server %s holds it"
                % (segments.format_key(self.key), holder.id)
            )

    def close(self):
        """Close the socket."""
        self._socket.close()

    def open_removed_route(self):
        """Send a first segment to the address of the removed route."""
        self.soak_run.send_to_balancer(
            encode_packet((self.ip, 1000), REMOVED_ROUTE_ADDRESS, _SYN, 1, 0)
        )

    def tick(self):
        """Do what is due: open a flow, send a request, or send it again."""
        now = clock.now()
        if self._is_finished:
            self._open_flow()
            return
        if self._server_sequence is None:
            copy_number = self._syn_copies + 1
            if (
                copy_number <= 2
                and now - self._opened_at > (0, 0.2, 0.6)[copy_number]
            ):
                self._syn_copies = copy_number
                self._send(_SYN, ack=copy_number)
            elif now - self._opened_at > 1.4:
                self._open_flow()
            return
        if self._pending_request is None:
            self.requests_sent += 1
            self._pending_request = b"%s/%d" % (
                self.ip.encode(),
                self.requests_sent,
            )
            self._request_started_at = now
        elif now - self._last_sent_at < 0.2:
            return
        elif (
            now - self._request_started_at > self._timeout_s
            and self._find_holder() is None
        ):
            self._send(_RST, self._server_sequence + 1)
            self._open_flow()
            return
        self._last_sent_at = now
        self._send(_ACK, self._server_sequence + 1, self._pending_request)


def program_settings(name, ip, store):
    """Return the settings of a balancer.

    :param store: ``ip:port`` of the store.
    """
    return {
        "id": name,
        "data_centre": "a",
        "ip": ip,
        "segments": "%s:%d" % (ip, SEGMENTS_PORT),
        "probes": "%s:%d" % (ip, _PROBES_PORT),
        "store": store,
        "peer_port": _PEER_PORT,
    }


def agent_settings(name, ip, store, service, data_centre="a"):
    """Return the settings of an agent.

    :param store: ``ip:port`` of the store.
    :param service: name of its backend server's service.
    """
    return {
        **program_settings(name, ip, store),
        "data_centre": data_centre,
        "reports": "%s:%d" % (ip, _REPORTS_PORT),
        "server_segments": "%s:%d" % (ip, _OUTBOUND_PORT),
        "server": "%s:%d" % (ip, _APP_PORT),
        "service": service,
        "is_first_start": False,
    }


def probe_address(ip):
    """Return ``(ip, port)`` of the readiness probe of a program."""
    return ip, _PROBES_PORT
