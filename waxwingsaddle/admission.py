"""Admission of new leases, so that a reconnect storm does not stop a host."""

import random
from dataclasses import dataclass, field

from waxwingsaddle.util.bucket import TokenBucket
from waxwingsaddle.util.clock import MS_PER_S, MonotonicClock

# Spread of the wait around its mean, as fractions.
SHORTEST_WAIT = 0.5
LONGEST_WAIT = 1.5


@dataclass(slots=True)
class Admission:
    """Token bucket that tells refused nodes when to come back.

    Attributes:
        rate_per_s: Leases admitted in the long run.
        burst: Leases admitted at once.
        clock: Monotonic seconds.
        rng: Source of random numbers.
    """

    rate_per_s: float
    burst: float
    clock: MonotonicClock
    rng: random.Random = field(default_factory=random.Random)
    _bucket: TokenBucket = field(init=False)
    _waiting: dict[bytes, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Fills the bucket."""
        self._bucket = TokenBucket(self.rate_per_s, self.burst, self.clock)

    def retry_after_ms(self, identity: bytes) -> int:
        """Admits a node, or says when it should try again.

        Args:
            identity: Routing id of the node.

        Returns:
            0 when the node is admitted, or the wait in milliseconds. The wait
            grows with the number of nodes that were refused, because they
            share the rate.
        """
        now_s = self.clock()
        self._waiting.pop(identity, None)
        if self._bucket.take():
            return 0
        for other, until_s in tuple(self._waiting.items()):
            if until_s < now_s:
                self._waiting.pop(other)
        mean_s = (len(self._waiting) + 1) / self.rate_per_s
        wait_s = self.rng.uniform(SHORTEST_WAIT, LONGEST_WAIT) * mean_s
        self._waiting[identity] = now_s + wait_s
        return max(1, round(wait_s * MS_PER_S))
