"""Wire forms of many records: short removals and compressed lists.

A suspect, dead or left record changes nothing but the state of a record that
the receiver has, so 13 bytes name it: the key of the id, the low half of the
incarnation, the sequence and the state. The loss of a data centre is spread
in this form. A receiver without the record ignores it, and learns the whole
record by anti-entropy.
"""

import struct
import zlib

import attrs

from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages

_REMOVAL = struct.Struct(">6sIHB")
_STATES = (member.SUSPECT, member.DEAD, member.LEFT)
_CODE_BY_STATE = {state: code for code, state in enumerate(_STATES)}
_INCARNATION_MASK = 0xFFFFFFFF
_MAX_SEQUENCE = 0xFFFF
# A shorter list gains little from compression.
_COMPRESS_RECORDS = 4
# Compressed records need a third of their size; twice as many are tried.
_RECORDS_IN_DATAGRAM = 32
_MAX_INFLATED_BYTES = 64 * 1024
_FIELD_BYTES = 8


def is_short(record):
    """Return whether a record can be sent as a removal."""
    return record.state in _CODE_BY_STATE and record.sequence <= _MAX_SEQUENCE


def pack_removal(record):
    """Return the short form of a suspect, dead or left record."""
    return _REMOVAL.pack(
        digest.key_of(record.agent_id).to_bytes(digest.KEY_BYTES, "big"),
        record.incarnation & _INCARNATION_MASK,
        record.sequence,
        _CODE_BY_STATE[record.state],
    )


def unpack_removals(data, view):
    """Yield the records that short forms stand for.

    :param data: the joined short forms.
    :param view: the view with the records that they change.
    :raises MalformedMessage: when ``data`` is not a list of short forms.
    """
    if len(data) % _REMOVAL.size:
        raise exceptions.MalformedMessage("removals of %d bytes" % len(data))
    for key, incarnation, sequence, code in _REMOVAL.iter_unpack(data):
        if code >= len(_STATES):
            raise exceptions.MalformedMessage("removal state %d" % code)
        held = view.by_key(int.from_bytes(key, "big"))
        if held and held.incarnation & _INCARNATION_MASK == incarnation:
            yield attrs.evolve(held, sequence=sequence, state=_STATES[code])


def full_size(record):
    """Return the bytes of a record in a message, or a few more."""
    # Strings, their lengths and types, numbers.
    return 45 + sum(
        map(
            len,
            (
                record.agent_id,
                record.data_centre,
                record.region,
                record.address,
                record.service,
            ),
        )
    )


@attrs.define
class Batch:
    """Records that fit into one datagram.

    :param records: the records, in their order.
    :param fields: the fields of a ``Gossip`` message.
    """

    records: list
    fields: dict

    def message(self, **fields):
        """Return the ``Gossip`` message with further fields."""
        return messages.structs.Gossip(
            **{"members": [], "config_revision": 0, **self.fields, **fields}
        )


def batches(records, allow_short=True):
    """Yield :class:`Batch` objects that hold all of ``records``.

    :param allow_short: whether the receiver can be expected to hold the
        records that removals change.
    """
    short, full = [], []
    for record in records:
        if allow_short and is_short(record):
            short.append(record)
        else:
            full.append(record)
    count = (defaults.MAX_GOSSIP_BODY_BYTES - _FIELD_BYTES) // _REMOVAL.size
    full_batches = list(_full_batches(full))
    for start in range(0, len(short), count):
        chunk = short[start : start + count]
        data = b"".join(map(pack_removal, chunk))
        yield Batch(chunk, {"removals": data})
    yield from full_batches


def _full_batches(records):
    start = 0
    while start < len(records):
        chunk = records[start : start + _RECORDS_IN_DATAGRAM]
        while True:
            fields = _encode_full(chunk)
            if fields is not None or len(chunk) == 1:
                break
            chunk = chunk[: len(chunk) // 2]
        start += len(chunk)
        if fields is not None:
            yield Batch(chunk, fields)


def _encode_full(records):
    """Return the fields for ``records``, or ``None`` when too many."""
    limit = defaults.MAX_GOSSIP_BODY_BYTES - _FIELD_BYTES
    if len(records) < _COMPRESS_RECORDS:
        if sum(map(full_size, records)) > limit:
            return None
        return {"members": [record.to_message() for record in records]}
    content = messages.encode(
        messages.structs.RecordList(
            members=[record.to_message() for record in records]
        )
    )
    packed = zlib.compress(content)
    return {"packed": packed} if len(packed) <= limit else None


def unpack(message, view):
    """Yield the records in a ``Gossip`` message.

    :param view: the view with the records that removals change.
    :raises MalformedMessage: when a part is not readable.
    """
    yield from map(member.from_message, message.members)
    if message.removals:
        yield from unpack_removals(message.removals, view)
    if message.packed:
        content = _inflate(message.packed)
        inner = messages.decode("RecordList", content)
        yield from map(member.from_message, inner.members)


def _inflate(data):
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, _MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise exceptions.MalformedMessage("packed: %s" % error) from error
    if inflater.unconsumed_tail:
        raise exceptions.MalformedMessage("packed list is too long")
    return content
