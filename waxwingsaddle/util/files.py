"""Durable files: synced writes and atomic replacement."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Syncs a folder, which makes creations and renames in it durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replaces a file atomically and durably.

    Args:
        path: The file to replace or create.
        content: New content of the file.

    Raises:
        OSError: The disk is full or failing; the old file is unchanged.
    """
    temporary = path.with_name(f'{path.name}.tmp')
    with temporary.open('wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
