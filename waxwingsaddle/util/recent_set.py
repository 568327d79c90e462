"""Set of identifiers that forgets old ones."""

from collections.abc import Callable


class RecentSet:
    """Remembers identifiers for at least a given time.

    Two generations take turns, so that forgetting costs nothing per entry.

    Args:
        kept_s: Least time that an identifier is remembered, in seconds.
        clock: Monotonic seconds.
    """

    def __init__(self, kept_s: float, clock: Callable[[], float]) -> None:
        self._kept_s = kept_s
        self._clock = clock
        self._young: set[str] = set()
        self._old: set[str] = set()
        self._turned_s = clock()

    def __len__(self) -> int:
        return len(self._young) + len(self._old)

    def add(self, identifier: str) -> bool:
        """Adds an identifier, and says whether it is new."""
        now_s = self._clock()
        if now_s - self._turned_s >= self._kept_s:
            is_stale = now_s - self._turned_s >= 2 * self._kept_s
            self._old = set() if is_stale else self._young
            self._young = set()
            self._turned_s = now_s
        if identifier in self._young or identifier in self._old:
            return False
        self._young.add(identifier)
        return True
