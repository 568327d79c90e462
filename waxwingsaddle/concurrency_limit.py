"""Adaptive concurrency limit of one upstream."""

from dataclasses import dataclass

# Weight of the newest answer in the moving average of the slowdown ratio.
_SMOOTHING = 0.2
# Factor of one decrease of the limit.
_SHRINK_FACTOR = 0.85


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Tunables of the limit.

    Attributes:
        floor_percent: Lower bound of the limit, in percent of the slots.
        slow_ratio: Multiple of the learned run time from which the upstream
            counts as slow.
    """

    floor_percent: int = 34
    slow_ratio: float = 2


class ConcurrencyLimit:
    """Lowers the limit while the upstream is slow and raises it afterwards.

    The limit changes once per as many answers as it allows calls, so that the
    run times reflect one change before the next.

    Args:
        slots: Number of slots that the upstream announced.
        policy: Tunables.
    """

    def __init__(self, slots: int, policy: LimitPolicy) -> None:
        self._slots = slots
        self._policy = policy
        self._limit = float(slots)
        self._ratio = 1.0
        self._answers = 0

    @property
    def current(self) -> int:
        """Number of calls that may run at once."""
        return max(1, int(self._limit))

    def resize(self, slots: int, policy: LimitPolicy) -> None:
        """Applies a new slot count and scales the limit with it."""
        self._limit = max(1.0, self._limit * slots / self._slots)
        self._slots = slots
        self._policy = policy

    def observe(self, ratio: float) -> None:
        """Records one answer.

        Args:
            ratio: Run time divided by the learned run time of the route.
        """
        self._ratio += _SMOOTHING * (ratio - self._ratio)
        self._answers += 1
        if self._answers < self.current:
            return
        self._answers = 0
        self._adjust()

    def _adjust(self) -> None:
        if self._ratio >= self._policy.slow_ratio:
            floor = self._slots * self._policy.floor_percent / 100
            self._limit = max(1, floor, self._limit * _SHRINK_FACTOR)
        else:
            self._limit = min(float(self._slots), self._limit + 1)
