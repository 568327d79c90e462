"""Bounds on the calls in flight of an entry node and on their bodies."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle import metrics
from waxwingsaddle.account_holdings import AccountHoldings
from waxwingsaddle.account_shares import ServedFloor
from waxwingsaddle.call_class import FULL_RANK, CallAccount
from waxwingsaddle.util.clock import monotonic_s

# Share of the bounds that calls of the lowest rank may fill. It rises linearly
# to 1 for the highest rank.
_MIN_SHARE = 0.75
# Retry hints are drawn from this range, so that refused callers do not all
# return at the same time.
_MIN_RETRY_MS = 500
_MAX_RETRY_MS = 1500

_refused = metrics.counter(
    'waxwing_entry_refused',
    'Calls of callers refused because this node had too many.',
    ('bound',),
)


@dataclass(slots=True)
class Reservation:
    """Call slot and body bytes that one call has reserved.

    Attributes:
        bound: The bounds that count the call.
        rank: Rank of the call, from its priority and idempotence.
        account: Client account of the call; None without one.
        body_bytes: Bytes reserved for its body.
    """

    bound: 'EntryBound'
    rank: int
    account: CallAccount | None = None
    body_bytes: int = 0

    def reserve_body(self, body_bytes: int) -> bool:
        """Reserves further bytes for the body; False if they do not fit."""
        if not self.bound.has_body_room(self, body_bytes):
            return False
        self.body_bytes += body_bytes
        self.bound.add_body(self.account, body_bytes)
        return True

    def release(self) -> None:
        """Releases the slot and all bytes; must be called exactly once."""
        self.bound.remove(self)


class EntryBound:
    """Bounds on the calls in flight and on the bytes of their bodies.

    Args:
        max_calls: Largest number of calls in flight.
        max_body_bytes: Largest sum of request bodies in memory, in bytes.
        clock: Returns monotonic seconds.

    Attributes:
        calls: Current number of calls in flight.
        body_bytes: Bytes currently reserved for request bodies.
    """

    def __init__(
        self,
        max_calls: int,
        max_body_bytes: int,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._max_calls = max_calls
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._floor = ServedFloor()
        self._call_holdings = AccountHoldings()
        self._body_holdings = AccountHoldings()
        self.calls = 0
        self.body_bytes = 0

    def reserve_call(
        self, rank: int, account: CallAccount | None = None
    ) -> Reservation | None:
        """Reserves a slot for a call; None if the node is full for it.

        Args:
            rank: Rank of the call.
            account: Client account of the call; None without one.
        """
        is_favored = self._floor.offer(account, self._clock())
        limit = self._max_calls * _share_of_rank(rank)
        limit = self._call_holdings.limit_for(account, self.calls, limit)
        if is_favored:
            limit = self._max_calls
        # One call is always admitted, even if the bound is so small that the
        # share of its rank is less than one slot.
        if self.calls and self.calls >= limit:
            _refused.labels('calls').inc()
            return None
        self.calls += 1
        self._call_holdings.add(account, 1)
        self._floor.start(account)
        return Reservation(self, rank, account)

    def remove(self, reservation: Reservation) -> None:
        """Removes a call and its body from the bounds."""
        self.calls -= 1
        self._call_holdings.remove(reservation.account, 1)
        self.add_body(reservation.account, -reservation.body_bytes)

    def add_body(self, account: CallAccount | None, body_bytes: int) -> None:
        """Adds bytes of a body; a negative number removes them."""
        self.body_bytes += body_bytes
        if body_bytes > 0:
            self._body_holdings.add(account, body_bytes)
        elif body_bytes:
            self._body_holdings.remove(account, -body_bytes)

    def has_body_room(self, reservation: Reservation, body_bytes: int) -> bool:
        """Returns whether further bytes fit; counts a refusal if not."""
        limit_bytes = self._body_holdings.limit_for(
            reservation.account,
            self.body_bytes,
            self._max_body_bytes * _share_of_rank(reservation.rank),
        )
        # While no body is in memory, one of any size is accepted.
        if self.body_bytes and self.body_bytes + body_bytes > limit_bytes:
            _refused.labels('body-bytes').inc()
            return False
        return True

    def retry_after_ms(self) -> int:
        """Returns how long a refused caller should wait, in milliseconds."""
        return random.randint(_MIN_RETRY_MS, _MAX_RETRY_MS)


def _share_of_rank(rank: int) -> float:
    share = _MIN_SHARE + (1 - _MIN_SHARE) * rank / FULL_RANK
    return max(_MIN_SHARE, min(1, share))
