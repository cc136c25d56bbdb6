"""Data packets between balancers and agents.

A packet is a fixed header of 44 bytes and the caller's payload. The header
ends with a keyed digest over its other fields. The first byte tells data
packets (``VERSION``) from control envelopes.
"""

import hashlib
import hmac
import socket
import struct

import attrs

from limpetlift import defaults
from limpetlift import exceptions

VERSION = 0xA1
KIND_TO_AGENT = 1
KIND_TO_CALLER = 2
_PASSED = 1

_HEADER = struct.Struct("!BBBB8sQ4sH4sHI")
HEADER_BYTES = _HEADER.size + defaults.PACKET_DIGEST_BYTES


@attrs.define
class Packet:
    """A decoded data packet.

    :param kind: ``KIND_TO_AGENT`` or ``KIND_TO_CALLER``.
    :param hops: agents that passed the packet on.
    :param service_id: 8 bytes, see :func:`service_id`.
    :param flow_hash: 64-bit hash that places the flow.
    :param caller: ``(ip, port)`` of the caller.
    :param balancer: ``(ip, port)`` of the balancer for answers.
    :param incarnation: low 32 bits of the incarnation of the addressed
        agent, or 0 for any.
    :param payload: the caller's bytes.
    :param passed: an agent chose the addressed agent for a new flow, which
        then does not look for the first member in order again.
    """

    kind: int
    hops: int
    service_id: bytes
    flow_hash: int
    caller: tuple
    balancer: tuple
    incarnation: int
    payload: bytes
    passed: bool = False

    @property
    def key(self):
        """The flow key: service id, caller IP and port, as 14 bytes."""
        return flow_key(self.service_id, self.caller)


def service_id(name):
    """Return the 8-byte id of the service called ``name``."""
    return hashlib.blake2b(name.encode("utf-8"), digest_size=8).digest()


def flow_key(service, caller):
    """Return the 14-byte key of the flow of ``caller`` to ``service``."""
    return service + socket.inet_aton(caller[0]) + caller[1].to_bytes(2, "big")


def flow_hash(key):
    """Return the 64-bit placement hash of a flow key."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big")


def _digest(key, header):
    return hashlib.blake2b(
        header, key=key, digest_size=defaults.PACKET_DIGEST_BYTES
    ).digest()


def encode(packet, key):
    """Return the bytes of ``packet``.

    :param key: the shared key.
    """
    header = _HEADER.pack(
        VERSION,
        packet.kind,
        packet.hops,
        _PASSED if packet.passed else 0,
        packet.service_id,
        packet.flow_hash,
        socket.inet_aton(packet.caller[0]),
        packet.caller[1],
        socket.inet_aton(packet.balancer[0]),
        packet.balancer[1],
        packet.incarnation,
    )
    return header + _digest(key, header) + packet.payload


def decode(data, keys):
    """Return the :class:`Packet` in ``data``.

    :param keys: the shared keys that are accepted.
    :raises MalformedMessage: when the data is not a packet.
    :raises BadDigest: when no key matches.
    """
    if len(data) < HEADER_BYTES or data[0] != VERSION:
        raise exceptions.MalformedMessage("not a data packet")
    header = data[: _HEADER.size]
    digest = data[_HEADER.size : HEADER_BYTES]
    for key in keys:
        if hmac.compare_digest(_digest(key, header), digest):
            break
    else:
        raise exceptions.BadDigest("no key matches")
    fields = _HEADER.unpack(header)
    kind = fields[1]
    if kind not in (KIND_TO_AGENT, KIND_TO_CALLER):
        raise exceptions.MalformedMessage("unknown packet kind %d" % kind)
    return Packet(
        kind=kind,
        hops=fields[2],
        service_id=fields[4],
        flow_hash=fields[5],
        caller=(socket.inet_ntoa(fields[6]), fields[7]),
        balancer=(socket.inet_ntoa(fields[8]), fields[9]),
        incarnation=fields[10],
        payload=data[HEADER_BYTES:],
        passed=bool(fields[3] & _PASSED),
    )
