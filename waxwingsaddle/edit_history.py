"""History of accepted versions: numbers, digests and authors."""

from collections import deque
from collections.abc import Iterable
from itertools import islice

import msgspec

from waxwingsaddle.outcomes import Accepted


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """One accepted version in the history.

    Attributes:
        version: The version.
        digest: Digest of all merged sites.
        author: Who submitted it first.
        accepted_ms: When the leader received it, in milliseconds since the
            epoch.
        number: The operator's document number; an edit of files gets the
            next free number.
    """

    version: int
    digest: str
    author: str
    accepted_ms: int
    number: int = 0

    def as_outcome(self) -> Accepted:
        """Returns the outcome of the edit that led to this version."""
        return Accepted(
            version=self.version,
            digest=self.digest,
            author=self.author,
            accepted_ms=self.accepted_ms,
        )


class EditHistory:
    """The newest accepted versions, oldest first.

    Args:
        max_entries: Maximum number of stored versions.
    """

    def __init__(self, max_entries: int) -> None:
        self._entries: deque[HistoryEntry] = deque(maxlen=max_entries)
        self._by_number: dict[int, HistoryEntry] = {}

    @property
    def newest(self) -> HistoryEntry | None:
        """The newest version; None before any edit."""
        return self._entries[-1] if self._entries else None

    @property
    def number(self) -> int:
        """The operator's number of the newest version; 0 before any edit."""
        return self._entries[-1].number if self._entries else 0

    def entries(self) -> tuple[HistoryEntry, ...]:
        """Returns all stored versions, oldest first."""
        return tuple(self._entries)

    def add(self, entry: HistoryEntry) -> None:
        """Adds the next version."""
        if len(self._entries) == self._entries.maxlen:
            self._by_number.pop(self._entries[0].number, None)
        self._entries.append(entry)
        self._by_number[entry.number] = entry

    def replace(self, entries: Iterable[HistoryEntry]) -> None:
        """Replaces all stored versions."""
        self._entries.clear()
        self._by_number.clear()
        for entry in entries:
            self.add(entry)

    def of_number(self, number: int) -> HistoryEntry | None:
        """Returns the version with an operator's number, if it is stored."""
        return self._by_number.get(number)

    def of_version(self, version: int) -> HistoryEntry | None:
        """Returns a version; None if it was dropped or never accepted."""
        if not self._entries:
            return None
        offset = version - self._entries[0].version
        if offset < 0:
            return None
        return next(islice(self._entries, offset, None), None)
