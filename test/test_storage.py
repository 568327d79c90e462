"""Durable state after crashes, damage, full disks and lost disks."""

import os
import shutil
import tempfile
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from unittest import mock

from test.limits import file_size_limit
from waxwingsaddle.frames import HEADER_BYTES
from waxwingsaddle.raft_messages import (
    Command,
    Entry,
    Members,
    Noop,
    Replica,
    Snapshot,
    Vote,
)
from waxwingsaddle.storage import (
    SNAPSHOT_FILE,
    SYNCED_FILE,
    DiskFullError,
    FolderInUseError,
    Storage,
)

MEMBERS = Members((Replica('c0.1', 'c0', '127.0.0.1:1'),))


@contextmanager
def _folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name) / 'state'


def _entries(*indexes, term=1):
    return tuple(
        Entry(index, term, Command(b'command %d' % index)) for index in indexes
    )


def _write_batches(folder, batches=((1,), (2, 3), (4,))):
    storage = Storage(folder, 'c0')
    for batch in batches:
        storage.append(_entries(*batch))
    storage.close()
    return storage.identity


def _reopen(folder):
    storage = Storage(folder, 'c0')
    storage.close()
    return storage


def _segment(folder):
    return max(folder.glob('log-*.seg'))


def test_state_survives_a_restart():
    """Guards against a vote, entries or a commit index lost by a restart."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.save_vote(Vote(7, 'c1.5'))
        storage.append(_entries(1, 2, 3))
        storage.append((*_entries(3, term=2), Entry(4, 2, MEMBERS)))
        storage.record_commit(3)
        storage.close()
        reopened = _reopen(folder)
        assert reopened.identity == storage.identity
        assert reopened.damage is None
        assert reopened.stored.vote == Vote(7, 'c1.5')
        assert reopened.stored.commit == 3
        assert [entry.term for entry in reopened.stored.entries] == [1, 1, 2, 2]
        assert reopened.stored.entries[-1].payload == MEMBERS


def test_compaction_drops_only_what_the_snapshot_covers():
    """Guards against a compaction that deletes entries after the snapshot."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2, 3, 4))
        storage.save_snapshot(Snapshot(2, 1, MEMBERS, b'state 2'))
        storage.append(_entries(5, 6))
        storage.save_snapshot(Snapshot(5, 1, MEMBERS, b'state 5'))
        storage.append(_entries(7))
        storage.close()
        reopened = _reopen(folder).stored
        assert reopened.snapshot.body == b'state 5'
        assert reopened.entries == _entries(6, 7)
        assert len(list(folder.glob('log-*.seg'))) == 2


def test_crash_within_the_install_of_a_snapshot():
    """Guards against stale log entries after a snapshot from the leader.

    The crash occurs after the snapshot is stored and before the old log, whose
    entries may differ from the leader's, is deleted.
    """
    with _folder() as folder:
        _write_batches(folder, [(1, 2, 3, 4, 5)])
        storage = Storage(folder, 'c0')
        with mock.patch.object(storage._log, 'reset', side_effect=KeyError):
            _assert_raises(
                KeyError,
                storage.install_snapshot,
                Snapshot(3, 2, MEMBERS, b'state'),
            )
        storage.close()
        reopened = Storage(folder, 'c0')
        assert reopened.damage is None
        assert reopened.stored.entries == ()
        reopened.append(_entries(4, term=2))
        reopened.close()
        assert _reopen(folder).stored.entries == _entries(4, term=2)


def test_torn_tail_is_cut():
    """Guards against a host that cannot start after a crash during a write.

    The incomplete frame of an interrupted append, cut at various sizes, with
    or without zeros in place of the missing bytes, must be removed at the
    start.
    """
    with _folder() as folder:
        identity = _write_batches(folder, [(1,), (2, 3)])
        intact = _segment(folder).read_bytes()
        storage = Storage(folder, 'c0')
        storage.append(_entries(4, 5))
        storage.close()
        extended = _segment(folder).read_bytes()
        for size_bytes in range(len(intact), len(extended), 3):
            # A power loss may also lose the sync record.
            (folder / SYNCED_FILE).unlink()
            zeros = bytes(size_bytes % 2 * (len(extended) - size_bytes))
            _segment(folder).write_bytes(extended[:size_bytes] + zeros)
            reopened = _reopen(folder)
            assert reopened.identity == identity, size_bytes
            assert reopened.stored.entries == _entries(1, 2, 3), size_bytes
            assert _segment(folder).read_bytes() == intact, size_bytes


def test_changed_byte_never_changes_state_silently():
    """Guards against damaged acknowledged entries removed as a torn write."""
    with _folder() as folder:
        identity = _write_batches(folder)
        intact = _segment(folder).read_bytes()
        for offset in range(0, len(intact), 5):
            copy = folder.with_name(f'copy-{offset}')
            shutil.copytree(folder, copy)
            changed = bytearray(intact)
            changed[offset] ^= 1
            _segment(copy).write_bytes(changed)
            reopened = _reopen(copy)
            assert reopened.damage, offset
            assert reopened.identity != identity, offset
            assert reopened.stored.entries == (), offset
            assert list(copy.glob('damaged-*/log-*.seg')), offset


