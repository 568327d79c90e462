"""Encodings: msgpack between processes, JSON for people, digests of trees."""

import hashlib
import zlib
from typing import Any

import msgspec

Tree = dict[str, Any]

_canonical = msgspec.msgpack.Encoder(order='deterministic')


def pack(message: Any) -> bytes:
    """Encodes a message as msgpack."""
    return msgspec.msgpack.encode(message)


def encode_canonical(tree: Any) -> bytes:
    """Encodes a tree as msgpack with sorted keys: equal trees, equal bytes."""
    return _canonical.encode(tree)


def digest(tree: Any) -> str:
    """Returns the SHA-256 of the canonical encoding, in hexadecimal."""
    return hashlib.sha256(encode_canonical(tree)).hexdigest()


def compress(raw: bytes) -> bytes:
    """Compresses bytes with zlib."""
    return zlib.compress(raw, level=6)


def decompress(raw: bytes, limit_bytes: int) -> bytes:
    """Decompresses bytes, refusing output over a limit.

    Args:
        raw: zlib data.
        limit_bytes: Largest accepted size of the output.

    Raises:
        ValueError: The data is damaged, cut short or larger than the limit.
    """
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(raw, limit_bytes)
    except zlib.error as error:
        raise ValueError(f'damaged compressed data: {error}') from None
    if inflater.unconsumed_tail or not inflater.eof:
        raise ValueError(
            f'compressed data is cut short or over {limit_bytes} bytes',
        )
    return plain


def pack_json(document: Any) -> bytes:
    """Encodes a document as JSON."""
    return msgspec.json.encode(document)


def unpack_json(raw: bytes) -> Any:
    """Decodes JSON.

    Raises:
        ValueError: The bytes are no JSON document.
    """
    return msgspec.json.decode(raw)
