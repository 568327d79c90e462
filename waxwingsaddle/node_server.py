"""ROUTER socket of a control host that nodes connect to."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from eventlet import greenthread
from eventlet.green import zmq

from waxwingsaddle import logs, metrics
from waxwingsaddle.curve_keys import protect_server
from waxwingsaddle.listen_errors import wrap_listen_errors
from waxwingsaddle.node_messages import FromNode, decode_from_node
from waxwingsaddle.peers import CONTROL_BYTES, framed_size_bytes
from waxwingsaddle.site_encodings import EncodedMessage
from waxwingsaddle.util.codec import pack

# Messages handled before the receiver yields to other green threads.
MESSAGES_PER_TURN = 64

BAD_MESSAGES = metrics.counter(
    'waxwing_node_messages_bad',
    'Messages from nodes that could not be decoded or handled.',
)

Receiver = Callable[[bytes, FromNode, int], None]


def encode_message(message: msgspec.Struct) -> EncodedMessage:
    """Encodes a message that has no second frame."""
    return EncodedMessage(type(message).__name__, (pack(message),))


def count_bytes(direction: str, zone: str, kind: str, size_bytes: int) -> None:
    """Adds a message to the byte counter of its direction, zone and kind."""
    CONTROL_BYTES.labels(direction, f'nodes of {zone}', kind).inc(size_bytes)


class NodeServer:
    """Receives messages of nodes and sends to them without blocking.

    Args:
        address: IP address and port to bind to.
        queue_messages: Maximum number of messages queued for a node; further
            ones are dropped.
        message_bytes: Maximum size of a message from a node, in bytes.
        receiver: Called with routing id, message and size in bytes.
    """

    def __init__(
        self,
        address: str,
        queue_messages: int,
        message_bytes: int,
        receiver: Receiver,
    ) -> None:
        self._address = address
        self._queue_messages = queue_messages
        self._message_bytes = message_bytes
        self._receiver = receiver
        self._socket: Any = None
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Binds the socket and starts the receiving green thread."""
        context = zmq.Context.instance()
        self._socket = context.socket(zmq.ROUTER)
        for option, number in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1),
            (zmq.SNDHWM, self._queue_messages),
            (zmq.RCVHWM, self._queue_messages),
            (zmq.MAXMSGSIZE, self._message_bytes),
            # A node that reconnects takes over its routing id.
            (zmq.ROUTER_HANDOVER, 1),
            (zmq.BACKLOG, self._queue_messages),
        ):
            self._socket.setsockopt(option, number)
        protect_server(self._socket)
        with wrap_listen_errors(self._address):
            self._socket.bind(f'tcp://{self._address}')
        self._thread = greenthread.spawn(self._receive_all)

    def stop(self) -> None:
        """Stops receiving and closes the socket."""
        if self._thread is None:
            return
        self._thread.kill()
        self._thread = None
        self._socket.close()

    def send(self, identity: bytes, zone: str, message: EncodedMessage) -> None:
        """Queues a message for a node; drops it if the queue is full."""
        self.send_all(((identity, zone),), message)

    def send_all(
        self,
        targets: Iterable[tuple[bytes, str]],
        message: EncodedMessage,
    ) -> None:
        """Queues the same message for several nodes.

        Args:
            targets: Routing id and availability zone of each node.
            message: The encoded message.
        """
        size_bytes = sum(map(framed_size_bytes, message.frames))
        for identity, zone in targets:
            self._socket.send_multipart(
                (identity, *message.frames),
                zmq.NOBLOCK,
            )
            count_bytes('sent', zone, message.kind, size_bytes)

    def _receive_all(self) -> None:
        handled = 0
        while True:
            frames = self._socket.recv_multipart()
            self._handle(frames)
            handled += 1
            if handled % MESSAGES_PER_TURN == 0:
                greenthread.sleep(0)

    def _handle(self, frames: list[bytes]) -> None:
        try:
            message = decode_from_node(frames[1])
        except (msgspec.DecodeError, IndexError):
            BAD_MESSAGES.inc()
            return
        try:
            self._receiver(frames[0], message, framed_size_bytes(frames[1]))
        except Exception:
            # An error in one message must not end the service for all nodes.
            BAD_MESSAGES.inc()
            logs.logger().exception('handling a message of a node failed')
