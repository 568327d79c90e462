"""Durable state: crashes, damage, full and lost disks."""

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


def _written(folder, batches=((1,), (2, 3), (4,))):
    storage = Storage(folder, 'c0')
    for batch in batches:
        storage.append(_entries(*batch))
    storage.close()
    return storage.identity


def _reopened(folder):
    storage = Storage(folder, 'c0')
    storage.close()
    return storage


def _segment(folder):
    return max(folder.glob('log-*.seg'))


def test_state_survives_a_restart():
    """Guards against forgotten votes, entries, commits and members."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.save_vote(Vote(7, 'c1.5'))
        storage.append(_entries(1, 2, 3))
        storage.append((*_entries(3, term=2), Entry(4, 2, MEMBERS)))
        storage.record_commit(3)
        storage.close()
        again = _reopened(folder)
        assert again.identity == storage.identity
        assert again.damage is None
        assert again.stored.vote == Vote(7, 'c1.5')
        assert again.stored.commit == 3
        assert [one.term for one in again.stored.entries] == [1, 1, 2, 2]
        assert again.stored.entries[-1].payload == MEMBERS


def test_compaction_drops_only_what_the_snapshot_covers():
    """Guards against lost entries after a compaction."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2, 3, 4))
        storage.save_snapshot(Snapshot(2, 1, MEMBERS, b'state 2'))
        storage.append(_entries(5, 6))
        storage.save_snapshot(Snapshot(5, 1, MEMBERS, b'state 5'))
        storage.append(_entries(7))
        storage.close()
        again = _reopened(folder).stored
        assert again.snapshot.body == b'state 5'
        assert again.entries == _entries(6, 7)
        assert len(list(folder.glob('log-*.seg'))) == 2


def test_crash_within_the_install_of_a_snapshot():
    """Guards against a stale branch of the log after a leader's snapshot."""
    with _folder() as folder:
        _written(folder, [(1, 2, 3, 4, 5)])
        storage = Storage(folder, 'c0')
        with mock.patch.object(storage._log, 'reset', side_effect=KeyError):
            _expect(
                KeyError,
                storage.install_snapshot,
                Snapshot(3, 2, MEMBERS, b'state'),
            )
        storage.close()
        again = Storage(folder, 'c0')
        assert again.damage is None
        assert again.stored.entries == ()
        again.append(_entries(4, term=2))
        again.close()
        assert _reopened(folder).stored.entries == _entries(4, term=2)


def test_torn_tail_is_cut():
    """Guards against a host that a crash within a write keeps from starting."""
    with _folder() as folder:
        identity = _written(folder, [(1,), (2, 3)])
        whole = _segment(folder).read_bytes()
        storage = Storage(folder, 'c0')
        storage.append(_entries(4, 5))
        storage.close()
        longer = _segment(folder).read_bytes()
        for size in range(len(whole), len(longer), 3):
            # A power loss may also lose the note of what is synced.
            (folder / SYNCED_FILE).unlink()
            zeros = bytes(size % 2 * (len(longer) - size))
            _segment(folder).write_bytes(longer[:size] + zeros)
            again = _reopened(folder)
            assert again.identity == identity, size
            assert again.stored.entries == _entries(1, 2, 3), size
            assert _segment(folder).read_bytes() == whole, size


def test_changed_byte_never_changes_state_silently():
    """Guards against damaged acknowledged entries that count as torn."""
    with _folder() as folder:
        identity = _written(folder)
        whole = _segment(folder).read_bytes()
        for place in range(0, len(whole), 5):
            copy = folder.with_name(f'copy-{place}')
            shutil.copytree(folder, copy)
            changed = bytearray(whole)
            changed[place] ^= 1
            _segment(copy).write_bytes(changed)
            again = _reopened(copy)
            assert again.damage, place
            assert again.identity != identity, place
            assert again.stored.entries == (), place
            assert list(copy.glob('damaged-*/log-*.seg')), place


