"""Set of identifiers that expire."""

from collections.abc import Callable


class RecentSet:
    """Remembers identifiers for at least a given time.

    Identifiers are stored in two generations, and the older one is dropped as
    a whole, so that expiry needs no work per entry.

    Args:
        retention_s: Minimum time that an identifier is remembered, in seconds.
        clock: Returns monotonic time in seconds.
    """

    def __init__(self, retention_s: float, clock: Callable[[], float]) -> None:
        self._retention_s = retention_s
        self._clock = clock
        self._young: set[str] = set()
        self._old: set[str] = set()
        self._rotated_s = clock()

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def __contains__(self, identifier: str) -> bool:
        return identifier in self._young or identifier in self._old

    def add(self, identifier: str) -> bool:
        """Adds an identifier, and returns whether it was not yet present."""
        now_s = self._clock()
        if now_s - self._rotated_s >= self._retention_s:
            is_stale = now_s - self._rotated_s >= 2 * self._retention_s
            self._old = set() if is_stale else self._young
            self._young = set()
            self._rotated_s = now_s
        if identifier in self:
            return False
        self._young.add(identifier)
        return True
