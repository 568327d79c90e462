"""JSON Lines files that remain readable if the writer is killed."""

import json
import os
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

FILE_MODE = 0o644


class JsonLinesWriter:
    """Appends JSON objects, one per line, without buffering.

    Args:
        path: Path of the file; if empty, nothing is written.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, FILE_MODE) if path else None

    def write(self, line: Mapping[str, Any]) -> None:
        """Appends one object."""
        if self._descriptor is not None:
            os.write(self._descriptor, f'{json.dumps(line)}\n'.encode())


def read_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the objects of a file.

    Raises:
        ValueError: A line is corrupt or incomplete.
    """
    for line in path.read_text(encoding='utf-8').splitlines():
        yield json.loads(line)


def read_finished_lines(path: Path) -> Iterator[dict[str, Any]]:
    """Yields the objects of a file whose writer may have been killed.

    An incomplete last line is skipped.
    """
    finished = path.read_text(encoding='utf-8').rpartition('\n')[0]
    yield from map(json.loads, finished.splitlines())
