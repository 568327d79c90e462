"""Token bucket."""

from collections.abc import Callable


class TokenBucket:
    """Admits a steady rate with bursts up to a capacity.

    Args:
        rate_per_s: Tokens added each second.
        capacity: Most tokens held.
        clock: Monotonic seconds.
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
        self._filled_at_s = clock()

    def acquire(self, tokens: float = 1) -> bool:
        """Takes tokens when enough are held, and says whether it did."""
        self._fill()
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True

    def wait_s(self, tokens: float = 1) -> float:
        """Returns the seconds until so many tokens will be held."""
        self._fill()
        return max(0, (tokens - self._tokens) / self._rate_per_s)

    def _fill(self) -> None:
        now_s = self._clock()
        added = (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + added)
        self._filled_at_s = now_s
