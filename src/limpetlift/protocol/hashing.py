"""Hashes that are the same in every process."""

import functools
import hashlib

_SERVICE_ID_BYTES = 8
_HASH_BYTES = 8
_MASK = (1 << 64) - 1


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


def id_hash(process_id):
    """Return the 64-bit hash of the id of a process."""
    return flow_hash(process_id.encode("utf-8"))


def mixed(number):
    """Return a pseudo-random 64-bit number for a 64-bit number.

    This is the last step of the generator SplitMix64. It is a bijection, and
    every bit of the result depends on every bit of ``number``.
    """
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & _MASK
    number = (number ^ number >> 27) * 0x94D049BB133111EB & _MASK
    return number ^ number >> 31


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
