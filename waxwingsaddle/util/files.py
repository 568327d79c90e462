"""Files that last: synced writes and atomic replacement."""

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that created and renamed files in it last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, content: bytes) -> None:
    """Replaces a file atomically; it lasts when this returns.

    Args:
        path: The file to replace or create.
        content: Its new content.

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
