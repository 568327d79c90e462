"""Clocks: monotonic time for decisions, hybrid logical clocks for events."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle.util.numbers import MAX_NUMBER

MS_PER_S = 1000
US_PER_S = 1_000_000

# A stamp further ahead comes from a wall clock that is set wrong. Following it
# would permanently falsify the timelines of all processes.
MAX_AHEAD_MS = 3_600_000

MonotonicClock = Callable[[], float]


def monotonic_s() -> float:
    """Returns monotonic time in seconds, used for all decisions."""
    return time.monotonic()


def boot_s() -> float:
    """Returns seconds since the boot, including those spent suspended.

    Monotonic time stands still while a host is suspended, so that it can't
    bound the age of what other hosts have said.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def monotonic_ms() -> int:
    """Returns monotonic time in milliseconds."""
    return int(time.monotonic() * MS_PER_S)


def wall_ms() -> int:
    """Returns wall-clock time in milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


@dataclass(frozen=True, order=True, slots=True)
class Stamp:
    """A hybrid logical timestamp, ordered by wall time and then counter.

    Attributes:
        wall_ms: Milliseconds since the epoch, never less than that of a stamp
            seen before.
        counter: Orders stamps with equal milliseconds.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Hybrid logical clock of a process."""

    def __init__(self, wall: Callable[[], int] = wall_ms) -> None:
        self._wall = wall
        self._last = Stamp(wall_ms=0, counter=0)

    @property
    def last(self) -> Stamp:
        """The latest stamp returned or observed."""
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
        """Advances the clock to a stamp received from another process.

        A stamp more than an hour ahead of the local wall clock is ignored, and
        so is a counter that could no longer be sent after some ticks.
        """
        if remote.wall_ms - self._wall() > MAX_AHEAD_MS:
            return
        if remote.counter > MAX_NUMBER:
            return
        self._last = max(self._last, remote)
