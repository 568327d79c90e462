"""The in-memory log of a replica, with its sync and apply positions."""

from collections.abc import Iterable
from itertools import dropwhile, islice

from waxwingsaddle.raft_messages import Entry, Members, Payload, Snapshot


class BrokenInvariantError(RuntimeError):
    """An operation would lose or change a committed entry."""


class RaftLog:
    """Log entries after the last compaction.

    The base is the last compacted entry, of which only index and term are
    kept.

    Args:
        snapshot: State before the first entry.
        entries: Synced entries after the snapshot, without gaps.
        commit: Index of the last entry known to be committed.

    Attributes:
        snapshot: Newest snapshot; its index is at or after the base.
        commit: Index of the last entry known to be committed.
    """

    def __init__(
        self,
        snapshot: Snapshot,
        entries: Iterable[Entry] = (),
        commit: int = 0,
    ) -> None:
        self.snapshot = snapshot
        self._base = (snapshot.index, snapshot.term)
        self._entries = list(entries)
        self._synced_index = self.last_index
        self._applied_index = snapshot.index
        self.commit = max(snapshot.index, min(commit, self.last_index))
        self._member_changes = [(snapshot.index, snapshot.members)]
        self._record_members(self._entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base[0] + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base[1]

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._member_changes[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that set `members`."""
        return self._member_changes[-1][0]

    def members_at(self, index: int) -> Members:
        """Returns the members that were valid at an index."""
        return max(
            (change for change in self._member_changes if change[0] <= index),
            key=_by_index,
        )[1]

    def set_initial_members(self, members: Members) -> None:
        """Sets the members of an empty log for the first election.

        They are not durable until the first leader appends them as an entry.

        Raises:
            BrokenInvariantError: The log is not empty.
        """
        if self.last_index:
            raise BrokenInvariantError(
                'initial members can be set only on an empty log',
            )
        self._member_changes = [(0, members)]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None if the log does not have it."""
        offset = index - self._base[0]
        if offset == 0:
            return self._base[1]
        if 0 < offset <= len(self._entries):
            return self._entries[offset - 1].term
        return None

    def entries_from(self, index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Returns entries from an index on, up to a size limit.

        Args:
            index: Index of the first entry.
            limit_bytes: Maximum total size. The first entry is returned even
                if it is larger.
        """
        batch: list[Entry] = []
        size_bytes = 0
        first = index - self._base[0] - 1
        for entry in islice(self._entries, first, None):
            size_bytes += entry.size_bytes
            if batch and size_bytes > limit_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, term: int, payload: Payload) -> Entry:
        """Appends an entry of this replica as leader."""
        entry = Entry(self.last_index + 1, term, payload)
        self._extend([entry])
        return entry

    def merge(self, entries: Iterable[Entry]) -> None:
        """Merges entries from a leader into the log.

        Entries that the log already has are skipped. The first one that
        differs replaces the existing entry and all entries after it.

        Args:
            entries: Entries without gaps; the log has the one before them.

        Raises:
            BrokenInvariantError: A committed entry would be replaced.
        """
        new_entries = list(dropwhile(self._has_entry, entries))
        if new_entries:
            self._truncate(new_entries[0].index)
            self._extend(new_entries)

    def conflict_hint(self, index: int) -> int:
        """Returns the index that a leader should try after a mismatch.

        All entries of the mismatching term are skipped at once.

        Args:
            index: Index of the entry whose term does not match.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.commit and self.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def take_unsynced(self) -> tuple[Entry, ...]:
        """Returns the entries to sync since the last call.

        The first one may overwrite a stored entry and all after it.
        """
        start = self._synced_index - self._base[0]
        self._synced_index = self.last_index
        return tuple(self._entries[start:])

    def take_committed(self) -> tuple[Entry, ...]:
        """Returns the committed entries to apply since the last call."""
        start = self._applied_index - self._base[0]
        end = self.commit - self._base[0]
        self._applied_index = max(self._applied_index, self.commit)
        return tuple(self._entries[start:end])

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Discards entries that a snapshot of this replica covers.

        Args:
            snapshot: State at or before the last applied entry.
            kept_entries: Number of entries before the snapshot to keep for
                followers that lag slightly.

        Raises:
            BrokenInvariantError: The snapshot lies beyond the end of the log.
        """
        self.snapshot = snapshot
        base_index = max(self._base[0], snapshot.index - kept_entries)
        base_term = self.term_at(base_index)
        if base_term is None:
            raise BrokenInvariantError('compaction beyond the end of the log')
        members = self.members_at(base_index)
        self._entries = self._entries[base_index - self._base[0] :]
        self._base = (base_index, base_term)
        self._member_changes = [
            (base_index, members),
            *(
                change
                for change in self._member_changes
                if change[0] > base_index
            ),
        ]

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the log by a snapshot from the leader.

        Raises:
            BrokenInvariantError: The snapshot is not newer than the last
                committed entry.
        """
        if snapshot.index <= self.commit:
            raise BrokenInvariantError(
                'snapshot is not newer than the committed entries',
            )
        self.snapshot = snapshot
        self._base = (snapshot.index, snapshot.term)
        self._entries = []
        self._member_changes = [(snapshot.index, snapshot.members)]
        self.commit = snapshot.index
        self._synced_index = snapshot.index
        self._applied_index = snapshot.index

    def _has_entry(self, entry: Entry) -> bool:
        return (
            entry.index <= self._base[0]
            or self.term_at(entry.index) == entry.term
        )

    def _extend(self, entries: list[Entry]) -> None:
        self._entries.extend(entries)
        self._record_members(entries)

    def _truncate(self, first_index: int) -> None:
        if first_index <= self.commit:
            raise BrokenInvariantError(
                f'cannot replace entry {first_index}: '
                f'committed up to {self.commit}',
            )
        del self._entries[first_index - self._base[0] - 1 :]
        self._synced_index = min(self._synced_index, first_index - 1)
        while (
            len(self._member_changes) > 1
            and self._member_changes[-1][0] >= first_index
        ):
            self._member_changes.pop()

    def _record_members(self, entries: Iterable[Entry]) -> None:
        self._member_changes.extend(
            (entry.index, entry.payload)
            for entry in entries
            if isinstance(entry.payload, Members)
        )


def _by_index(change: tuple[int, Members]) -> int:
    return change[0]
