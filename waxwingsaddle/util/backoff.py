"""Exponential back-off with full jitter."""

import random
from dataclasses import dataclass, field

# Keeps the power of two finite after many failures.
MAX_DOUBLINGS = 30


@dataclass(slots=True)
class Backoff:
    """Delays before successive attempts of one client.

    Full jitter (a uniform draw from zero to the bound) spreads the clients of
    a failed server evenly over the interval.

    Attributes:
        first_s: Bound of the first delay, in seconds.
        limit_s: Largest bound, in seconds.
        rng: Source of random numbers.
    """

    first_s: float
    limit_s: float
    rng: random.Random = field(default_factory=random.Random)
    _failures: int = 0

    def next_delay_s(self) -> float:
        """Returns the delay before the next attempt, in seconds."""
        bound_s = min(self.limit_s, self.first_s * 2**self._failures)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        return self.rng.uniform(0, bound_s)

    def reset(self) -> None:
        """Starts again from the first delay after a success."""
        self._failures = 0
