"""Durable state of a replica: identity, vote, log and snapshot.

Everything is synced before the calls return, except the sync record, which
says how much of the log is synced. If acknowledged state can't be read back,
the identity ends: its files are moved to a subfolder and the host starts with
a new identity.
"""

import errno
import fcntl
import os
import secrets
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

import msgspec

from waxwingsaddle.frames import DamagedError, encode_frame, read_first_body
from waxwingsaddle.log_formation import FormationRecord
from waxwingsaddle.raft import Stored
from waxwingsaddle.raft_messages import Entry, Snapshot, Vote
from waxwingsaddle.segments import PATTERN, SegmentLog, Synced
from waxwingsaddle.util.codec import msgpack_decoder, pack
from waxwingsaddle.util.files import replace_file, sync_folder

FULL_DISK = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))
IDENTITY_BYTES = 6
IDENTITY_FILE = 'identity'
VOTE_FILE = 'vote'
SNAPSHOT_FILE = 'snapshot'
SYNCED_FILE = 'synced'
FORMATION_FILE = 'formation'
LOCK_FILE = 'lock'
DAMAGED_PREFIX = 'damaged-'

_NO_FORMATION = FormationRecord(())

_Struct = TypeVar('_Struct', bound=msgspec.Struct)


class DiskFullError(Exception):
    """The disk is full; the requested state is not stored."""


