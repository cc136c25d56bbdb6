"""Segments: the packets of flows as balancers and agents see them.

A flow carries a byte stream between a caller and a backend server, in
datagrams that limpetlift forwards and cannot change. The codec of the
deployment turns a datagram into a :class:`Segment` and back.
"""

import socket
import struct

import attrs

_KEY = struct.Struct("!4sH4sH")

# A flow carries fewer bytes than this in its lifetime. A caller that
# acknowledges a number further ahead talks to another backend server.
SEQUENCE_WINDOW = 1 << 26
_SEQUENCE_MASK = 0xFFFFFFFF


@attrs.define
class Segment:
    """One packet of a flow.

    :param key: 12 bytes: IP and port of the caller, then of the service.
    :param from_caller: whether the caller sent it.
    :param is_syn: the first packet of a flow, or the server's answer to it.
    :param is_reset: ends the flow at once.
    :param is_final: the last packet of its sender.
    :param is_returned: the backend server handed it back: it could not accept
        the flow or does not hold it.
    :param sequence: number of the first byte.
    :param ack: number of the next byte that the sender expects. The first
        packet of a flow holds the number of copies sent before it instead.
    :param length: bytes of payload.
    :param data: the whole datagram, ready to be sent.
    """

    key: bytes
    from_caller: bool
    is_syn: bool
    is_reset: bool
    is_final: bool
    is_returned: bool
    sequence: int
    ack: int
    length: int
    data: bytes

    @property
    def opens_flow(self):
        """Whether a caller asks for a new flow with it."""
        return self.is_syn and self.from_caller


def is_acknowledged(ack, sequence):
    """Whether ``ack`` follows ``sequence`` in one flow; both may wrap."""
    return (ack - sequence) & _SEQUENCE_MASK < SEQUENCE_WINDOW


def pack_key(caller_ip, caller_port, service_ip, service_port):
    """Return the flow key of packed 4-byte IP addresses and ports."""
    return _KEY.pack(caller_ip, caller_port, service_ip, service_port)


def caller_of(key):
    """Return the caller of a flow key as ``(ip, port)``."""
    ip, port, _, _ = _KEY.unpack(key)
    return socket.inet_ntoa(ip), port


def service_of(key):
    """Return the service's address of a flow key as ``(ip, port)``."""
    _, _, ip, port = _KEY.unpack(key)
    return socket.inet_ntoa(ip), port


def format_key(key):
    """Return ``caller_ip:port>service_ip:port``, the id of a flow in logs."""
    return "%s:%d>%s:%d" % (*caller_of(key), *service_of(key))
