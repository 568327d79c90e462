"""Calls on their way between nodes: requests, answers and wire messages."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from typing import Protocol

import msgspec

from waxwingsaddle.call_class import Call
from waxwingsaddle.guard import Load
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

HeaderPairs = tuple[tuple[str, str], ...]

DEADLINE_HEADER = 'Waxwing-Deadline-Ms'
OUTCOME_HEADER = 'Waxwing-Outcome'
REASON_HEADER = 'Waxwing-Reason'
RETRY_AFTER_HEADER = 'Waxwing-Retry-After-Ms'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

# Fields that concern one connection only (RFC 9110, 7.6.1), and those that
# each leg writes itself.
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
    """An HTTP request to pass on.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Fields as received, without those of one connection.
        body: The whole body.
    """

    method: str
    target: str
    headers: HeaderPairs
    body: bytes = b''


class BodyStream(Protocol):
    """Body of a large answer, read piece by piece."""

    def __iter__(self) -> Iterator[bytes]:
        """Yields pieces; raises `BrokenBodyError` if the body breaks off."""

    def close(self) -> None:
        """Ends the stream, whether or not it was read to its end."""


class BrokenBodyError(Exception):
    """The body of an answer ended before it was whole."""


@dataclass(slots=True)
class Answer:
    """How a call ended.

    Attributes:
        outcome: What is known about its run.
        status: HTTP status of the upstream when it ran.
        headers: Fields of the upstream, without those of one connection.
        body: The whole body when it is small.
        stream: The body when it is large.
        length: Length of a body that is not in `body`, when it is known.
        reason: Why it did not run or is unknown.
        retry_after_ms: When an attempt may succeed.
        load: Load of the upstream.
        was_retried: Whether a layer below has spent its retries on it.
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
    """Returns the answer of a call that no upstream got a byte of."""
    return Answer(
        Outcome.NOT_RUN,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def unknown(reason: str) -> Answer:
    """Returns the answer of a call that may have run."""
    return Answer(Outcome.UNKNOWN, reason=reason)


class CallRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks the guarding node to run a call; the body is the next frame.

    Attributes:
        call_id: Unique identifier of the attempt.
        upstream: Name of the upstream on the guarding node.
        route: Name of the route.
        work: Expected run time from the route.
        priority: Order of shedding from the route.
        is_idempotent: Whether the call may run more than once.
        remaining_ms: Time until the deadline.
        method: HTTP method.
        target: Path and query.
        headers: Fields of the request.
        claim: Encoded claim of the idempotency key; empty without one.
        may_spill: Whether a full guard refuses it at once.
        origin: Service of the host at which the call began; empty when it is
            not known.
        objective_remaining_ms: Time until the objective of the call; absent
            without an objective.
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

    def to_call(self, deadline_s: float) -> Call:
        """Returns the call as the guard sees it."""
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
        )

    def _due_s(self, deadline_s: float) -> float:
        if self.objective_remaining_ms is None:
            return inf
        return (
            deadline_s
            - (self.remaining_ms - self.objective_remaining_ms) / MS_PER_S
        )


class CallAnswer(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The guarding node tells how a call ended; the body is the next frame.

    Attributes:
        call_id: Identifier of the attempt.
        outcome: What is known about its run.
        status: HTTP status.
        headers: Fields of the answer.
        reason: Why it did not run or is unknown.
        retry_after_ms: When an attempt may succeed.
        is_streamed: Whether the body follows as `CallChunk` messages.
        length: Length of a body that is not in the next frame, when known.
        was_retried: Whether a layer below has spent its retries on it.
        load: In flight, queued, limit and wait_ms of the guard.
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
    load: tuple[int, int, int, int] | None


class CallChunk(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Piece of a streamed body; its bytes are the next frame.

    Attributes:
        call_id: Identifier of the attempt.
        sequence: Number of the piece, from 0.
        is_last: Whether the body ends here.
        is_broken: Whether the body broke off.
    """

    call_id: str
    sequence: int
    is_last: bool = False
    is_broken: bool = False


class CallCredit(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Allows the guarding node to send more of a streamed body.

    Attributes:
        call_id: Identifier of the attempt.
        credit_bytes: Bytes it may send beyond those allowed before.
    """

    call_id: str
    credit_bytes: int


class CallCancel(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Nobody waits for a call any more.

    Attributes:
        call_id: Identifier of the attempt.
    """

    call_id: str


def end_to_end_headers(headers: HeaderPairs) -> HeaderPairs:
    """Returns the fields that are not of one connection only."""
    dropped = HOP_BY_HOP_HEADERS
    named = next(
        (value for name, value in headers if name.lower() == 'connection'),
        '',
    )
    if named and named.lower() not in {'keep-alive', 'close'}:
        dropped |= {part.strip().lower() for part in named.split(',')}
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
