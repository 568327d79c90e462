"""Connection of a node to one control host."""

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

# Bounds of the delay before zmq opens a lost connection again.
RECONNECT_MS = 100
RECONNECT_LIMIT_MS = 2000
# A loopback connection takes 1 ms, one between zones up to 20 ms.
CONNECT_POLL_S = 0.005

BAD_MESSAGES = metrics.counter(
    'waxwing_control_messages_bad',
    'Messages of control hosts that could not be decoded or handled.',
)

Receiver = Callable[['ControlLink', FromControl, bytes], None]


class ControlLink:
    """A DEALER connected to one control host.

    Args:
        control: The control host.
        identity: Routing id; an empty one is chosen by zmq.
        queue_messages: Messages queued in either direction.
        receiver: Takes this link, the message and its second frame.
    """

    def __init__(
        self,
        control: NodeControl,
        identity: bytes,
        queue_messages: int,
        receiver: Receiver,
    ) -> None:
        self.control = control
        self._identity = identity
        self._queue_messages = queue_messages
        self._receiver = receiver
        self._socket: Any = None
        self._thread: greenthread.GreenThread | None = None

    def open(self) -> None:
        """Connects and receives in a green thread."""
        self._socket = zmq.Context.instance().socket(zmq.DEALER)
        for option, setting in (
            (zmq.LINGER, 0),
            (zmq.IMMEDIATE, 1),
            (zmq.SNDHWM, self._queue_messages),
            (zmq.RCVHWM, self._queue_messages),
            (zmq.MAXMSGSIZE, MAX_WHOLE_BYTES),
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
        """Ends the connection; queued messages are dropped."""
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
        """Queues a message without waiting, and says whether it did."""
        if self._socket is None:
            return False
        try:
            self._socket.send(pack(message), zmq.NOBLOCK)
        except zmq.Again:
            # The failed call may have taken the wake-up of the receiver;
            # reading the events gives it back.
            self._socket.getsockopt(zmq.EVENTS)
            return False
        return True

    def send_connected(self, message: msgspec.Struct, wait_ms: int) -> bool:
        """Queues a message once connected, and says whether it did.

        A blocking send would miss the connection now and then: in eventlet's
        zmq a receiver that takes the wake-up does not pass it on to a sender.

        Args:
            message: The message.
            wait_ms: Longest wait for the connection.
        """
        limit_s = monotonic_s() + wait_ms / MS_PER_S
        while not self.send(message):
            if self._socket is None or monotonic_s() > limit_s:
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
                # One message at fault must not end the subscription.
                BAD_MESSAGES.inc()
                logs.logger().exception('message of a control host failed')


class _Question:
    def __init__(self) -> None:
        self.replied = Event()

    def receive(self, _link: ControlLink, message: Any, _raw: bytes) -> None:
        if isinstance(message, FloorReply) and not self.replied.ready():
            self.replied.send(message)


def ask_version(
    control: NodeControl,
    controls: ControlList,
    site: str,
    wait_ms: int,
) -> VersionReply | None:
    """Asks a control host for its version and majority age.

    Args:
        control: The control host.
        controls: Learns the control hosts that this one knows.
        site: Site of the node.
        wait_ms: Longest wait.

    Returns:
        The answer; none when it did not come in time.
    """
    question = _Question()
    link = ControlLink(control, b'', 1, question.receive)
    link.open()
    try:
        with Timeout(wait_ms / MS_PER_S, exception=False):
            link.send_connected(FloorQuery(site), wait_ms)
            reply = question.replied.wait()
            controls.learn(reply.controls)
            return VersionReply(
                controls.current(control),
                reply.version,
                reply.majority_age_ms,
            )
    finally:
        link.close()
    return None


def ask_versions(
    asked_controls: tuple[NodeControl, ...],
    controls: ControlList,
    site: str,
    wait_ms: int,
) -> tuple[VersionReply, ...]:
    """Asks several control hosts at once."""
    pool = GreenPool()
    asked = [
        pool.spawn(ask_version, control, controls, site, wait_ms)
        for control in asked_controls
    ]
    return tuple(filter(None, (thread.wait() for thread in asked)))
