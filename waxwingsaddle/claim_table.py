"""In-memory table of claims with retention and a size limit."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Final

import msgspec

from waxwingsaddle.claims import Claim, ClaimState, latest_state
from waxwingsaddle.placement import BUCKETS, bucket_of
from waxwingsaddle.util.clock import MS_PER_S

# Upper bound of the memory that one claim without its answer takes;
# test_claims compares it with measured memory.
CLAIM_BYTES: Final = 640
# Calls of `expire` that together cover all buckets.
_EXPIRE_PASS_CALLS: Final = 64


@dataclass(slots=True)
class _StoredClaim:
    claim: Claim
    expires_s: float
    sequence: int

    def copy_at(self, now_s: float) -> Claim:
        remaining_ms = round((self.expires_s - now_s) * MS_PER_S)
        return msgspec.structs.replace(
            self.claim, retention_ms=max(0, remaining_ms)
        )


_Bucket = dict[bytes, dict[str, _StoredClaim]]


class ClaimTable:
    """Claims by bucket and key digest.

    Args:
        max_bytes: Size in bytes beyond which the table counts as full and new
            keys are refused. Outcomes and copies of existing claims are always
            stored, because losing one could make a call run twice.
        clock: Returns monotonic seconds.
    """

    def __init__(self, max_bytes: int, clock: Callable[[], float]) -> None:
        self.size_bytes = 0
        self._max_bytes = max_bytes
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._sequence = 0
        self._next_expire_bucket = 0

    def __iter__(self) -> Iterator[Claim]:
        now_s = self._clock()
        return (
            stored.copy_at(now_s)
            for stored in self._stored_claims(range(BUCKETS))
        )

    @property
    def is_full(self) -> bool:
        """Whether there is no room for a new key."""
        return self.size_bytes + CLAIM_BYTES > self._max_bytes

    def find_deciding(self, key_digest: bytes, claim_id: str) -> Claim | None:
        """Returns the claim that decides on a request.

        Args:
            key_digest: Digest of service and key.
            claim_id: Identifier of the requested claim.

        Returns:
            A done claim of the key if there is one, else an unreleased claim
            with another identifier, else the requested claim, else None.
        """
        now_s = self._clock()
        key_claims = self._buckets.get(bucket_of(key_digest), {}).get(
            key_digest, {}
        )
        unexpired = [
            stored.claim
            for stored in key_claims.values()
            if stored.expires_s > now_s
        ]
        candidates = [
            claim
            for claim in unexpired
            if claim.claim_id == claim_id
            or claim.state is not ClaimState.RELEASED
        ]
        return max(
            candidates,
            key=lambda claim: (
                claim.state is ClaimState.DONE,
                claim.claim_id != claim_id,
                claim.answer is not None,
            ),
            default=None,
        )

    def merge(self, claim: Claim) -> None:
        """Stores a claim unless the table has the same or a later state."""
        bucket = self._buckets.setdefault(bucket_of(claim.key_digest), {})
        key_claims = bucket.setdefault(claim.key_digest, {})
        stored = key_claims.get(claim.claim_id)
        current = stored.claim if stored else None
        latest = latest_state(current, claim)
        if latest is current:
            return
        self._sequence += 1
        self.size_bytes += _size_bytes(latest) - _size_bytes(current)
        expires_s = self._clock() + claim.retention_ms / MS_PER_S
        key_claims[claim.claim_id] = _StoredClaim(
            latest, expires_s, self._sequence
        )

    def changes(
        self,
        buckets: Iterable[int],
        after_sequence: int,
        max_claims: int,
    ) -> tuple[tuple[Claim, ...], int, bool]:
        """Returns claims that changed after a sequence number.

        Args:
            buckets: Buckets to search.
            after_sequence: Sequence number of the last change already read.
            max_claims: Largest number of claims to return.

        Returns:
            The claims, oldest change first; the sequence number of the last
            change considered; and whether there are more changes.
        """
        now_s = self._clock()
        changed = sorted(
            (
                stored
                for stored in self._stored_claims(buckets)
                if stored.sequence > after_sequence
            ),
            key=lambda stored: stored.sequence,
        )
        page = changed[:max_claims]
        has_more = len(changed) > max_claims
        sequence = page[-1].sequence if has_more else self._sequence
        return (
            tuple(stored.copy_at(now_s) for stored in page),
            sequence,
            has_more,
        )

    def expire(self) -> None:
        """Removes claims whose retention is over from part of the buckets."""
        now_s = self._clock()
        first_bucket = self._next_expire_bucket
        self._next_expire_bucket = (first_bucket + 1) % _EXPIRE_PASS_CALLS
        for bucket in range(first_bucket, BUCKETS, _EXPIRE_PASS_CALLS):
            expired = [
                stored.claim
                for stored in self._stored_claims((bucket,))
                if stored.expires_s <= now_s
            ]
            for claim in expired:
                self._remove(claim)

    def _remove(self, claim: Claim) -> None:
        bucket = self._buckets[bucket_of(claim.key_digest)]
        bucket[claim.key_digest].pop(claim.claim_id)
        if not bucket[claim.key_digest]:
            bucket.pop(claim.key_digest)
        self.size_bytes -= _size_bytes(claim)

    def _stored_claims(self, buckets: Iterable[int]) -> Iterator[_StoredClaim]:
        claims_by_key = chain.from_iterable(
            self._buckets.get(bucket, {}).values() for bucket in buckets
        )
        return chain.from_iterable(claims.values() for claims in claims_by_key)


def _size_bytes(claim: Claim | None) -> int:
    if claim is None:
        return 0
    return CLAIM_BYTES + len(claim.answer or b'')
