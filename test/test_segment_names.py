"""Names of log segments that a power loss takes, or brings back."""

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


def _reopened(folder):
    storage = Storage(folder, 'c0')
    storage.close()
    return storage


class _FolderSyncs:
    """Stands in for `sync_folder` and keeps the names that last."""

    def __init__(self):
        self.lasting = set()

    def __call__(self, folder):
        """Notes the names of now."""
        self.lasting = _segment_names(folder)


def _segment_names(folder):
    return {path.name for path in folder.glob('log-*.seg')}


@contextmanager
def _folder_syncs():
    syncs = _FolderSyncs()
    with (
        mock.patch('waxwingsaddle.segments.sync_folder', syncs),
        mock.patch('waxwingsaddle.util.files.sync_folder', syncs),
    ):
        yield syncs


def test_names_of_segments_last_when_entries_are_acknowledged():
    """Guards against a segment that a power loss takes, or brings back.

    Without a sync of the folder, each created or deleted name may be lost or
    kept; a segment that is back after a gap looked like damage, and the host
    gave its vote up.
    """
    with _folder() as folder, _folder_syncs() as syncs:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2))
        assert syncs.lasting == _segment_names(folder)
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, b'state'))
        storage.append(_entries(3))
        assert syncs.lasting == _segment_names(folder)
        # Two segments are dropped at once.
        storage.save_snapshot(Snapshot(3, 1, MEMBERS, b'state'))
        assert syncs.lasting == _segment_names(folder)
        storage.append(_entries(4))
        storage.install_snapshot(Snapshot(9, 2, MEMBERS, b'other'))
        assert syncs.lasting == _segment_names(folder)
        storage.close()


def test_any_deleted_segment_may_be_back_after_a_power_loss():
    """Guards against a host that takes a file that is back for damage."""
    with _folder() as folder:
        storage = Storage(folder, 'c0')
        storage.append(_entries(1, 2))
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, b'state'))
        storage.append(_entries(3))
        kept = {path: path.read_bytes() for path in folder.glob('log-*.seg')}
        storage.save_snapshot(Snapshot(3, 1, MEMBERS, b'state'))
        storage.append(_entries(4))
        storage.close()
        # The last deletion, which nothing has synced yet, is undone.
        newest = max(path for path in kept if not path.exists())
        newest.write_bytes(kept[newest])
        again = _reopened(folder)
        assert again.damage is None
        assert [one.index for one in again.stored.entries] == [4]
