"""Takes HTTP calls of callers and answers each with its exact outcome."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from http.client import responses

import eventlet

from waxwingsaddle import metrics
from waxwingsaddle.call_class import rank_of
from waxwingsaddle.calls import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Answer,
    Request,
    end_to_end_headers,
    not_run,
    unknown,
)
from waxwingsaddle.config_models import MAX_TIMEOUT_MS
from waxwingsaddle.disconnect_watch import DisconnectWatch
from waxwingsaddle.dispatch import CallTask
from waxwingsaddle.entry_bound import EntryBound, Held, HeldStream
from waxwingsaddle.idempotent_calls import IdempotentCalls
from waxwingsaddle.retry import RETRIED_HEADER
from waxwingsaddle.routing import Match, RouteTable, RouteTableCache
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.web import Environ, StartResponse

_KEY = IDEMPOTENCY_KEY_HEADER.lower()
_PIECE_BYTES = 65_536
_POLL_S = 0.02
_DEADLINE_KEY = DEADLINE_HEADER.lower()
_STATUS_BY_REASON = {
    'no-route': 404,
    'bad-deadline': 400,
    'bad-body': 400,
    'bad-key': 400,
    'body-too-large': 413,
    'deadline': 504,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_OUTCOME_FIELDS = frozenset(
    name.lower()
    for name in (
        OUTCOME_HEADER,
        REASON_HEADER,
        RETRY_AFTER_HEADER,
        RETRIED_HEADER,
    )
)
_STATUS_LINES = {code: f'{code} {text}' for code, text in responses.items()}

_outcomes = metrics.counter(
    'waxwing_calls',
    'Calls of callers by outcome.',
    ('outcome', 'reason'),
)
_ran = _outcomes.labels('ran', '')


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of one call.

    Attributes:
        body_bytes: Largest request body.
        key_characters: Longest idempotency key.
        configuration_wait_s: Longest wait for the first configuration.
    """

    body_bytes: int
    key_characters: int
    configuration_wait_s: float


