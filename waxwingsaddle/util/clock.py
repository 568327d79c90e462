"""Clocks: monotonic time for decisions, hybrid logical time for events."""

import time
from collections.abc import Callable
from dataclasses import dataclass

MS_PER_S = 1000

# A stamp further ahead comes from a wall clock that is set wrong. Following it
# would spoil the time line of every process for good.
MAX_AHEAD_MS = 3_600_000

MonotonicClock = Callable[[], float]


def monotonic_s() -> float:
    """Returns monotonic seconds; decision code takes such a clock."""
    return time.monotonic()


def monotonic_ms() -> int:
    """Returns monotonic milliseconds."""
    return int(time.monotonic() * MS_PER_S)


def wall_ms() -> int:
    """Returns milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


@dataclass(frozen=True, order=True, slots=True)
class Stamp:
    """A hybrid logical time stamp; ordered by wall time, then counter.

    Attributes:
        wall_ms: Milliseconds since the epoch, never behind a stamp seen.
        counter: Orders stamps with equal milliseconds.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Hybrid logical clock of one process."""

    def __init__(self, wall: Callable[[], int] = wall_ms) -> None:
        self._wall = wall
        self._last = Stamp(wall_ms=0, counter=0)

    @property
    def last(self) -> Stamp:
        """The newest stamp returned or observed."""
        return self._last

    def tick(self) -> Stamp:
        """Returns a stamp later than all stamps returned or observed."""
        now_ms = self._wall()
        if now_ms > self._last.wall_ms:
            self._last = Stamp(now_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, remote: Stamp) -> None:
        """Moves the clock past a stamp received from another process.

        A stamp more than an hour ahead of the local wall clock is ignored.
        """
        if remote.wall_ms - self._wall() > MAX_AHEAD_MS:
            return
        self._last = max(self._last, remote)
