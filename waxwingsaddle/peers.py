"""Typed messages between control hosts over ZeroMQ.

Each host binds a ROUTER socket that only receives, and opens a DEALER socket
to each peer that only sends. Delivery is best effort: a message to a host that
is not connected, or whose queue is full, is dropped and counted. Services that
need an answer must resend.
"""

from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, TypeVar

import msgspec
from eventlet import greenthread
from eventlet.green import zmq

from waxwingsaddle import logs, metrics
from waxwingsaddle.addresses import ControlHost, is_address
from waxwingsaddle.curve_keys import protect_client, protect_server
from waxwingsaddle.listen_errors import wrap_listen_errors
from waxwingsaddle.util.clock import HybridClock, Stamp
from waxwingsaddle.util.codec import msgpack_decoder, pack

# A ZMTP frame header takes 2 bytes for a short frame and 9 for a long one.
SHORT_FRAME_BYTES = 255
SHORT_HEADER_BYTES = 2
LONG_HEADER_BYTES = 9

# Receiving does not yield while messages are queued, so other green threads
# run only after this many messages.
MESSAGES_PER_TURN = 16

CONTROL_BYTES = metrics.counter(
    'waxwing_control_bytes',
    'Bytes of control traffic with framing, by peer and message kind.',
    ('direction', 'peer', 'kind'),
)
DROPPED = metrics.counter(
    'waxwing_peer_messages_dropped',
    'Messages to control hosts that were not connected or fell behind.',
    ('peer', 'kind'),
)
BAD_MESSAGES = metrics.counter(
    'waxwing_peer_messages_bad',
    'Messages from control hosts that could not be decoded or handled.',
    ('kind',),
)

_Message = TypeVar('_Message', bound=msgspec.Struct)
PeerHandler = Callable[[str, Any], None]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Frame that carries one message.

    Attributes:
        sender: Name of the host that sent the message.
        kind: Class name of the message type.
        body: Encoded message.
        stamp: Hybrid logical time of the sender: milliseconds and counter.
    """

    sender: str
    kind: str
    body: msgspec.Raw
    stamp: tuple[int, int] = (0, 0)


class PeerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the sockets.

    Attributes:
        queue_messages: Messages queued to or from one peer.
        message_bytes: Largest message accepted from a peer.
        connect_timeout_ms: Longest wait for a new connection. A host without
            power does not answer, and TCP repeats its first packet only after
            a second.
        reconnect_ms: First delay before a lost connection is reopened.
        reconnect_limit_ms: Largest such delay.
        keepalive_ms: Interval of the probes that detect dead connections.
        keepalive_timeout_ms: Time without any message from the peer after
            which a connection is closed.
    """

    queue_messages: int
    message_bytes: int
    connect_timeout_ms: int
    reconnect_ms: int
    reconnect_limit_ms: int
    keepalive_ms: int
    keepalive_timeout_ms: int


def framed_size_bytes(frame: bytes) -> int:
    """Returns the size of a frame on the wire, header included."""
    if len(frame) > SHORT_FRAME_BYTES:
        return len(frame) + LONG_HEADER_BYTES
    return len(frame) + SHORT_HEADER_BYTES


