"""Connection of a node to a control host."""

from collections.abc import Callable
from typing import Any

import msgspec
from eventlet import GreenPool, Timeout, greenthread
from eventlet.event import Event
from eventlet.green import zmq

from waxwingsaddle import logs, metrics
from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.control_host_selection import VersionReply
from waxwingsaddle.curve_keys import protect_client
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.node_messages import (
    MAX_WHOLE_BYTES,
    FloorQuery,
    FloorReply,
    FromControl,
    decode_from_control,
)
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import pack

# Longest wait for a new connection, unless the settings name one.
CONNECT_TIMEOUT_MS = 1000
# First and largest delay before zmq reconnects.
RECONNECT_MS = 100
RECONNECT_LIMIT_MS = 2000
# Connecting takes 1 ms on loopback and up to 20 ms between zones.
CONNECT_POLL_S = 0.005

BAD_MESSAGES = metrics.counter(
    'waxwing_control_messages_bad',
    'Messages of control hosts that could not be decoded or handled.',
)

Receiver = Callable[['ControlLink', FromControl, bytes], None]


class ControlLink:
    """DEALER socket connected to a control host.

    Args:
        control: The control host.
        identity: Routing id; if empty, zmq chooses one.
        queue_messages: Maximum number of messages queued per direction.
        receiver: Called with this link, the message and its second frame,
            which is empty if there is none.
        connect_timeout_ms: Longest wait for a new connection, in milliseconds,
            before another attempt. A host without power does not answer, and
            TCP repeats its first packet only after a second.
    """

    def __init__(
        self,
        control: NodeControl,
        identity: bytes,
        queue_messages: int,
        receiver: Receiver,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self.control = control
        self._identity = identity
        self._queue_messages = queue_messages
        self._receiver = receiver
        self._connect_timeout_ms = connect_timeout_ms
        self._socket: Any = None
        self._thread: greenthread.GreenThread | None = None

    def open(self) -> None:
        """Connects and starts the receiving green thread."""
        self._socket = zmq.Context.instance().socket(zmq.DEALER)
        for option, setting in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1),
            (zmq.SNDHWM, self._queue_messages),
            (zmq.RCVHWM, self._queue_messages),
            (zmq.MAXMSGSIZE, MAX_WHOLE_BYTES),
            (zmq.CONNECT_TIMEOUT, self._connect_timeout_ms),
            (zmq.RECONNECT_IVL, RECONNECT_MS),
            (zmq.RECONNECT_IVL_MAX, RECONNECT_LIMIT_MS),
        ):
            self._socket.setsockopt(option, setting)
        if self._identity:
            self._socket.setsockopt(zmq.ROUTING_ID, self._identity)
        protect_client(self._socket)
        self._socket.connect(f'tcp://{self.control.node_address}')
        self._thread = greenthread.spawn(self._receive_all)

    def close(self) -> None:
        """Closes the connection and drops queued messages."""
        if self._socket is None:
            return
        thread = self._thread
        connection = self._socket
        self._thread = None
        self._socket = None
        if thread is not greenthread.getcurrent():
            thread.kill()
        connection.close()

    def send(self, message: msgspec.Struct) -> bool:
        """Queues a message without blocking; returns whether it did."""
        if self._socket is None:
            return False
        try:
            self._socket.send(pack(message), zmq.NOBLOCK)
        except zmq.Again:
            # The failed send may have consumed the wake-up of the receiver;
            # reading the events restores it.
            self._socket.getsockopt(zmq.EVENTS)
            return False
        return True

    def send_connected(self, message: msgspec.Struct, timeout_ms: int) -> bool:
        """Waits for the connection and queues a message.

        It polls, because a blocking send would sometimes miss that the
        connection is up: in eventlet's zmq, a receiver that consumes the
        wake-up does not pass it on to a sender.

        Args:
            message: The message.
            timeout_ms: Maximum wait for the connection in milliseconds.

        Returns:
            Whether the message was queued in time.
        """
        deadline_s = monotonic_s() + timeout_ms / MS_PER_S
        while not self.send(message):
            if self._socket is None or monotonic_s() > deadline_s:
                return False
            greenthread.sleep(CONNECT_POLL_S)
        return True

    def _receive_all(self) -> None:
        while self._socket is not None:
            frames = self._socket.recv_multipart()
            raw = frames[1] if len(frames) > 1 else b''
            try:
                self._receiver(self, decode_from_control(frames[0]), raw)
            except msgspec.DecodeError:
                BAD_MESSAGES.inc()
            except Exception:
                # An error in one message must not end the subscription.
                BAD_MESSAGES.inc()
                logs.logger().exception(
                    'handling a message of a control host failed'
                )


class VersionQuery:
    """Queries the version of one control host, on one connection.

    A new connection for each query of each node would multiply the traffic
    between availability zones while a fleet starts.

    Args:
        control: The control host.
        controls: Updated with the control hosts that replies list.
        site: Site of the node.
        connect_timeout_ms: Longest wait for a connection before another
            attempt.
    """

    def __init__(
        self,
        control: NodeControl,
        controls: ControlList,
        site: str,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._control = control
        self._controls = controls
        self._site = site
        self._replied = Event()
        self._link = ControlLink(
            control, b'', 1, self._receive, connect_timeout_ms
        )

    def open(self) -> None:
        """Connects to the control host."""
        self._link.open()

    def close(self) -> None:
        """Closes the connection."""
        self._link.close()

    def ask(self, timeout_ms: int) -> VersionReply | None:
        """Returns the version and the majority age; none if not in time.

        Args:
            timeout_ms: Maximum wait in milliseconds.
        """
        self._replied = Event()
        with Timeout(timeout_ms / MS_PER_S, exception=False):
            self._link.send_connected(FloorQuery(self._site), timeout_ms)
            reply = self._replied.wait()
            self._controls.learn(reply.controls)
            return VersionReply(
                self._controls.latest(self._control),
                reply.version,
                reply.majority_age_ms,
            )
        return None

    def _receive(self, _link: ControlLink, message: Any, _raw: bytes) -> None:
        if isinstance(message, FloorReply) and not self._replied.ready():
            self._replied.send(message)


def query_version(
    control: NodeControl,
    controls: ControlList,
    site: str,
    timeout_ms: int,
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
) -> VersionReply | None:
    """Queries the version and majority age of a control host once.

    Args:
        control: The control host.
        controls: Updated with the control hosts that the reply lists.
        site: Site of the node.
        timeout_ms: Maximum wait in milliseconds.
        connect_timeout_ms: Part of it after which a connection is given up
            and tried again.

    Returns:
        The reply; none if it did not arrive in time.
    """
    query = VersionQuery(control, controls, site, connect_timeout_ms)
    query.open()
    try:
        return query.ask(timeout_ms)
    finally:
        query.close()


def query_versions(
    queried_controls: tuple[NodeControl, ...],
    controls: ControlList,
    site: str,
    timeout_ms: int,
    connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
) -> tuple[VersionReply, ...]:
    """Queries several control hosts in parallel."""
    pool = GreenPool()
    queries = [
        pool.spawn(
            query_version,
            control,
            controls,
            site,
            timeout_ms,
            connect_timeout_ms,
        )
        for control in queried_controls
    ]
    return tuple(filter(None, (query.wait() for query in queries)))