class Entry:
    """WSGI application for the calls of callers.

    Args:
        routing: Finds the route of a call.
        calls: Runs calls.
        presence: Notices callers that go away.
        bound: Bounds on the calls in flight.
        limits: Limits of one call.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        routing: RouteTableCache,
        calls: IdempotentCalls,
        presence: DisconnectWatch,
        bound: EntryBound,
        limits: CallLimits,
        clock: Callable[[], float],
    ) -> None:
        self._routing = routing
        self._calls = calls
        self._presence = presence
        self._bound = bound
        self._limits = limits
        self._clock = clock

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answers one call."""
        answer = self._answer(environ)
        if answer.outcome is Outcome.RAN:
            _ran.inc()
        else:
            _outcomes.labels(answer.outcome.value, answer.reason).inc()
        start_response(_status_line(answer), _headers(answer))
        if answer.stream is not None:
            return _Streamed(answer)
        return [answer.body]

    def _answer(self, environ: Environ) -> Answer:
        arrived_s = self._clock()
        key = environ['waxwing.head'].fields.get(_KEY, '')
        table = self._routing.table or self._awaited_table()
        if table is None:
            return _refused_unread('no-configuration', key)
        method = environ['REQUEST_METHOD']
        match = table.match(method, environ['PATH_INFO'])
        if match is None:
            return _refused_unread('no-route', key)
        timeout_ms = _timeout_ms(environ, match)
        if timeout_ms is None:
            return _refused_unread('bad-deadline', key)
        if len(key) > self._limits.key_characters:
            return not_run('bad-key')
        route = match.route
        held = self._bound.enter(rank_of(route.priority, route.idempotent))
        if held is None:
            return self._refused_full(key)
        answer = None
        try:
            deadline_s = arrived_s + timeout_ms / MS_PER_S
            answer = self._answer_held(environ, match, deadline_s, held)
        finally:
            if answer is None or answer.stream is None:
                held.release()
        if answer.stream is not None:
            answer.stream = HeldStream(answer.stream, held)
        return answer

    def _answer_held(
        self,
        environ: Environ,
        match: Match,
        deadline_s: float,
        held: Held,
    ) -> Answer:
        body = self._body(environ, held)
        if isinstance(body, Answer):
            return body
        head = environ['waxwing.head']
        headers = end_to_end_headers(head.headers)
        method = environ['REQUEST_METHOD']
        request = Request(method, head.target, headers, body)
        return self._run(environ, CallTask(match, request, deadline_s))

    def _awaited_table(self) -> RouteTable | None:
        """Waits for the first configuration of a node that has just started.

        Callers come back as soon as it listens.
        """
        limit_s = self._clock() + self._limits.configuration_wait_s
        held = self._bound.enter(0)
        if held is None:
            return None
        try:
            while self._routing.table is None and self._clock() < limit_s:
                eventlet.sleep(_POLL_S)
        finally:
            held.release()
        return self._routing.table

    def _refused_full(self, key: str) -> Answer:
        answer = _refused_unread('entry-full', key)
        answer.retry_after_ms = self._bound.retry_after_ms()
        return answer

    def _run(self, environ: Environ, task: CallTask) -> Answer:
        sock = environ['wsgi.input'].get_socket()
        watched = self._presence.watch(sock, lambda: self._cancel(task))
        try:
            key = environ['waxwing.head'].fields.get(_KEY, '')
            return self._calls.run(task, key)
        finally:
            self._presence.forget(watched)

    def _cancel(self, task: CallTask) -> None:
        self._calls.cancel(task)

    def _body(self, environ: Environ, held: Held) -> bytes | Answer:
        stream = environ['wsgi.input']
        if stream.is_complete:
            return b''
        key = environ['waxwing.head'].fields.get(_KEY, '')
        limit = self._limits.body_bytes
        if stream.length is not None and stream.length > limit:
            return _refused_unread('body-too-large', key)
        # A body of unknown length is held as it comes, piece by piece.
        piece_bytes = min(limit + 1, stream.length or _PIECE_BYTES)
        pieces = []
        try:
            while not stream.is_complete and held.body_bytes <= limit:
                if not held.grow(piece_bytes):
                    return self._refused_full(key)
                pieces.append(stream.read(piece_bytes))
        except (OSError, ValueError):
            return _refused_unread('bad-body', key)
        body = b''.join(pieces)
        if len(body) > limit:
            return _refused_unread('body-too-large', key)
        return body


class _Streamed:
    """Body of a streamed answer, closed by the server in all cases."""

    def __init__(self, answer: Answer) -> None:
        self._stream = answer.stream

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._stream)

    def close(self) -> None:
        """Ends the stream."""
        self._stream.close()


def _timeout_ms(environ: Environ, match: Match) -> float | None:
    given = environ['waxwing.head'].fields.get(_DEADLINE_KEY)
    if given is None:
        return match.service.timeout_ms
    if not given.isascii() or not given.isdecimal():
        return None
    timeout_ms = int(given) if len(given) < 10 else MAX_TIMEOUT_MS
    return min(timeout_ms, MAX_TIMEOUT_MS) or None


def _status_line(answer: Answer) -> str:
    status = answer.status
    if answer.outcome is Outcome.NOT_RUN:
        status = _STATUS_BY_REASON.get(answer.reason, _NOT_RUN_STATUS)
    elif answer.outcome is not Outcome.RAN:
        status = _UNKNOWN_STATUS
    return _STATUS_LINES.get(status) or f'{status} Status'


def _refused_unread(reason: str, key: str) -> Answer:
    """Refuses a call whose claim, if it has a key, was not read.

    A resend may meet a node that has no configuration or route yet; an
    earlier attempt under its key may have run.
    """
    return unknown(reason) if key else not_run(reason)


def _headers(answer: Answer) -> list[tuple[str, str]]:
    headers = [
        pair
        for pair in answer.headers
        if pair[0].lower() not in _OUTCOME_FIELDS
    ]
    headers.append((OUTCOME_HEADER, answer.outcome.value))
    if answer.reason:
        headers.append((REASON_HEADER, answer.reason))
    if answer.retry_after_ms:
        headers.append((RETRY_AFTER_HEADER, str(answer.retry_after_ms)))
    if answer.was_retried:
        headers.append((RETRIED_HEADER, '1'))
    if answer.length is not None:
        headers.append(('Content-Length', str(answer.length)))
    return headers
