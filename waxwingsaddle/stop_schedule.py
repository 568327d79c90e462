"""Times of the planned stop of a node, and the calls that still fit into it."""

from collections.abc import Callable

from waxwingsaddle.calls import Answer, not_run
from waxwingsaddle.util.clock import MS_PER_S

# A stop says nothing about the load of other hosts, which can take the call at
# once.
_RETRY_AFTER_MS = 1


class StoppingError(Exception):
    """The stop of the node has ended before the request was read."""


class StopSchedule:
    """Decides until when a stopping node takes calls, and until when they run.

    A stop has two phases. In the first one, callers can't know of it yet, so
    all calls are taken, with a deadline that ends with the stop at the latest.
    In the second one, only calls with a deadline before the end are taken.

    Args:
        drain_wait_s: Length of the first phase, in seconds.
        stop_limit_s: Length of the second phase, in seconds.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        drain_wait_s: Length of the first phase, in seconds.
    """

    def __init__(
        self,
        drain_wait_s: float,
        stop_limit_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.drain_wait_s = drain_wait_s
        self._stop_limit_s = stop_limit_s
        self._clock = clock
        self._begun_s: float | None = None
        self._has_ended = False

    @property
    def is_begun(self) -> bool:
        """Whether the stop has begun."""
        return self._begun_s is not None

    def begin(self) -> None:
        """Records that the stop begins now."""
        self._begun_s = self._clock()

    def end(self) -> None:
        """Takes no more calls, although time may be left."""
        self._has_ended = True

    def remaining_s(self) -> float:
        """Returns the time until calls must have ended; the stop has begun."""
        return max(0, self._end_s() - self._clock())

    def bound_deadline(self, deadline_s: float) -> float | None:
        """Returns the deadline for a call that has just arrived.

        Args:
            deadline_s: When its caller gives up, in monotonic seconds.

        Returns:
            That deadline, or an earlier one; None if the call can't be taken,
            because the process may end before it is answered.
        """
        if self._begun_s is None:
            return deadline_s
        if self._has_ended:
            return None
        end_s = self._end_s()
        if self._clock() < self._begun_s + self.drain_wait_s:
            return min(deadline_s, end_s)
        return deadline_s if deadline_s <= end_s else None

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

    def _end_s(self) -> float:
        return self._begun_s + self.drain_wait_s + self._stop_limit_s


def stopping() -> Answer:
    """Returns the refusal of a call that does not fit into the stop."""
    return not_run('stopping', _RETRY_AFTER_MS)
