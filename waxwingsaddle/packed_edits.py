"""Edits on their way to the leader, as differences to a version it holds.

The source files are large and an edit changes few lines of them, so that a
forwarded edit carries the changed lines only. The digest of the whole files
tells whether the receiver rebuilt exactly what the sender was given; it covers
the content of the base version as well.
"""

import hashlib
from collections.abc import Mapping

import msgspec

from waxwingsaddle.config import SourceSet
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Edit
from waxwingsaddle.util import line_diff
from waxwingsaddle.util.codec import (
    compress,
    decompress,
    encode_canonical,
    pack,
)
from waxwingsaddle.versions import (
    BASE_KEY,
    EMPTY_VERSION,
    FileChange,
    StoredVersion,
    changed_texts,
    file_changes,
)


class PackedEdit(msgspec.Struct, frozen=True, array_like=True):
    """An edit as differences to the files of a version.

    Attributes:
        base_version: The version; 0 has no files, so that the differences
            to it are the whole files.
        files: Differences of the files.
        digest: SHA-256 of the files of the edit.
        author: Who submits the edit.
        is_restore: Whether an empty log takes it under any version.
    """

    base_version: int
    files: tuple[FileChange, ...]
    digest: bytes
    author: str
    is_restore: bool


_edits = msgspec.msgpack.Decoder(PackedEdit)


def pack_edit(edit: Edit, base: StoredVersion = EMPTY_VERSION) -> bytes:
    """Encodes an edit.

    Args:
        edit: The edit.
        base: Version that the receiver is thought to hold; the edit is
            encoded as a whole when absent.
    """
    files = {BASE_KEY: edit.sources.base, **edit.sources.overlays}
    packed = PackedEdit(
        base_version=base.version,
        files=file_changes(base.texts, files),
        digest=_digest(files),
        author=edit.author,
        is_restore=edit.is_restore,
    )
    return compress(pack(packed))


def unpack_edit(
    body: bytes,
    state: EditState,
    limit_bytes: int,
) -> Edit | None:
    """Decodes an edit.

    Args:
        body: The encoded edit.
        state: Versions that this host holds.
        limit_bytes: Largest accepted size of the decompressed encoding.

    Returns:
        None when the base version is not held here or has other files, or
        when the encoding is damaged; the edit is then needed as a whole.
    """
    try:
        packed = _edits.decode(decompress(body, limit_bytes))
    except (ValueError, msgspec.DecodeError):
        return None
    base = (
        EMPTY_VERSION
        if packed.base_version == 0
        else state.stored_version(packed.base_version)
    )
    if base is None:
        return None
    try:
        files = changed_texts(base.texts, packed.files)
    except (line_diff.SpliceError, KeyError):
        return None
    if _digest(files) != packed.digest:
        return None
    return Edit(
        sources=SourceSet(base=files.pop(BASE_KEY), overlays=files),
        author=packed.author,
        is_restore=packed.is_restore,
    )


def _digest(files: Mapping[str, str]) -> bytes:
    return hashlib.sha256(encode_canonical(dict(files))).digest()
