"""Connection from this node to another node."""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import eventlet
from eventlet.event import Event
from eventlet.green import zmq

from waxwingsaddle.curve_keys import protect_client
from waxwingsaddle.message_socket import Frames, MessageSocket

_CONNECTED_EVENTS = zmq.Event.HANDSHAKE_SUCCEEDED
_DISCONNECTED_EVENTS = (
    zmq.Event.DISCONNECTED
    | zmq.Event.CLOSED
    | zmq.Event.HANDSHAKE_FAILED_NO_DETAIL
    | zmq.Event.HANDSHAKE_FAILED_PROTOCOL
)
# First frame of a monitor message: event and value. The parser in `zmq.utils`
# would import asyncio and OpenSSL, which take 9 MB of memory.
_MONITOR_EVENT = struct.Struct('=hi')
# Messages handled before other green threads may run.
_MESSAGES_PER_TURN = 64


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """Limits of connections between nodes.

    Attributes:
        connect_timeout_s: Longest wait for a new connection, in seconds.
        heartbeat_ms: Interval of heartbeats in milliseconds; a connection is
            lost when three are missed.
        max_queued_messages: Largest number of messages queued on a socket.
        max_message_bytes: Largest message that is accepted, in bytes.
    """

    connect_timeout_s: float = 1
    heartbeat_ms: int = 500
    max_queued_messages: int = 1000
    max_message_bytes: int = 16_777_216

    def apply(self, link_socket: zmq.Socket) -> None:
        """Sets the options common to all sockets between nodes."""
        link_socket.linger = 0
        link_socket.sndhwm = self.max_queued_messages
        link_socket.rcvhwm = self.max_queued_messages
        link_socket.setsockopt(zmq.IMMEDIATE, 1)
        link_socket.setsockopt(zmq.HEARTBEAT_IVL, self.heartbeat_ms)
        link_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * self.heartbeat_ms)
        link_socket.setsockopt(zmq.MAXMSGSIZE, self.max_message_bytes)


class Link:
    """DEALER socket that lasts exactly as long as one connection.

    The socket never reconnects. A message is either sent on this connection
    or lost with it; it cannot reach the peer later on another connection.

    Args:
        context: ZeroMQ context of the process.
        address: Call address of the peer.
        policy: Limits of the connection.
        on_message: Called with the frames of each received message.
        on_lost: Called once, when the connection ends or cannot be opened.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        policy: LinkPolicy,
        on_message: Callable[[Frames], None],
        on_lost: Callable[['Link'], None],
    ) -> None:
        self.address = address
        self.is_lost = False
        self._policy = policy
        self._on_message = on_message
        self._on_lost = on_lost
        self._connected = Event()
        self._socket = MessageSocket(context, zmq.DEALER)
        raw = self._socket.raw
        policy.apply(raw)
        protect_client(raw)
        raw.setsockopt(zmq.RECONNECT_IVL, -1)
        self._monitor = _open_monitor(context, raw)
        self._threads = [
            eventlet.spawn(self._watch_monitor),
            eventlet.spawn(self._receive),
        ]
        raw.connect(f'tcp://{address}')
        eventlet.spawn_after(
            policy.connect_timeout_s, self._close_if_unconnected
        )

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open."""
        return self._connected.ready() and not self.is_lost

    def wait_connected(self, timeout_s: float = inf) -> bool:
        """Waits until the connection is open or fails; returns whether open."""
        if not self._connected.ready():
            wait_s = min(timeout_s, self._policy.connect_timeout_s)
            with eventlet.Timeout(wait_s, False):
                self._connected.wait()
        return self.is_connected

    def send(self, frames: Frames) -> bool:
        """Queues a message on the connection without waiting.

        Returns:
            False if nothing was sent, because the queue is full or the
            connection is lost.
        """
        if self.is_lost:
            return False
        try:
            self._socket.send(frames)
        except zmq.ZMQError:
            return False
        return True

    def close(self) -> None:
        """Closes the connection; calls `on_lost` unless it is already lost."""
        self._mark_lost()

    def _close_if_unconnected(self) -> None:
        if not self._connected.ready():
            self._mark_lost()

    def _watch_monitor(self) -> None:
        while not self.is_lost:
            event, _ = _MONITOR_EVENT.unpack(self._monitor.recv_multipart()[0])
            if event & _CONNECTED_EVENTS:
                self._connected.send(None)
            elif event & _DISCONNECTED_EVENTS:
                self._mark_lost()

    def _receive(self) -> None:
        while not self.is_lost:
            for _ in range(_MESSAGES_PER_TURN):
                self._on_message(self._socket.receive())
            eventlet.sleep(0)

    def _mark_lost(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        if not self._connected.ready():
            self._connected.send(None)
        self._on_lost(self)
        # Closed from the hub, because a socket must not be closed while a
        # green thread is inside one of its calls.
        eventlet.spawn_n(self._close_sockets)

    def _close_sockets(self) -> None:
        for thread in self._threads:
            thread.kill()
        self._socket.raw.disable_monitor()
        self._monitor.close(0)
        self._socket.close()


def _open_monitor(context: zmq.Context, monitored: zmq.Socket) -> zmq.Socket:
    # `get_monitor_socket` of a green socket does not return a green socket.
    address = f'inproc://monitor-{id(monitored)}-{monitored.fd}'
    monitored.monitor(address, _CONNECTED_EVENTS | _DISCONNECTED_EVENTS)
    monitor = context.socket(zmq.PAIR)
    monitor.linger = 0
    monitor.connect(address)
    return monitor
