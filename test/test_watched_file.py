"""Changes of a file that no signal announces."""

import os
from pathlib import Path
from tempfile import TemporaryDirectory

from waxwingsaddle.watched_file import WatchedFile


def test_each_change_is_noticed_once():
    """Guards against settings that are taken late, or again and again."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text('seeds = 1', encoding='utf-8')
        changes = []
        watched = WatchedFile(str(path), lambda: changes.append(1))
        watched.check()
        assert not changes
        path.write_text('seeds = 22', encoding='utf-8')
        watched.check()
        watched.check()
        assert len(changes) == 1
        # A file of the same size takes the place of the old one.
        other = Path(folder) / 'other.toml'
        other.write_text('seeds = 33', encoding='utf-8')
        os.replace(other, path)
        watched.check()
        assert len(changes) == 2


def test_absent_file_is_no_change():
    """Guards against settings taken from a file that is being replaced."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.toml'
        path.write_text('seeds = 1', encoding='utf-8')
        changes = []
        watched = WatchedFile(str(path), lambda: changes.append(1))
        path.unlink()
        watched.check()
        assert not changes
        path.write_text('seeds = 22', encoding='utf-8')
        watched.check()
        assert len(changes) == 1
