"""Encodings: msgpack between processes, JSON for people, and digests."""

import hashlib
import zlib
from typing import Any

import msgspec

Tree = dict[str, Any]

_canonical_encoder = msgspec.msgpack.Encoder(order='deterministic')


def pack(message: Any) -> bytes:
    """Encodes a message as msgpack."""
    return msgspec.msgpack.encode(message)


def encode_canonical(tree: Any) -> bytes:
    """Encodes a tree as msgpack, equal trees as equal bytes (keys sorted)."""
    return _canonical_encoder.encode(tree)


def digest(tree: Any) -> str:
    """Returns the hexadecimal SHA-256 digest of the canonical encoding."""
    return hashlib.sha256(encode_canonical(tree)).hexdigest()


def compress(raw: bytes) -> bytes:
    """Compresses bytes with zlib."""
    return zlib.compress(raw, level=6)


def decompress(raw: bytes, limit_bytes: int) -> bytes:
    """Decompresses bytes and rejects output above a limit.

    Args:
        raw: Data compressed with zlib.
        limit_bytes: Maximum size of the output.

    Raises:
        ValueError: The data is corrupt, truncated or larger than the limit.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(raw, limit_bytes)
    except zlib.error as error:
        raise ValueError(f'corrupt compressed data: {error}') from None
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError(
            f'compressed data is truncated or above {limit_bytes} bytes',
        )
    return plain


def pack_json(document: Any) -> bytes:
    """Encodes a document as JSON."""
    return msgspec.json.encode(document)


def unpack_json(raw: bytes) -> Any:
    """Decodes JSON.

    Raises:
        ValueError: The bytes are not a JSON document.
    """
    return msgspec.json.decode(raw)
