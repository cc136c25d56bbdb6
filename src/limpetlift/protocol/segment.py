"""Segments: the packets of flows, independent of their wire format.

A flow carries a byte stream between a caller and a backend server. Its
packets are datagrams that limpetlift forwards and cannot change. The codec of
the deployment decodes a datagram into a :class:`Segment`.
"""

import socket
import struct

from limpetlift import structs

_KEY = struct.Struct("!4sH4sH")

# A flow carries fewer bytes than this in its lifetime. An acknowledgement that
# is further ahead belongs to a flow at another backend server.
SEQUENCE_WINDOW_BYTES = 1 << 26
_SEQUENCE_MASK = 0xFFFFFFFF
# This and higher ones are multicast, reserved and broadcast addresses.
_FIRST_MULTICAST_OCTET = 224
_MAX_PORT = 0xFFFF
# Characters of an invalid value in an error message.
_MAX_SHOWN = 40


@structs.define
class Segment:
    """One packet of a flow.

    :param key: flow key of 12 bytes: IP and port of the caller, then of the
        service.
    :param from_caller: whether the caller sent it.
    :param is_syn: whether it is the first packet of a flow, or the server's
        reply to that.
    :param is_reset: whether it ends the flow at once.
    :param is_final: whether it is the last packet of its sender.
    :param is_returned: whether the backend server returned it, because it
        could not accept the flow or does not hold it.
    :param sequence: sequence number of the first byte.
    :param ack: sequence number of the next byte that the sender expects. In
        the first packet of a flow it is the number of times that the packet
        has been sent before.
    :param length: length of the payload in bytes.
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
        """Whether it is the first packet of a flow, sent by the caller."""
        return self.is_syn and self.from_caller


def is_acknowledged(ack, sequence):
    """Whether ``ack`` can acknowledge ``sequence`` in the same flow.

    Sequence numbers have 32 bits and may wrap around.
    """
    return (ack - sequence) & _SEQUENCE_MASK < SEQUENCE_WINDOW_BYTES


def check_address(ip, port):
    """Check that a segment can be sent to one process at an address.

    :param ip: dotted IPv4 address.
    :param port: port number.
    :raises ValueError: when either is invalid.
    """
    try:
        packed = socket.inet_pton(socket.AF_INET, ip)
    except OSError:
        raise ValueError("invalid IPv4 address %r" % ip) from None
    if not packed[0] or packed[0] >= _FIRST_MULTICAST_OCTET:
        raise ValueError("no address of a single host: %s" % ip)
    if not 0 < port <= _MAX_PORT:
        raise ValueError("port %d is out of range" % port)


def pack_key(caller_ip, caller_port, service_ip, service_port):
    """Return the flow key of two packed 4-byte IP addresses and two ports."""
    return _KEY.pack(caller_ip, caller_port, service_ip, service_port)


def caller_of(key):
    """Return the address of the caller in a flow key as ``(ip, port)``."""
    ip, port, _, _ = _KEY.unpack(key)
    return socket.inet_ntoa(ip), port


def service_of(key):
    """Return the address of the service in a flow key as ``(ip, port)``."""
    _, _, ip, port = _KEY.unpack(key)
    return socket.inet_ntoa(ip), port


def parse_port(text):
    """Return the port number in a text.

    :raises ValueError: when it is no number. Its range is not checked.
    """
    # int() also takes signs, spaces, underscores and other digits.
    if not (text.isascii() and text.isdigit()):
        raise ValueError("%s is no port number" % ascii(text[:_MAX_SHOWN]))
    return int(text)


def parse_key(text):
    """Return the flow key of an id of a flow; see :func:`format_key`.

    :raises ValueError: when the text is not an id of a flow.
    """
    parts = []
    for address in text.split(">"):
        ip, _, port = address[:_MAX_SHOWN].rpartition(":")
        port = parse_port(port)
        check_address(ip, port)
        parts += [socket.inet_aton(ip), port]
    if len(parts) != 4:
        raise ValueError("expected caller_ip:port>service_ip:port")
    return pack_key(*parts)


def format_key(key):
    """Return ``caller_ip:port>service_ip:port``, the id of a flow in logs."""
    return "%s:%d>%s:%d" % (*caller_of(key), *service_of(key))
