"""Data packets between balancers and agents.

A packet is a fixed header of 44 bytes and the caller's payload. The header
ends with a keyed digest over its other fields. The first byte tells data
packets (``VERSION``) from control envelopes.
"""

import functools
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
_ENDPOINT = struct.Struct("!4sH")
_HASH_BYTES = 8
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
    :param is_assigned: whether the sending agent chose the addressed agent
        for a new flow. The addressed agent then does not forward the packet
        to the first member of the placement order again.
    """

    kind: int
    hops: int
    service_id: bytes
    flow_hash: int
    caller: tuple
    balancer: tuple
    incarnation: int
    payload: bytes
    is_assigned: bool = False

    @property
    def key(self):
        """The flow key: service id, caller IP and port, as 14 bytes."""
        return flow_key(self.service_id, self.caller)


def flow_key(service, caller):
    """Return the 14-byte key of the flow of ``caller`` to ``service``."""
    return service + socket.inet_aton(caller[0]) + caller[1].to_bytes(2, "big")


@functools.lru_cache(maxsize=64)
def _keyed(key):
    return hashlib.blake2b(key=key, digest_size=defaults.PACKET_DIGEST_BYTES)


def _digest(key, header):
    # Copying the prepared state skips the block that holds the key.
    state = _keyed(key).copy()
    state.update(header)
    return state.digest()


def encode(packet, key):
    """Return the bytes of ``packet``.

    :param key: the shared key.
    """
    header = _HEADER.pack(
        VERSION,
        packet.kind,
        packet.hops,
        _PASSED if packet.is_assigned else 0,
        packet.service_id,
        packet.flow_hash,
        socket.inet_aton(packet.caller[0]),
        packet.caller[1],
        socket.inet_aton(packet.balancer[0]),
        packet.balancer[1],
        packet.incarnation,
    )
    return header + _digest(key, header) + packet.payload


class HeaderCache:
    """The headers of recent callers, for all services of a balancer.

    An entry depends on nothing that changes, so it is never out of date. The
    cache only saves the two hashes; it is emptied when it is full.

    :param limit: number of entries of all services together.

    .. versionadded:: 0.1
    """

    def __init__(self, limit):
        self._limit = limit
        self._size = 0
        self._parts = []

    def part(self):
        """Return a dict for the entries of one service."""
        entries_by_caller = {}
        self._parts.append(entries_by_caller)
        return entries_by_caller

    def remove(self, part):
        """Forget a part and its entries."""
        self._parts = [kept for kept in self._parts if kept is not part]
        self._size -= len(part)

    def grow(self):
        """Make room for one entry, which the caller adds to its part."""
        if self._size >= self._limit:
            for part in self._parts:
                part.clear()
            self._size = 0
        self._size += 1


class FlowEncoder:
    """Encodes callers' datagrams for the agents of one service.

    What all packets of a service share is encoded once. The result is the
    same as that of :func:`encode`.

    :param service: 8-byte service id.
    :param balancer: ``(ip, port)`` for answers.
    :param key: the shared key that signs.
    :param cache: the :class:`HeaderCache`.

    .. versionadded:: 0.1
    """

    __slots__ = ("_hash", "_digest", "_head", "_tail", "_cache", "_entries")

    def __init__(self, service, balancer, key, cache):
        self._cache = cache
        self._entries = cache.part()
        self._hash = hashlib.blake2b(service, digest_size=_HASH_BYTES)
        self._digest = _keyed(key)
        self._head = bytes([VERSION, KIND_TO_AGENT, 0, 0]) + service
        self._tail = _ENDPOINT.pack(*_packed(balancer)) + bytes(4)

    def encode(self, caller, payload):
        """Return the flow hash and the bytes of a packet without hops.

        :param caller: ``(ip, port)``.
        """
        entry = self._entries.get(caller)
        if entry is None:
            entry = self._encode_header(caller)
            self._cache.grow()
            self._entries[caller] = entry
        return entry[0], entry[1] + payload

    def close(self):
        """Give the entries of this service back."""
        self._cache.remove(self._entries)

    def _encode_header(self, caller):
        source = _ENDPOINT.pack(*_packed(caller))
        state = self._hash.copy()
        state.update(source)
        flow = state.digest()
        header = self._head + flow + source + self._tail
        state = self._digest.copy()
        state.update(header)
        return int.from_bytes(flow, "big"), header + state.digest()


def _packed(address):
    return socket.inet_aton(address[0]), address[1]


class Decoder:
    """Decodes packets, with a cache of headers whose digest was verified.

    The digest covers the header alone, so a header and digest that are equal
    to verified ones are as authentic as those.

    :param keys: the shared keys that are accepted; they must not change.
    :param limit: number of headers kept; the cache is emptied when full.

    .. versionadded:: 0.1
    """

    def __init__(self, keys, limit):
        self._keys = keys
        self._limit = limit
        self._packets_by_header = {}

    def decode(self, data):
        """Return the :class:`Packet` in ``data``; see :func:`decode`."""
        known = self._packets_by_header.get(data[:HEADER_BYTES])
        if known is not None:
            return Packet(
                known.kind,
                known.hops,
                known.service_id,
                known.flow_hash,
                known.caller,
                known.balancer,
                known.incarnation,
                data[HEADER_BYTES:],
                known.is_assigned,
            )
        packet = decode(data, self._keys)
        if len(self._packets_by_header) >= self._limit:
            self._packets_by_header.clear()
        header = data[:HEADER_BYTES]
        self._packets_by_header[header] = attrs.evolve(packet, payload=b"")
        return packet


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
    (
        _version,
        kind,
        hops,
        flags,
        service,
        placed_by,
        caller_ip,
        caller_port,
        balancer_ip,
        balancer_port,
        incarnation,
    ) = _HEADER.unpack(header)
    if kind not in (KIND_TO_AGENT, KIND_TO_CALLER):
        raise exceptions.MalformedMessage("unknown packet kind %d" % kind)
    return Packet(
        kind,
        hops,
        service,
        placed_by,
        (socket.inet_ntoa(caller_ip), caller_port),
        (socket.inet_ntoa(balancer_ip), balancer_port),
        incarnation,
        data[HEADER_BYTES:],
        bool(flags & _PASSED),
    )
