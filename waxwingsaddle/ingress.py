"""Routing of calls by host and path for plain HTTP callers.

Callers of `entry` read exact outcomes from header fields. Callers of the
ingress know only HTTP statuses: 503 states that a call has not run and will
not run; after 502 or 504 the call may have run.
"""

import random
from collections.abc import Callable
from contextlib import AbstractContextManager
from functools import partial

from waxwingsaddle import metrics
from waxwingsaddle.account_access import UNKNOWN_KEY
from waxwingsaddle.account_directory import KnownAccount
from waxwingsaddle.admitted_call import AdmittedCall
from waxwingsaddle.call_class import CallAccount
from waxwingsaddle.caller_fields import CallerFields
from waxwingsaddle.caller_timeouts import CallerTimeouts
from waxwingsaddle.calls import (
    Answer,
    HeaderPairs,
    Request,
    not_run,
)
from waxwingsaddle.dispatch import CallTask, Dispatcher
from waxwingsaddle.entry_bound import EntryBound, Reservation
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.quota_service import (
    Admitted,
    NoQuotas,
    QuotaService,
    Refused,
)
from waxwingsaddle.request_log import RequestLog
from waxwingsaddle.routing import Match, RouteTable, RouteTableCache
from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.stop_schedule import stopping
from waxwingsaddle.traffic_split import TrafficSplitter
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

NO_ROUTE = 'no-route'
_UNAUTHORIZED_STATUS = 401
_STATUS_BY_REASON = {
    NO_ROUTE: 404,
    UNKNOWN_KEY: _UNAUTHORIZED_STATUS,
    'malformed': 400,
    'bad-body': 400,
    'body-too-large': 413,
    'head-too-large': 431,
    'head-timeout': 408,
    'body-timeout': 408,
    'quota': 429,
}
_STATUSES_WITH_RETRY = frozenset((429, 503))
_NOT_RUN_STATUS = 503
# RFC 9110 requires it in every response with status 401.
_CHALLENGE = ('WWW-Authenticate', 'Bearer')
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504
# Range of the retry hint of a refusal that has no estimate of its own: a slot
# usually becomes free within one service time, and random hints keep refused
# callers from returning at the same time.
_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 250

_calls_by_outcome = metrics.counter(
    'waxwing_ingress_calls',
    'Calls of callers by outcome.',
    ('outcome', 'reason'),
)
_duration = metrics.histogram(
    'waxwing_ingress_seconds',
    'Time from the head of a call to its answer, by outcome.',
    labels=('outcome',),
)
_duration_by_outcome = {
    outcome: _duration.labels(outcome.value) for outcome in Outcome
}


