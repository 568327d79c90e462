"""Requests and answers of calls, and the messages that carry them."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from typing import Annotated, Protocol

import msgspec

from waxwingsaddle.call_class import Call, CallAccount
from waxwingsaddle.guard import Load
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

HeaderPairs = tuple[tuple[str, str], ...]
LoadReport = Annotated[tuple[int, ...], msgspec.Meta(min_length=4)]

DEADLINE_HEADER = 'Waxwing-Deadline-Ms'
OUTCOME_HEADER = 'Waxwing-Outcome'
REASON_HEADER = 'Waxwing-Reason'
RETRY_AFTER_HEADER = 'Waxwing-Retry-After-Ms'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

# Header fields that apply to one connection only (RFC 9110, 7.6.1), and those
# that are set anew for each hop.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        DEADLINE_HEADER.lower(),
    ),
)


class Request(msgspec.Struct, frozen=True, gc=False):
    """An HTTP request to forward.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Header fields as received, without hop-by-hop fields.
        body: The complete body.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes = b''


class BodyStream(Protocol):
    """Body of a large answer, read in chunks."""

    def __iter__(self) -> Iterator[bytes]:
        """Yields chunks; raises `BrokenBodyError` if the body ends early."""

    def close(self) -> None:
        """Closes the stream, whether or not it was read to the end."""


class BrokenBodyError(Exception):
    """The body of an answer ended before it was complete."""


@dataclass(slots=True)
class Answer:
    """Answer of a call, from an upstream or a node.

    Attributes:
        outcome: Whether the call ran, as far as is known.
        status: HTTP status of the upstream if the call ran.
        headers: Header fields of the upstream, without hop-by-hop fields.
        body: The complete body if it is small.
        stream: The body if it is large.
        length: Length in bytes of a body that is not in `body`, if known.
        reason: Why the call did not run or its outcome is unknown.
        retry_after_ms: Wait until a new attempt may succeed, in milliseconds.
        load: Load of the guard of the upstream.
        was_retried: Whether a lower layer has already retried the call.
    """

    outcome: Outcome
    status: int = 0
    headers: HeaderPairs = ()
    body: bytes = b''
    stream: BodyStream | None = None
    length: int | None = None
    reason: str = ''
    retry_after_ms: int = 0
    load: Load | None = None
    was_retried: bool = False


def not_run(reason: str, retry_after_ms: int = 0) -> Answer:
    """Returns the answer of a call of which nothing reached an upstream."""
    return Answer(
        Outcome.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def unknown(reason: str) -> Answer:
    """Returns the answer of a call that may or may not have run."""
    return Answer(Outcome.UNKNOWN, reason=reason)


class CallRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks the guarding node to run a call; the body is in the next frame.

    Attributes:
        call_id: Unique identifier of the attempt.
        upstream: Name of the upstream on the guarding node.
        route: Name of the route.
        work: Class of the expected run time, from the route.
        priority: Priority of the route, which decides what is shed first.
        is_idempotent: Whether the call may run more than once.
        remaining_ms: Time until the deadline, in milliseconds.
        method: HTTP method.
        target: Path and query.
        headers: Header fields of the request.
        claim: Encoded claim of the idempotency key; empty without one.
        may_spill: Whether a full guard refuses the call at once, so that it
            may spill over to another upstream.
        origin: Service of the host at which the call began; empty if not
            known.
        objective_remaining_ms: Time until the end of the latency objective, in
            milliseconds; None without an objective.
        account: Client account of the caller; None without one.
    """

    call_id: str
    upstream: str
    route: str
    work: str
    priority: str
    is_idempotent: bool
    remaining_ms: float
    method: str
    target: str
    headers: HeaderPairs
    claim: bytes = b''
    may_spill: bool = False
    origin: str = ''
    objective_remaining_ms: float | None = None
    account: CallAccount | None = None

    def to_call(self, deadline_s: float) -> Call:
        """Returns the call to offer to the guard.

        Args:
            deadline_s: Deadline of the call, in monotonic seconds.
        """
        return Call(
            call_id=self.call_id,
            route=self.route,
            work=self.work,
            priority=self.priority,
            is_idempotent=self.is_idempotent,
            deadline_s=deadline_s,
            may_spill=self.may_spill,
            origin=self.origin,
            due_s=self._due_s(deadline_s),
            account=self.account,
        )

    def _due_s(self, deadline_s: float) -> float:
        if self.objective_remaining_ms is None:
            return inf
        return (
            deadline_s
            - (self.remaining_ms - self.objective_remaining_ms) / MS_PER_S
        )


class CallAnswer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Answer of a call from the guarding node; the body is in the next frame.

    Attributes:
        call_id: Identifier of the attempt.
        outcome: Whether the call ran, as far as is known.
        status: HTTP status.
        headers: Header fields of the answer.
        reason: Why the call did not run or its outcome is unknown.
        retry_after_ms: Wait until a new attempt may succeed, in milliseconds.
        is_streamed: Whether the body follows as `CallChunk` messages.
        length: Length in bytes of a body that is not in the next frame, if
            known.
        was_retried: Whether a lower layer has already retried the call.
        load: Calls in flight, calls queued, concurrency limit and wait in
            milliseconds of the guard; with learned placement also the expected
            run time of the route in microseconds. Later builds may add more.
    """

    call_id: str
    outcome: Outcome
    status: int
    headers: HeaderPairs
    reason: str
    retry_after_ms: int
    is_streamed: bool
    length: int | None
    was_retried: bool
    load: LoadReport | None


class CallChunk(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Chunk of a streamed body; its bytes are in the next frame.

    Attributes:
        call_id: Identifier of the attempt.
        sequence: Number of the chunk, from 0.
        is_last: Whether this is the end of the body.
        is_broken: Whether the body ended early.
    """

    call_id: str
    sequence: int
    is_last: bool = False
    is_broken: bool = False


class CallCredit(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Allows the guarding node to send more of a streamed body.

    Attributes:
        call_id: Identifier of the attempt.
        credit_bytes: Number of bytes it may send in addition.
    """

    call_id: str
    credit_bytes: int


class CallCancel(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells the guarding node that nobody waits for a call any more.

    Attributes:
        call_id: Identifier of the attempt.
    """

    call_id: str


def end_to_end_headers(headers: HeaderPairs) -> HeaderPairs:
    """Returns the header fields that are not hop-by-hop."""
    dropped = HOP_BY_HOP_HEADERS
    connection_options = next(
        (value for name, value in headers if name.lower() == 'connection'),
        '',
    )
    if connection_options and connection_options.lower() not in {
        'keep-alive',
        'close',
    }:
        dropped |= {
            part.strip().lower() for part in connection_options.split(',')
        }
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
