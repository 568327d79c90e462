"""HTTP leg from a guarding node to its local upstream.

Requests are written and answers parsed here, with the parser of the server
side: a general client library costs 0.6 ms of processor time a call.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from eventlet import greenthread

from waxwingsaddle.bodies import Body
from waxwingsaddle.calls import (
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    Answer,
    BrokenBodyError,
    Request,
    not_run,
    passed_on,
    unknown,
)
from waxwingsaddle.heads import AnswerHead, HeadLimits, MalformedError
from waxwingsaddle.retry import RETRIED_HEADER
from waxwingsaddle.upstream_connection import (
    BODYLESS,
    Connection,
    Exchange,
    body_of,
    read_answer,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.web import split_address
from waxwingsaddle.work import Lane

_LEG_ERRORS = (OSError, MalformedError)
# A timeout of zero would make the socket non-blocking.
_LEAST_TIMEOUT_S = 0.001
# A process that dies closes its connections one after the other, within a few
# milliseconds on a busy machine. Calls that must not run twice wait so long
# after the first one broke off, so that none goes out on the next.
_BREAK_OFF_HOLD_S = 0.02


@dataclass(frozen=True, slots=True)
class LegPolicy:
    """Tunables of the HTTP leg.

    Attributes:
        connections: Most open connections to one upstream.
        connect_timeout_s: Longest wait for a new connection.
        idle_limit_s: Idle connections older than this are not used again.
        inline_bytes: Larger answers are streamed.
        chunk_bytes: Largest piece of a streamed answer.
        stall_timeout_s: Longest wait for the next piece.
        head_limits: Largest accepted heads of answers.
    """

    connections: int = 130
    connect_timeout_s: float = 1
    idle_limit_s: float = 15
    inline_bytes: int = 65_536
    chunk_bytes: int = 65_536
    stall_timeout_s: float = 10
    head_limits: HeadLimits = field(default_factory=HeadLimits)


class UpstreamLeg:
    """Connections to one upstream, with separate pools for long work.

    Args:
        address: IP number and port of the upstream.
        policy: Tunables.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        address: str,
        policy: LegPolicy,
        clock: Callable[[], float],
    ) -> None:
        self.address = address
        self._target = split_address(address)
        self._policy = policy
        self._clock = clock
        self._idle: dict[Lane, list[Connection]] = defaultdict(list)
        self._open = 0
        self._is_closed = False
        self._held_until_s = float('-inf')

    def close(self) -> None:
        """Closes the idle connections, and the others after their request."""
        self._is_closed = True
        self._discard_idle()

    def send(
        self,
        request: Request,
        lane: Lane,
        deadline_s: float,
        exchange: Exchange,
        is_idempotent: bool = False,
    ) -> Answer:
        """Runs a request at the upstream; blocks its green thread.

        Args:
            request: The request.
            lane: Which pool of connections to use.
            deadline_s: When the caller gives up, on the clock of the leg.
            exchange: Allows to abort the request.
            is_idempotent: Whether the request may run more than once.

        Returns:
            The answer; "not run" only if no byte was sent, or if the upstream
            says so itself.
        """
        if not is_idempotent:
            self._wait_hold()
        left_s = deadline_s - self._clock()
        if left_s <= 0:
            return not_run('deadline')
        connection = self._connection(lane, left_s)
        if isinstance(connection, Answer):
            return connection
        exchange.connection = connection
        if exchange.is_aborted:
            self._discard(connection)
            return not_run('cancelled')
        try:
            return self._run(connection, request, lane, deadline_s)
        except TimeoutError:
            reason = 'deadline'
        except _LEG_ERRORS:
            reason = 'upstream-broke-off'
            if not exchange.is_aborted:
                self._note_break_off()
        except BaseException:
            self._discard(connection)
            raise
        self._discard(connection)
        return unknown('cancelled' if exchange.is_aborted else reason)

    def _wait_hold(self) -> None:
        hold_s = self._held_until_s - self._clock()
        if hold_s > 0:
            greenthread.sleep(hold_s)

    def _note_break_off(self) -> None:
        """Gives up the connections that the upstream is about to close."""
        self._held_until_s = self._clock() + _BREAK_OFF_HOLD_S
        self._discard_idle()

    def _discard_idle(self) -> None:
        for idle in self._idle.values():
            for connection in idle:
                self._discard(connection)
            idle.clear()

    def _run(
        self,
        connection: Connection,
        request: Request,
        lane: Lane,
        deadline_s: float,
    ) -> Answer:
        left_s = max(_LEAST_TIMEOUT_S, deadline_s - self._clock())
        connection.sock.settimeout(left_s)
        self._write(connection, request, left_s)
        head = read_answer(connection, self._policy.head_limits)
        body = body_of(connection, request, head)
        inline = body.read(self._policy.inline_bytes)
        if body.is_whole:
            self._release(connection, head, lane)
            answer = _answer(head, inline)
            if request.method == 'HEAD':
                answer.length = head.framing.length
            return answer
        answer = _answer(head, b'')
        answer.length = head.framing.length
        answer.stream = _BodyPieces(
            inline,
            body,
            connection,
            self._policy,
            lambda is_whole: self._end_stream(connection, head, lane, is_whole),
        )
        return answer

    def _write(
        self,
        connection: Connection,
        request: Request,
        left_s: float,
    ) -> None:
        lines = [
            f'{name}: {text}\r\n'
            for name, text in request.headers
            if name != DEADLINE_HEADER
        ]
        body = request.body
        has_body = body or request.method in {'POST', 'PUT', 'PATCH'}
        length = f'Content-Length: {len(body)}\r\n' if has_body else ''
        head = ''.join(
            (
                f'{request.method} {request.target} HTTP/1.1\r\n',
                *lines,
                f'{DEADLINE_HEADER}: {max(1, int(left_s * MS_PER_S))}\r\n',
                length,
                '\r\n',
            ),
        ).encode('latin-1')
        connection.sock.sendall(head + body if body else head)

    def _connection(self, lane: Lane, left_s: float) -> Connection | Answer:
        idle = self._idle[lane]
        oldest_s = self._clock() - self._policy.idle_limit_s
        while idle:
            connection = idle.pop()
            if connection.idle_since_s > oldest_s and connection.is_idle():
                return connection
            self._discard(connection)
        if self._open >= self._policy.connections:
            return not_run('connections')
        self._open += 1
        try:
            return Connection(
                self._target,
                min(left_s, self._policy.connect_timeout_s),
            )
        except OSError:
            self._open -= 1
            return not_run('upstream-refused')

    def _end_stream(
        self,
        connection: Connection,
        head: AnswerHead,
        lane: Lane,
        is_whole: bool,
    ) -> None:
        if is_whole:
            self._release(connection, head, lane)
        else:
            self._discard(connection)

    def _release(
        self,
        connection: Connection,
        head: AnswerHead,
        lane: Lane,
    ) -> None:
        framing = head.framing
        is_delimited = framing.is_chunked or framing.length is not None
        is_bodyless = head.status in BODYLESS
        if self._is_closed or not framing.is_kept:
            self._discard(connection)
        elif is_delimited or is_bodyless:
            connection.idle_since_s = self._clock()
            self._idle[lane].append(connection)
        else:
            self._discard(connection)

    def _discard(self, connection: Connection) -> None:
        self._open -= 1
        connection.close()


