"""Thrift messages between processes, and their codec.

The definitions stand in ``messages.thrift`` and are loaded at import time, so
no generator is needed. Every struct of that file is an attribute of
``structs`` and is encoded with the compact protocol.
"""

from importlib import resources
import io

import thriftpy2
from thriftpy2 import _compat

from limpetlift import exceptions


def _has_extensions():
    folder = resources.files("thriftpy2") / "transport" / "memory"
    return any(item.name.endswith(".so") for item in folder.iterdir())


# Without its compiled extensions, as in the zipapp, thriftpy2 must be told to
# use its pure-Python transports before they are imported.
if not _has_extensions():
    _compat.CYTHON = False

from thriftpy2.protocol import compact  # noqa: E402
from thriftpy2 import utils  # noqa: E402


def _load():
    source = resources.files("limpetlift.protocol") / "messages.thrift"
    text = source.read_text(encoding="utf-8")
    return thriftpy2.load_fp(io.StringIO(text), "messages_thrift")


structs = _load()

_FACTORY = compact.TCompactProtocolFactory()

structs_by_kind = {
    name: value
    for name, value in vars(structs).items()
    if isinstance(value, type) and hasattr(value, "thrift_spec")
}


def encode(message):
    """Return the bytes of ``message``, one of ``structs``."""
    return utils.serialize(message, _FACTORY)


def decode(kind, data):
    """Return the message of ``kind`` in ``data``.

    :param kind: the name of a struct.
    :raises MalformedMessage: when the kind is unknown, the bytes are not
        such a message, or a required field is missing.
    """
    struct = structs_by_kind.get(kind)
    if struct is None:
        raise exceptions.MalformedMessage("unknown kind %.40r" % kind)
    try:
        message = utils.deserialize(struct(), data, _FACTORY)
    except Exception as error:
        raise exceptions.MalformedMessage(
            "%s: %s" % (kind, type(error).__name__)
        ) from error
    _check(message)
    return message


def _check(message):
    for field in message.thrift_spec.values():
        name, required = field[1], field[-1]
        if required and getattr(message, name) is None:
            raise exceptions.MalformedMessage(
                "%s: no %s" % (type(message).__name__, name)
            )


def encode_frame(message):
    """Return a frame: one length byte, the kind, and the message."""
    kind = type(message).__name__.encode("ascii")
    return bytes([len(kind)]) + kind + encode(message)


def decode_frame(frame):
    """Return the message of a frame made by :func:`encode_frame`.

    :raises MalformedMessage: when the frame is not such a message.
    """
    if not frame or len(frame) < 1 + frame[0]:
        raise exceptions.MalformedMessage("short frame")
    kind = frame[1 : 1 + frame[0]].decode("ascii", "replace")
    return decode(kind, frame[1 + frame[0] :])
