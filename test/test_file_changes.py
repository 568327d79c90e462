"""Detection of file changes by polling."""

import os
from pathlib import Path
from tempfile import TemporaryDirectory

from waxwingsaddle.file_changes import WatchedFile


def test_each_change_is_reported_once():
    """Guards against changed settings that are missed or applied twice."""
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
        # Replaces the file by anreplacement of the same size.
        replacement = Path(folder) / 'replacement.toml'
        replacement.write_text('seeds = 33', encoding='utf-8')
        os.replace(replacement, path)
        watched.check()
        assert len(changes) == 2


def test_absent_file_is_no_change():
    """Guards against reading settings while their file is being replaced."""
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
