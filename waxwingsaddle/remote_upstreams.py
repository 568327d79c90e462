"""Runs calls at the upstreams of other nodes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

import eventlet
from eventlet.event import Event
from greenlet import getcurrent, greenlet

from waxwingsaddle import metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import (
    Answer,
    CallAnswer,
    CallCancel,
    CallChunk,
    CallRequest,
    Request,
    not_run,
    unknown,
)
from waxwingsaddle.guard import Load
from waxwingsaddle.link import Link
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.remote_stream import RemoteCallPolicy, RemoteStream
from waxwingsaddle.upload_sender import UploadSender
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import msgpack_decoder
from waxwingsaddle.util.outcome import Outcome

# Reasons of calls that have not run because their body was not sent whole.
_REASON_UNSENT = {'connection-lost': 'unreachable'}

# Longest wait for the answer to a call that was cancelled.
_CANCEL_TIMEOUT_S = 0.1

_stray_answers = metrics.counter(
    'waxwing_hop_stray_answers',
    'Answers dropped because nobody waited for them any more.',
)

_decode_answer = msgpack_decoder(CallAnswer)
_decode_chunk = msgpack_decoder(CallChunk)


@dataclass(slots=True)
class _PendingCall:
    link: Link
    done: Event = field(default_factory=Event)

    def end(self, answer: Answer) -> None:
        """Ends the call with an answer, unless it has one."""
        if not self.done.ready():
            self.done.send(answer)


class _CancelledError(Exception):
    """The call was cancelled while it waited for a connection."""


class RemoteCalls:
    """Sends calls to guarding nodes and matches their answers to the calls.

    Args:
        transport: Sends and receives messages between nodes.
        policy: Settings.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        transport: NodeTransport,
        policy: RemoteCallPolicy,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._policy = policy
        self._clock = clock
        self._pending: dict[str, _PendingCall] = {}
        self._connecting: dict[str, greenlet] = {}
        self._streams: dict[str, RemoteStream] = {}
        self._uploads = UploadSender(transport)
        transport.subscribe_answers(CallAnswer, self._on_answer)
        transport.subscribe_answers(CallChunk, self._on_chunk)
        transport.on_link_lost(self._on_link_lost)

    def run(
        self,
        address: str,
        upstream: str,
        call: Call,
        request: Request,
        claim: bytes = b'',
    ) -> Answer:
        """Runs a call at another node and blocks the calling green thread.

        Args:
            address: Call address of the guarding node.
            upstream: Name of the upstream on that node.
            call: The call.
            request: HTTP request to send.
            claim: Encoded claim of the idempotency key; empty without one.

        Returns:
            The answer of the call; the caller must close its `stream`.
        """
        link = self._transport.link(address)
        try:
            if not self._wait_connected(link, call):
                return not_run('unreachable')
        except _CancelledError:
            return not_run('cancelled')
        remaining_s = call.deadline_s - self._clock()
        if remaining_s <= 0:
            return not_run('deadline')
        message = _call_request(upstream, call, request, claim, remaining_s)
        pending = _PendingCall(link)
        self._pending[call.call_id] = pending
        try:
            if len(request.body) > self._policy.bulk_threshold_bytes:
                return self._upload(
                    call, pending, message, request.body, remaining_s
                )
            if not self._transport.send(link, message, [request.body]):
                return not_run('unreachable')
            return self._wait_for_answer(call, pending, remaining_s)
        finally:
            self._pending.pop(call.call_id, None)

    def cancel(self, call_id: str) -> None:
        """Cancels a call in flight and notifies the guarding node.

        That node answers at once whether the call has run.
        """
        connecting = self._connecting.get(call_id)
        if connecting is not None:
            eventlet.kill(connecting, _CancelledError())
        pending = self._pending.get(call_id)
        if pending is not None and not pending.done.ready():
            self._transport.send(pending.link, CallCancel(call_id))
            eventlet.spawn_after(
                _CANCEL_TIMEOUT_S, pending.end, unknown('cancelled')
            )

    def _wait_connected(self, link: Link, call: Call) -> bool:
        if link.is_connected:
            return True
        self._connecting[call.call_id] = getcurrent()
        try:
            return link.wait_connected(call.deadline_s - self._clock())
        finally:
            del self._connecting[call.call_id]

    def _upload(
        self,
        call: Call,
        pending: _PendingCall,
        message: CallRequest,
        body: bytes,
        remaining_s: float,
    ) -> Answer:
        """Makes a call whose body the guarding node takes piece by piece."""
        try:
            if not self._uploads.start(pending.link, message, body):
                return not_run('unreachable')
            answer = self._wait_for_answer(call, pending, remaining_s)
        finally:
            was_sent = self._uploads.end(call.call_id)
        if answer.outcome is Outcome.UNKNOWN and not was_sent:
            reason = answer.reason
            return not_run(_REASON_UNSENT.get(reason, reason))
        return answer

    def _wait_for_answer(
        self, call: Call, pending: _PendingCall, remaining_s: float
    ) -> Answer:
        timeout_s = remaining_s + self._policy.answer_grace_s
        with eventlet.Timeout(timeout_s, False):
            return pending.done.wait()
        self.cancel(call.call_id)
        return unknown('deadline')

    def _on_answer(self, received: ReceivedMessage) -> None:
        message = _decode_answer(received.body)
        pending = self._pending.get(message.call_id)
        if pending is None or pending.done.ready():
            _stray_answers.inc()
            return
        answer = Answer(
            outcome=message.outcome,
            status=message.status,
            headers=message.headers,
            body=received.frames[0],
            length=message.length,
            reason=message.reason,
            retry_after_ms=message.retry_after_ms,
            load=message.load and Load.of_report(message.load),
            was_retried=message.was_retried,
        )
        if message.is_streamed:
            answer.stream = self._open_stream(message.call_id, pending.link)
        pending.done.send(answer)

    def _open_stream(self, call_id: str, link: Link) -> RemoteStream:
        stream = RemoteStream(
            call_id,
            self._transport,
            link,
            self._policy,
            lambda: self._streams.pop(call_id, None),
        )
        self._streams[call_id] = stream
        return stream

    def _on_chunk(self, received: ReceivedMessage) -> None:
        chunk = _decode_chunk(received.body)
        stream = self._streams.get(chunk.call_id)
        if stream is None:
            _stray_answers.inc()
        else:
            stream.add_chunk(chunk, received.frames[0])

    def _on_link_lost(self, link: Link) -> None:
        for pending in self._pending.values():
            if pending.link is link:
                pending.end(unknown('connection-lost'))
        for stream in list(self._streams.values()):
            if stream.link is link:
                stream.abort()


def _call_request(
    upstream: str,
    call: Call,
    request: Request,
    claim: bytes,
    remaining_s: float,
) -> CallRequest:
    return CallRequest(
        call_id=call.call_id,
        upstream=upstream,
        route=call.route,
        work=call.work,
        priority=call.priority,
        is_idempotent=call.is_idempotent,
        remaining_ms=remaining_s * MS_PER_S,
        method=request.method,
        target=request.target,
        headers=request.headers,
        claim=claim,
        may_spill=call.may_spill,
        origin=call.origin,
        objective_remaining_ms=_objective_remaining_ms(call, remaining_s),
        account=call.account,
    )


def _objective_remaining_ms(call: Call, remaining_s: float) -> float | None:
    if call.due_s == inf:
        return None
    return (remaining_s - (call.deadline_s - call.due_s)) * MS_PER_S