def test_damage_is_found_without_the_sync_record():
    """Guards against damage taken for a torn write if the record is lost."""
    with _folder() as folder:
        identity = _write_batches(folder, [(1, 2)])
        last_frame_offset = _segment(folder).stat().st_size
        _write_batches(folder, [(3,)])
        intact = _segment(folder).read_bytes()
        in_body = range(last_frame_offset + HEADER_BYTES, len(intact))
        for offset in (*range(last_frame_offset), *in_body):
            copy = folder.with_name(f'copy-{offset}')
            shutil.copytree(folder, copy)
            (copy / SYNCED_FILE).unlink()
            changed = bytearray(intact)
            changed[offset] ^= 1
            _segment(copy).write_bytes(changed)
            assert _reopen(copy).identity != identity, offset


def test_cut_of_acknowledged_entries_is_damage():
    """Guards against a truncated file that is mistaken for a torn write.

    The sync record says that the missing bytes were synced.
    """
    with _folder() as folder:
        identity = _write_batches(folder)
        os.truncate(_segment(folder), _segment(folder).stat().st_size - 1)
        assert _reopen(folder).identity != identity


def test_lost_and_partly_lost_disks_end_the_identity():
    """Guards against an identity that is kept after state was lost.

    It could vote twice in a term, or vote without entries it acknowledged.
    """
    for pattern in ('*', 'log-*', 'vote', 'identity', SNAPSHOT_FILE):
        with _folder() as folder:
            identity = _write_batches(folder)
            for path in folder.glob(pattern):
                path.unlink()
            reopened = _reopen(folder)
            assert reopened.identity != identity, pattern
            assert reopened.stored.entries == (), pattern


def test_full_disk_is_an_error_and_loses_nothing():
    """Guards against a full disk that damages the log or is not reported."""
    with _folder() as folder:
        _write_batches(folder, [(1, 2)])
        storage = Storage(folder, 'c0')
        large = (Entry(3, 1, Command(bytes(range(256)) * 64)),)
        with file_size_limit(8000):
            content = _segment(folder).read_bytes()
            _assert_raises(DiskFullError, storage.append, large)
            assert _segment(folder).read_bytes() == content
            _assert_raises(DiskFullError, storage.append, large)
            storage.append(_entries(3))
            snapshot = Snapshot(2, 1, MEMBERS, bytes(9000))
            _assert_raises(DiskFullError, storage.save_snapshot, snapshot)
        storage.append((Entry(4, 1, Noop()),))
        storage.close()
        loaded = _reopen(folder)
        assert loaded.damage is None
        assert [entry.index for entry in loaded.stored.entries] == [1, 2, 3, 4]


def test_acknowledged_state_survives_a_power_loss():
    """Guards against calls that return before their data is synced.

    After each call, a copy of the folder with only the synced content must
    contain all that was stored.
    """
    with _folder() as folder, _power_loss(folder) as lose_power:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2))
        storage.save_vote(Vote(3, 'c0.1'))
        storage.append(_entries(3))
        assert lose_power() == (storage.identity, 3, Vote(3, 'c0.1'), 0)
        storage.save_snapshot(Snapshot(3, 1, MEMBERS, b'state'))
        assert lose_power() == (storage.identity, 0, Vote(3, 'c0.1'), 3)
        storage.append(_entries(4))
        assert lose_power() == (storage.identity, 1, Vote(3, 'c0.1'), 3)
        storage.install_snapshot(Snapshot(9, 2, MEMBERS, b'other'))
        assert lose_power() == (storage.identity, 0, Vote(3, 'c0.1'), 9)
        storage.close()


def test_folder_is_used_by_one_process_and_host():
    """Guards against two processes that run the same identity."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        _assert_raises(FolderInUseError, Storage, folder, 'c0')
        storage.close()
        _assert_raises(FolderInUseError, Storage, folder, 'c1')


def _assert_raises(error, call, *arguments):
    try:
        call(*arguments)
    except error:
        return
    raise AssertionError(f'no {error.__name__}')


class _SyncRecorder:
    """Replaces `os.fsync` and records the synced content of files."""

    def __init__(self):
        self.synced = {}
        self._fsync = os.fsync

    def __call__(self, descriptor):
        """Syncs a file and records its content."""
        self._fsync(descriptor)
        path = Path(f'/proc/self/fd/{descriptor}').resolve()
        if path.is_file():
            self.synced[os.fstat(descriptor).st_ino] = path.read_bytes()


@contextmanager
def _power_loss(folder):
    """Yields a function that opens a copy with only the synced content."""
    recorder = _SyncRecorder()
    with mock.patch('os.fsync', recorder):
        yield partial(_after_power_loss, folder, recorder.synced)


def _after_power_loss(folder, synced):
    with tempfile.TemporaryDirectory() as name:
        for path in folder.iterdir():
            content = synced.get(path.stat().st_ino, b'')
            (Path(name) / path.name).write_bytes(content)
        reopened = _reopen(Path(name))
    stored = reopened.stored
    entries = len(stored.entries)
    return reopened.identity, entries, stored.vote, stored.snapshot.index
