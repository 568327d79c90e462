"""Files that only their owner can read."""

import os
from pathlib import Path

OWNER_ONLY = 0o600


def write_secret(path: Path, content: bytes) -> None:
    """Writes a new file that only its owner can read.

    The mode is set when the file is created, so that other users can't open
    it at any time.

    Args:
        path: The file to create.
        content: Bytes to write.

    Raises:
        FileExistsError: The file exists; keys are never overwritten.
        OSError: The file can't be written.
    """
    descriptor = os.open(
        path,
        os.O_WRONLY | os.O_CREAT | os.O_EXCL,
        OWNER_ONLY,
    )
    with os.fdopen(descriptor, 'wb') as stream:
        stream.write(content)
        stream.flush()
        os.fsync(stream.fileno())
