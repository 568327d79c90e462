"""Typed messages between control hosts over zmq.

Each host binds a ROUTER that only receives and opens a DEALER to each peer
that only sends. Delivery is best effort: a message to a host that is not
connected, or whose queue is full, is dropped and counted. Services that need
an answer send again.
"""

from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, TypeVar

import msgspec
from eventlet import greenthread
from eventlet.green import zmq

from waxwingsaddle import logs, metrics
from waxwingsaddle.addresses import ControlHost
from waxwingsaddle.curve_keys import protect_client, protect_server
from waxwingsaddle.listening import listening
from waxwingsaddle.util.clock import HybridClock, Stamp
from waxwingsaddle.util.codec import pack

# ZMTP puts 2 bytes before a short frame and 9 before a long one.
SHORT_FRAME_BYTES = 255
SHORT_HEADER_BYTES = 2
LONG_HEADER_BYTES = 9

# Receiving does not yield while messages wait; other green threads get their
# turn after so many.
MESSAGES_A_TURN = 16

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
    """What travels in a frame.

    Attributes:
        sender: Host that sent the message.
        kind: Name of the message type.
        body: The encoded message.
        stamp: Hybrid logical time of the sender.
    """

    sender: str
    kind: str
    body: msgspec.Raw
    stamp: tuple[int, int] = (0, 0)


class PeerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the sockets.

    Attributes:
        queue_messages: Messages queued for or from one peer.
        message_bytes: Largest message taken from a peer.
        reconnect_ms: First delay before a lost connection is opened again.
        reconnect_limit_ms: Largest such delay.
        keepalive_ms: Interval of the probes that find dead connections.
        keepalive_timeout_ms: Silence after which a connection is closed.
    """

    queue_messages: int
    message_bytes: int
    reconnect_ms: int
    reconnect_limit_ms: int
    keepalive_ms: int
    keepalive_timeout_ms: int


def framed_size_bytes(frame: bytes) -> int:
    """Returns the size of a frame on the wire."""
    if len(frame) > SHORT_FRAME_BYTES:
        return len(frame) + LONG_HEADER_BYTES
    return len(frame) + SHORT_HEADER_BYTES


class Peers:
    """Sends typed messages to control hosts and dispatches received ones.

    Args:
        this_host: The entry of this host; its address is bound at the start.
        hosts: Control hosts to connect to; this host is passed over.
        limits: Limits of the sockets.

    Attributes:
        clock: Hybrid logical clock; each message carries its time, so that
            causal order holds between control hosts.
    """

    def __init__(
        self,
        this_host: ControlHost,
        hosts: Iterable[ControlHost],
        limits: PeerLimits,
    ) -> None:
        self.host = this_host.host
        self.clock = HybridClock()
        self._address = this_host.peer_address
        self._limits = limits
        self._context = zmq.Context()
        self._known = {peer.host: peer.peer_address for peer in hosts}
        self._known.pop(self.host, None)
        self._senders: dict[str, Any] = {}
        self._handlers: dict[str, PeerHandler] = {}
        self._decoders: dict[str, msgspec.msgpack.Decoder] = {}
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._receiver: Any = None
        self._thread: greenthread.GreenThread | None = None

    @property
    def hosts(self) -> tuple[str, ...]:
        """Names of the other control hosts."""
        return tuple(self._known)

    def subscribe(
        self,
        message_type: type[_Message],
        handler: Callable[[str, _Message], None],
    ) -> None:
        """Calls a handler with the sender and each message of a type.

        Handlers run one after the other in the receiving green thread, so
        they must not block; longer work belongs in a green thread of its own.

        Args:
            message_type: Struct of the message; its class name is the kind.
            handler: Takes the name of the sending host and the message.

        Raises:
            ValueError: The kind has a handler.
        """
        kind = message_type.__name__
        if kind in self._handlers:
            raise ValueError(f'two handlers for messages of kind {kind}')
        self._handlers[kind] = handler
        self._decoders[kind] = msgspec.msgpack.Decoder(message_type)

    def send(self, host: str, message: msgspec.Struct) -> bool:
        """Sends a message to a control host without waiting.

        Args:
            host: Name of the receiving host.
            message: The message.

        Returns:
            Whether it was queued on a connection; it may still be lost.
        """
        return self._send_packed(host, type(message).__name__, pack(message))

    def broadcast(self, message: msgspec.Struct) -> int:
        """Sends a message to all other control hosts.

        Returns:
            The number of hosts for which it was queued.
        """
        kind, body = type(message).__name__, pack(message)
        return sum(self._send_packed(host, kind, body) for host in self.hosts)

    def connect(self, host: str, peer_address: str) -> None:
        """Adds a control host that the settings do not name.

        An address from the settings stays, because it may lead through a
        link that only this host uses.
        """
        if host == self.host or host in self._known:
            return
        self._known[host] = peer_address
        if self._receiver is not None:
            self._open_sender(host)

    def start(self) -> None:
        """Binds, connects and receives in a green thread."""
        self._receiver = self._socket(zmq.ROUTER)
        protect_server(self._receiver)
        with listening(self._address):
            self._receiver.bind(f'tcp://{self._address}')
        for host in self._known:
            self._open_sender(host)
        self._thread = greenthread.spawn(self._receive_all)

    def stop(self) -> None:
        """Closes the sockets; queued messages are dropped."""
        if self._thread is None:
            return
        self._thread.kill()
        self._thread = None
        for sender in self._senders.values():
            sender.close()
        self._senders.clear()
        self._receiver.close()
        self._receiver = None

    def _socket(self, kind: int) -> Any:
        socket = self._context.socket(kind)
        limits = self._limits
        for option, number in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1),
            (zmq.SNDHWM, limits.queue_messages),
            (zmq.RCVHWM, limits.queue_messages),
            (zmq.MAXMSGSIZE, limits.message_bytes),
            (zmq.RECONNECT_IVL, limits.reconnect_ms),
            (zmq.RECONNECT_IVL_MAX, limits.reconnect_limit_ms),
            (zmq.HEARTBEAT_IVL, limits.keepalive_ms),
            (zmq.HEARTBEAT_TIMEOUT, limits.keepalive_timeout_ms),
            (zmq.HANDSHAKE_IVL, limits.keepalive_timeout_ms),
        ):
            socket.setsockopt(option, number)
        return socket

    def _open_sender(self, host: str) -> None:
        sender = self._socket(zmq.DEALER)
        protect_client(sender)
        sender.connect(f'tcp://{self._known[host]}')
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
        if sender is None or not _send_now(sender, frame):
            DROPPED.labels(host, kind).inc()
            return False
        CONTROL_BYTES.labels('sent', host, kind).inc(framed_size_bytes(frame))
        return True

    def _receive_all(self) -> None:
        for number in count():
            frames = self._receiver.recv_multipart()
            self._dispatch(frames[-1])
            if number % MESSAGES_A_TURN == 0:
                greenthread.sleep(0)

    def _dispatch(self, frame: bytes) -> None:
        kind = 'unknown'
        try:
            envelope = self._envelopes.decode(frame)
            decoder = self._decoders[envelope.kind]
            kind = envelope.kind
            message = decoder.decode(envelope.body)
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
            # One message at fault must not end the receiver of all services.
            BAD_MESSAGES.labels(kind).inc()
            logs.logger().exception('peer message failed', kind=kind)


def _send_now(sender: Any, frame: bytes) -> bool:
    try:
        sender.send(frame, zmq.NOBLOCK)
    except zmq.Again:
        return False
    return True
