"""Malformed inputs for every decoder of bytes from outside.

``python tests/decoderfuzz.py --inputs 1000000`` mutates valid inputs and
fails with the seed and the input that made a decoder raise another exception
than that of its layer, or take too long.
"""

import json
import random
import time
import tracemalloc

import fire
import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift import exceptions
from limpetlift.platform import documents
from limpetlift.platform import packet
from limpetlift.protocol import tunnel
from limpetlift import registry
from limpetlift.state import segmentsettings
from limpetlift.transport import http1

# A decoder that takes longer would stop the flows of a slow instance.
_MAX_DECODE_S = 1.0
# Memory that stays allocated after the inputs of a run.
_MAX_GROWTH_BYTES = 4 << 20

decoders_by_name = {}

_KEY = kit.key_of(9)
_ADDRESS = ("10.1.0.1", 70)


@registry.register(decoders_by_name, "segment")
def _decode_segment(data):
    packet.decode(data, True)


@registry.register(decoders_by_name, "tunnel")
def _decode_tunnel(data):
    tunnel.decode(data)


@registry.register(decoders_by_name, "http")
def _decode_http(data):
    message, _ = http1.parse(data, True)
    if message is not None and message.start_line[0].startswith("HTTP/"):
        message.status


@registry.register(decoders_by_name, "routes")
def _decode_routes(data):
    routes = documents.decode_routes(data)
    routes.version > 0
    for route in routes.routes_by_address.values():
        assert route.services_for(0.5)


@registry.register(decoders_by_name, "report")
def _decode_report(data):
    documents.decode_report("i-1", data)


@registry.register(decoders_by_name, "entry")
def _decode_entry(data):
    directory.decode_entry("agent-1", data).encode()


@registry.register(decoders_by_name, "settings")
def _decode_settings(data):
    segmentsettings.decode(data)


def _samples():
    """Return valid inputs by the name of their decoder."""
    segment = kit.datagram(9, kit.ACK, payload=b"abc")
    messages = [
        tunnel.Forward(b"s" * 8, segment, 30),
        tunnel.LocateRequest([tunnel.Query(_KEY, 7)] * 3),
        tunnel.LocateReply([(_KEY, tunnel.HELD), (_KEY, tunnel.ABSENT)]),
        tunnel.TentativeForward(segment),
        tunnel.Hello(),
        tunnel.Hello(True, 7, 12.5),
        kit.load(),
        kit.load(room=3, failure_share=9),
        tunnel.Owned(_KEY),
        tunnel.NotHeld(_KEY),
        tunnel.Declined("busy", segment),
        tunnel.UnknownFlow(segment),
        tunnel.FlowRecords([tunnel.FlowRecord(_KEY, _ADDRESS)] * 2),
        tunnel.FlowRecordsRequest(),
        tunnel.RecordsQuery([_KEY] * 3),
        tunnel.KeptRecords([tunnel.FlowRecord(_KEY, _ADDRESS)] * 2),
        tunnel.AgentLeft(7),
        tunnel.UnlistedAgentsRequest(),
        tunnel.UnlistedAgents(
            True,
            2,
            [tunnel.KeyChange("agents/x", kit.agent(1).encode(), 0)],
        ),
        tunnel.StoreChanges(
            1, 5, 7, [tunnel.KeyChange("x/1", b"value", 7)], 4
        ),
        tunnel.StoreChanges(
            1,
            5,
            8,
            [
                tunnel.KeyChange("x/1", b"value", 7),
                tunnel.KeyChange("x/2", None, 8),
            ],
        ),
    ]
    routes = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "198.18.0.1",
                "prefix": "/8443/",
                "aim_ms": 225,
                "type": "safe",
                "timeout_ms": 1200,
                "priority": 1,
                "backends": [{"service": "one", "weight": 90}],
            },
            {
                "name": "r-2",
                "host": "198.18.0.2",
                "prefix": "/80/",
                "service": "two",
            },
        ],
        "limits": {"idle_timeout_ms": 15000},
    }
    report = {
        "service": "desk",
        "max_concurrency": 3,
        "state": "ready",
        "warmup_left_ms": 500,
        "sequence": 4,
        "born": 1700000000000,
    }
    settings = b"""
id = "agent-1"
data_centre = "a"
ip = "10.1.0.1"
segments = "10.1.0.1:8172"
probes = "10.1.0.1:8167"
store = "10.9.0.1:2379"
peer_port = 7720
service = "desk"
is_first_start = true
report_interval_ms = 1200
"""
    return {
        "segment": [segment, kit.datagram(9, kit.SYN)],
        "tunnel": [message.encode() for message in messages],
        "http": [
            b"POST /-/x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
            b"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
        ],
        "routes": [json.dumps(routes).encode()],
        "report": [json.dumps(report).encode()],
        "entry": [kit.agent(1).encode()],
        "settings": [settings],
    }


# Bytes that decoders may take for digits, signs, structure or text.
_PIECES = [
    b"\xb2",
    b"\xff",
    b"\x00",
    b"-1",
    b"+1",
    b"1_0",
    b"0x1",
    b"1e999",
    b"NaN",
    b"Infinity",
    b"-Infinity",
    b"null",
    b"true",
    b"[]",
    b"{}",
    b'""',
    b'"\\ud800"',
    b"99999999999999999999",
    b"9" * 400,
    b"9" * 5000,
    b"[" * 100_000,
    b"\r\n",
    b"ffffffffff\r\n",
]


def mutate(rng, data):
    """Return a valid input with a few random changes."""
    result = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        start = rng.randint(0, len(result))
        end = min(start + rng.choice([0, 1, 1, 2, 8, 40]), len(result))
        kind = rng.random()
        if kind < 0.4:
            result[start:end] = rng.randbytes(end - start)
        elif kind < 0.6:
            del result[start:end]
        elif kind < 0.65:
            result[start:end] = rng.choice(_PIECES)
        elif kind < 0.9:
            # Short pieces, most often in place of a whole number.
            piece = rng.choice(_PIECES[:19])
            digits = [i for i, byte in enumerate(result) if 48 <= byte < 58]
            if digits:
                start = end = rng.choice(digits)
                while end < len(result) and 48 <= result[end] < 58:
                    end += 1
            result[start:end] = piece
        else:
            result += result[start:end]
    return bytes(result)


def run(inputs, seed):
    """Decode malformed inputs; return the number of those decoded.

    :param inputs: number of inputs, over all decoders.
    :param seed: seed of the random changes.
    :raises AssertionError: when a decoder raised an unexpected exception, or
        took too long, or memory grew.
    """
    rng = random.Random(seed)
    samples = _samples()
    names = sorted(decoders_by_name)
    decoded = 0
    for name in names:
        for sample in samples[name]:
            decoders_by_name[name](sample)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(inputs):
        name = names[number % len(names)]
        data = mutate(rng, rng.choice(samples[name]))
        began_at = time.process_time()
        try:
            decoders_by_name[name](data)
            decoded += 1
        except exceptions.LimpetliftError:
            pass
        except Exception as error:
            raise AssertionError(
                "seed %d, input %d: %s raised %r for %r"
                % (seed, number, name, error, data[:400])
            ) from error
        took_s = time.process_time() - began_at
        assert took_s < _MAX_DECODE_S, (name, took_s, data[:400])
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert after - before < _MAX_GROWTH_BYTES, after - before
    return decoded


def main(inputs=1_000_000, seed=1):
    """Decode malformed inputs and print how many were decoded."""
    decoded = run(inputs, seed)
    print("%d inputs, %d decoded, 0 unexpected" % (inputs, decoded))


if __name__ == "__main__":
    fire.Fire(main)
