"""First frame of messages between nodes, and types for handling them."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from waxwingsaddle import logs
from waxwingsaddle.message_socket import Frames
from waxwingsaddle.util.codec import msgpack_decoder, pack


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """First frame of every message between nodes.

    Attributes:
        kind: Class name of the message type.
        request_id: Identifier chosen by the requesting node; 0 if no reply is
            expected.
        is_reply: Whether the message is the reply to a request.
        body: Encoded message.
    """

    kind: str
    request_id: int
    is_reply: bool
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class NoReply:
    """Result of a request without a valid reply.

    Attributes:
        address: Call address of the peer.
        was_sent: Whether the peer may have received the request.
        reason: `unreachable` if there was no connection, `lost` if the
            connection ended, `timeout`, or `malformed` if the reply could not
            be decoded.
    """

    address: str
    was_sent: bool
    reason: str


@dataclass(slots=True)
class ReceivedMessage:
    """A received message whose body is not decoded yet.

    Attributes:
        sender: Routing ID of its connection, for `NodeTransport.answer`.
        body: Encoded message.
        frames: Raw frames that follow the envelope.
    """

    sender: bytes
    body: msgspec.Raw
    frames: Frames


@dataclass(frozen=True, slots=True)
class Subscription:
    """Handler of the messages of one kind.

    Attributes:
        decode: Decodes the body of a message.
        handler: Called with a message; returns the reply or None.
    """

    decode: Callable[[bytes], msgspec.Struct]
    handler: Callable[[Any], msgspec.Struct | None]


# No node handles this kind. It is sent to find out whether a connection is
# still open.
PROBE = pack(Envelope('Probe', 0, False, msgspec.Raw(pack(None))))

decode = msgpack_decoder(Envelope)


def encode(
    message: msgspec.Struct,
    request_id: int = 0,
    is_reply: bool = False,
) -> bytes:
    """Returns the first frame of a message: its encoded envelope."""
    body = msgspec.Raw(pack(message))
    return pack(Envelope(type(message).__name__, request_id, is_reply, body))


RawHandler = Callable[[ReceivedMessage], None]


def run_handler(handler: RawHandler, received: ReceivedMessage) -> None:
    """Calls a handler and logs any exception that it raises."""
    # An exception must not end the green thread that handles all messages.
    try:
        handler(received)
    except Exception:
        logs.logger().exception('message handler failed')
