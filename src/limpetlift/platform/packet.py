"""Packet format of the platform."""

import struct

from limpetlift import exceptions
from limpetlift.protocol import segment

# Payload length, receiver IP, sender IP, sender port, receiver port, sequence,
# acknowledgement, keyed checksum, echo and flags, all little-endian.
_HEADER = struct.Struct("<H4s4sHHIIIIB")
_ECHO_OFFSET = 26
_FLAGS_OFFSET = 30

_SYN = 128
_RST = 64
_ACK = 32
# Set by the backend server in a packet that it returns.
_BOUNCED = 16
_FIN = 4
_KNOWN_FLAGS = _SYN | _RST | _ACK | _BOUNCED | _FIN

_MAX_PAYLOAD_BYTES = 1200


def decode(data, from_caller):
    """Return the :class:`~limpetlift.protocol.segment.Segment` of a datagram.

    A packet that the backend server returned still counts as sent by the
    caller.

    :param data: the datagram.
    :param from_caller: whether it came from the side of the callers.
    :raises MalformedMessage: when it is not a valid packet.
    """
    try:
        (
            length,
            receiver_ip,
            sender_ip,
            sender_port,
            receiver_port,
            sequence,
            ack,
            _checksum,
            _echo,
            flags,
        ) = _HEADER.unpack_from(data)
    except struct.error:
        raise exceptions.MalformedMessage(
            "packet of %d bytes is shorter than its header" % len(data)
        ) from None
    if length > _MAX_PAYLOAD_BYTES or len(data) != _HEADER.size + length:
        raise exceptions.MalformedMessage(
            "packet of %d bytes has the invalid payload length %d"
            % (len(data), length)
        )
    if flags & ~_KNOWN_FLAGS:
        raise exceptions.MalformedMessage(
            "packet has unknown flags: 0x%02x" % flags
        )
    returned = bool(flags & _BOUNCED)
    if returned:
        from_caller = True
    # IP addresses are little-endian on the wire.
    sender_ip = sender_ip[::-1]
    receiver_ip = receiver_ip[::-1]
    if from_caller:
        key = segment.pack_key(
            sender_ip, sender_port, receiver_ip, receiver_port
        )
    else:
        key = segment.pack_key(
            receiver_ip, receiver_port, sender_ip, sender_port
        )
    return segment.Segment(
        key,
        from_caller,
        bool(flags & _SYN),
        bool(flags & _RST),
        bool(flags & _FIN),
        returned,
        sequence,
        ack,
        length,
        _strip_return_marks(data, flags) if returned else data,
    )


def _strip_return_marks(data, flags):
    """Clear the echo and the flag that the server set in a returned packet.

    :returns: the packet as its caller sent it.
    """
    packet = bytearray(data)
    packet[_ECHO_OFFSET:_FLAGS_OFFSET] = b"\0\0\0\0"
    packet[_FLAGS_OFFSET] = flags & ~_BOUNCED
    return bytes(packet)


def encode_reset(key, ack):
    """Return the packet that resets a flow at its caller.

    :param key: flow key.
    :param ack: the last acknowledgement of the caller, which becomes the
        sequence number of the reset.
    """
    caller_ip, caller_port = key[0:4], key[4:6]
    service_ip, service_port = key[6:10], key[10:12]
    return _HEADER.pack(
        0,
        caller_ip[::-1],
        service_ip[::-1],
        int.from_bytes(service_port, "big"),
        int.from_bytes(caller_port, "big"),
        ack,
        0,
        0,
        0,
        _RST,
    )
