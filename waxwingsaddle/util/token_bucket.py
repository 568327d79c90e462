"""Token bucket for rate limits."""

from collections.abc import Callable


class TokenBucket:
    """Allows a steady rate, and bursts up to a capacity.

    Args:
        rate_per_s: Number of tokens added per second.
        capacity: Maximum number of tokens held.
        clock: Returns monotonic time in seconds.
    """

    def __init__(
        self,
        rate_per_s: float,
        capacity: float,
        clock: Callable[[], float],
    ) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._clock = clock
        self._tokens = capacity
        self._refilled_at_s = clock()

    def acquire(self, tokens: float = 1) -> bool:
        """Takes tokens if enough are available, and returns whether it did."""
        self._refill()
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_s(self, tokens: float = 1) -> float:
        """Returns the seconds until this many tokens are available."""
        self._refill()
        return max(0, (tokens - self._tokens) / self._rate_per_s)

    def _refill(self) -> None:
        now_s = self._clock()
        added = (now_s - self._refilled_at_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + added)
        self._refilled_at_s = now_s
