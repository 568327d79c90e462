"""One connection from this node to another node."""

import struct
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import eventlet
from eventlet.event import Event
from eventlet.green import zmq

from waxwingsaddle.curve_keys import protect_client
from waxwingsaddle.message_socket import Frames, MessageSocket

_UP = zmq.Event.HANDSHAKE_SUCCEEDED
_DOWN = (
    zmq.Event.DISCONNECTED
    | zmq.Event.CLOSED
    | zmq.Event.HANDSHAKE_FAILED_NO_DETAIL
    | zmq.Event.HANDSHAKE_FAILED_PROTOCOL
)
# First frame of a monitor message: the event and its value. The parser of
# `zmq.utils` would import asyncio and OpenSSL, 9 MB.
_MONITOR_EVENT = struct.Struct('=hi')
# Messages handled before other green threads get a turn.
_BATCH = 64


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """Tunables of connections between nodes.

    Attributes:
        connect_timeout_s: Longest wait for a new connection.
        heartbeat_ms: Interval of heartbeats; a peer that misses three is lost.
        max_queued_messages: Most messages queued on one socket.
        max_message_bytes: Largest message that is accepted.
    """

    connect_timeout_s: float = 1
    heartbeat_ms: int = 500
    max_queued_messages: int = 1000
    max_message_bytes: int = 16_777_216

    def apply(self, link_socket: zmq.Socket) -> None:
        """Sets the options that all sockets between nodes share."""
        link_socket.linger = 0
        link_socket.sndhwm = self.max_queued_messages
        link_socket.rcvhwm = self.max_queued_messages
        link_socket.setsockopt(zmq.IMMEDIATE, 1)
        link_socket.setsockopt(zmq.HEARTBEAT_IVL, self.heartbeat_ms)
        link_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, 3 * self.heartbeat_ms)
        link_socket.setsockopt(zmq.MAXMSGSIZE, self.max_message_bytes)


class Link:
    """A DEALER socket that lives exactly as long as one connection.

    It never reconnects: a message is either written to this connection or
    lost with it, and can't reach the peer later on another one.

    Args:
        context: The context of the process.
        address: Call address of the peer.
        policy: Tunables.
        on_message: Called with the frames of each message received.
        on_lost: Called once when the connection ends or could not be made.
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
        self._monitor = _monitor(context, raw)
        self._threads = [
            eventlet.spawn(self._watch),
            eventlet.spawn(self._receive),
        ]
        raw.connect(f'tcp://{address}')
        eventlet.spawn_after(policy.connect_timeout_s, self._give_up)

    @property
    def is_connected(self) -> bool:
        """Whether the connection stands."""
        return self._connected.ready() and not self.is_lost

    def wait_connected(self, timeout_s: float = inf) -> bool:
        """Waits for the connection, and says whether it stands."""
        if not self._connected.ready():
            limit_s = min(timeout_s, self._policy.connect_timeout_s)
            with eventlet.Timeout(limit_s, False):
                self._connected.wait()
        return self.is_connected

    def send(self, frames: Frames) -> bool:
        """Hands a message to the connection without waiting.

        Returns:
            False if no byte left: the queue is full or the connection is gone.
        """
        if self.is_lost:
            return False
        try:
            self._socket.send(frames)
        except zmq.ZMQError:
            return False
        return True

    def close(self) -> None:
        """Ends the connection; `on_lost` is called if it stood."""
        self._lose()

    def _give_up(self) -> None:
        if not self._connected.ready():
            self._lose()

    def _watch(self) -> None:
        while not self.is_lost:
            event, _ = _MONITOR_EVENT.unpack(self._monitor.recv_multipart()[0])
            if event & _UP:
                self._connected.send(None)
            elif event & _DOWN:
                self._lose()

    def _receive(self) -> None:
        while not self.is_lost:
            for _ in range(_BATCH):
                self._on_message(self._socket.receive())
            eventlet.sleep(0)

    def _lose(self) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        if not self._connected.ready():
            self._connected.send(None)
        self._on_lost(self)
        # Closed from the hub: a socket must not be closed below a green
        # thread that is inside one of its calls.
        eventlet.spawn_n(self._close)

    def _close(self) -> None:
        for thread in self._threads:
            thread.kill()
        self._socket.raw.disable_monitor()
        self._monitor.close(0)
        self._socket.close()


def _monitor(context: zmq.Context, watched: zmq.Socket) -> zmq.Socket:
    # The green socket has no `get_monitor_socket` of its own kind.
    address = f'inproc://monitor-{id(watched)}-{watched.fd}'
    watched.monitor(address, _UP | _DOWN)
    monitor = context.socket(zmq.PAIR)
    monitor.linger = 0
    monitor.connect(address)
    return monitor