class Ingress:
    """Routes calls and runs them.

    Args:
        routing: Holds the current route table.
        dispatcher: Runs calls.
        bound: Bounds on the calls in flight and on their bodies.
        running_calls: Keeps the calls that are not answered yet.
        fields: Reads and writes header fields.
        clock: Returns monotonic seconds.
        rng: Draws retry hints and the starting point of each traffic split.

    Attributes:
        quotas: Admits calls within the quotas of their accounts.
    """

    def __init__(
        self,
        routing: RouteTableCache,
        dispatcher: Dispatcher,
        bound: EntryBound,
        running_calls: RunningCalls,
        fields: CallerFields,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._routing = routing
        self._dispatcher = dispatcher
        self._bound = bound
        self._running_calls = running_calls
        self._stop_schedule = running_calls.stop_schedule
        self._fields = fields
        self._clock = clock
        self._rng = rng
        self.quotas: QuotaService | NoQuotas = NoQuotas()
        self._splitter = TrafficSplitter(rng)
        self._caller_timeouts = CallerTimeouts()
        self._log = RequestLog(
            clock, fields.names.request_id_key, self._stop_schedule
        )

    @property
    def table(self) -> RouteTable | None:
        """The current route table; None before the first configuration."""
        return self._routing.table

    def admit(self, head: RequestHead) -> AdmittedCall | Answer:
        """Admits or refuses a call before its body is read.

        Returns:
            The call with its reservation, or the answer that refuses it.
        """
        arrived_s = self._clock()
        decision = self._decide(head, arrived_s)
        if isinstance(decision, Answer):
            self._log.log_call(head, None, decision, arrived_s)
        return decision

    def _decide(
        self, head: RequestHead, arrived_s: float
    ) -> AdmittedCall | Answer:
        table = self._routing.table
        if table is None:
            return not_run('no-configuration')
        match = table.match(head.method, head.path, head.host)
        if match is None:
            return not_run(NO_ROUTE)
        known = self._resolve_account(table, match, head)
        if isinstance(known, Answer):
            return known
        match = self._splitter.select_service(table, match)
        route = match.route
        account = known.call_account if known else None
        timeout_ms = self._fields.timeout_ms(head, match)
        caller_deadline_s = arrived_s + timeout_ms / MS_PER_S
        deadline_s = self._stop_schedule.bound_deadline(caller_deadline_s)
        if deadline_s is None:
            return stopping()
        reserved = self._reserve(match, account)
        if isinstance(reserved, Answer):
            return reserved
        usual_timeout_ms = self._caller_timeouts.observe(match.name, timeout_ms)
        request = Request(
            head.method,
            head.target,
            self._fields.forwarded_headers(head, table.accounts, known),
        )
        task = CallTask(
            match,
            request,
            deadline_s,
            origin=self._fields.service,
            version=table.version,
            account=account,
        )
        if route.objective_ms:
            # The objective counts from the first attempt. A caller with a
            # shorter timeout than usual has spent the difference on an earlier
            # attempt, or serves a call that has already waited that long.
            task.due_s = (
                caller_deadline_s
                - (usual_timeout_ms - route.objective_ms) / MS_PER_S
            )
        return AdmittedCall(head, arrived_s, task, *reserved)

    def _reserve(
        self, match: Match, account: CallAccount | None
    ) -> tuple[Reservation, Admitted] | Answer:
        """Reserves a slot on this node and a token of the account."""
        quota = self.quotas.admit(account)
        if isinstance(quota, Refused):
            return not_run(quota.reason, quota.retry_after_ms)
        reservation = self._bound.reserve_call(match.rank_for(account), account)
        if reservation is not None:
            return reservation, quota
        self.quotas.give_back(quota)
        return not_run('entry-full', self._bound.retry_after_ms())

    def _resolve_account(
        self, table: RouteTable, match: Match, head: RequestHead
    ) -> KnownAccount | Answer | None:
        """Returns the account of a request, None, or a refusal."""
        return self._fields.access.resolve(
            table.accounts, match.route, head.headers
        )

    def reading(self, head: RequestHead) -> AbstractContextManager[None]:
        """Returns a context in which the body of a request is read.

        It raises `StoppingError` if the stop of the node ends before that.
        """
        return self._running_calls.reading(head)

    def run(self, admitted: AdmittedCall) -> Answer:
        """Runs a call; blocks the current green thread.

        Returns:
            The answer; the caller must close its `stream`.
        """
        answer = self._running_calls.run(
            admitted.task,
            admitted.arrived_s,
            self._fields.request_id(admitted.head),
            partial(self._dispatcher.run, admitted.task),
        )
        elapsed_s = self._clock() - admitted.arrived_s
        _duration_by_outcome[answer.outcome].observe(elapsed_s)
        self._log.log_call(
            admitted.head,
            admitted.task,
            answer,
            admitted.arrived_s,
        )
        return answer

    def release(self, admitted: AdmittedCall, answer: Answer) -> None:
        """Releases what a call has reserved; must be called exactly once.

        Args:
            admitted: The call.
            answer: Its answer; a call that has not run returns its token.
        """
        admitted.reservation.release()
        if answer.outcome is Outcome.NOT_RUN:
            self.quotas.give_back(admitted.quota)

    def cancel(self, admitted: AdmittedCall) -> None:
        """Cancels a call whose caller has closed its connection."""
        self._dispatcher.cancel(admitted.task)

    def reply(
        self,
        answer: Answer,
        head: RequestHead | None,
    ) -> tuple[int, HeaderPairs]:
        """Returns the status and header fields of the response to a caller.

        Args:
            answer: Answer of the call.
            head: Head of the request; None if it could not be parsed.
        """
        _calls_by_outcome.labels(answer.outcome.value, answer.reason).inc()
        if answer.outcome is Outcome.RAN:
            return answer.status, answer.headers
        id_header = self._fields.repeated_id(head)
        if answer.outcome is not Outcome.NOT_RUN:
            is_late = answer.reason == 'deadline'
            return _TIMEOUT_STATUS if is_late else _UNKNOWN_STATUS, id_header
        status = _STATUS_BY_REASON.get(answer.reason, _NOT_RUN_STATUS)
        if status == _UNAUTHORIZED_STATUS:
            return status, (*id_header, _CHALLENGE)
        if status not in _STATUSES_WITH_RETRY:
            return status, id_header
        retry_ms = answer.retry_after_ms or self._rng.randint(
            _MIN_RETRY_MS,
            _MAX_RETRY_MS,
        )
        hint = ('Retry-After', f'{retry_ms / MS_PER_S:.3f}')
        return status, (*id_header, hint)