def test_damage_is_found_without_the_note():
    """Guards against damage that counts as torn after a power loss."""
    with _folder() as folder:
        identity = _written(folder, [(1, 2)])
        last_frame = _segment(folder).stat().st_size
        _written(folder, [(3,)])
        whole = _segment(folder).read_bytes()
        in_body = range(last_frame + HEADER_BYTES, len(whole))
        for place in (*range(last_frame), *in_body):
            copy = folder.with_name(f'copy-{place}')
            shutil.copytree(folder, copy)
            (copy / SYNCED_FILE).unlink()
            changed = bytearray(whole)
            changed[place] ^= 1
            _segment(copy).write_bytes(changed)
            assert _reopened(copy).identity != identity, place


def test_cut_of_acknowledged_entries_is_damage():
    """Guards against a cut that takes acknowledged entries for torn ones."""
    with _folder() as folder:
        identity = _written(folder)
        os.truncate(_segment(folder), _segment(folder).stat().st_size - 1)
        assert _reopened(folder).identity != identity


def test_lost_and_partly_lost_disks_end_the_identity():
    """Guards against an identity that votes again after it forgot."""
    for lost in ('*', 'log-*', 'vote', 'identity', SNAPSHOT_FILE):
        with _folder() as folder:
            identity = _written(folder)
            for path in folder.glob(lost):
                path.unlink()
            again = _reopened(folder)
            assert again.identity != identity, lost
            assert again.stored.entries == (), lost


def test_full_disk_is_an_error_and_loses_nothing():
    """Guards against a full disk that damages the log or passes unnoticed."""
    with _folder() as folder:
        _written(folder, [(1, 2)])
        storage = Storage(folder, 'c0')
        large = (Entry(3, 1, Command(bytes(range(256)) * 64)),)
        with file_size_limit(8000):
            before = _segment(folder).read_bytes()
            _expect(DiskFullError, storage.append, large)
            assert _segment(folder).read_bytes() == before
            _expect(DiskFullError, storage.append, large)
            storage.append(_entries(3))
            snapshot = Snapshot(2, 1, MEMBERS, bytes(9000))
            _expect(DiskFullError, storage.save_snapshot, snapshot)
        storage.append((Entry(4, 1, Noop()),))
        storage.close()
        again = _reopened(folder)
        assert again.damage is None
        assert [one.index for one in again.stored.entries] == [1, 2, 3, 4]


def test_acknowledged_state_survives_a_power_loss():
    """Guards against an acknowledgement before the sync."""
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
    """Guards against two replicas with one identity."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        _expect(FolderInUseError, Storage, folder, 'c0')
        storage.close()
        _expect(FolderInUseError, Storage, folder, 'c1')


def _expect(error, call, *arguments):
    try:
        call(*arguments)
    except error:
        return
    raise AssertionError(f'no {error.__name__}')


class _SyncRecorder:
    """Stands in for `os.fsync` and keeps the synced content of files."""

    def __init__(self):
        self.synced = {}
        self._fsync = os.fsync

    def __call__(self, descriptor):
        """Syncs and keeps what a power loss now leaves of the file."""
        self._fsync(descriptor)
        path = Path(f'/proc/self/fd/{descriptor}').resolve()
        if path.is_file():
            self.synced[os.fstat(descriptor).st_ino] = path.read_bytes()


@contextmanager
def _power_loss(folder):
    """Yields a call that opens a copy with only the synced content."""
    recorder = _SyncRecorder()
    with mock.patch('os.fsync', recorder):
        yield partial(_after_power_loss, folder, recorder.synced)


def _after_power_loss(folder, synced):
    with tempfile.TemporaryDirectory() as name:
        for path in folder.iterdir():
            content = synced.get(path.stat().st_ino, b'')
            (Path(name) / path.name).write_bytes(content)
        again = _reopened(Path(name))
    stored = again.stored
    entries = len(stored.entries)
    return again.identity, entries, stored.vote, stored.snapshot.index
