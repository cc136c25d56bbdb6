"""Hashes that are the same in every process."""

import functools
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


# One entry for each process of a deployment of the design size.
@functools.lru_cache(maxsize=16_384)
def ring_position(address):
    """Return the 64-bit position of a process on the ring of hashes.

    :param address: ``(ip, port)`` of the process.
    """
    data = ("%s:%d" % address).encode("ascii")
    return int.from_bytes(
        hashlib.blake2b(data, digest_size=_HASH_BYTES).digest(), "big"
    )
