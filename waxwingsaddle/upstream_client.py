"""HTTP client of a node for its local upstreams.

It shares the parser with the HTTP server: a general client library costs 0.6 ms
of processor time per call.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from eventlet import greenthread

from waxwingsaddle.call_class import Lane
from waxwingsaddle.calls import (
    OUTCOME_HEADER,
    Answer,
    Request,
    end_to_end_headers,
    not_run,
    unknown,
)
from waxwingsaddle.connection_pool import ConnectionPool, NoConnection
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.http_heads import HeadLimits, MalformedError, ResponseHead
from waxwingsaddle.retry import RETRIED_HEADER
from waxwingsaddle.streamed_body import StreamedBody, StreamLimits
from waxwingsaddle.upstream_connection import (
    Connection,
    Exchange,
    answer_body,
    read_answer,
    request_id_of,
)
from waxwingsaddle.upstream_requests import request_head, send_request
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.recent_set import RecentSet

_CONNECTION_ERRORS = (OSError, MalformedError)
# A timeout of zero would make the socket non-blocking.
_MIN_TIMEOUT_S = 0.001
_MISDIRECTED_STATUS = 421
# A dying process closes its connections one after the other, within a few
# milliseconds on a busy machine. After a broken connection, calls that must not
# run twice wait this long, so that none is sent on the next one to break.
_BROKEN_CONNECTION_HOLD_S = 0.02
# A refused call that returns to the same upstream does so within this time.
_REFUSED_IDS_KEPT_S = 30


@dataclass(frozen=True, slots=True)
class UpstreamClientPolicy:
    """Tunables of the HTTP client.

    Attributes:
        connections: Maximum number of open connections to one upstream.
        connect_timeout_s: Longest wait for a new connection.
        idle_limit_s: Connections idle for longer are not reused.
        inline_bytes: Answers with a larger body are streamed.
        stored_bytes: The same for calls whose answers are stored.
        chunk_bytes: Largest piece of a streamed body.
        stall_timeout_s: Longest wait for the next piece of a streamed body.
        read_ahead_bytes: Bytes of streamed bodies of all upstreams that are
            read before their callers take them.
        stream_overtime_s: Longest wait, after the deadline, for a streamed
            body that comes at less than the minimum rate.
        stream_min_bytes_per_s: Minimum rate of streamed bodies.
        unsized_bytes: Largest answer body without a length.
        head_limits: Limits for the heads of answers.
        names: Names of the header fields that upstreams use.
    """

    connections: int = 130
    connect_timeout_s: float = 1
    idle_limit_s: float = 15
    inline_bytes: int = 65_536
    stored_bytes: int = 65_536
    chunk_bytes: int = 65_536
    stall_timeout_s: float = 10
    read_ahead_bytes: int = 1_048_576
    stream_overtime_s: float = 2
    stream_min_bytes_per_s: float = 8192
    unsized_bytes: int = 1_073_741_824
    head_limits: HeadLimits = field(default_factory=HeadLimits)
    names: HeaderNames = field(default_factory=HeaderNames)


class UpstreamClient:
    """Sends requests to one upstream.

    Args:
        address: IP number and port of the upstream.
        policy: Tunables.
        clock: Returns the monotonic time, in seconds.
        name: Name of the upstream.

    Attributes:
        pool: Connections to the upstream.
    """

    def __init__(
        self,
        address: str,
        policy: UpstreamClientPolicy,
        clock: Callable[[], float],
        name: str = '',
    ) -> None:
        self.address = address
        self.pool = ConnectionPool(
            address,
            policy.connections,
            policy.connect_timeout_s,
            policy.idle_limit_s,
            clock,
        )
        self._name = name
        self._policy = policy
        self._clock = clock
        self._hold_end_s = float('-inf')
        self._refused_ids = RecentSet(_REFUSED_IDS_KEPT_S, clock)
        self._stream_limits = StreamLimits(
            policy.chunk_bytes,
            policy.stall_timeout_s,
            policy.stream_overtime_s,
            policy.stream_min_bytes_per_s,
            policy.unsized_bytes,
        )

    def close(self) -> None:
        """Closes idle connections now and the others after their request."""
        self.pool.close()

    def send(
        self,
        request: Request,
        lane: Lane,
        deadline_s: float,
        exchange: Exchange,
        is_idempotent: bool = False,
        *,
        is_answer_stored: bool = False,
    ) -> Answer:
        """Sends a request to the upstream; blocks the green thread.

        Args:
            request: The request.
            lane: Lane of the call, which selects its idle connections.
            deadline_s: When the caller gives up, on the clock of the client.
            exchange: Lets another green thread abort the request.
            is_idempotent: Whether the request may run more than once.
            is_answer_stored: Whether the answer is stored for repeats of its
                request, which is possible only if it is not streamed.

        Returns:
            The answer. Its outcome is `NOT_RUN` only if no byte was sent or if
            the upstream reports that it did not run the call. To be sure that
            such a report is not a copy of an earlier one, the connection of a
            refusal is closed, and the same call gets a new connection.
        """
        if not is_idempotent:
            self._wait_for_hold()
        remaining_s = deadline_s - self._clock()
        if remaining_s <= 0:
            return not_run('deadline')
        names = self._policy.names
        is_returning = request_id_of(request, names) in self._refused_ids
        connection = self.pool.acquire(
            lane, remaining_s, must_be_new=is_returning
        )
        if isinstance(connection, NoConnection):
            return not_run(connection.reason)
        exchange.connection = connection
        if exchange.is_aborted:
            self.pool.discard(connection)
            return not_run('cancelled')
        inline_bytes = (
            self._policy.stored_bytes
            if is_answer_stored
            else self._policy.inline_bytes
        )
        try:
            return self._send_and_read(
                connection, request, lane, deadline_s, inline_bytes
            )
        except TimeoutError:
            reason = 'deadline'
        except _CONNECTION_ERRORS:
            reason = 'upstream-broke-off'
            if not exchange.is_aborted:
                self._record_broken_connection()
        except BaseException:
            self.pool.reset(connection)
            raise
        self.pool.reset(connection)
        return unknown(exchange.reason if exchange.is_aborted else reason)

    def _wait_for_hold(self) -> None:
        hold_s = self._hold_end_s - self._clock()
        if hold_s > 0:
            greenthread.sleep(hold_s)

    def _record_broken_connection(self) -> None:
        """Starts the hold and closes idle connections, which may break next."""
        self._hold_end_s = self._clock() + _BROKEN_CONNECTION_HOLD_S
        self.pool.discard_idle()

    def _send_and_read(
        self,
        connection: Connection,
        request: Request,
        lane: Lane,
        deadline_s: float,
        inline_bytes: int,
    ) -> Answer:
        remaining_s = max(_MIN_TIMEOUT_S, deadline_s - self._clock())
        connection.sock.settimeout(remaining_s)
        connection.reader.deadline_s = self._clock() + remaining_s
        names = self._policy.names
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        head = request_head(request, names, self._name, remaining_ms)
        sender = send_request(connection, head, request.body)
        head = read_answer(connection, request, self._policy.head_limits, names)
        body = answer_body(connection, request, head)
        inline = body.read(inline_bytes)
        if sender is not None and not sender.dead:
            # The remainder of the request body would be read as a new request.
            sender.kill()
            connection.is_reusable = False
        answer = _build_answer(head, inline if body.is_complete else b'', names)
        if answer.outcome is Outcome.NOT_RUN:
            self._refused_ids.add(request_id_of(request, names))
            close = self.pool.discard if body.is_complete else self.pool.reset
            close(connection)
            return answer
        if body.is_complete:
            self.pool.release(connection, head, lane)
            if request.method == 'HEAD':
                answer.length = head.framing.length
            return answer
        answer.length = head.framing.length
        answer.stream = StreamedBody(
            inline,
            body,
            connection,
            self._stream_limits,
            deadline_s,
            self._clock,
            lambda is_complete: self._end_stream(
                connection, head, lane, is_complete
            ),
        )
        return answer

    def _end_stream(
        self,
        connection: Connection,
        head: ResponseHead,
        lane: Lane,
        is_complete: bool,
    ) -> None:
        if is_complete:
            self.pool.release(connection, head, lane)
        else:
            self.pool.reset(connection)


def _build_answer(
    head: ResponseHead, body: bytes, names: HeaderNames
) -> Answer:
    # An upstream that sheds a call reports that it did not run it.
    if head.fields.get(OUTCOME_HEADER.lower()) == Outcome.NOT_RUN.value:
        return not_run('upstream-shed')
    if names.not_run and names.not_run_key in head.fields:
        return not_run('upstream-shed')
    if names.expected_upstream and head.status == _MISDIRECTED_STATUS:
        return not_run('other-upstream')
    return Answer(
        Outcome.RAN,
        head.status,
        end_to_end_headers(head.headers),
        body,
        was_retried=RETRIED_HEADER.lower() in head.fields,
    )
