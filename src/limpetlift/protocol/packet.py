"""Data packets between balancers and agents.

A packet is a header of 44 bytes followed by the payload. The header ends with
a keyed digest of its other fields. The first byte of a data packet is
``VERSION``, which distinguishes it from a control envelope.
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
_FLAG_ASSIGNED = 1

_HEADER = struct.Struct("!BBBB8sQ4sH4sHI")
_ENDPOINT = struct.Struct("!4sH")
_HASH_BYTES = 8
HEADER_BYTES = _HEADER.size + defaults.PACKET_DIGEST_BYTES


@attrs.define
class Packet:
    """A decoded data packet.

    :param kind: ``KIND_TO_AGENT`` or ``KIND_TO_CALLER``.
    :param hops: number of agents that have forwarded the packet.
    :param service_id: 8 bytes, see
        :func:`limpetlift.protocol.hashing.service_id`.
    :param flow_hash: 64-bit hash that determines the placement of the flow.
    :param caller: ``(ip, port)`` of the caller.
    :param balancer: ``(ip, port)`` of the balancer that gets the answers.
    :param incarnation: low 32 bits of the incarnation of the addressed
        agent, or 0 for any.
    :param payload: the bytes from or to the caller.
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
    """Return the 14-byte key of a flow.

    :param service: 8-byte service id.
    :param caller: ``(ip, port)`` of the caller.
    """
    return service + socket.inet_aton(caller[0]) + caller[1].to_bytes(2, "big")


@functools.lru_cache(maxsize=64)
def _keyed_hasher(key):
    return hashlib.blake2b(key=key, digest_size=defaults.PACKET_DIGEST_BYTES)


def _digest(key, header):
    # A copy of the keyed state saves hashing the block that holds the key.
    hasher = _keyed_hasher(key).copy()
    hasher.update(header)
    return hasher.digest()


def encode(packet, key):
    """Return the bytes of ``packet``.

    :param key: the shared key.
    """
    header = _HEADER.pack(
        VERSION,
        packet.kind,
        packet.hops,
        _FLAG_ASSIGNED if packet.is_assigned else 0,
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
    """Encoded headers by caller, for all services of a balancer.

    An entry depends only on values that do not change, so it is never
    invalidated. It saves hashing the flow key and the header of each packet.
    The cache is emptied when it is full.

    :param limit: maximum number of entries of all services together.

    .. versionadded:: 0.1
    """

    def __init__(self, limit):
        self._limit = limit
        self._size = 0
        self._partitions = []

    def add_partition(self):
        """Return an empty dict for the entries of one service."""
        entries_by_caller = {}
        self._partitions.append(entries_by_caller)
        return entries_by_caller

    def remove_partition(self, partition):
        """Remove a partition and its entries from the cache."""
        self._partitions = [
            kept for kept in self._partitions if kept is not partition
        ]
        self._size -= len(partition)

    def reserve_entry(self):
        """Count an entry that is about to be added to a partition.

        When the cache is full, all partitions are emptied first.
        """
        if self._size >= self._limit:
            for partition in self._partitions:
                partition.clear()
            self._size = 0
        self._size += 1


class FlowEncoder:
    """Encodes callers' datagrams for the agents of one service.

    It gives the same bytes as :func:`encode` but encodes the fields that all
    packets of the service share only once.

    :param service: 8-byte service id.
    :param balancer: ``(ip, port)`` of the balancer that gets the answers.
    :param key: the shared key that signs the headers.
    :param cache: the :class:`HeaderCache` of the balancer.

    .. versionadded:: 0.1
    """

    __slots__ = ("_hash", "_digest", "_head", "_tail", "_cache", "_entries")

    def __init__(self, service, balancer, key, cache):
        self._cache = cache
        self._entries = cache.add_partition()
        self._hash = hashlib.blake2b(service, digest_size=_HASH_BYTES)
        self._digest = _keyed_hasher(key)
        self._head = bytes([VERSION, KIND_TO_AGENT, 0, 0]) + service
        self._tail = _ENDPOINT.pack(*_packed_endpoint(balancer)) + bytes(4)

    def encode(self, caller, payload):
        """Return the flow hash and the bytes of a packet with 0 hops.

        :param caller: ``(ip, port)`` of the caller.
        :param payload: the caller's bytes.
        """
        entry = self._entries.get(caller)
        if entry is None:
            entry = self._encode_header(caller)
            self._cache.reserve_entry()
            self._entries[caller] = entry
        return entry[0], entry[1] + payload

    def close(self):
        """Remove the entries of this service from the cache."""
        self._cache.remove_partition(self._entries)

    def _encode_header(self, caller):
        source = _ENDPOINT.pack(*_packed_endpoint(caller))
        hasher = self._hash.copy()
        hasher.update(source)
        flow_hash = hasher.digest()
        header = self._head + flow_hash + source + self._tail
        hasher = self._digest.copy()
        hasher.update(header)
        return int.from_bytes(flow_hash, "big"), header + hasher.digest()


def _packed_endpoint(endpoint):
    return socket.inet_aton(endpoint[0]), endpoint[1]


class Decoder:
    """Decodes packets, with a cache of headers whose digest was verified.

    The digest covers only the header. Bytes that equal a verified header and
    its digest therefore need no second verification.

    :param keys: the shared keys that are accepted; they must not change.
    :param limit: maximum number of cached headers; the cache is emptied when
        it is full.

    .. versionadded:: 0.1
    """

    def __init__(self, keys, limit):
        self._keys = keys
        self._limit = limit
        self._packets_by_header = {}

    def decode(self, data):
        """Return the :class:`Packet` in ``data``; see :func:`decode`."""
        cached = self._packets_by_header.get(data[:HEADER_BYTES])
        if cached is not None:
            return Packet(
                cached.kind,
                cached.hops,
                cached.service_id,
                cached.flow_hash,
                cached.caller,
                cached.balancer,
                cached.incarnation,
                data[HEADER_BYTES:],
                cached.is_assigned,
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
    :raises BadDigest: when the digest matches none of the keys.
    """
    if len(data) < HEADER_BYTES or data[0] != VERSION:
        raise exceptions.MalformedMessage(
            "not a data packet: too short, or another version"
        )
    header = data[: _HEADER.size]
    digest = data[_HEADER.size : HEADER_BYTES]
    for key in keys:
        if hmac.compare_digest(_digest(key, header), digest):
            break
    else:
        raise exceptions.BadDigest(
            "the header digest matches none of the configured keys"
        )
    (
        _version,
        kind,
        hops,
        flags,
        service,
        flow_hash,
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
        flow_hash,
        (socket.inet_ntoa(caller_ip), caller_port),
        (socket.inet_ntoa(balancer_ip), balancer_port),
        incarnation,
        data[HEADER_BYTES:],
        bool(flags & _FLAG_ASSIGNED),
    )
