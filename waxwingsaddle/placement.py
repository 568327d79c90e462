"""Home zones of keys, and keepers of buckets by rendezvous hashing."""

from collections.abc import Iterable, Sequence
from functools import cached_property
from hashlib import blake2b

from waxwingsaddle.util.rendezvous import hash_of, mix_hashes

KEEPERS_PER_BUCKET = 3
# Keys are placed by bucket, so that a change of membership costs a pass over
# the buckets instead of the keys.
BUCKETS = 1024

_MEMBERSHIP_DIGEST_BYTES = 16
_HASH_BYTES = 8


def home_zone(key: str, zones: Sequence[str]) -> str:
    """Returns the home zone of a key.

    A key of the form `<availability zone>.<suffix>` names its home zone; any
    other key is assigned to a zone by rendezvous hashing.

    Args:
        key: Idempotency key of the caller.
        zones: All availability zones; must be the same on every node.
    """
    zone_prefix, separator, _ = key.partition('.')
    if separator and zone_prefix in zones:
        return zone_prefix
    key_hash = hash_of(key)
    return max(zones, key=lambda zone: mix_hashes(hash_of(zone), key_hash))


def bucket_of(key_digest: bytes) -> int:
    """Returns the bucket of a key digest."""
    return int.from_bytes(key_digest[:_HASH_BYTES], 'big') % BUCKETS


def majority(keepers: Sequence[str]) -> int:
    """Returns how many of the keepers must grant a claim."""
    return len(keepers) // 2 + 1


class Placement:
    """Keepers of every bucket for one membership of a zone.

    Args:
        hosts: Hosts of the zone's nodes.
    """

    def __init__(self, hosts: Iterable[str]) -> None:
        self.hosts = frozenset(hosts)
        self._keepers: dict[int, tuple[str, ...]] = {}

    @cached_property
    def digest(self) -> bytes:
        """Digest of the membership."""
        names = '\n'.join(sorted(self.hosts))
        return blake2b(
            names.encode(), digest_size=_MEMBERSHIP_DIGEST_BYTES
        ).digest()

    def keepers(self, bucket: int) -> tuple[str, ...]:
        """Returns the hosts with the highest rendezvous hashes, in order."""
        keepers = self._keepers.get(bucket)
        if keepers is None:
            keepers = _top_hosts(self.hosts, bucket)
            self._keepers[bucket] = keepers
        return keepers

    def with_hosts(self, hosts: Iterable[str]) -> 'Placement':
        """Returns the placement for another membership.

        Reuses computed buckets: a removed host affects only the buckets that
        it keeps, and a new host is compared only with the keepers of each
        bucket. The claim service calls this ten times a second, so an
        unchanged membership returns this placement itself.
        """
        changed = Placement(hosts)
        if changed.hosts == self.hosts:
            return self
        joined = changed.hosts - self.hosts
        removed = self.hosts - changed.hosts
        retained = {
            bucket: keepers
            for bucket, keepers in self._keepers.items()
            if removed.isdisjoint(keepers)
        }
        if joined:
            retained = {
                bucket: _top_hosts(joined.union(keepers), bucket)
                for bucket, keepers in retained.items()
            }
        changed._keepers = retained
        return changed


def _top_hosts(hosts: Iterable[str], bucket: int) -> tuple[str, ...]:
    bucket_hash = hash_of(str(bucket))
    ranked = sorted(
        hosts,
        key=lambda host: (mix_hashes(hash_of(host), bucket_hash), host),
        reverse=True,
    )
    return tuple(ranked[:KEEPERS_PER_BUCKET])
