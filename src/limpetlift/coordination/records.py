"""Encoding of many records: removals of 13 bytes and compressed lists.

A record in the state suspect, dead or left differs only in sequence and state
from one that the receiver has. It is therefore sent as a *removal*: the key of
the id, the low half of the incarnation, the sequence and the state. This
keeps the loss of a whole data centre cheap. A receiver without the record
ignores the removal and gets the full record by anti-entropy.
"""

import struct
import zlib

import attrs

from limpetlift.coordination import digest
from limpetlift.coordination import member
from limpetlift import defaults
from limpetlift import exceptions
from limpetlift.protocol import messages

# Key, incarnation, sequence and state code.
_REMOVAL = struct.Struct(">6sIHB")
_REMOVAL_STATES = (member.SUSPECT, member.DEAD, member.LEFT)
_CODE_BY_STATE = {state: code for code, state in enumerate(_REMOVAL_STATES)}
_INCARNATION_MASK = 0xFFFFFFFF
_MAX_SEQUENCE = 0xFFFF
# Shorter lists are sent uncompressed, because they shrink little.
_MIN_COMPRESSED_RECORDS = 4
# Compression reduces records to a third of their size. Encoding starts with
# twice the number that usually fits, and halves it until the result fits.
_MAX_RECORDS_PER_DATAGRAM = 32
_MAX_DECOMPRESSED_BYTES = 64 * 1024
_FIELD_OVERHEAD_BYTES = 8


def fits_removal(record):
    """Return whether a record can be sent as a removal."""
    return record.state in _CODE_BY_STATE and record.sequence <= _MAX_SEQUENCE


def pack_removal(record):
    """Return the removal that describes a suspect, dead or left record."""
    return _REMOVAL.pack(
        digest.key_of(record.agent_id).to_bytes(digest.KEY_BYTES, "big"),
        record.incarnation & _INCARNATION_MASK,
        record.sequence,
        _CODE_BY_STATE[record.state],
    )


def unpack_removals(data, view):
    """Yield the records that removals describe.

    Removals of members or incarnations that are not in ``view`` are ignored.

    :param data: the concatenated removals.
    :param view: the view with the records that they change.
    :raises MalformedMessage: when ``data`` is not a list of removals.
    """
    if len(data) % _REMOVAL.size:
        raise exceptions.MalformedMessage(
            "removals have %d bytes, not a multiple of their size" % len(data)
        )
    for key, incarnation, sequence, code in _REMOVAL.iter_unpack(data):
        if code >= len(_REMOVAL_STATES):
            raise exceptions.MalformedMessage(
                "removal has unknown state code %d" % code
            )
        current = view.get_by_key(int.from_bytes(key, "big"))
        if current and current.incarnation & _INCARNATION_MASK == incarnation:
            yield attrs.evolve(
                current, sequence=sequence, state=_REMOVAL_STATES[code]
            )


def max_record_bytes(record):
    """Return an upper bound of the encoded size of a record."""
    # Numbers, and the types and lengths of the strings.
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

    :param records: the records.
    :param fields: the fields of a ``Gossip`` message that encode them.
    """

    records: list
    fields: dict

    def message(self, **fields):
        """Return the ``Gossip`` message with additional ``fields``."""
        return messages.structs.Gossip(
            **{"members": [], "config_revision": 0, **self.fields, **fields}
        )


def batches(records, allow_short=True):
    """Yield batches that together contain ``records``.

    A record that does not fit into a datagram is omitted.

    :param allow_short: whether to use removals; only when the receiver is
        likely to have the records that they change.
    """
    removable, full = [], []
    for record in records:
        if allow_short and fits_removal(record):
            removable.append(record)
        else:
            full.append(record)
    removals_per_batch = (
        defaults.MAX_GOSSIP_BODY_BYTES - _FIELD_OVERHEAD_BYTES
    ) // _REMOVAL.size
    full_batches = list(_full_batches(full))
    for start in range(0, len(removable), removals_per_batch):
        chunk = removable[start : start + removals_per_batch]
        data = b"".join(map(pack_removal, chunk))
        yield Batch(chunk, {"removals": data})
    yield from full_batches


def _full_batches(records):
    start = 0
    while start < len(records):
        chunk = records[start : start + _MAX_RECORDS_PER_DATAGRAM]
        while True:
            fields = _encode_full_records(chunk)
            if fields is not None or len(chunk) == 1:
                break
            chunk = chunk[: len(chunk) // 2]
        start += len(chunk)
        if fields is not None:
            yield Batch(chunk, fields)


def _encode_full_records(records):
    """Return the fields for ``records``, or None if they are too large."""
    limit = defaults.MAX_GOSSIP_BODY_BYTES - _FIELD_OVERHEAD_BYTES
    if len(records) < _MIN_COMPRESSED_RECORDS:
        if sum(map(max_record_bytes, records)) > limit:
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
    """Yield the records of a ``Gossip`` message.

    :param view: the view with the records that removals change.
    :raises MalformedMessage: when a field cannot be decoded.
    """
    yield from map(member.from_message, message.members)
    if message.removals:
        yield from unpack_removals(message.removals, view)
    if message.packed:
        content = _decompress(message.packed)
        inner = messages.decode("RecordList", content)
        yield from map(member.from_message, inner.members)


def _decompress(data):
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, _MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise exceptions.MalformedMessage(
            "field packed cannot be decompressed: %s" % error
        ) from error
    if decompressor.unconsumed_tail:
        raise exceptions.MalformedMessage(
            "field packed exceeds the size limit when decompressed"
        )
    return content
