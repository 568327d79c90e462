"""Rendezvous hashing: ranks names by a key, so that changes move little."""

from functools import lru_cache
from hashlib import blake2b

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SHIFT_BITS = 31
_HASH_BYTES = 8
_HASH_CACHE_SIZE = 4096


@lru_cache(maxsize=_HASH_CACHE_SIZE)
def hash_of(name: str) -> int:
    """Returns a hash of a name that is the same in all processes."""
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def mix_hashes(first: int, second: int) -> int:
    """Mixes two hashes with steps of the SplitMix64 finalizer."""
    mixed = first ^ second
    mixed = ((mixed ^ (mixed >> _SHIFT_BITS)) * _MULTIPLIER) & _MASK
    return mixed ^ (mixed >> _SHIFT_BITS)
