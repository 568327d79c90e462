"""Streaming estimate of a quantile in constant memory."""

# After this many observations the estimate may be relied on.
ENOUGH = 20
# Steps shrink with the count until they reach the settled one.
_WARM_UP = 3


class Quantile:
    """Stochastic approximation of one quantile of positive numbers.

    Each observation moves the estimate by a fraction of itself, so the
    estimate follows changes of scale within some tens of observations.

    Args:
        share: Share of observations below the estimate, between 0 and 1.
        step: Largest relative move once settled.
    """

    def __init__(self, share: float, step: float = 0.05) -> None:
        self._share = share
        self._step = step
        self._estimate = 0.0
        self._count = 0

    @property
    def estimate(self) -> float:
        """The estimate; zero before the first observation."""
        return self._estimate

    @property
    def is_settled(self) -> bool:
        """Whether enough was observed to rely on the estimate."""
        return self._count >= ENOUGH

    def observe(self, sample: float) -> None:
        """Takes in one observation."""
        self._count += 1
        if self._count == 1:
            self._estimate = sample
            return
        # Larger steps at first make up for a first observation far off.
        step = max(self._step, min(1 / 2, _WARM_UP / self._count))
        if sample > self._estimate:
            moved = self._estimate * (1 + step * self._share)
            self._estimate = min(moved, sample)
        else:
            moved = self._estimate * (1 - step * (1 - self._share))
            self._estimate = max(moved, sample)
