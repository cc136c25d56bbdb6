"""Segments, directory entries and routes for tests of segment decisions."""

import struct

from limpetlift.coordination import directory
from limpetlift.platform import packet
from limpetlift.protocol import hashing
from limpetlift.protocol import segment as segments
from limpetlift.protocol import tunnel
from limpetlift.state import routing
from limpetlift.state import steps

_HEADER = struct.Struct("<H4s4sHHIIIIB")
# IP addresses are little-endian on the wire.
_SERVICE = (bytes((1, 0, 18, 198)), 443)

SYN = 128
RST = 64
ACK = 32
BOUNCED = 16
FIN = 4


def datagram(
    port, flags=0, from_caller=True, sequence=0, ack=0, payload=b"", echo=0
):
    """Return a datagram of the flow of the caller at ``port``.

    :param flags: sum of the flags of this module.
    :param from_caller: whether the caller sends it, or the server.
    """
    caller = (bytes((7, 0, 64, 100)), port)
    sender, receiver = caller, _SERVICE
    if not from_caller:
        sender, receiver = _SERVICE, caller
    return (
        _HEADER.pack(
            len(payload),
            receiver[0],
            sender[0],
            sender[1],
            receiver[1],
            sequence,
            ack,
            0xABCD,
            echo,
            flags,
        )
        + payload
    )


def decode(data):
    """Return the segment in a datagram that a caller sent."""
    return packet.decode(data, True)


def caller_segment(port, flags=0, **fields):
    """Return a segment that the caller at ``port`` sent."""
    return decode(datagram(port, flags, **fields))


def server_segment(port, flags=0, **fields):
    """Return a segment that the server sent to the caller at ``port``."""
    return packet.decode(
        datagram(port, flags, from_caller=False, **fields), False
    )


def returned_segment(port, flags=0, **fields):
    """Return a segment that the server did not accept and returned."""
    return packet.decode(datagram(port, flags | BOUNCED, **fields), False)


def key_of(port):
    """Return the key of the flow of the caller at ``port``."""
    return segments.pack_key(
        bytes((100, 64, 0, 7)), port, bytes((198, 18, 0, 1)), 443
    )


def agent(number, service="desk", data_centre="a"):
    """Return the directory entry of an agent."""
    return directory.ProcessEntry(
        "agent-%d" % number, ("10.0.0.%d" % number, 70), data_centre, service
    )


def balancer(number, data_centre="a"):
    """Return the directory entry of a balancer."""
    return directory.ProcessEntry(
        "balancer-%d" % number, ("10.9.0.%d" % number, 80), data_centre
    )


def load(number=1, service="desk", **fields):
    """Return a load report of an agent that accepts flows and is idle."""
    values = {
        "incarnation": 1,
        "number": number,
        "accepting": True,
        "is_warming": False,
        "slots": 2,
        "busy": 0,
        "flows": 0,
        "run_ms": 0,
        "service": hashing.service_id(service),
    }
    values.update(fields)
    return tunnel.LoadReport(**values)


def routes(version=1, service="desk", **fields):
    """Return a route table with one route, to one service."""
    address = ("198.18.0.1", 443)
    route = routing.Route(
        "r", address, (routing.WeightedService(service, 1.0),), **fields
    )
    return routing.RouteTable(version, {address: route})


def step_types(result):
    """Return the types of steps, without those for logs and metrics."""
    ignored = (steps.LogEvent, steps.Duration)
    return [type(step) for step in result if not isinstance(step, ignored)]


def messages(result, message_type):
    """Return ``(address, message)`` for each message of a type in steps."""
    return [
        (step.address, step.message)
        for step in result
        if isinstance(step, steps.SendToPeer)
        and isinstance(step.message, message_type)
    ]


def log_fields(result, event):
    """Return the fields of each log event of a name among steps."""
    return [
        step.fields
        for step in result
        if isinstance(step, steps.LogEvent) and step.event == event
    ]


def resets(result):
    """Return the resets among steps."""
    return [step for step in result if isinstance(step, steps.Reset)]
