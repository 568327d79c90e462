"""Messages between nodes: one ROUTER to receive, one DEALER per peer node."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Any, TypeVar

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.green import zmq

from waxwingsaddle import metrics
from waxwingsaddle.curve_keys import protect_server
from waxwingsaddle.envelope import (
    PROBE,
    Envelope,
    NoReply,
    RawHandler,
    ReceivedMessage,
    Subscription,
    decode,
    encode,
    run_handler,
)
from waxwingsaddle.link import Link, LinkPolicy
from waxwingsaddle.listening import listening
from waxwingsaddle.message_socket import Frames, MessageSocket

_Reply = TypeVar('_Reply', bound=msgspec.Struct)

# Messages handled before other green threads get a turn.
_BATCH = 64
# A green thread a message; more wait in the socket's queue.
_HANDLER_THREADS = 500

_dropped = metrics.counter(
    'waxwing_hop_dropped',
    'Messages between nodes that were dropped.',
    ('reason',),
)


@dataclass(slots=True)
class _Waiting:
    link: Link
    done: Event


class NodeTransport:
    """Sends messages to other nodes and serves theirs.

    Args:
        call_address: Where it takes messages of other nodes.
        policy: Tunables of the connections.
    """

    def __init__(self, call_address: str, policy: LinkPolicy) -> None:
        self._call_address = call_address
        self._policy = policy
        self._context = zmq.Context()
        self._router: MessageSocket | None = None
        self._thread: eventlet.greenthread.GreenThread | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._subscriptions: dict[str, Subscription] = {}
        self._raw_handlers: dict[str, RawHandler] = {}
        self._answer_handlers: dict[str, RawHandler] = {}
        self._lost_handlers: list[Callable[[Link], None]] = []
        self._waiting: dict[int, _Waiting] = {}
        self._request_ids = count(1)
        self._pool = eventlet.GreenPool(_HANDLER_THREADS)

    def start(self) -> None:
        """Binds the call address and serves it in a green thread."""
        self._router = MessageSocket(self._context, zmq.ROUTER)
        raw = self._router.raw
        self._policy.apply(raw)
        protect_server(raw)
        raw.setsockopt(zmq.ROUTER_MANDATORY, 1)
        with listening(self._call_address):
            raw.bind(f'tcp://{self._call_address}')
        self._thread = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Ends all connections."""
        for link in list(self._links.values()):
            link.close()
        if self._thread is not None:
            self._thread.kill()
            self._router.close()
            self._router = None
            self._thread = None

    def subscribe(
        self,
        message_type: type[msgspec.Struct],
        handler: Callable[[Any], msgspec.Struct | None],
    ) -> None:
        """Serves the messages of one type, each in a green thread.

        Args:
            message_type: The type; its name is its tag on the wire.
            handler: Called with the message; may block. What it returns is
                the reply to a request; `None` sends none.
        """
        self._subscriptions[message_type.__name__] = Subscription(
            message_type,
            handler,
        )

    def request(
        self,
        call_address: str,
        message: msgspec.Struct,
        timeout_s: float,
        reply_type: type[_Reply],
    ) -> _Reply | NoReply:
        """Sends a message to a node and waits for its reply.

        Blocks the calling green thread.

        Args:
            call_address: Call address of the node.
            message: The request.
            timeout_s: Longest wait, including that for a connection.
            reply_type: Type of the reply.

        Returns:
            The reply, or why there is none.
        """
        limit_s = time.monotonic() + timeout_s
        link = self.link(call_address)
        if not link.wait_connected(timeout_s):
            return NoReply(call_address, was_sent=False, reason='unreachable')
        request_id = next(self._request_ids)
        waiting = _Waiting(link, Event())
        self._waiting[request_id] = waiting
        try:
            if not link.send([encode(message, request_id)]):
                return NoReply(call_address, False, 'unreachable')
            reply = None
            with eventlet.Timeout(limit_s - time.monotonic(), False):
                reply = waiting.done.wait()
        finally:
            self._waiting.pop(request_id)
        if reply is None:
            reason = 'lost' if waiting.done.ready() else 'timeout'
            return NoReply(call_address, True, reason)
        try:
            return msgspec.msgpack.decode(reply, type=reply_type)
        except msgspec.DecodeError:
            return NoReply(call_address, True, 'malformed')

    def notify(self, call_address: str, message: msgspec.Struct) -> bool:
        """Sends a message that wants no reply; False if no byte left."""
        link = self.link(call_address)
        return link.wait_connected() and link.send([encode(message)])

    def subscribe_raw(self, message_type: type, handler: RawHandler) -> None:
        """Serves messages of one type inline; the handler must not block."""
        self._raw_handlers[message_type.__name__] = handler

    def subscribe_answers(
        self, message_type: type, handler: RawHandler
    ) -> None:
        """Takes messages that peers send back on links of this node."""
        self._answer_handlers[message_type.__name__] = handler

    def on_link_lost(self, handler: Callable[[Link], None]) -> None:
        """Calls the handler with each link whose connection ended."""
        self._lost_handlers.append(handler)

    def link(self, call_address: str, lane: str = 'short') -> Link:
        """Returns the connection to a node, a new one when there is none.

        Args:
            call_address: Call address of the node.
            lane: Connections of different lanes never wait for each other.
        """
        link = self._links.get((call_address, lane))
        if link is None:
            link = Link(
                self._context,
                call_address,
                self._policy,
                self._on_link_message,
                lambda lost: self._on_lost(lost, lane),
            )
            self._links[call_address, lane] = link
        return link

    def send(
        self,
        link: Link,
        message: msgspec.Struct,
        frames: Frames = (),
    ) -> bool:
        """Sends a message that is answered by messages of other types.

        Returns:
            False if no byte left.
        """
        return link.send([encode(message), *frames])

    def answer(
        self,
        sender: bytes,
        message: msgspec.Struct,
        frames: Frames = (),
    ) -> bool:
        """Sends a message back on the connection a message came on.

        Returns:
            False if that connection is gone or its queue is full.
        """
        return self._answer([sender, encode(message), *frames])

    def is_reachable(self, sender: bytes) -> bool:
        """Says whether the connection a message came on still stands."""
        try:
            self._router.send([sender, PROBE])
        except zmq.ZMQError as error:
            return error.errno != zmq.EHOSTUNREACH
        return True

    def _answer(self, frames: Frames) -> bool:
        if self._router is None:
            return False
        try:
            self._router.send(frames)
        except zmq.ZMQError as error:
            is_gone = error.errno == zmq.EHOSTUNREACH
            _dropped.labels('peer-gone' if is_gone else 'queue-full').inc()
            return False
        return True

    def _serve(self) -> None:
        router = self._router
        while True:
            for _ in range(_BATCH):
                self._take(router.receive())
            eventlet.sleep(0)

    def _take(self, frames: Frames) -> None:
        try:
            envelope = decode(frames[1])
        except (IndexError, msgspec.DecodeError):
            _dropped.labels('malformed').inc()
            return
        raw_handler = self._raw_handlers.get(envelope.kind)
        if raw_handler is not None:
            run_handler(
                raw_handler,
                ReceivedMessage(frames[0], envelope.body, frames[2:]),
            )
            return
        if envelope.kind in self._subscriptions:
            self._pool.spawn_n(self._handle, frames[0], envelope)
        else:
            _dropped.labels('unknown-kind').inc()

    def _handle(self, sender: bytes, envelope: Envelope) -> None:
        subscription = self._subscriptions[envelope.kind]
        try:
            message = msgspec.msgpack.decode(
                envelope.body,
                type=subscription.message_type,
            )
        except msgspec.DecodeError:
            _dropped.labels('malformed').inc()
            return
        reply = subscription.handler(message)
        if reply is not None and envelope.request_id:
            self._answer([sender, encode(reply, envelope.request_id, True)])

    def _on_link_message(self, frames: Frames) -> None:
        try:
            envelope = decode(frames[0])
        except (IndexError, msgspec.DecodeError):
            _dropped.labels('malformed').inc()
            return
        if envelope.is_reply:
            waiting = self._waiting.get(envelope.request_id)
            if waiting is not None and not waiting.done.ready():
                waiting.done.send(envelope.body)
            return
        handler = self._answer_handlers.get(envelope.kind)
        if handler is not None:
            run_handler(
                handler, ReceivedMessage(b'', envelope.body, frames[1:])
            )

    def _on_lost(self, link: Link, lane: str) -> None:
        if self._links.get((link.address, lane)) is link:
            self._links.pop((link.address, lane))
        for waiting in self._waiting.values():
            if waiting.link is link and not waiting.done.ready():
                waiting.done.send(None)
        for handler in self._lost_handlers:
            handler(link)
