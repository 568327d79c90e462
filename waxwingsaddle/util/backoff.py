"""Exponential backoff with full jitter."""

import random
from dataclasses import dataclass, field

# Keeps the power of two within the range of a float after many failures.
MAX_DOUBLINGS = 30


@dataclass(slots=True)
class Backoff:
    """Delays between successive attempts of one client.

    Full jitter (a uniformly random delay between zero and the bound) spreads
    the retries of all clients of a failed server evenly over the interval.

    Attributes:
        first_s: Upper bound of the first delay, in seconds.
        limit_s: Maximum of the bound, in seconds.
        rng: Random number generator.
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
        """Returns to the first delay after a success."""
        self._failures = 0
