"""Streaming quantile estimate in constant memory."""

# Number of observations after which the estimate is reliable.
MIN_OBSERVATIONS = 20
# The first steps are this number divided by the count of observations.
_INITIAL_STEPS = 3


class Quantile:
    """Stochastic approximation of a quantile of positive numbers.

    Each observation moves the estimate by a fraction of the estimate, so it
    follows changes of scale within some tens of observations.

    Args:
        share: Fraction of observations below the estimate, between 0 and 1.
        step: Maximum relative change per observation after the first ones.
    """

    def __init__(self, share: float, step: float = 0.05) -> None:
        self._share = share
        self._step = step
        self._estimate = 0.0
        self._count = 0

    @property
    def estimate(self) -> float:
        """The current estimate; zero before the first observation."""
        return self._estimate

    @property
    def is_settled(self) -> bool:
        """Whether there were enough observations for a reliable estimate."""
        return self._count >= MIN_OBSERVATIONS

    def observe(self, sample: float) -> None:
        """Updates the estimate with an observation."""
        self._count += 1
        if self._count == 1:
            self._estimate = sample
            return
        # The first steps are larger, because the first observation may be far
        # from the quantile.
        step = max(self._step, min(1 / 2, _INITIAL_STEPS / self._count))
        if sample > self._estimate:
            moved = self._estimate * (1 + step * self._share)
            self._estimate = min(moved, sample)
        else:
            moved = self._estimate * (1 - step * (1 - self._share))
            self._estimate = max(moved, sample)
