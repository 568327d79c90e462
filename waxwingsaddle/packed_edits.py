"""Encoding of edits forwarded to the leader, as differences to a version.

The source files are large and an edit changes few of their lines, so a
forwarded edit carries only the changed lines. The digest of the full files
shows whether the receiver rebuilt exactly the files of the sender; it covers
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
    msgpack_decoder,
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
        base_version: The version; 0 has no files, so the differences to it are
            the full files.
        files: Differences of the files.
        digest: SHA-256 of the files of the edit.
        author: Who submits the edit.
        is_restore: Whether an empty log accepts it under any version.
    """

    base_version: int
    files: tuple[FileChange, ...]
    digest: bytes
    author: str
    is_restore: bool


_decode_edit = msgpack_decoder(PackedEdit)


def pack_edit(edit: Edit, base: StoredVersion = EMPTY_VERSION) -> bytes:
    """Encodes an edit.

    Args:
        edit: The edit.
        base: Version that the receiver is assumed to store; by default the
            edit is encoded in full.
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
        state: Versions that this host stores.
        limit_bytes: Largest accepted size of the decompressed encoding.

    Returns:
        None if this host does not store the base version or has other files
        for it, or if the encoding is damaged; the sender must then send the
        edit in full.
    """
    try:
        packed = _decode_edit(decompress(body, limit_bytes))
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
