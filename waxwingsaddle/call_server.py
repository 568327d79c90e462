"""Serves calls that other nodes send to the upstreams of this node."""

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
import msgspec
from eventlet.event import Event

from waxwingsaddle.calls import (
    Answer,
    BrokenBodyError,
    CallAnswer,
    CallCancel,
    CallChunk,
    CallCredit,
    CallRequest,
    Request,
)
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.util.clock import MS_PER_S

# Interval of checks whether the nodes whose calls run are still there.
_WATCH_S = 0.2

_decode_request = msgspec.msgpack.Decoder(CallRequest).decode
_decode_cancel = msgspec.msgpack.Decoder(CallCancel).decode
_decode_credit = msgspec.msgpack.Decoder(CallCredit).decode


@dataclass(slots=True)
class _Sending:
    """A streamed body on its way to the node that asked.

    Attributes:
        credit_bytes: Bytes that may be sent now.
        receiver: Route of the connection the chunks go on.
        changed: Set when credit or a cancellation came.
        is_cancelled: Whether nobody waits any more.
    """

    credit_bytes: int = 0
    receiver: bytes = b''
    changed: Event = field(default_factory=Event)
    is_cancelled: bool = False

    def notify(self) -> None:
        if not self.changed.ready():
            self.changed.send(None)


class CallServer:
    """Runs `CallRequest` messages and sends the answers back.

    Args:
        hop: Messages between nodes.
        upstream_calls: Runs the calls.
        stall_timeout_s: Longest wait for credit of a streamed body.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        hop: NodeTransport,
        upstream_calls: UpstreamCalls,
        stall_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._hop = hop
        self._upstream_calls = upstream_calls
        self._stall_timeout_s = stall_timeout_s
        self._clock = clock
        self._sendings: dict[str, _Sending] = {}
        self._callers: dict[str, bytes] = {}
        hop.subscribe_raw(CallRequest, self._on_request)
        hop.subscribe_raw(CallCancel, self._on_cancel)
        hop.subscribe_raw(CallCredit, self._on_credit)

    def start(self) -> None:
        """Begins to notice nodes that went away while their calls run."""
        eventlet.spawn(self._watch_callers)

    @property
    def pending(self) -> int:
        """The number of calls of other nodes that are not answered yet."""
        return len(self._callers)

    def _on_request(self, received: ReceivedMessage) -> None:
        message = _decode_request(received.body)
        deadline_s = self._clock() + message.remaining_ms / MS_PER_S
        eventlet.spawn_n(self._run, received, message, deadline_s)

    def _on_cancel(self, received: ReceivedMessage) -> None:
        self._cancel(_decode_cancel(received.body).call_id)

    def _cancel(self, call_id: str) -> None:
        sending = self._sendings.get(call_id)
        if sending is not None:
            sending.is_cancelled = True
            sending.notify()
        self._upstream_calls.cancel(call_id)

    def _on_credit(self, received: ReceivedMessage) -> None:
        credit = _decode_credit(received.body)
        sending = self._sendings.get(credit.call_id)
        if sending is not None:
            sending.credit_bytes += credit.credit_bytes
            sending.receiver = received.sender
            sending.notify()

    def _watch_callers(self) -> None:
        while True:
            eventlet.sleep(_WATCH_S)
            senders = set(self._callers.values())
            gone = {one for one in senders if not self._hop.is_reachable(one)}
            orphans = [
                call_id
                for call_id, sender in self._callers.items()
                if sender in gone
            ]
            for call_id in orphans:
                self._cancel(call_id)

    def _run(
        self,
        received: ReceivedMessage,
        message: CallRequest,
        deadline_s: float,
    ) -> None:
        call_id = message.call_id
        is_known = call_id in self._callers
        if not is_known:
            self._callers[call_id] = received.sender
        body = received.frames[0] if received.frames else b''
        request = Request(message.method, message.target, message.headers, body)
        try:
            answer = self._upstream_calls.run(
                message.upstream,
                message.to_call(deadline_s),
                request,
                message.claim,
            )
            if answer is not None:
                self._answer(received.sender, call_id, answer)
        finally:
            if not is_known:
                self._callers.pop(call_id, None)

    def _answer(self, sender: bytes, call_id: str, answer: Answer) -> None:
        load = answer.load
        message = CallAnswer(
            call_id=call_id,
            outcome=answer.outcome,
            status=answer.status,
            headers=answer.headers,
            reason=answer.reason,
            retry_after_ms=answer.retry_after_ms,
            is_streamed=answer.stream is not None,
            length=answer.length,
            was_retried=answer.was_retried,
            load=load
            and (load.in_flight, load.queued, load.limit, load.wait_ms),
        )
        if answer.stream is None:
            self._hop.answer(sender, message, [answer.body])
            return
        try:
            self._sendings[call_id] = _Sending()
            if self._hop.answer(sender, message, [b'']):
                self._send_body(call_id, answer)
        finally:
            self._sendings.pop(call_id, None)
            answer.stream.close()

    def _send_body(self, call_id: str, answer: Answer) -> None:
        sending = self._sendings[call_id]
        sequence = 0
        is_broken = False
        try:
            for piece in answer.stream:
                if not self._wait_credit(sending):
                    return
                sending.credit_bytes -= len(piece)
                chunk = CallChunk(call_id, sequence)
                if not self._hop.answer(sending.receiver, chunk, [piece]):
                    return
                sequence += 1
        except BrokenBodyError:
            is_broken = True
        end = CallChunk(call_id, sequence, not is_broken, is_broken)
        if self._wait_credit(sending):
            self._hop.answer(sending.receiver, end, [b''])

    def _wait_credit(self, sending: _Sending) -> bool:
        while sending.credit_bytes <= 0 and not sending.is_cancelled:
            sending.changed = Event()
            with eventlet.Timeout(self._stall_timeout_s, False):
                sending.changed.wait()
            if not sending.changed.ready():
                return False
        return not sending.is_cancelled
