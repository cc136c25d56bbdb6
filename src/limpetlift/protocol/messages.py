"""Thrift messages between processes, and their codec.

The structs are defined in ``messages.thrift``, which is parsed when this
module is imported; there is no generated code. Every struct of that file is
an attribute of ``structs`` and is encoded with Thrift's compact protocol.
"""

from importlib import resources
import io

import thriftpy2
from thriftpy2 import _compat

from limpetlift import exceptions


def _has_extensions():
    folder = resources.files("thriftpy2") / "transport" / "memory"
    return any(item.name.endswith(".so") for item in folder.iterdir())


# The zipapp holds thriftpy2 without its compiled extensions. thriftpy2 must
# then be set to its pure-Python transports before they are imported.
if not _has_extensions():
    _compat.CYTHON = False

from thriftpy2.protocol import compact  # noqa: E402
from thriftpy2 import utils  # noqa: E402


def _load_structs():
    source = resources.files("limpetlift.protocol") / "messages.thrift"
    text = source.read_text(encoding="utf-8")
    return thriftpy2.load_fp(io.StringIO(text), "messages_thrift")


structs = _load_structs()

_PROTOCOL_FACTORY = compact.TCompactProtocolFactory()

structs_by_kind = {
    name: value
    for name, value in vars(structs).items()
    if isinstance(value, type) and hasattr(value, "thrift_spec")
}


def encode(message):
    """Return the bytes of ``message``, an instance of one of ``structs``."""
    return utils.serialize(message, _PROTOCOL_FACTORY)


def decode(kind, data):
    """Return the message in ``data``.

    :param kind: name of its struct.
    :raises MalformedMessage: when there is no such struct, the bytes are not
        a message of that kind, or a required field is missing.
    """
    struct = structs_by_kind.get(kind)
    if struct is None:
        raise exceptions.MalformedMessage("unknown message kind %.40r" % kind)
    try:
        message = utils.deserialize(struct(), data, _PROTOCOL_FACTORY)
    except Exception as error:
        raise exceptions.MalformedMessage(
            "%s message cannot be decoded: %s" % (kind, type(error).__name__)
        ) from error
    _check_required_fields(message)
    return message


def _check_required_fields(message):
    for field in message.thrift_spec.values():
        name, required = field[1], field[-1]
        if required and getattr(message, name) is None:
            raise exceptions.MalformedMessage(
                "%s message has no value for the required field %s"
                % (type(message).__name__, name)
            )


def encode_frame(message):
    """Return the frame of ``message``.

    It holds the length of the kind in one byte, the kind, and the encoded
    message.
    """
    kind = type(message).__name__.encode("ascii")
    return bytes([len(kind)]) + kind + encode(message)


def decode_frame(frame):
    """Return the message in a frame made by :func:`encode_frame`.

    :raises MalformedMessage: when the frame does not hold a known message.
    """
    if not frame or len(frame) < 1 + frame[0]:
        raise exceptions.MalformedMessage(
            "frame ends before the end of the message kind"
        )
    kind = frame[1 : 1 + frame[0]].decode("ascii", "replace")
    return decode(kind, frame[1 + frame[0] :])
