"""Checksummed frames in the files of durable state."""

import struct
import zlib
from dataclasses import dataclass

# Marks the start of a frame, so that intact frames after a damaged one can be
# found even if the length field of the damaged one is wrong.
MAGIC = b'\xabWX\x01'
_HEADER = struct.Struct('>4sII')
HEADER_BYTES = _HEADER.size


class DamagedError(Exception):
    """Acknowledged durable state can't be read back."""


@dataclass(frozen=True, slots=True)
class FrameScan:
    """Frames read from the start of a file.

    Attributes:
        bodies: Bodies of the intact frames.
        good_bytes: Offset of the end of the last intact frame.
        is_torn: Whether an unfinished write follows that frame.
    """

    bodies: tuple[bytes, ...]
    good_bytes: int
    is_torn: bool


def encode_frame(body: bytes) -> bytes:
    """Returns a frame that contains a body."""
    return _HEADER.pack(MAGIC, len(body), _checksum(body)) + body


def read_first_body(raw: bytes, name: str) -> bytes:
    """Returns the body of the first frame of a file.

    Raises:
        DamagedError: The file does not start with an intact frame.
    """
    body = _body_at(raw, 0)
    if body is None:
        raise DamagedError(f'{name}: checksum does not match')
    return body


def read_frames(raw: bytes, name: str, synced_bytes: int = 0) -> FrameScan:
    """Reads frames up to the end of the file or an unfinished write.

    Args:
        raw: Content of the file.
        name: Name of the file, for error messages.
        synced_bytes: Number of bytes known to be synced.

    Raises:
        DamagedError: The damage cannot stem from an interrupted write: it is
            in bytes known to be synced, an intact frame follows it, or the
            frame is complete but its checksum does not match.
    """
    bodies: list[bytes] = []
    offset = 0
    body = _body_at(raw, offset)
    while body is not None:
        bodies.append(body)
        offset += HEADER_BYTES + len(body)
        body = _body_at(raw, offset)
    is_torn = offset < len(raw)
    if offset < synced_bytes:
        raise DamagedError(f'{name}: damaged or truncated at byte {offset}')
    if is_torn and _is_damage(raw, offset):
        raise DamagedError(f'{name}: damaged at byte {offset}')
    return FrameScan(tuple(bodies), offset, is_torn)


def _is_damage(raw: bytes, offset: int) -> bool:
    return _has_intact_frame(raw, offset + 1) or _is_complete(raw, offset)


def _has_intact_frame(raw: bytes, start: int) -> bool:
    found = raw.find(MAGIC, start)
    while found >= 0:
        if _body_at(raw, found) is not None:
            return True
        found = raw.find(MAGIC, found + 1)
    return False


def _is_complete(raw: bytes, offset: int) -> bool:
    # An interrupted write leaves a short file or, if the file system stored
    # the size before the data, zeros at the end.
    if len(raw) < offset + HEADER_BYTES:
        return False
    magic, length, _ = _HEADER.unpack_from(raw, offset)
    end = offset + HEADER_BYTES + length
    return magic == MAGIC and end <= len(raw) and raw[end - 1] != 0


def _body_at(raw: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if len(raw) < start:
        return None
    magic, length, checksum = _HEADER.unpack_from(raw, offset)
    body = raw[start : start + length]
    if magic != MAGIC or len(body) != length or _checksum(body) != checksum:
        return None
    return body


def _checksum(body: bytes) -> int:
    return zlib.crc32(body, len(body))