class Peers:
    """Sends typed messages to control hosts and dispatches received ones.

    Args:
        this_host: This host; `start` binds its peer address.
        hosts: Control hosts to connect to; this host is skipped.
        limits: Limits of the sockets.

    Attributes:
        host: Name of this host.
        clock: Hybrid logical clock. Each message carries its time, so that
            timestamps follow causal order across control hosts.
    """

    def __init__(
        self,
        this_host: ControlHost,
        hosts: Iterable[ControlHost],
        limits: PeerLimits,
    ) -> None:
        self.host = this_host.host
        self.clock = HybridClock()
        self._bind_address = this_host.peer_address
        self._limits = limits
        self._context = zmq.Context()
        self._addresses = {peer.host: peer.peer_address for peer in hosts}
        self._addresses.pop(self.host, None)
        self._senders: dict[str, Any] = {}
        self._handlers: dict[str, PeerHandler] = {}
        self._decoders: dict[str, Callable[[bytes], Any]] = {}
        self._decode_envelope = msgpack_decoder(Envelope)
        self._receiver: Any = None
        self._thread: greenthread.GreenThread | None = None

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the other control hosts."""
        return tuple(self._addresses)

    def subscribe(
        self,
        message_type: type[_Message],
        handler: Callable[[str, _Message], None],
        decode: Callable[[bytes], _Message] | None = None,
    ) -> None:
        """Calls a handler with the sender and each message of a type.

        Handlers run one at a time in the receiving green thread, so they must
        not block; longer work needs a green thread of its own.

        Args:
            message_type: Type of the messages; its class name is the kind.
            handler: Called with the name of the sending host and the message.
            decode: Decodes the messages; by default, those with any part
                malformed are dropped.

        Raises:
            ValueError: The kind already has a handler.
        """
        kind = message_type.__name__
        if kind in self._handlers:
            raise ValueError(f'duplicate handler for messages of kind {kind}')
        self._handlers[kind] = handler
        self._decoders[kind] = decode or msgpack_decoder(message_type)

    def send(self, host: str, message: msgspec.Struct) -> bool:
        """Sends a message to a control host without waiting.

        Args:
            host: Name of the receiving host.
            message: The message.

        Returns:
            Whether the message was queued on a connection; it may still be
            lost.
        """
        return self._send_packed(host, type(message).__name__, pack(message))

    def broadcast(self, message: msgspec.Struct) -> int:
        """Sends a message to all other control hosts.

        Returns:
            Number of hosts to which the message was queued.
        """
        kind, body = type(message).__name__, pack(message)
        return sum(self._send_packed(host, kind, body) for host in self.hosts)

    def connect(self, host: str, peer_address: str) -> None:
        """Adds a control host that is not in the settings.

        An address from the settings is kept, because it may be one that only
        this host uses, such as that of a proxy. An odd one is ignored.
        """
        if host == self.host or host in self._addresses:
            return
        if not is_address(peer_address):
            return
        self._addresses[host] = peer_address
        if self._receiver is not None:
            self._open_sender(host)

    def start(self) -> None:
        """Binds, connects to peers and receives in a green thread."""
        self._receiver = self._new_socket(zmq.ROUTER)
        protect_server(self._receiver)
        with wrap_listen_errors(self._bind_address):
            self._receiver.bind(f'tcp://{self._bind_address}')
        for host in self._addresses:
            self._open_sender(host)
        self._thread = greenthread.spawn(self._receive_all)

    def stop(self) -> None:
        """Closes the sockets and drops queued messages."""
        if self._thread is None:
            return
        self._thread.kill()
        self._thread = None
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()
        self._receiver.close()
        self._receiver = None

    def _new_socket(self, kind: int) -> Any:
        socket = self._context.socket(kind)
        limits = self._limits
        for option, number in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1),
            (zmq.SNDHWM, limits.queue_messages),
            (zmq.RCVHWM, limits.queue_messages),
            (zmq.MAXMSGSIZE, limits.message_bytes),
            (zmq.CONNECT_TIMEOUT, limits.connect_timeout_ms),
            (zmq.RECONNECT_IVL, limits.reconnect_ms),
            (zmq.RECONNECT_IVL_MAX, limits.reconnect_limit_ms),
            (zmq.HEARTBEAT_IVL, limits.keepalive_ms),
            (zmq.HEARTBEAT_TIMEOUT, limits.keepalive_timeout_ms),
            (zmq.HANDSHAKE_IVL, limits.keepalive_timeout_ms),
        ):
            socket.setsockopt(option, number)
        return socket

    def _open_sender(self, host: str) -> None:
        sender = self._new_socket(zmq.DEALER)
        protect_client(sender)
        sender.connect(f'tcp://{self._addresses[host]}')
        self._senders[host] = sender

    def _send_packed(self, host: str, kind: str, body: bytes) -> bool:
        sender = self._senders.get(host)
        stamp = self.clock.last
        envelope = Envelope(
            self.host,
            kind,
            msgspec.Raw(body),
            (stamp.wall_ms, stamp.counter),
        )
        frame = pack(envelope)
        if sender is None or not _try_send(sender, frame):
            DROPPED.labels(host, kind).inc()
            return False
        CONTROL_BYTES.labels('sent', host, kind).inc(framed_size_bytes(frame))
        return True

    def _receive_all(self) -> None:
        for number in count():
            frames = self._receiver.recv_multipart()
            self._dispatch(frames[-1])
            if number % MESSAGES_PER_TURN == 0:
                greenthread.sleep(0)

    def _dispatch(self, frame: bytes) -> None:
        kind = 'unknown'
        try:
            envelope = self._decode_envelope(frame)
            decode = self._decoders[envelope.kind]
            kind = envelope.kind
            message = decode(envelope.body)
        except (msgspec.DecodeError, KeyError):
            BAD_MESSAGES.labels(kind).inc()
            return
        CONTROL_BYTES.labels('received', envelope.sender, kind).inc(
            framed_size_bytes(frame),
        )
        self.clock.observe(Stamp(*envelope.stamp))
        try:
            self._handlers[kind](envelope.sender, message)
        except Exception:
            # An exception from one handler must not end the green thread that
            # receives for all services.
            BAD_MESSAGES.labels(kind).inc()
            logs.logger().exception('peer message handler failed', kind=kind)


def _try_send(sender: Any, frame: bytes) -> bool:
    try:
        sender.send(frame, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True
