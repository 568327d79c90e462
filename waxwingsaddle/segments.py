"""The log on disk, in append-only segment files.

A later entry replaces an earlier one with the same index and all entries
after that, so files need not be truncated when the end of the log changes.
Each append writes one frame and syncs it before the call returns.
"""

import os
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import msgspec

from waxwingsaddle.frames import (
    DamagedError,
    FrameScan,
    encode_frame,
    read_frames,
)
from waxwingsaddle.raft_messages import Entry
from waxwingsaddle.util.codec import msgpack_decoder, pack
from waxwingsaddle.util.files import sync_folder

PATTERN = 'log-*.seg'


class SegmentStart(msgspec.Struct, frozen=True, array_like=True):
    """First frame of a segment: index and term of the entry before it."""

    prev_index: int
    prev_term: int


class Synced(msgspec.Struct, frozen=True, array_like=True):
    """The sync record: how much of the log is synced, and the commit index.

    It distinguishes damaged acknowledged entries from an interrupted write,
    and tells a restarted host its commit index. The record is written without
    a sync, so it may be outdated after a power loss.

    Attributes:
        segment: Number of the last segment.
        size_bytes: Number of synced bytes of that segment.
        commit: Index of the last entry known to be committed.
    """

    segment: int = 0
    size_bytes: int = 0
    commit: int = 0


@dataclass(slots=True)
class _Segment:
    """A segment file.

    Attributes:
        number: Number of the segment, counted from 1.
        path: The file.
        size_bytes: Size of its intact, synced frames.
        max_index: Highest index of an entry in it, or of the entry before it
            if that is higher.
    """

    number: int
    path: Path
    size_bytes: int
    max_index: int


_decode_start = msgpack_decoder(SegmentStart)
_decode_batch = msgpack_decoder(tuple[Entry, ...])


class SegmentLog:
    """Log entries in the numbered segment files of a folder.

    Args:
        folder: The folder.
        synced: The sync record.

    Attributes:
        base: Index and term of the entry before the first one.
        entries: The entries that were read from the folder.

    Raises:
        DamagedError: Acknowledged entries can't be read back.
    """

    def __init__(self, folder: Path, synced: Synced) -> None:
        self._folder = folder
        self._segments: list[_Segment] = []
        self._descriptor = -1
        self.base = SegmentStart(0, 0)
        self.entries: list[Entry] = []
        paths = sorted(folder.glob(PATTERN))
        for path in paths:
            self._load(path, synced, is_last=path == paths[-1])
        last_number = self._segments[-1].number if self._segments else 0
        if last_number < synced.segment:
            raise DamagedError(f'log segment {synced.segment} is missing')
        if self._segments:
            self._descriptor = os.open(self._segments[-1].path, os.O_WRONLY)

    @property
    def size_bytes(self) -> int:
        """Total size of all segments."""
        return sum(segment.size_bytes for segment in self._segments)

    @property
    def position(self) -> tuple[int, int]:
        """Number of the last segment and the size of its synced part."""
        last = self._segments[-1]
        return last.number, last.size_bytes

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Appends entries and syncs them.

        Raises:
            OSError: They could not be written; the log is unchanged.
        """
        last = self._segments[-1]
        self._write(last, encode_frame(pack(entries)))
        last.max_index = max(last.max_index, entries[-1].index)

    def start_segment(self, prev_index: int, prev_term: int) -> None:
        """Starts a new segment.

        Args:
            prev_index: Index of the last entry before the segment.
            prev_term: Term of that entry.

        Raises:
            OSError: It could not be written; the log is unchanged.
        """
        number = self._segments[-1].number + 1 if self._segments else 1
        path = self._folder / f'log-{number:012d}.seg'
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        self.close()
        self._descriptor = descriptor
        segment = _Segment(number, path, 0, prev_index)
        try:
            self._write(
                segment, encode_frame(pack(SegmentStart(prev_index, prev_term)))
            )
        except OSError:
            self._reopen(path)
            raise
        self._segments.append(segment)
        sync_folder(self._folder)

    def delete_through(self, index: int) -> None:
        """Deletes the oldest segments without entries after an index."""
        while len(self._segments) > 1 and self._segments[0].max_index <= index:
            self._delete_first()

    def reset(self, prev_index: int, prev_term: int) -> None:
        """Deletes all entries.

        Args:
            prev_index: Index of the entry that the next one follows.
            prev_term: Term of that entry.
        """
        self.start_segment(prev_index, prev_term)
        while len(self._segments) > 1:
            self._delete_first()

    def close(self) -> None:
        """Closes the file of the last segment."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = -1

    def _delete_first(self) -> None:
        # A deleted file may reappear after a power loss if the folder was not
        # synced. Without a sync after each deletion, a gap between segments
        # or entries from before a reset would look like damage.
        self._segments.pop(0).path.unlink()
        sync_folder(self._folder)

    def _reopen(self, failed: Path) -> None:
        # The log continues in the segment before the one that failed.
        self.close()
        failed.unlink()
        if self._segments:
            self._descriptor = os.open(self._segments[-1].path, os.O_WRONLY)

    def _write(self, segment: _Segment, framed: bytes) -> None:
        offset = segment.size_bytes
        try:
            _write_all(self._descriptor, framed, offset)
        except OSError:
            with suppress(OSError):
                os.ftruncate(self._descriptor, offset)
            raise
        segment.size_bytes = offset + len(framed)

    def _load(self, path: Path, synced: Synced, *, is_last: bool) -> None:
        number = int(path.stem.removeprefix('log-'))
        has_record = number == synced.segment
        frames = read_frames(
            path.read_bytes(),
            path.name,
            synced.size_bytes if has_record else 0,
        )
        if frames.is_torn:
            if not is_last:
                raise DamagedError(
                    f'{path.name}: truncated, but not the last segment',
                )
            _truncate_file(path, frames.good_bytes)
        if not frames.bodies:
            # The creation of the segment was interrupted.
            path.unlink()
            return
        self._replay(path, number, frames)

    def _replay(self, path: Path, number: int, frames: FrameScan) -> None:
        start = _decode_start(frames.bodies[0])
        if self._segments:
            if number != self._segments[-1].number + 1:
                raise DamagedError(f'log segment {number - 1} is missing')
        else:
            self.base = start
        segment = _Segment(number, path, frames.good_bytes, start.prev_index)
        for body in frames.bodies[1:]:
            batch = _decode_batch(body)
            self._merge_batch(batch, path)
            segment.max_index = max(segment.max_index, batch[-1].index)
        self._segments.append(segment)

    def _merge_batch(self, batch: Iterable[Entry], path: Path) -> None:
        for entry in batch:
            offset = entry.index - self.base.prev_index - 1
            if not 0 <= offset <= len(self.entries):
                raise DamagedError(
                    f'{path.name}: gap before entry {entry.index}'
                )
            del self.entries[offset:]
            self.entries.append(entry)


def _write_all(descriptor: int, framed: bytes, offset: int) -> None:
    written = 0
    while written < len(framed):
        remainder = memoryview(framed)[written:]
        written += os.pwrite(descriptor, remainder, offset + written)
    os.fsync(descriptor)


def _truncate_file(path: Path, size_bytes: int) -> None:
    with path.open('r+b') as stream:
        stream.truncate(size_bytes)
        os.fsync(stream.fileno())
