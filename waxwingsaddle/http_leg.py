"""HTTP leg from a guarding node to its local upstream."""

import socket
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http.client import HTTPException

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util.wait import wait_for_read

from waxwingsaddle.calls import (
    DEADLINE_HEADER,
    Answer,
    BrokenBodyError,
    Request,
    not_run,
    passed_on,
    unknown,
)
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.web import split_address
from waxwingsaddle.work import Lane

_LEG_ERRORS = (OSError, HTTPException, HTTPError)
# A timeout of zero would make the socket non-blocking.
_LEAST_TIMEOUT_S = 0.001


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
    """

    connections: int = 130
    connect_timeout_s: float = 1
    idle_limit_s: float = 15
    inline_bytes: int = 65_536
    chunk_bytes: int = 65_536
    stall_timeout_s: float = 10


class Exchange:
    """One request on the leg, which another green thread may abort."""

    def __init__(self) -> None:
        self.is_aborted = False
        self.connection: HTTPConnection | None = None

    def abort(self) -> None:
        """Closes the connection below the request: the upstream notices."""
        self.is_aborted = True
        sock = self.connection.sock if self.connection else None
        if sock is not None:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The upstream closed it first.
                return


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
        self._idle: dict[Lane, list[tuple[float, HTTPConnection]]] = (
            defaultdict(list)
        )
        self._open = 0

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                self._discard(connection)
            idle.clear()

    def send(
        self,
        request: Request,
        lane: Lane,
        deadline_s: float,
        exchange: Exchange,
    ) -> Answer:
        """Runs a request at the upstream; blocks its green thread.

        Args:
            request: The request.
            lane: Which pool of connections to use.
            deadline_s: When the caller gives up, on the clock of the leg.
            exchange: Allows to abort the request.

        Returns:
            The answer; "not run" only if no byte was sent.
        """
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
        except BaseException:
            self._discard(connection)
            raise
        self._discard(connection)
        return unknown('cancelled' if exchange.is_aborted else reason)

    def _run(
        self,
        connection: HTTPConnection,
        request: Request,
        lane: Lane,
        deadline_s: float,
    ) -> Answer:
        left_s = deadline_s - self._clock()
        connection.timeout = max(_LEAST_TIMEOUT_S, left_s)
        headers = dict(request.headers)
        headers[DEADLINE_HEADER] = str(max(1, int(left_s * MS_PER_S)))
        connection.request(
            request.method,
            request.target,
            request.body or None,
            headers,
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        answer = Answer(
            Outcome.RAN,
            response.status,
            passed_on(tuple(response.headers.iteritems())),
        )
        body = response.read(self._policy.inline_bytes + 1)
        if len(body) <= self._policy.inline_bytes:
            answer.body = body
            self._release(connection, response, lane)
        else:
            answer.stream = _ResponseStream(
                body,
                response,
                connection,
                self._policy,
                lambda: self._release(connection, response, lane),
            )
        return answer

    def _connection(self, lane: Lane, left_s: float) -> HTTPConnection | Answer:
        idle = self._idle[lane]
        now_s = self._clock()
        while idle:
            since_s, connection = idle.pop()
            is_fresh = now_s - since_s < self._policy.idle_limit_s
            # An idle connection is readable only when the upstream closed it.
            if is_fresh and not wait_for_read(connection.sock, timeout=0):
                return connection
            self._discard(connection)
        if self._open >= self._policy.connections:
            return not_run('connections')
        return self._connect(min(left_s, self._policy.connect_timeout_s))

    def _connect(self, timeout_s: float) -> HTTPConnection | Answer:
        connection = HTTPConnection(*self._target, timeout=timeout_s)
        self._open += 1
        try:
            connection.connect()
        except _LEG_ERRORS:
            self._open -= 1
            return not_run('upstream-refused')
        return connection

    def _release(
        self,
        connection: HTTPConnection,
        response: HTTPResponse,
        lane: Lane,
    ) -> None:
        original = response._original_response
        is_reusable = original.isclosed() and not original.will_close
        if connection.sock is None or not is_reusable:
            self._discard(connection)
        else:
            self._idle[lane].append((self._clock(), connection))

    def _discard(self, connection: HTTPConnection) -> None:
        self._open -= 1
        connection.close()


class _ResponseStream:
    """Body of a large answer, read from the upstream piece by piece."""

    def __init__(
        self,
        first: bytes,
        response: HTTPResponse,
        connection: HTTPConnection,
        policy: LegPolicy,
        on_end: Callable[[], None],
    ) -> None:
        self._first = first
        self._response = response
        self._policy = policy
        self._on_end = on_end
        self._is_open = True
        connection.sock.settimeout(policy.stall_timeout_s)

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces of the body."""
        yield self._first
        while True:
            try:
                piece = self._response.read(self._policy.chunk_bytes)
            except _LEG_ERRORS as error:
                raise BrokenBodyError(str(error)) from None
            if not piece:
                return
            yield piece

    def close(self) -> None:
        """Returns or closes the connection."""
        if self._is_open:
            self._is_open = False
            self._on_end()
