"""HTTP entry point for callers that understand the outcome headers.

Headers of each answer state whether the call ran, did not run or may have run.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import eventlet

from waxwingsaddle import metrics
from waxwingsaddle.account_access import AccountAccess
from waxwingsaddle.calls import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    Answer,
    Request,
    end_to_end_headers,
    not_run,
)
from waxwingsaddle.config_models import MAX_TIMEOUT_MS
from waxwingsaddle.disconnect_watch import DisconnectWatch
from waxwingsaddle.dispatch import CallTask
from waxwingsaddle.entry_answers import (
    header_fields,
    refuse_quota,
    refuse_stopping,
    refuse_unclaimed,
    status_line,
)
from waxwingsaddle.entry_bound import EntryBound, Reservation
from waxwingsaddle.finalized_stream import FinalizedStream
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.idempotent_calls import IdempotentCalls
from waxwingsaddle.quota_service import NoQuotas, QuotaService, Refused
from waxwingsaddle.routed_call import RoutedCall
from waxwingsaddle.routing import Match, RouteTable, RouteTableCache
from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.stop_schedule import StoppingError
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.web import Environ, StartResponse

_IDEMPOTENCY_KEY = IDEMPOTENCY_KEY_HEADER.lower()
_BLOCK_BYTES = 65_536
_CONFIGURATION_POLL_S = 0.02
_DEADLINE_KEY = DEADLINE_HEADER.lower()

_calls_by_outcome = metrics.counter(
    'waxwing_calls',
    'Calls of callers by outcome.',
    ('outcome', 'reason'),
)
_calls_ran = _calls_by_outcome.labels('ran', '')


@dataclass(frozen=True, slots=True)
class CallLimits:
    """Limits of one call.

    Attributes:
        body_bytes: Largest request body, in bytes.
        key_characters: Longest idempotency key, in characters.
        configuration_wait_s: Longest wait for the first configuration, in s.
    """

    body_bytes: int
    key_characters: int
    configuration_wait_s: float


class Entry:
    """WSGI application for the calls of callers.

    Args:
        routing: Holds the current route table.
        calls: Runs calls, with or without an idempotency key.
        running_calls: Keeps the calls that are not answered yet.
        disconnect_watch: Detects callers that close their connection.
        bound: Bounds on the calls in flight and on their bodies.
        limits: Limits of one call.
        access: Finds the accounts of requests.
        clock: Returns monotonic seconds.

    Attributes:
        quotas: Admits calls within the quotas of their accounts.
    """

    def __init__(
        self,
        routing: RouteTableCache,
        calls: IdempotentCalls,
        running_calls: RunningCalls,
        disconnect_watch: DisconnectWatch,
        bound: EntryBound,
        limits: CallLimits,
        access: AccountAccess,
        clock: Callable[[], float],
    ) -> None:
        self._routing = routing
        self._calls = calls
        self._running_calls = running_calls
        self._disconnect_watch = disconnect_watch
        self._bound = bound
        self._limits = limits
        self._access = access
        self._clock = clock
        self.quotas: QuotaService | NoQuotas = NoQuotas()

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Runs one call and writes its answer."""
        answer = self._answer_call(environ)
        if answer.outcome is Outcome.RAN:
            _calls_ran.inc()
        else:
            _calls_by_outcome.labels(answer.outcome.value, answer.reason).inc()
        start_response(status_line(answer), header_fields(answer))
        if answer.stream is not None:
            return answer.stream
        return [answer.body]

    def _answer_call(self, environ: Environ) -> Answer:
        head = environ['waxwing.head']
        key = head.fields.get(_IDEMPOTENCY_KEY, '')
        call = self._route(head, environ, key)
        if isinstance(call, Answer):
            return call
        quota = self.quotas.admit(call.account)
        if isinstance(quota, Refused):
            return refuse_quota(quota, key)
        answer = None
        try:
            answer = self._answer_routed(environ, call, key)
        finally:
            if answer is not None and answer.outcome is Outcome.NOT_RUN:
                self.quotas.give_back(quota)
        return answer

    def _answer_routed(
        self, environ: Environ, call: RoutedCall, key: str
    ) -> Answer:
        rank = call.match.rank_for(call.account)
        reservation = self._bound.reserve_call(rank, call.account)
        if reservation is None:
            return self._refuse_full(key)
        answer = None
        try:
            answer = self._answer_admitted(environ, call, reservation)
        finally:
            if answer is None or answer.stream is None:
                reservation.release()
        if answer.stream is not None:
            answer.stream = FinalizedStream(answer.stream, reservation.release)
        return answer

    def _route(
        self, head: RequestHead, environ: Environ, key: str
    ) -> RoutedCall | Answer:
        arrived_s = self._clock()
        table = self._routing.table or self._await_table()
        if table is None:
            return refuse_unclaimed('no-configuration', key)
        match = table.match(environ['REQUEST_METHOD'], head.path)
        if match is None:
            return refuse_unclaimed('no-route', key)
        known = self._access.resolve(table.accounts, match.route, head.headers)
        if isinstance(known, Answer):
            return refuse_unclaimed(known.reason, key)
        timeout_ms = _timeout_ms(environ, match)
        if timeout_ms is None:
            return refuse_unclaimed('bad-deadline', key)
        if len(key) > self._limits.key_characters:
            return not_run('bad-key')
        deadline_s = self._running_calls.stop_schedule.bound_deadline(
            arrived_s + timeout_ms / MS_PER_S
        )
        if deadline_s is None:
            return refuse_stopping(key)
        headers = self._access.forwarded_headers(
            table.accounts, end_to_end_headers(head.headers), known
        )
        account = known.call_account if known else None
        return RoutedCall(match, headers, arrived_s, deadline_s, account)

    def _answer_admitted(
        self,
        environ: Environ,
        call: RoutedCall,
        reservation: Reservation,
    ) -> Answer:
        body = self._read_body(environ, reservation)
        if isinstance(body, Answer):
            return body
        head = environ['waxwing.head']
        request = Request(head.method, head.target, call.headers, body)
        task = CallTask(
            call.match, request, call.deadline_s, account=call.account
        )
        return self._running_calls.run(
            task,
            call.arrived_s,
            '',
            partial(self._run_call, environ, task),
        )

    def _await_table(self) -> RouteTable | None:
        """Waits for the first configuration after the start of the node.

        Callers resend as soon as the node listens, maybe before configuration
        has arrived. A waiting call counts against the bound at the lowest rank.
        """
        deadline_s = self._clock() + self._limits.configuration_wait_s
        reservation = self._bound.reserve_call(0)
        if reservation is None:
            return None
        try:
            while self._routing.table is None and self._clock() < deadline_s:
                eventlet.sleep(_CONFIGURATION_POLL_S)
        finally:
            reservation.release()
        return self._routing.table

    def _refuse_full(self, key: str) -> Answer:
        answer = refuse_unclaimed('entry-full', key)
        answer.retry_after_ms = self._bound.retry_after_ms()
        return answer

    def _run_call(self, environ: Environ, task: CallTask) -> Answer:
        sock = environ['wsgi.input'].get_socket()
        watch = self._disconnect_watch.watch(
            sock, partial(self._calls.cancel, task)
        )
        try:
            key = environ['waxwing.head'].fields.get(_IDEMPOTENCY_KEY, '')
            return self._calls.run(task, key)
        finally:
            self._disconnect_watch.unwatch(watch)

    def _read_body(
        self, environ: Environ, reservation: Reservation
    ) -> bytes | Answer:
        stream = environ['wsgi.input']
        if stream.is_complete:
            return b''
        head = environ['waxwing.head']
        key = head.fields.get(_IDEMPOTENCY_KEY, '')
        max_bytes = self._limits.body_bytes
        if stream.length is not None and stream.length > max_bytes:
            return refuse_unclaimed('body-too-large', key)
        try:
            with self._running_calls.reading(head):
                body = self._read_blocks(stream, reservation)
        except StoppingError:
            return refuse_stopping(key)
        except (OSError, ValueError):
            return refuse_unclaimed('bad-body', key)
        if body is None:
            return self._refuse_full(key)
        if len(body) > max_bytes:
            return refuse_unclaimed('body-too-large', key)
        return body

    def _read_blocks(
        self, stream: Body, reservation: Reservation
    ) -> bytes | None:
        """Returns a body, or its beginning if it is too large.

        Returns:
            The bytes; None if they can't be reserved.
        """
        # A body of unknown length is reserved and read block by block.
        max_bytes = self._limits.body_bytes
        block_bytes = min(max_bytes + 1, stream.length or _BLOCK_BYTES)
        blocks = []
        while not stream.is_complete and reservation.body_bytes <= max_bytes:
            if not reservation.reserve_body(block_bytes):
                return None
            blocks.append(stream.read(block_bytes))
        return b''.join(blocks)


def _timeout_ms(environ: Environ, match: Match) -> float | None:
    text = environ['waxwing.head'].fields.get(_DEADLINE_KEY)
    if text is None:
        return match.service.timeout_ms
    if not text.isascii() or not text.isdecimal():
        return None
    # Ten digits and more exceed the maximum in any case.
    timeout_ms = int(text) if len(text) < 10 else MAX_TIMEOUT_MS
    return min(timeout_ms, MAX_TIMEOUT_MS) or None
