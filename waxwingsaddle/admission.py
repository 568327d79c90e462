"""Rate limit for new leases, against reconnect storms."""

import random
from dataclasses import dataclass, field

from waxwingsaddle.util.clock import MS_PER_S, MonotonicClock
from waxwingsaddle.util.token_bucket import TokenBucket

# Bounds of the random wait, as factors of its mean.
MIN_WAIT_FACTOR = 0.5
MAX_WAIT_FACTOR = 1.5


@dataclass(slots=True)
class Admission:
    """Token bucket that tells refused nodes when to retry.

    Attributes:
        rate_per_s: Leases admitted per second in the long run.
        burst: Leases admitted at once.
        clock: Returns monotonic time in seconds.
        rng: Source of random numbers.
    """

    rate_per_s: float
    burst: float
    clock: MonotonicClock
    rng: random.Random = field(default_factory=random.Random)
    _bucket: TokenBucket = field(init=False)
    _retry_at_s: dict[bytes, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Creates the full token bucket."""
        self._bucket = TokenBucket(self.rate_per_s, self.burst, self.clock)

    def retry_after_ms(self, identity: bytes) -> int:
        """Admits a node, or returns after which wait it should retry.

        Args:
            identity: Routing id of the node.

        Returns:
            0 if the node is admitted, or else the wait in milliseconds. The
            wait grows with the number of refused nodes, because all of them
            share the rate.
        """
        now_s = self.clock()
        self._retry_at_s.pop(identity, None)
        if self._bucket.acquire():
            return 0
        for refused, retry_at_s in tuple(self._retry_at_s.items()):
            if retry_at_s < now_s:
                self._retry_at_s.pop(refused)
        mean_s = (len(self._retry_at_s) + 1) / self.rate_per_s
        wait_s = self.rng.uniform(MIN_WAIT_FACTOR, MAX_WAIT_FACTOR) * mean_s
        self._retry_at_s[identity] = now_s + wait_s
        return max(1, round(wait_s * MS_PER_S))
