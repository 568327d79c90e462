"""Times of the planned stop of a node."""

from collections.abc import Callable

from waxwingsaddle.util.clock import MS_PER_S


class StopSchedule:
    """Knows whether the node stops, and since when.

    Args:
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._begun_s: float | None = None

    @property
    def is_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._begun_s is not None

    def begin(self) -> None:
        """Records that the stop begins now."""
        self._begun_s = self._clock()

    def stopping_ms(self, moment_s: float) -> float | None:
        """Returns how long the stop had lasted at a moment, in milliseconds.

        Args:
            moment_s: Monotonic time, in seconds.

        Returns:
            The time since the stop began, negative for a moment before it;
            None if no stop has begun.
        """
        if self._begun_s is None:
            return None
        return round((moment_s - self._begun_s) * MS_PER_S, 1)
