"""Encodings: msgpack between processes, JSON and TOML, and digests."""

import hashlib
import tomllib
import zlib
from collections.abc import Callable, Iterator
from decimal import Decimal
from functools import partial
from typing import Any, TypeVar

import msgspec

from waxwingsaddle.util.numbers import MAX_DIGITS, MAX_NUMBER

Tree = dict[str, Any]
_Model = TypeVar('_Model')

_exact_decoder = msgspec.json.Decoder(float_hook=Decimal)
_canonical_encoder = msgspec.msgpack.Encoder(order='deterministic')


def pack(message: Any) -> bytes:
    """Encodes a message as msgpack."""
    return msgspec.msgpack.encode(message)


def msgpack_decoder(model: type[_Model]) -> Callable[[bytes], _Model]:
    """Returns a function that decodes msgpack from another process.

    It raises `msgspec.DecodeError`, which is a `ValueError`, for all bytes that
    are not a message of the type.

    Args:
        model: Type of the message.
    """
    decode = msgspec.msgpack.Decoder(model).decode
    return partial(_decode_or_refuse, decode)


def json_decoder(model: type[_Model]) -> Callable[[bytes | str], _Model]:
    """Returns a function that decodes JSON from another process.

    It raises `msgspec.DecodeError`, which is a `ValueError`, for all text that
    is not a document of the type.

    Args:
        model: Type of the document.
    """
    return partial(_decode_or_refuse, msgspec.json.Decoder(model).decode)


def _decode_or_refuse(decode: Callable[[Any], _Model], raw: Any) -> _Model:
    try:
        return decode(raw)
    except RecursionError:
        # msgspec raises it even for fields that the model does not have.
        raise msgspec.DecodeError('nested too deeply') from None


def decode_exact_json(raw: bytes) -> Any:
    """Decodes JSON with fractions as decimals, so that no digit is lost.

    Raises:
        ValueError: The bytes are not a JSON document.
    """
    return _decode_or_refuse(_exact_decoder.decode, raw)


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


def parse_toml(text: str) -> Tree:
    """Decodes TOML with any numbers.

    Raises:
        ValueError: The text is not TOML or is nested too deeply.
    """
    try:
        return tomllib.loads(text)
    except RecursionError:
        raise ValueError('nested too deeply') from None


def unpack_toml(text: str) -> Tree:
    """Decodes TOML that has only options of this project.

    Raises:
        ValueError: The text is not TOML, is nested too deeply, or has a number
            of more digits than any option.
    """
    tree = parse_toml(text)
    if any(abs(number) > MAX_NUMBER for number in _integers(tree)):
        raise ValueError(f'a number of more than {MAX_DIGITS} digits')
    return tree


def _integers(tree: Tree) -> Iterator[int]:
    # Without recursion, because headers and keys can nest tables deeply.
    parts: list[Any] = [tree]
    while parts:
        part = parts.pop()
        if isinstance(part, dict):
            parts.extend(part.values())
        elif isinstance(part, list):
            parts.extend(part)
        elif isinstance(part, int):
            yield part


def unpack_json(raw: bytes) -> Any:
    """Decodes JSON.

    Raises:
        ValueError: The bytes are not a JSON document.
    """
    return _decode_json(raw)


_decode_json = json_decoder(Any)
