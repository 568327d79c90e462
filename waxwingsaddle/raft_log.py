"""The log of one replica in memory, and what of it is still to be synced."""

from collections.abc import Iterable
from itertools import dropwhile, islice

from waxwingsaddle.raft_messages import Entry, Members, Payload, Snapshot


class BrokenInvariantError(RuntimeError):
    """The protocol would lose or change a committed entry."""


class RaftLog:
    """Entries after the last compaction.

    Args:
        snapshot: State that the first entry follows.
        entries: Synced entries after the snapshot, without gaps.
        commit: Index up to which entries are known as committed.

    Attributes:
        snapshot: Newest snapshot; its index is at or after the base.
        commit: Index up to which entries are known as committed.
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
        self._synced = self.last_index
        self._applied = snapshot.index
        self.commit = max(snapshot.index, min(commit, self.last_index))
        self._changes = [(snapshot.index, snapshot.members)]
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
        return self._changes[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that set `members`."""
        return self._changes[-1][0]

    def members_at(self, index: int) -> Members:
        """Returns the members as of an entry."""
        return max(
            (change for change in self._changes if change[0] <= index),
            key=_by_index,
        )[1]

    def set_initial_members(self, members: Members) -> None:
        """Sets the members of an empty log, for the first election.

        They are not durable: the first leader writes them as an entry.

        Raises:
            BrokenInvariantError: The log is not empty.
        """
        if self.last_index:
            raise BrokenInvariantError('members assumed over a log')
        self._changes = [(0, members)]

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, None when it is not held."""
        offset = index - self._base[0]
        if offset == 0:
            return self._base[1]
        if 0 < offset <= len(self._entries):
            return self._entries[offset - 1].term
        return None

    def entries_from(self, index: int, limit_bytes: int) -> tuple[Entry, ...]:
        """Returns entries from an index on: one, or as many as fit a limit."""
        chosen: list[Entry] = []
        size_bytes = 0
        first = index - self._base[0] - 1
        for entry in islice(self._entries, first, None):
            size_bytes += entry.size_bytes
            if chosen and size_bytes > limit_bytes:
                break
            chosen.append(entry)
        return tuple(chosen)

    def append(self, term: int, payload: Payload) -> Entry:
        """Adds an entry of a leader."""
        entry = Entry(self.last_index + 1, term, payload)
        self._extend([entry])
        return entry

    def merge(self, entries: Iterable[Entry]) -> None:
        """Takes entries of a leader that follow an entry held.

        Entries held already are passed over; entries that differ replace
        theirs and all after them.

        Raises:
            BrokenInvariantError: A committed entry would be replaced.
        """
        fresh = list(dropwhile(self._has_entry, entries))
        if fresh:
            self._truncate(fresh[0].index)
            self._extend(fresh)

    def conflict_hint(self, index: int) -> int:
        """Returns the last index a leader should try below a mismatch.

        All entries of the mismatching term are skipped at once.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self.commit and self.term_at(index) == term:
            index -= 1
        return max(index, self.commit)

    def take_unsynced(self) -> tuple[Entry, ...]:
        """Returns entries not handed out for syncing; the first may replace."""
        start = self._synced - self._base[0]
        self._synced = self.last_index
        return tuple(self._entries[start:])

    def take_committed(self) -> tuple[Entry, ...]:
        """Returns committed entries not handed out for applying."""
        start = self._applied - self._base[0]
        end = self.commit - self._base[0]
        self._applied = max(self._applied, self.commit)
        return tuple(self._entries[start:end])

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Drops entries that a snapshot of this replica covers.

        Args:
            snapshot: State at or before the last applied entry.
            kept_entries: Entries kept below it for followers that are a
                little behind.
        """
        self.snapshot = snapshot
        base_index = max(self._base[0], snapshot.index - kept_entries)
        base_term = self.term_at(base_index)
        if base_term is None:
            raise BrokenInvariantError('compaction beyond the log')
        members = self.members_at(base_index)
        self._entries = self._entries[base_index - self._base[0] :]
        self._base = (base_index, base_term)
        self._changes = [
            (base_index, members),
            *(change for change in self._changes if change[0] > base_index),
        ]

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces everything by a leader's snapshot."""
        if snapshot.index <= self.commit:
            raise BrokenInvariantError('snapshot older than committed entries')
        self.snapshot = snapshot
        self._base = (snapshot.index, snapshot.term)
        self._entries = []
        self._changes = [(snapshot.index, snapshot.members)]
        self.commit = snapshot.index
        self._synced = snapshot.index
        self._applied = snapshot.index

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
                f'entry {first_index} is committed up to {self.commit}',
            )
        del self._entries[first_index - self._base[0] - 1 :]
        self._synced = min(self._synced, first_index - 1)
        while len(self._changes) > 1 and self._changes[-1][0] >= first_index:
            self._changes.pop()

    def _record_members(self, entries: Iterable[Entry]) -> None:
        self._changes.extend(
            (entry.index, entry.payload)
            for entry in entries
            if isinstance(entry.payload, Members)
        )


def _by_index(change: tuple[int, Members]) -> int:
    return change[0]
