"""Runs calls at the upstreams of other nodes."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from math import inf

import eventlet
import msgspec
from eventlet.event import Event
from eventlet.queue import Empty, LightQueue

from waxwingsaddle import metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import (
    Answer,
    BrokenBodyError,
    CallAnswer,
    CallCancel,
    CallChunk,
    CallCredit,
    CallRequest,
    Request,
    not_run,
    unknown,
)
from waxwingsaddle.guard import Load
from waxwingsaddle.link import Link
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.util.clock import MS_PER_S

_SHORT_LANE = 'short'
_BULK_LANE = 'bulk'
# A connection within a region is established within 20 ms. If its first packet
# is lost, it takes a second; the body is then sent on the link of its call.
_BULK_CONNECT_TIMEOUT_S = 0.1

_stray_answers = metrics.counter(
    'waxwing_hop_stray_answers',
    'Answers dropped because nobody waited for them any more.',
)

_decode_answer = msgspec.msgpack.Decoder(CallAnswer).decode
_decode_chunk = msgspec.msgpack.Decoder(CallChunk).decode


@dataclass(frozen=True, slots=True)
class RemoteCallPolicy:
    """Settings of calls to other nodes.

    Attributes:
        bulk_threshold_bytes: Request bodies above this size are sent on the
            connection for bulk data.
        credit_window_bytes: Bytes of a streamed answer in flight at once.
        stall_timeout_s: Longest wait for the next chunk of a streamed answer,
            in seconds.
        answer_grace_s: Extra wait beyond the deadline for the guard to report
            whether the call ran, in seconds.
    """

    bulk_threshold_bytes: int = 65_536
    credit_window_bytes: int = 262_144
    stall_timeout_s: float = 10
    answer_grace_s: float = 0.05


@dataclass(slots=True)
class _PendingCall:
    link: Link
    done: Event = field(default_factory=Event)


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
        self._streams: dict[str, _RemoteStream] = {}
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
        is_bulk = len(request.body) > self._policy.bulk_threshold_bytes
        lane = _BULK_LANE if is_bulk else _SHORT_LANE
        link = self._transport.link(address, lane)
        if not link.wait_connected(call.deadline_s - self._clock()):
            return not_run('unreachable')
        remaining_s = call.deadline_s - self._clock()
        if remaining_s <= 0:
            return not_run('deadline')
        message = _call_request(upstream, call, request, claim, remaining_s)
        pending = _PendingCall(link)
        self._pending[call.call_id] = pending
        try:
            if not self._transport.send(link, message, [request.body]):
                return not_run('unreachable')
            return self._wait_for_answer(call, pending, remaining_s)
        finally:
            self._pending.pop(call.call_id, None)

    def cancel(self, call_id: str) -> None:
        """Cancels a call in flight and notifies the guarding node."""
        pending = self._pending.get(call_id)
        if pending is not None and not pending.done.ready():
            self._transport.send(pending.link, CallCancel(call_id))
            pending.done.send(unknown('cancelled'))

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
            load=message.load and Load(*message.load),
            was_retried=message.was_retried,
        )
        if message.is_streamed:
            answer.stream = self._open_stream(message.call_id, pending.link)
        pending.done.send(answer)

    def _open_stream(self, call_id: str, link: Link) -> '_RemoteStream':
        stream = _RemoteStream(
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
            if pending.link is link and not pending.done.ready():
                pending.done.send(unknown('connection-lost'))
        for stream in list(self._streams.values()):
            if stream.link is link:
                stream.abort()


class _RemoteStream:
    """Body of a large answer from another node, with credit flow control."""

    def __init__(
        self,
        call_id: str,
        transport: NodeTransport,
        link: Link,
        policy: RemoteCallPolicy,
        on_end: Callable[[], None],
    ) -> None:
        self.link = link
        self._call_id = call_id
        self._transport = transport
        self._address = link.address
        self._policy = policy
        self._on_end = on_end
        self._next_sequence = 0
        self._chunks: LightQueue = LightQueue()
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body in chunks; raises `BrokenBodyError` on failure."""
        bulk = self._transport.link(self._address, _BULK_LANE)
        if bulk.wait_connected(_BULK_CONNECT_TIMEOUT_S):
            self.link = bulk
        self._grant_credit(self._policy.credit_window_bytes)
        while True:
            chunk, piece = self._next_chunk()
            if chunk is None or chunk.is_broken:
                raise BrokenBodyError('answer body ended early')
            if chunk.is_last:
                self._is_closed = True
                return
            yield piece
            self._grant_credit(len(piece))

    def add_chunk(self, chunk: CallChunk, piece: bytes) -> None:
        """Queues a chunk that arrived; aborts the body if one is missing."""
        if chunk.sequence == self._next_sequence:
            self._next_sequence += 1
            self._chunks.put((chunk, piece))
        else:
            self.abort()

    def abort(self) -> None:
        """Makes the iteration fail, since the body cannot be completed."""
        self._chunks.put((None, b''))

    def close(self) -> None:
        """Closes the stream; cancels the call if the body was not read."""
        self._on_end()
        if not self._is_closed:
            self._is_closed = True
            self._transport.notify(self._address, CallCancel(self._call_id))

    def _next_chunk(self) -> tuple[CallChunk | None, bytes]:
        try:
            return self._chunks.get(timeout=self._policy.stall_timeout_s)
        except Empty:
            raise BrokenBodyError(
                'no chunk of the answer body arrived in time'
            ) from None

    def _grant_credit(self, credit_bytes: int) -> None:
        credit = CallCredit(self._call_id, credit_bytes)
        if not self._transport.send(self.link, credit):
            raise BrokenBodyError('guarding node is unreachable')


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
    )


def _objective_remaining_ms(call: Call, remaining_s: float) -> float | None:
    if call.due_s == inf:
        return None
    return (remaining_s - (call.deadline_s - call.due_s)) * MS_PER_S
