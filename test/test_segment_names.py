"""Log segment files that a power loss removes or restores."""

import tempfile
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

from waxwingsaddle.raft_messages import (
    Command,
    Entry,
    Members,
    Replica,
    Snapshot,
)
from waxwingsaddle.storage import Storage

MEMBERS = Members((Replica('c0.1', 'c0', '127.0.0.1:1'),))


@contextmanager
def _folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name) / 'state'


def _entries(*indexes):
    return tuple(
        Entry(index, 1, Command(b'command %d' % index)) for index in indexes
    )


def _reopen(folder):
    storage = Storage(folder, 'c0')
    storage.close()
    return storage


class _FolderSyncRecorder:
    """Replaces `sync_folder` and records the names of synced segments."""

    def __init__(self):
        self.synced_names = set()

    def __call__(self, folder):
        """Records the names of the segments in the folder."""
        self.synced_names = _segment_names(folder)


def _segment_names(folder):
    return {path.name for path in folder.glob('log-*.seg')}


@contextmanager
def _recorded_syncs():
    recorder = _FolderSyncRecorder()
    with (
        mock.patch('waxwingsaddle.segments.sync_folder', recorder),
        mock.patch('waxwingsaddle.util.files.sync_folder', recorder),
    ):
        yield recorder


def test_segment_names_are_synced_before_acknowledgement():
    """Guards against segments that a power loss removes or restores.

    Unless the folder is synced, each created or deleted file name may be lost
    or kept. A restored segment after a gap looked like damage, and the host
    gave up its identity and vote.
    """
    with _folder() as folder, _recorded_syncs() as recorder:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2))
        assert recorder.synced_names == _segment_names(folder)
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, b'state'))
        storage.append(_entries(3))
        assert recorder.synced_names == _segment_names(folder)
        # This snapshot deletes two segments.
        storage.save_snapshot(Snapshot(3, 1, MEMBERS, b'state'))
        assert recorder.synced_names == _segment_names(folder)
        storage.append(_entries(4))
        storage.install_snapshot(Snapshot(9, 2, MEMBERS, b'other'))
        assert recorder.synced_names == _segment_names(folder)
        storage.close()


def test_any_deleted_segment_may_be_back_after_a_power_loss():
    """Guards against a restored segment that is mistaken for damage."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2))
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, b'state'))
        storage.append(_entries(3))
        contents = {
            path: path.read_bytes() for path in folder.glob('log-*.seg')
        }
        storage.save_snapshot(Snapshot(3, 1, MEMBERS, b'state'))
        storage.append(_entries(4))
        storage.close()
        # Undo the last deletion, as if the folder had not been synced yet.
        newest = max(path for path in contents if not path.exists())
        newest.write_bytes(contents[newest])
        reopened = _reopen(folder)
        assert reopened.damage is None
        assert [entry.index for entry in reopened.stored.entries] == [4]
