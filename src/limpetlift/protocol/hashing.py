"""Hashes that are the same in every process."""

import hashlib

_SERVICE_ID_BYTES = 8
_HASH_BYTES = 8


def service_id(name):
    """Return the 8-byte id of a service in packets and messages."""
    return hashlib.blake2b(
        name.encode("utf-8"), digest_size=_SERVICE_ID_BYTES
    ).digest()


def flow_hash(key):
    """Return the 64-bit placement hash of a flow key."""
    return int.from_bytes(
        hashlib.blake2b(key, digest_size=_HASH_BYTES).digest(), "big"
    )
