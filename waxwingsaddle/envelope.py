"""First frame of the messages between nodes, and what is known of replies."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from waxwingsaddle import logs
from waxwingsaddle.message_socket import Frames
from waxwingsaddle.util.codec import pack


class Envelope(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The first frame of every message between nodes.

    Attributes:
        kind: Name of the message type.
        request_id: Identifier chosen by the asking node; 0 wants no reply.
        is_reply: Whether it answers a request.
        body: The encoded message.
    """

    kind: str
    request_id: int
    is_reply: bool
    body: msgspec.Raw


@dataclass(frozen=True, slots=True)
class NoReply:
    """A request that got no reply.

    Attributes:
        address: Call address of the peer.
        was_sent: Whether the peer may have received the request.
        reason: `unreachable`, `lost`, `timeout` or `malformed`.
    """

    address: str
    was_sent: bool
    reason: str


@dataclass(slots=True)
class ReceivedMessage:
    """A message as it arrived.

    Attributes:
        sender: Route of the connection it came on, for `NodeTransport.answer`.
        body: The encoded message.
        frames: Raw frames that followed.
    """

    sender: bytes
    body: msgspec.Raw
    frames: Frames


@dataclass(frozen=True, slots=True)
class Subscription:
    """Who handles the messages of one kind.

    Attributes:
        message_type: Type of the messages.
        handler: Takes a message and returns the reply, if there is one.
    """

    message_type: type[msgspec.Struct]
    handler: Callable[[Any], msgspec.Struct | None]


# No node handles this kind; sending it finds out whether a peer is there.
PROBE = pack(Envelope('Probe', 0, False, msgspec.Raw(pack(None))))

decode = msgspec.msgpack.Decoder(Envelope).decode


def encode(
    message: msgspec.Struct,
    request_id: int = 0,
    is_reply: bool = False,
) -> bytes:
    """Returns the first frame of a message."""
    body = msgspec.Raw(pack(message))
    return pack(Envelope(type(message).__name__, request_id, is_reply, body))


RawHandler = Callable[[ReceivedMessage], None]


def run_handler(handler: RawHandler, received: ReceivedMessage) -> None:
    """Calls a handler; what it raises is logged."""
    # One bad message must not end the thread that serves all of them.
    try:
        handler(received)
    except Exception:
        logs.logger().exception('message handler failed')
