"""Files that only their owner may read."""

import os
from pathlib import Path

OWNER_ONLY = 0o600


def write_secret(path: Path, content: bytes) -> None:
    """Writes a new file that only its owner can read.

    The mode is set when the file is made, so that there is no moment in
    which others can open it.

    Args:
        path: The file to make.
        content: What it holds.

    Raises:
        FileExistsError: There is such a file; keys are never overwritten.
        OSError: It can't be written.
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