class FolderInUseError(Exception):
    """Another process or host uses the data folder."""


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Content of the identity file.

    Attributes:
        host: Name of the control host that owns the folder.
        identity: Identity of its replica.
    """

    host: str
    identity: str


class Storage:
    """Durable state in one data folder.

    Args:
        folder: The data folder; created if missing.
        host: Name of the control host.
        formation: State in the agreement on a new log for a host without one;
            stored in a new folder if it counts for a majority.

    Attributes:
        identity: Identity of the replica.
        formation: State in the agreement on a new log.
        damage: Why the previous identity was ended at this start; None if it
            was not.
        stored: State read from the disk at the start.

    Raises:
        FolderInUseError: Another process or host uses the folder.
        DiskFullError: The disk is full and the folder is new.
        OSError: The disk fails.
    """

    def __init__(
        self,
        folder: Path,
        host: str,
        formation: FormationRecord = _NO_FORMATION,
    ) -> None:
        self._folder = folder
        self._host = host
        self.formation = formation
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = _lock(folder / LOCK_FILE)
        self.damage: str | None = None
        self.identity = ''
        self._appended_bytes = 0
        try:
            self._open()
        except (DamagedError, msgspec.DecodeError) as error:
            self.damage = str(error)
            self._quarantine()
            self.formation = FormationRecord(formation.first_voters)
            self._create()
            self._open()

    @property
    def log_bytes(self) -> int:
        """Bytes appended to the log since the last snapshot."""
        return self._appended_bytes

    @property
    def has_lost_state(self) -> bool:
        """Whether the folder contains damaged state of an earlier identity."""
        return any(self._folder.glob(f'{DAMAGED_PREFIX}*'))

    def save_vote(self, vote: Vote) -> None:
        """Stores term and vote."""
        with _disk_full_errors():
            self._replace(VOTE_FILE, vote)

    def save_formation(self, formation: FormationRecord) -> None:
        """Stores the state in the agreement on a new log."""
        with _disk_full_errors():
            self._replace(FORMATION_FILE, formation)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Stores entries.

        The first one replaces any stored entry with the same index and all
        entries after it.
        """
        previous_bytes = self._log.size_bytes
        with _disk_full_errors():
            self._log.append(entries)
        self._appended_bytes += self._log.size_bytes - previous_bytes
        self._last_entry = (entries[-1].index, entries[-1].term)
        self._write_sync_record(self._synced.commit)

    def record_commit(self, index: int) -> None:
        """Writes the commit index to the sync record, without a sync."""
        if index > self._synced.commit:
            self._write_sync_record(index)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot of this replica and deletes the log before it."""
        with _disk_full_errors():
            self._replace(SNAPSHOT_FILE, snapshot)
            self._log.start_segment(*self._last_entry)
        self._appended_bytes = 0
        self._log.delete_through(snapshot.index)
        self._write_sync_record(self._synced.commit)

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot from the leader and deletes the log."""
        with _disk_full_errors():
            self._replace(SNAPSHOT_FILE, snapshot)
            self._log.reset(snapshot.index, snapshot.term)
        self._appended_bytes = 0
        self._last_entry = (snapshot.index, snapshot.term)
        self._write_sync_record(snapshot.index)

    def close(self) -> None:
        """Closes the files."""
        self._log.close()
        os.close(self._sync_record_descriptor)
        os.close(self._lock)

    def _open(self) -> None:
        if not (self._folder / IDENTITY_FILE).exists():
            if any(self._folder.glob(PATTERN)):
                raise DamagedError('the identity file is missing')
            self._create()
        identity = self._read(IDENTITY_FILE, Identity)
        if identity.host != self._host:
            raise FolderInUseError(
                f'{self._folder} belongs to host {identity.host}',
            )
        self.identity = identity.identity
        if (self._folder / FORMATION_FILE).exists():
            self.formation = self._read(FORMATION_FILE, FormationRecord)
        vote = self._read(VOTE_FILE, Vote)
        snapshot = self._read(SNAPSHOT_FILE, Snapshot)
        self._synced = self._read_sync_record()
        self._log = SegmentLog(self._folder, self._synced)
        entries = self._entries_after(snapshot)
        last = entries[-1] if entries else snapshot
        self._last_entry = (last.index, last.term)
        self._appended_bytes = self._log.size_bytes
        self.stored = Stored(vote, snapshot, entries, self._synced.commit)
        self._sync_record_descriptor = os.open(
            self._folder / SYNCED_FILE,
            os.O_WRONLY | os.O_CREAT,
        )
        self._write_sync_record(self._synced.commit)

    def _create(self) -> None:
        # The identity is written last: a folder without it counts as new.
        identity = f'{self._host}.{secrets.token_hex(IDENTITY_BYTES)}'
        with _disk_full_errors():
            self._replace(VOTE_FILE, Vote())
            self._replace(SNAPSHOT_FILE, Snapshot())
            if self.formation.is_counted:
                self._replace(FORMATION_FILE, self.formation)
            self._replace(IDENTITY_FILE, Identity(self._host, identity))

    def _entries_after(self, snapshot: Snapshot) -> tuple[Entry, ...]:
        log = self._log
        offset = snapshot.index - log.base.prev_index
        if offset < 0:
            raise DamagedError('log entries after the snapshot are missing')
        terms = [log.base.prev_term, *(entry.term for entry in log.entries)]
        if offset < len(terms) and terms[offset] == snapshot.term:
            if log.size_bytes == 0:
                log.start_segment(snapshot.index, snapshot.term)
            return tuple(log.entries[offset:])
        # A crash interrupted `install_snapshot`: the leader's snapshot is
        # stored, but the old log is not deleted yet.
        log.reset(snapshot.index, snapshot.term)
        return ()

    def _quarantine(self) -> None:
        quarantine = self._folder / f'{DAMAGED_PREFIX}{secrets.token_hex(4)}'
        quarantine.mkdir()
        for path in self._folder.iterdir():
            if path.is_file() and path.name != LOCK_FILE:
                path.rename(quarantine / path.name)
        sync_folder(self._folder)

    def _replace(self, name: str, struct: msgspec.Struct) -> None:
        replace_file(self._folder / name, encode_frame(pack(struct)))

    def _read(self, name: str, struct_type: type[_Struct]) -> _Struct:
        try:
            raw = (self._folder / name).read_bytes()
        except FileNotFoundError:
            raise DamagedError(f'the {name} file is missing') from None
        return msgpack_decoder(struct_type)(read_first_body(raw, name))

    def _read_sync_record(self) -> Synced:
        try:
            return self._read(SYNCED_FILE, Synced)
        except (DamagedError, msgspec.DecodeError):
            return Synced()

    def _write_sync_record(self, commit: int) -> None:
        self._synced = Synced(*self._log.position, commit)
        os.pwrite(
            self._sync_record_descriptor, encode_frame(pack(self._synced)), 0
        )


def _lock(path: Path) -> int:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise FolderInUseError(f'{path.parent} is in use') from None
    return descriptor


@contextmanager
def _disk_full_errors() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno not in FULL_DISK:
            raise
        raise DiskFullError(f'disk full: {error.strerror}') from error