class _BodyPieces:
    """Body of a large answer, read from the upstream piece by piece."""

    def __init__(
        self,
        first: bytes,
        body: Body,
        connection: Connection,
        policy: LegPolicy,
        on_end: Callable[[bool], None],
    ) -> None:
        self._first = first
        self._body = body
        self._chunk_bytes = policy.chunk_bytes
        self._on_end = on_end
        self._is_open = True
        connection.sock.settimeout(policy.stall_timeout_s)

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces of the body."""
        yield self._first
        while not self._body.is_whole:
            try:
                piece = self._body.read(self._chunk_bytes)
            except _LEG_ERRORS as error:
                raise BrokenBodyError(str(error)) from None
            if piece:
                yield piece

    def close(self) -> None:
        """Returns or closes the connection."""
        if self._is_open:
            self._is_open = False
            self._on_end(self._body.is_whole)


def _answer(head: AnswerHead, body: bytes) -> Answer:
    # An upstream that sheds a call says that it did not run it.
    if head.fields.get(OUTCOME_HEADER.lower()) == Outcome.NOT_RUN.value:
        return not_run('upstream-shed')
    return Answer(
        Outcome.RAN,
        head.status,
        passed_on(head.headers),
        body,
        was_retried=RETRIED_HEADER.lower() in head.fields,
    )
