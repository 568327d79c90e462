"""Bound on the calls that a node has taken from callers and not answered."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from waxwingsaddle import metrics
from waxwingsaddle.call_class import FULL_RANK
from waxwingsaddle.calls import BodyStream

# The lowest rank is refused from this share of the bounds on; the share rises
# evenly to all of them for the highest rank.
_LEAST_SHARE = 0.75
# Spread, so that refused callers do not come back at once.
_LEAST_RETRY_MS = 500
_MOST_RETRY_MS = 1500

_refused = metrics.counter(
    'waxwing_entry_refused',
    'Calls of callers refused because this node had too many.',
    ('bound',),
)


@dataclass(slots=True)
class Held:
    """What one call takes of the bounds."""

    bound: 'EntryBound'
    rank: int
    body_bytes: int = 0

    def grow(self, body_bytes: int) -> bool:
        """Takes bytes of a body; False if there is no room for them."""
        if not self.bound.has_body_room(self.rank, body_bytes):
            return False
        self.body_bytes += body_bytes
        self.bound.body_bytes += body_bytes
        return True

    def release(self) -> None:
        """Gives everything back; must be called once."""
        self.bound.calls -= 1
        self.bound.body_bytes -= self.body_bytes


class EntryBound:
    """Bounds on calls in flight and on bytes of their bodies.

    Args:
        max_calls: Most calls in flight.
        max_body_bytes: Most bytes of request bodies held.
    """

    def __init__(self, max_calls: int, max_body_bytes: int) -> None:
        self._max_calls = max_calls
        self._max_body_bytes = max_body_bytes
        self.calls = 0
        self.body_bytes = 0

    def enter(self, rank: int) -> Held | None:
        """Admits a call of a rank; None if there is no room for it."""
        # A bound below the number of ranks still lets one call of each in.
        if self.calls and self.calls >= self._max_calls * _share(rank):
            _refused.labels('calls').inc()
            return None
        self.calls += 1
        return Held(self, rank)

    def has_body_room(self, rank: int, body_bytes: int) -> bool:
        """Says whether so many more bytes fit; counts it when they do not."""
        limit_bytes = self._max_body_bytes * _share(rank)
        # One body of any size that the node takes always fits.
        if self.body_bytes and self.body_bytes + body_bytes > limit_bytes:
            _refused.labels('body-bytes').inc()
            return False
        return True

    def retry_after_ms(self) -> int:
        """Returns a hint when a refused call may be sent again."""
        return random.randint(_LEAST_RETRY_MS, _MOST_RETRY_MS)


class HeldStream:
    """Streamed body of an answer that counts as in flight until its end."""

    def __init__(self, stream: BodyStream, held: Held) -> None:
        self._stream = stream
        self._held: Held | None = held

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._stream)

    def close(self) -> None:
        """Ends the stream."""
        held = self._held
        self._held = None
        try:
            self._stream.close()
        finally:
            if held is not None:
                held.release()


def _share(rank: int) -> float:
    share = _LEAST_SHARE + (1 - _LEAST_SHARE) * rank / FULL_RANK
    return max(_LEAST_SHARE, min(1, share))
