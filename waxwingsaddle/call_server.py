"""Serves calls that other nodes send to the upstreams of this node."""

import random
from collections.abc import Callable
from functools import partial

import eventlet
import msgspec

from waxwingsaddle.body_budget import BodyBudget
from waxwingsaddle.body_sender import BodySender
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import (
    Answer,
    CallAnswer,
    CallCancel,
    CallCredit,
    CallRequest,
    Request,
    not_run,
)
from waxwingsaddle.guard_decisions import Refused
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.upload_admission import (
    refuse_before_body,
    refuse_without_memory,
)
from waxwingsaddle.upload_messages import CallUpload
from waxwingsaddle.upload_receiver import UploadReceiver
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.codec import msgpack_decoder

# Interval of checks whether the nodes that sent calls are still reachable.
_CALLER_CHECK_INTERVAL_S = 0.2

_decode_upload = msgpack_decoder(CallUpload)
_decode_request = msgpack_decoder(CallRequest)
_decode_cancel = msgpack_decoder(CallCancel)
_decode_credit = msgpack_decoder(CallCredit)


class CallServer:
    """Runs the calls of `CallRequest` messages and sends back the answers.

    Args:
        transport: Sends and receives messages between nodes.
        upstream_calls: Runs the calls.
        body_budget: Memory for request bodies.
        stall_timeout_s: Longest wait for credit of a streamed body.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        transport: NodeTransport,
        upstream_calls: UpstreamCalls,
        body_budget: BodyBudget,
        stall_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._upstream_calls = upstream_calls
        self._clock = clock
        self._bodies = BodySender(transport, stall_timeout_s, clock)
        self._body_budget = body_budget
        self._uploads = UploadReceiver(
            transport, self._spawn_upload, body_budget, clock
        )
        self._rng = random.Random()
        self._callers: dict[str, bytes] = {}
        transport.subscribe_raw(CallRequest, self._on_request)
        transport.subscribe_raw(CallUpload, self._on_upload)
        transport.subscribe_raw(CallCancel, self._on_cancel)
        transport.subscribe_raw(CallCredit, self._on_credit)

    def start(self) -> None:
        """Starts to cancel the calls of nodes that became unreachable."""
        eventlet.spawn(self._cancel_orphans)

    @property
    def pending(self) -> int:
        """Number of calls of other nodes that are not answered yet."""
        return len(self._callers)

    def _on_request(self, received: ReceivedMessage) -> None:
        message = _decode_request(received.body)
        deadline_s = self._clock() + message.remaining_ms / MS_PER_S
        body = received.frames[0] if received.frames else b''
        self._spawn_call(received.sender, message, body, deadline_s)

    def _on_upload(self, received: ReceivedMessage) -> None:
        message = _decode_upload(received.body)
        now_s = self._clock()
        deadline_s = now_s + message.request.remaining_ms / MS_PER_S
        call = message.request.to_call(deadline_s)
        refusal = self._refuse_before_body(message, call, now_s)
        # Sent to another upstream after this, the body would be sent twice.
        request = msgspec.structs.replace(message.request, may_spill=False)
        if refusal is None and not self._uploads.start(
            received.sender, request, message.body_bytes, deadline_s
        ):
            refusal = self._refusal(
                request.upstream, refuse_without_memory(call, self._rng)
            )
        if refusal is not None:
            self._send_answer(received.sender, call.call_id, refusal)

    def _refuse_before_body(
        self, message: CallUpload, call: Call, now_s: float
    ) -> Answer | None:
        load = self._upstream_calls.load_of(message.request.upstream)
        if load is None:
            return not_run('no-upstream')
        refused = refuse_before_body(call, load, now_s, self._rng)
        return refused and self._refusal(message.request.upstream, refused)

    def _refusal(self, upstream: str, refused: Refused) -> Answer:
        answer = not_run(refused.reason, refused.retry_after_ms)
        answer.load = self._upstream_calls.load_of(upstream)
        return answer

    def _spawn_upload(
        self,
        sender: bytes,
        message: CallRequest,
        body: bytearray,
        deadline_s: float,
    ) -> None:
        eventlet.spawn_n(self._run_upload, sender, message, body, deadline_s)

    def _run_upload(
        self,
        sender: bytes,
        message: CallRequest,
        body: bytearray,
        deadline_s: float,
    ) -> None:
        try:
            self._run(sender, message, body, deadline_s)
        finally:
            self._body_budget.release(len(body))

    def _spawn_call(
        self,
        sender: bytes,
        message: CallRequest,
        body: bytes,
        deadline_s: float,
    ) -> None:
        eventlet.spawn_n(self._run, sender, message, body, deadline_s)

    def _on_cancel(self, received: ReceivedMessage) -> None:
        self._cancel(_decode_cancel(received.body).call_id)

    def _cancel(self, call_id: str) -> None:
        self._bodies.cancel(call_id)
        self._uploads.cancel(call_id)
        self._upstream_calls.cancel(call_id)

    def _on_credit(self, received: ReceivedMessage) -> None:
        credit = _decode_credit(received.body)
        self._bodies.add_credit(
            credit.call_id, credit.credit_bytes, received.sender
        )

    def _cancel_orphans(self) -> None:
        while True:
            eventlet.sleep(_CALLER_CHECK_INTERVAL_S)
            self._uploads.check()
            senders = set(self._callers.values())
            unreachable = {
                identity
                for identity in senders
                if not self._transport.is_reachable(identity)
            }
            orphans = [
                call_id
                for call_id, sender in self._callers.items()
                if sender in unreachable
            ]
            for call_id in orphans:
                self._cancel(call_id)

    def _run(
        self,
        sender: bytes,
        message: CallRequest,
        body: bytes | bytearray,
        deadline_s: float,
    ) -> None:
        call_id = message.call_id
        is_duplicate = call_id in self._callers
        if not is_duplicate:
            self._callers[call_id] = sender
        request = Request(message.method, message.target, message.headers, body)
        try:
            answer = self._upstream_calls.run(
                message.upstream,
                message.to_call(deadline_s),
                request,
                message.claim,
            )
            if answer is not None:
                self._send_answer(sender, call_id, answer)
        finally:
            if not is_duplicate:
                self._callers.pop(call_id, None)

    def _send_answer(self, sender: bytes, call_id: str, answer: Answer) -> None:
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
            load=load and load.report(),
        )
        if answer.stream is None:
            self._transport.answer(sender, message, [answer.body])
            return
        send_head = partial(self._transport.answer, sender, message, [b''])
        self._bodies.send(call_id, answer, send_head)
