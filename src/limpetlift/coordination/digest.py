"""Two-level hash of a set of member records, compared by anti-entropy.

The key of a member assigns its record to one of ``BUCKETS`` buckets with
``LEAVES`` leaves each. The hash of a leaf is the XOR of the hashes of its
records, so that the cost of a change does not depend on the number of
records. Records of members that are dead or have left are not included:
processes drop them at different times, and would otherwise keep sending them
to each other.
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
    """Return the 48-bit hash of an id."""
    return int.from_bytes(
        hashlib.blake2b(
            agent_id.encode("utf-8"), digest_size=KEY_BYTES
        ).digest(),
        "big",
    )


def leaf_of(key):
    """Return the index of a key's leaf; its bucket is ``index // LEAVES``."""
    return key % _LEAF_COUNT


def record_hash(record):
    """Return the 64-bit hash of a record's id and version.

    It is 0 when the member is dead or has left.
    """
    if record.state in member.ENDED_STATES:
        return 0
    text = "%s %d %d %d" % (record.agent_id, *record.version)
    return int.from_bytes(
        hashlib.blake2b(text.encode("utf-8"), digest_size=8).digest(), "big"
    )


def pack(hashes):
    """Return the low 32 bits of each hash, concatenated as ``bytes``."""
    return b"".join(
        (value & 0xFFFFFFFF).to_bytes(4, "big") for value in hashes
    )


def differing_indexes(ours, theirs):
    """Return the indexes at which two packed lists of hashes differ.

    A hash that one of them lacks counts as a difference.
    """
    return [
        index
        for index in range(max(len(ours), len(theirs)) // 4)
        if ours[4 * index : 4 * index + 4] != theirs[4 * index : 4 * index + 4]
    ]


@attrs.define
class Digest:
    """The hashes of the records of a view.

    :param root: XOR of the hashes of all records.
    """

    root: int = 0
    _buckets: array.array = attrs.field(
        factory=lambda: array.array("Q", bytes(8 * BUCKETS))
    )
    _leaves: array.array = attrs.field(
        factory=lambda: array.array("Q", bytes(8 * _LEAF_COUNT))
    )

    def toggle(self, key, value):
        """Add or remove the record hash ``value`` of ``key``.

        XOR is its own inverse, so that both are the same operation.
        """
        leaf = leaf_of(key)
        self.root ^= value
        self._buckets[leaf // LEAVES] ^= value
        self._leaves[leaf] ^= value

    def packed_root(self):
        """Return the hash of all records as 8 bytes."""
        return self.root.to_bytes(8, "big")

    def packed_buckets(self):
        """Return the packed hashes of all buckets."""
        return pack(self._buckets)

    def packed_leaves(self, bucket):
        """Return the packed hashes of the leaves of ``bucket``."""
        return pack(self._leaves[bucket * LEAVES : (bucket + 1) * LEAVES])

    def copy(self):
        """Return a copy that shares nothing with this digest."""
        return Digest(self.root, self._buckets[:], self._leaves[:])
