"""ZeroMQ messages between nodes: one ROUTER receives, one DEALER per peer."""

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
from waxwingsaddle.listen_errors import wrap_listen_errors
from waxwingsaddle.message_socket import Frames, MessageSocket
from waxwingsaddle.util.codec import msgpack_decoder

_Reply = TypeVar('_Reply', bound=msgspec.Struct)

# Messages handled before other green threads may run.
_MESSAGES_PER_TURN = 64
# Each message is handled in a green thread of its own. When all are busy,
# further messages wait in the queue of the socket.
_MAX_HANDLER_THREADS = 500

_dropped = metrics.counter(
    'waxwing_hop_dropped',
    'Messages between nodes that were dropped.',
    ('reason',),
)


@dataclass(slots=True)
class _PendingRequest:
    link: Link
    reply_event: Event


class NodeTransport:
    """Sends messages to other nodes and handles theirs.

    Args:
        call_address: Address on which this node receives messages.
        policy: Limits of the connections.
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
        self._link_lost_handlers: list[Callable[[Link], None]] = []
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._request_ids = count(1)
        self._pool = eventlet.GreenPool(_MAX_HANDLER_THREADS)

    def start(self) -> None:
        """Binds the call address and receives in a green thread."""
        self._router = MessageSocket(self._context, zmq.ROUTER)
        raw = self._router.raw
        self._policy.apply(raw)
        protect_server(raw)
        raw.setsockopt(zmq.ROUTER_MANDATORY, 1)
        with wrap_listen_errors(self._call_address):
            raw.bind(f'tcp://{self._call_address}')
        self._thread = eventlet.spawn(self._serve)

    def stop(self) -> None:
        """Closes all connections."""
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
        """Handles messages of a type, each in a green thread of its own.

        Args:
            message_type: Type of the messages; its name is their kind.
            handler: Called with each message; may block. Returns the reply to
                a request, or None for no reply.
        """
        self._subscriptions[message_type.__name__] = Subscription(
            msgpack_decoder(message_type), handler
        )

    def request(
        self,
        call_address: str,
        message: msgspec.Struct,
        timeout_s: float,
        reply_type: type[_Reply],
    ) -> _Reply | NoReply:
        """Sends a request to a node and waits for the reply.

        Blocks the calling green thread.

        Args:
            call_address: Call address of the node.
            message: The request.
            timeout_s: Longest wait in seconds, including for a connection.
            reply_type: Type of the reply.

        Returns:
            The reply, or the reason why there is none.
        """
        deadline_s = time.monotonic() + timeout_s
        link = self.link(call_address)
        if not link.wait_connected(timeout_s):
            return NoReply(call_address, was_sent=False, reason='unreachable')
        request_id = next(self._request_ids)
        pending = _PendingRequest(link, Event())
        self._pending_requests[request_id] = pending
        try:
            if not link.send([encode(message, request_id)]):
                return NoReply(call_address, False, 'unreachable')
            reply = None
            with eventlet.Timeout(deadline_s - time.monotonic(), False):
                reply = pending.reply_event.wait()
        finally:
            self._pending_requests.pop(request_id)
        if reply is None:
            reason = 'lost' if pending.reply_event.ready() else 'timeout'
            return NoReply(call_address, True, reason)
        try:
            return msgpack_decoder(reply_type)(reply)
        except msgspec.DecodeError:
            return NoReply(call_address, True, 'malformed')

    def notify(self, call_address: str, message: msgspec.Struct) -> bool:
        """Sends a message without a reply; False if it was not sent."""
        link = self.link(call_address)
        return link.wait_connected() and link.send([encode(message)])

    def subscribe_raw(self, message_type: type, handler: RawHandler) -> None:
        """Handles messages of a type inline; the handler must not block."""
        self._raw_handlers[message_type.__name__] = handler

    def subscribe_answers(
        self, message_type: type, handler: RawHandler
    ) -> None:
        """Handles messages of a type that peers send back on links."""
        self._answer_handlers[message_type.__name__] = handler

    def on_link_lost(self, handler: Callable[[Link], None]) -> None:
        """Calls the handler with each link whose connection is lost."""
        self._link_lost_handlers.append(handler)

    def link(self, call_address: str, lane: str = 'short') -> Link:
        """Returns the link to a node; opens one if there is none.

        Args:
            call_address: Call address of the node.
            lane: Each lane has a connection of its own, so that messages of
                one lane never queue behind those of another.
        """
        link = self._links.get((call_address, lane))
        if link is None:
            link = Link(
                self._context,
                call_address,
                self._policy,
                self._on_link_message,
                lambda lost_link: self._on_link_lost(lost_link, lane),
            )
            self._links[call_address, lane] = link
        return link

    def send(
        self, link: Link, message: msgspec.Struct, frames: Frames = ()
    ) -> bool:
        """Sends a message on a link; any answers are separate messages.

        Returns:
            False if nothing was sent.
        """
        return link.send([encode(message), *frames])

    def answer(
        self, sender: bytes, message: msgspec.Struct, frames: Frames = ()
    ) -> bool:
        """Sends a message on the connection that a message came from.

        Returns:
            False if that connection is lost or its queue is full.
        """
        return self._send_back([sender, encode(message), *frames])

    def is_reachable(self, sender: bytes) -> bool:
        """Returns whether the connection of a sender is still open."""
        if self._router is None:
            return False
        try:
            self._router.send([sender, PROBE])
        except zmq.ZMQError as error:
            return error.errno != zmq.EHOSTUNREACH
        return True

    def _send_back(self, frames: Frames) -> bool:
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
            for _ in range(_MESSAGES_PER_TURN):
                self._dispatch_message(router.receive())
            eventlet.sleep(0)

    def _dispatch_message(self, frames: Frames) -> None:
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
            self._pool.spawn_n(self._handle_message, frames[0], envelope)
        else:
            _dropped.labels('unknown-kind').inc()

    def _handle_message(self, sender: bytes, envelope: Envelope) -> None:
        subscription = self._subscriptions[envelope.kind]
        try:
            message = subscription.decode(envelope.body)
        except msgspec.DecodeError:
            _dropped.labels('malformed').inc()
            return
        reply = subscription.handler(message)
        if reply is not None and envelope.request_id:
            self._send_back([sender, encode(reply, envelope.request_id, True)])

    def _on_link_message(self, frames: Frames) -> None:
        try:
            envelope = decode(frames[0])
        except (IndexError, msgspec.DecodeError):
            _dropped.labels('malformed').inc()
            return
        if envelope.is_reply:
            pending = self._pending_requests.get(envelope.request_id)
            if pending is not None and not pending.reply_event.ready():
                pending.reply_event.send(envelope.body)
            return
        handler = self._answer_handlers.get(envelope.kind)
        if handler is not None:
            run_handler(
                handler, ReceivedMessage(b'', envelope.body, frames[1:])
            )

    def _on_link_lost(self, link: Link, lane: str) -> None:
        if self._links.get((link.address, lane)) is link:
            self._links.pop((link.address, lane))
        for pending in self._pending_requests.values():
            if pending.link is link and not pending.reply_event.ready():
                pending.reply_event.send(None)
        for handler in self._link_lost_handlers:
            handler(link)
