"""Calls of callers by host and path, answered with plain HTTP statuses.

Other than `entry`, which tells exact outcomes in header fields of its own,
the ingress speaks to callers that know no more than HTTP: 503 promises that a
call has not run and never will, 502 and 504 promise nothing.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from waxwingsaddle import metrics
from waxwingsaddle.call_class import rank_of
from waxwingsaddle.caller_timeouts import CallerTimeouts
from waxwingsaddle.calls import (
    Answer,
    HeaderPairs,
    Request,
    end_to_end_headers,
    not_run,
)
from waxwingsaddle.config_models import MAX_TIMEOUT_MS
from waxwingsaddle.dispatch import CallTask, Dispatcher
from waxwingsaddle.entry_bound import EntryBound, Held
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.request_log import RequestLog
from waxwingsaddle.routing import Match, RouteTable, RouteTableCache
from waxwingsaddle.traffic_split import TrafficSplitter
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

NO_ROUTE = 'no-route'
_STATUS_BY_REASON = {
    NO_ROUTE: 404,
    'malformed': 400,
    'bad-body': 400,
    'body-too-large': 413,
    'head-too-large': 431,
    'head-timeout': 408,
    'body-timeout': 408,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_TIMEOUT_STATUS = 504
# A refusal without a better estimate: room is expected within one service
# time, and the spread keeps refused callers from returning together.
_LEAST_RETRY_MS = 50
_MOST_RETRY_MS = 250
_MAX_DIGITS = 9

_outcomes = metrics.counter(
    'waxwing_ingress_calls',
    'Calls of callers by outcome.',
    ('outcome', 'reason'),
)
_took = metrics.histogram(
    'waxwing_ingress_seconds',
    'Time from the head of a call to its answer, by outcome.',
    labels=('outcome',),
)
_took_by_outcome = {outcome: _took.labels(outcome.value) for outcome in Outcome}


@dataclass(slots=True)
class Admitted:
    """A call that has a route and room.

    Attributes:
        head: Head of its request.
        arrived_s: When it was read.
        task: The call; its request is complete once the body was read.
        held: What the call takes of the bounds of this node.
    """

    head: RequestHead
    arrived_s: float
    task: CallTask
    held: Held

    def set_body(self, body: bytes) -> None:
        """Completes the request."""
        if body:
            request = self.task.request
            self.task.request = msgspec.structs.replace(request, body=body)


class Ingress:
    """Routes calls and runs them.

    Args:
        routing: Finds the route of a call.
        dispatch: Runs calls.
        bound: Bounds on the calls in flight.
        names: Names of the header fields.
        service: Service of this host, which upstreams are told as caller.
        clock: Monotonic seconds.
        rng: Spreads retry hints and the first turns of split routes.
    """

    def __init__(
        self,
        routing: RouteTableCache,
        dispatch: Dispatcher,
        bound: EntryBound,
        names: HeaderNames,
        service: str,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._routing = routing
        self._dispatch = dispatch
        self._bound = bound
        self._names = names
        self._service = service
        self._clock = clock
        self._rng = rng
        self._splits = TrafficSplitter(rng)
        self._usual = CallerTimeouts()
        self._log = RequestLog(clock, names.request_id_key)

    @property
    def table(self) -> RouteTable | None:
        """The route table in force."""
        return self._routing.table

    def admit(self, head: RequestHead) -> Admitted | Answer:
        """Decides on a call before its body is read."""
        arrived_s = self._clock()
        decided = self._decide(head, arrived_s)
        if isinstance(decided, Answer):
            self._log.log_call(head, None, decided, arrived_s)
        return decided

    def _decide(self, head: RequestHead, arrived_s: float) -> Admitted | Answer:
        table = self._routing.table
        if table is None:
            return not_run('no-configuration')
        path = head.target.partition('?')[0]
        match = table.match(head.method, path, _host(head))
        if match is None:
            return not_run(NO_ROUTE)
        match = self._splits.select_service(table, match)
        route = match.route
        held = self._bound.enter(rank_of(route.priority, route.idempotent))
        if held is None:
            return not_run('entry-full', self._bound.retry_after_ms())
        timeout_ms = self._timeout_ms(head, match)
        usual_ms = self._usual.observe(match.name, timeout_ms)
        request = Request(head.method, head.target, self._headers(head))
        deadline_s = arrived_s + timeout_ms / MS_PER_S
        task = CallTask(
            match,
            request,
            deadline_s,
            origin=self._service,
            version=table.version,
        )
        if route.objective_ms:
            # A caller with less time than usual has spent the rest on an
            # earlier try, or calls for a call that has waited.
            task.due_s = deadline_s - (usual_ms - route.objective_ms) / MS_PER_S
        return Admitted(head, arrived_s, task, held)

    def run(self, admitted: Admitted) -> Answer:
        """Runs a call; blocks its green thread.

        Returns:
            How the call ended; its `stream` must be closed.
        """
        answer = self._dispatch.run(admitted.task)
        took_s = self._clock() - admitted.arrived_s
        _took_by_outcome[answer.outcome].observe(took_s)
        self._log.log_call(
            admitted.head,
            admitted.task,
            answer,
            admitted.arrived_s,
        )
        return answer

    def cancel(self, admitted: Admitted) -> None:
        """Withdraws a call whose caller is gone."""
        self._dispatch.cancel(admitted.task)

    def reply(
        self,
        answer: Answer,
        head: RequestHead | None,
    ) -> tuple[int, HeaderPairs]:
        """Returns status and fields of the answer to a caller.

        Args:
            answer: How the call ended.
            head: Head of the request; absent when it could not be read.
        """
        _outcomes.labels(answer.outcome.value, answer.reason).inc()
        if answer.outcome is Outcome.RAN:
            return answer.status, answer.headers
        named = self._named(head)
        if answer.outcome is not Outcome.NOT_RUN:
            is_late = answer.reason == 'deadline'
            return _TIMEOUT_STATUS if is_late else _UNKNOWN_STATUS, named
        status = _STATUS_BY_REASON.get(answer.reason, _NOT_RUN_STATUS)
        if status != _NOT_RUN_STATUS:
            return status, named
        retry_ms = answer.retry_after_ms or self._rng.randint(
            _LEAST_RETRY_MS,
            _MOST_RETRY_MS,
        )
        hint = ('Retry-After', f'{retry_ms / MS_PER_S:.3f}')
        return status, (*named, hint)

    def _named(self, head: RequestHead | None) -> HeaderPairs:
        """Returns the field that says which request is answered."""
        key = self._names.request_id_key
        if head is None or not key or key not in head.fields:
            return ()
        return ((self._names.request_id, head.fields[key]),)

    def _headers(self, head: RequestHead) -> HeaderPairs:
        names = self._names
        kept = tuple(
            pair
            for pair in end_to_end_headers(head.headers)
            if pair[0].lower() not in names.replaced
        )
        if names.caller_service and self._service:
            return (*kept, (names.caller_service, self._service))
        return kept

    def _timeout_ms(self, head: RequestHead, match: Match) -> int:
        route = match.route
        most_ms = route.timeout_ms or MAX_TIMEOUT_MS
        given = head.fields.get(self._names.deadline_ms.lower(), '')
        is_number = given.isascii() and given.isdecimal()
        if is_number and len(given) <= _MAX_DIGITS:
            return min(int(given), most_ms)
        return route.timeout_ms or match.service.timeout_ms


def _host(head: RequestHead) -> str:
    return head.fields.get('host', '').partition(':')[0].lower()
