"""Decoding of messages that list upstreams; odd entries are passed over.

A control host or a node of another build may list an entry that this build can
not read, such as an upstream in a state that it does not know. Refused as a
whole, the message would take all other entries with it.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, TypeVar

import msgspec

from waxwingsaddle import metrics
from waxwingsaddle.directory import NodeRecord, UpstreamRecord
from waxwingsaddle.util.codec import msgpack_decoder, pack

_Message = TypeVar('_Message')
# Returns an element of a list, repaired if need be, or None to leave it out.
_Repair = Callable[[msgspec.Raw], bytes | None]

PASSED_OVER = metrics.counter(
    'waxwing_odd_entries',
    'Entries of nodes and upstreams that could not be read and were left out.',
)

_split = msgpack_decoder(list[msgspec.Raw])
_decode_node = msgpack_decoder(NodeRecord)
_decode_nodes = msgpack_decoder(tuple[NodeRecord, ...])
_decode_upstream = msgpack_decoder(UpstreamRecord)
_UPSTREAMS_INDEX = NodeRecord.__struct_fields__.index('upstreams')


def decode_nodes(raw: bytes) -> tuple[NodeRecord, ...]:
    """Decodes a list of nodes without the odd nodes and upstreams in it.

    Raises:
        msgspec.DecodeError: The bytes are not a list.
    """
    try:
        return _decode_nodes(raw)
    except msgspec.DecodeError:
        return _decode_nodes(_without_odd(raw, _repair_node))


def nodes_decoder(
    model: type[_Message], index: int
) -> Callable[[bytes], _Message]:
    """Returns a function that decodes messages with a list of nodes.

    It leaves out odd nodes and upstreams, and raises `msgspec.DecodeError` for
    messages that are malformed otherwise.

    Args:
        model: Type of the message.
        index: Position of the list in the encoded message.
    """
    return partial(
        _decode_or_repair,
        msgpack_decoder(model),
        lambda _parts: index,
        _repair_node,
    )


def upstreams_decoder(
    union: Any, models: Iterable[type[msgspec.Struct]]
) -> Callable[[bytes], Any]:
    """Returns a function that decodes messages, some with a list of upstreams.

    It leaves out odd upstreams, and raises `msgspec.DecodeError` for messages
    that are malformed otherwise.

    Args:
        union: Types of all messages, which have tags.
        models: Those of them that have a field `upstreams`.
    """
    indexes = {
        # The tag precedes the fields.
        pack(model.__struct_config__.tag): (
            model.__struct_fields__.index('upstreams') + 1
        )
        for model in models
    }
    return partial(
        _decode_or_repair,
        msgpack_decoder(union),
        lambda parts: indexes.get(bytes(parts[0]), -1) if parts else -1,
        _repair_upstream,
    )


def _decode_or_repair(
    decode: Callable[[bytes], _Message],
    index_of: Callable[[list[msgspec.Raw]], int],
    repair: _Repair,
    raw: bytes,
) -> _Message:
    try:
        return decode(raw)
    except msgspec.DecodeError:
        parts = _split(raw)
        index = index_of(parts)
        if not 0 <= index < len(parts):
            raise
        parts[index] = msgspec.Raw(_without_odd(parts[index], repair))
        return decode(pack(parts))


def _without_odd(raw: bytes, repair: _Repair) -> bytes:
    elements = _split(raw)
    repaired = [part for part in map(repair, elements) if part is not None]
    PASSED_OVER.inc(len(elements) - len(repaired))
    return pack([msgspec.Raw(part) for part in repaired])


def _repair_node(raw: msgspec.Raw) -> bytes | None:
    decode = partial(
        _decode_or_repair,
        _decode_node,
        lambda _parts: _UPSTREAMS_INDEX,
        _repair_upstream,
    )
    try:
        return pack(decode(raw))
    except msgspec.DecodeError:
        return None


def _repair_upstream(raw: msgspec.Raw) -> bytes | None:
    try:
        _decode_upstream(raw)
    except msgspec.DecodeError:
        return None
    return raw
