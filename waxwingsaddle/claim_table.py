"""Claims held by one keeper, with their retention and a size bound."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Final

import msgspec

from waxwingsaddle.claims import Claim, ClaimState, merged
from waxwingsaddle.placement import BUCKETS, bucket_of
from waxwingsaddle.util.clock import MS_PER_S

# Size of one claim without answer; test_claim_table measures it.
CLAIM_BYTES: Final = 640
# A pass over all buckets takes this many calls of `expire`.
_EXPIRE_CALLS: Final = 64


@dataclass(slots=True)
class _Held:
    claim: Claim
    expires_s: float
    sequence: int

    def copy_at(self, now_s: float) -> Claim:
        left_ms = round((self.expires_s - now_s) * MS_PER_S)
        return msgspec.structs.replace(self.claim, kept_ms=max(0, left_ms))


_Bucket = dict[bytes, dict[str, _Held]]


class ClaimTable:
    """Claims by place.

    Args:
        max_bytes: From this size on new keys are refused. Copies and outcomes
            of claims that exist are always taken: to forget one could make a
            call run twice.
        clock: Monotonic seconds.
    """

    def __init__(self, max_bytes: int, clock: Callable[[], float]) -> None:
        self.size_bytes = 0
        self._max_bytes = max_bytes
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._sequence = 0
        self._expire_turn = 0

    def __iter__(self) -> Iterator[Claim]:
        now_s = self._clock()
        return (held.copy_at(now_s) for held in self._held(range(BUCKETS)))

    @property
    def is_full(self) -> bool:
        """Whether there is no room for a new key."""
        return self.size_bytes + CLAIM_BYTES > self._max_bytes

    def status(self, place: bytes, claim_id: str) -> Claim | None:
        """Returns the claim that decides on a request.

        Args:
            place: Digest of service and key.
            claim_id: Identifier of the requested claim.

        Returns:
            A done claim if there is one, else a standing claim of another,
            else the requested claim itself, else None.
        """
        now_s = self._clock()
        place_claims = self._buckets.get(bucket_of(place), {}).get(place, {})
        alive = [
            held.claim
            for held in place_claims.values()
            if held.expires_s > now_s
        ]
        deciding = [
            claim
            for claim in alive
            if claim.claim_id == claim_id
            or claim.state is not ClaimState.RELEASED
        ]
        return max(
            deciding,
            key=lambda claim: (
                claim.state is ClaimState.DONE,
                claim.claim_id != claim_id,
                claim.answer is not None,
            ),
            default=None,
        )

    def merge(self, claim: Claim) -> None:
        """Takes in a state of a claim; a state before the held one is void."""
        bucket = self._buckets.setdefault(bucket_of(claim.place), {})
        place_claims = bucket.setdefault(claim.place, {})
        held = place_claims.get(claim.claim_id)
        known = held.claim if held else None
        later = merged(known, claim)
        if later is known:
            return
        self._sequence += 1
        self.size_bytes += _size_bytes(later) - _size_bytes(known)
        expires_s = self._clock() + claim.kept_ms / MS_PER_S
        place_claims[claim.claim_id] = _Held(later, expires_s, self._sequence)

    def changes(
        self,
        buckets: Iterable[int],
        after: int,
        most: int,
    ) -> tuple[tuple[Claim, ...], int, bool]:
        """Returns claims that changed after a sequence number.

        Returns:
            The claims, oldest change first; the number of the last change
            considered; and whether further ones wait.
        """
        now_s = self._clock()
        later = sorted(
            (held for held in self._held(buckets) if held.sequence > after),
            key=lambda held: held.sequence,
        )
        page = later[:most]
        has_more = len(later) > most
        sequence = page[-1].sequence if has_more else self._sequence
        return tuple(held.copy_at(now_s) for held in page), sequence, has_more

    def expire(self) -> None:
        """Forgets claims whose retention is over, in a part of the table."""
        now_s = self._clock()
        turn = self._expire_turn
        self._expire_turn = (turn + 1) % _EXPIRE_CALLS
        for bucket in range(turn, BUCKETS, _EXPIRE_CALLS):
            expired = [
                held.claim
                for held in self._held((bucket,))
                if held.expires_s <= now_s
            ]
            for claim in expired:
                self._forget(claim)

    def _forget(self, claim: Claim) -> None:
        bucket = self._buckets[bucket_of(claim.place)]
        bucket[claim.place].pop(claim.claim_id)
        if not bucket[claim.place]:
            bucket.pop(claim.place)
        self.size_bytes -= _size_bytes(claim)

    def _held(self, buckets: Iterable[int]) -> Iterator[_Held]:
        places = chain.from_iterable(
            self._buckets.get(bucket, {}).values() for bucket in buckets
        )
        return chain.from_iterable(claims.values() for claims in places)


def _size_bytes(claim: Claim | None) -> int:
    if claim is None:
        return 0
    return CLAIM_BYTES + len(claim.answer or b'')
