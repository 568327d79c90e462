"""Home zones of keys, and keepers of buckets by rendezvous hash."""

from collections.abc import Iterable, Sequence
from functools import cached_property, lru_cache
from hashlib import blake2b

KEEPERS = 3
# Keys are placed by bucket, so that a change of membership costs one pass
# over the buckets and not over the keys.
BUCKETS = 1024

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SHIFT_BITS = 31
_VIEW_BYTES = 16
_HASH_BYTES = 8
_HASHES_KEPT = 4096


def home_zone(key: str, zones: Sequence[str]) -> str:
    """Returns the home zone of a key.

    A key `<availability zone>.<rest>` names its zone; any other key hashes to
    one of the zones.

    Args:
        key: Idempotency key of the caller.
        zones: All availability zones, the same on every node.
    """
    named, dot, _ = key.partition('.')
    if dot and named in zones:
        return named
    key_hash = _hash(key)
    return max(zones, key=lambda zone: _weight(_hash(zone), key_hash))


def bucket_of(place: bytes) -> int:
    """Returns the bucket of a place."""
    return int.from_bytes(place[:_HASH_BYTES], 'big') % BUCKETS


def needed(keepers: Sequence[str]) -> int:
    """Returns how many grants of so many keepers make a claim stand."""
    return len(keepers) // 2 + 1


class Placement:
    """Keepers of every bucket for one membership of a zone.

    Args:
        hosts: Hosts of the nodes of the zone.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self.hosts = frozenset(hosts)
        self._keepers: dict[int, tuple[str, ...]] = {}

    @cached_property
    def digest(self) -> bytes:
        """Digest of the membership."""
        names = '\n'.join(sorted(self.hosts))
        return blake2b(names.encode(), digest_size=_VIEW_BYTES).digest()

    def keepers(self, bucket: int) -> tuple[str, ...]:
        """Returns the hosts highest in rendezvous hash, best first."""
        keepers = self._keepers.get(bucket)
        if keepers is None:
            keepers = _best(self.hosts, bucket)
            self._keepers[bucket] = keepers
        return keepers

    def changed_to(self, hosts: Iterable[str]) -> 'Placement':
        """Returns the placement of another membership.

        Reuses what stays: a leaving host changes only its own buckets, and a
        joining one is compared with the last keeper of each. Keepers ask ten
        times a second, so an unchanged membership costs nothing.
        """
        following = Placement(hosts)
        if following.hosts == self.hosts:
            return self
        joined = following.hosts - self.hosts
        left = self.hosts - following.hosts
        stay = {
            bucket: keepers
            for bucket, keepers in self._keepers.items()
            if left.isdisjoint(keepers)
        }
        if joined:
            stay = {
                bucket: _best(joined.union(keepers), bucket)
                for bucket, keepers in stay.items()
            }
        following._keepers = stay
        return following


def _best(hosts: Iterable[str], bucket: int) -> tuple[str, ...]:
    bucket_hash = _hash(str(bucket))
    ranked = sorted(
        hosts,
        key=lambda host: (_weight(_hash(host), bucket_hash), host),
        reverse=True,
    )
    return tuple(ranked[:KEEPERS])


def _weight(first: int, second: int) -> int:
    """Mixes two hashes (finalizer of SplitMix64)."""
    mixed = first ^ second
    mixed = ((mixed ^ (mixed >> _SHIFT_BITS)) * _MULTIPLIER) & _MASK
    return mixed ^ (mixed >> _SHIFT_BITS)


@lru_cache(maxsize=_HASHES_KEPT)
def _hash(name: str) -> int:
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
