"""Digests of a set of records, in two levels, for anti-entropy.

A member's key places its record in one of ``BUCKETS`` buckets of ``LEAVES``
leaves. A leaf is the exclusive or of the hashes of its records, so that one
change costs the same whatever the size of the view. Records of dead and left
members are not part of it: processes forget them at different times, and
would otherwise teach them to each other for ever.
"""

import array
import hashlib

import attrs

from limpetlift.coordination import member

BUCKETS = 128
LEAVES = 128
KEY_BYTES = 6
_LEAF_COUNT = BUCKETS * LEAVES


def key_of(agent_id):
    """Return the 48-bit key of an id."""
    return int.from_bytes(
        hashlib.blake2b(
            agent_id.encode("utf-8"), digest_size=KEY_BYTES
        ).digest(),
        "big",
    )


def leaf_of(key):
    """Return the leaf of a key; its bucket is ``leaf // LEAVES``."""
    return key % _LEAF_COUNT


def record_hash(record):
    """Return the 64-bit hash of a record's version; 0 when it has ended."""
    if record.state in member.ENDED_STATES:
        return 0
    text = "%s %d %d %d" % (record.agent_id, *record.version)
    return int.from_bytes(
        hashlib.blake2b(text.encode("utf-8"), digest_size=8).digest(), "big"
    )


def pack(hashes):
    """Return the low 32 bits of each hash as ``bytes``."""
    return b"".join(
        (value & 0xFFFFFFFF).to_bytes(4, "big") for value in hashes
    )


def differing(ours, theirs):
    """Return the indexes at which two packed lists of hashes differ."""
    return [
        index
        for index in range(max(len(ours), len(theirs)) // 4)
        if ours[4 * index : 4 * index + 4] != theirs[4 * index : 4 * index + 4]
    ]


@attrs.define
class Digest:
    """The hashes of a view."""

    root: int = 0
    _buckets: array.array = attrs.field(
        factory=lambda: array.array("Q", bytes(8 * BUCKETS))
    )
    _leaves: array.array = attrs.field(
        factory=lambda: array.array("Q", bytes(8 * _LEAF_COUNT))
    )

    def toggle(self, key, value):
        """Add or remove the record hash ``value`` of ``key``."""
        leaf = leaf_of(key)
        self.root ^= value
        self._buckets[leaf // LEAVES] ^= value
        self._leaves[leaf] ^= value

    def packed_root(self):
        """Return the hash of the whole view as 8 bytes."""
        return self.root.to_bytes(8, "big")

    def packed_buckets(self):
        """Return the packed hashes of all buckets."""
        return pack(self._buckets)

    def packed_leaves(self, bucket):
        """Return the packed hashes of the leaves of ``bucket``."""
        return pack(self._leaves[bucket * LEAVES : (bucket + 1) * LEAVES])

    def copy(self):
        """Return an independent copy."""
        return Digest(self.root, self._buckets[:], self._leaves[:])
