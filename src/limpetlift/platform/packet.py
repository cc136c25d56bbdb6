"""The platform's packet format."""

import struct

from limpetlift import exceptions
from limpetlift.protocol import segment

# In this order: length of the data, receiver's IP and port with the sender's
# between them, sequence, acknowledgement, keyed sum, echo, flags.
_HEADER = struct.Struct("<H4s4sHHIIIIB")
_ECHO_OFFSET = 26
_FLAGS_OFFSET = 30

_SYN = 128
_RST = 64
_ACK = 32
_BOUNCED = 16
_FIN = 4
_KNOWN_FLAGS = _SYN | _RST | _ACK | _BOUNCED | _FIN

# Largest payload of one packet, in bytes.
_MAX_DATA_BYTES = 1200


def decode(data, from_caller):
    """Return the :class:`~limpetlift.protocol.segment.Segment` of a datagram.

    A packet that the backend server returned is still the caller's.

    :param data: the datagram.
    :param from_caller: whether it came from a caller's side.
    :raises MalformedMessage: when it is no packet.
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
            _sum,
            _echo,
            flags,
        ) = _HEADER.unpack_from(data)
    except struct.error:
        raise exceptions.MalformedMessage("short packet") from None
    if length > _MAX_DATA_BYTES or len(data) != _HEADER.size + length:
        raise exceptions.MalformedMessage("wrong length")
    if flags & ~_KNOWN_FLAGS:
        raise exceptions.MalformedMessage("unknown flags")
    returned = bool(flags & _BOUNCED)
    if returned:
        from_caller = True
    # Addresses are little-endian on the wire.
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
        _without_marks(data, flags) if returned else data,
    )


def _without_marks(data, flags):
    """Return a returned packet as its sender wrote it."""
    packet = bytearray(data)
    packet[_ECHO_OFFSET:_FLAGS_OFFSET] = b"\0\0\0\0"
    packet[_FLAGS_OFFSET] = flags & ~_BOUNCED
    return bytes(packet)


def encode_reset(key, ack):
    """Return the packet that tells a caller that its flow has ended.

    :param key: flow key.
    :param ack: the number that the caller acknowledged last.
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
