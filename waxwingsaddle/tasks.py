"""State of a running call, and the evaluation of its attempts."""

from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from math import inf

from eventlet.queue import LightQueue

from waxwingsaddle import metrics
from waxwingsaddle.call_class import Call, CallAccount
from waxwingsaddle.calls import Answer, Request, not_run
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard_decisions import OVERLOAD
from waxwingsaddle.routing import Match
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

_attempts = metrics.counter(
    'waxwing_attempts',
    'Attempts of calls at upstreams, the first of each call included.',
    ('kind',),
)
_first_attempts = _attempts.labels('first')
_retries = _attempts.labels('retry')
hedged_attempts = _attempts.labels('hedge')
_spills = _attempts.labels('spill')
# Most attempts of a call that are logged. A call has a few attempts, plus moves
# to other guards.
_TRAIL_LENGTH = 8
# With these outcomes, it is certain whether the attempt ran.
_EXACT_OUTCOMES = frozenset((Outcome.RAN, Outcome.NOT_RUN))


# Reasons of a guard that has more calls than its upstream can serve.
_GUARD_FULL_REASONS = frozenset((OVERLOAD, 'displaced'))
# Reasons that show that no byte of the attempt reached an upstream.
_UNSENT_REASONS = frozenset(
    ('unreachable', 'upstream-refused', 'no-upstream', 'draining'),
)
# A second guard may have room when the first one is full; a third attempt is
# rarely worth its messages.
_MAX_GUARD_MOVES = 1


@dataclass(slots=True)
class CallTask:
    """One call of a caller, over all its attempts.

    Attributes:
        match: Route of the call.
        request: HTTP request to send.
        deadline_s: When the caller gives up, in monotonic seconds.
        is_cancelled: Whether the caller has disconnected.
        claim: Encoded claim of the idempotency key; empty without one.
        in_flight: Upstreams of the attempts in flight, by call identifier.
        withdrawn_ids: Call identifiers of attempts that were withdrawn before
            they started.
        attempts: Number of attempts so far, without those that spilled over.
        spillovers: Number of attempts that spilled over from a full guard.
        may_have_run: Whether the outcome of an attempt is unknown.
        due_s: End of the latency objective, in monotonic seconds; infinite
            without an objective.
        origin: Service of the host at which the call began; empty if not
            known.
        version: Version of the configuration with the route.
        attempt_trail: Descriptions of the first attempts, for the log.
        guard_moves: Number of free retries at another guard after a full one
            refused the call.
        account: Client account of the caller; None without one.
        barred: Keys of the upstreams whose version must not get the call.
    """

    match: Match
    request: Request
    deadline_s: float
    is_cancelled: bool = False
    claim: bytes = b''
    in_flight: dict[str, Upstream] = field(default_factory=dict)
    withdrawn_ids: set[str] = field(default_factory=set)
    attempts: int = 0
    spillovers: int = 0
    may_have_run: bool = False
    due_s: float = inf
    origin: str = ''
    version: int = 0
    attempt_trail: list[str] = field(default_factory=list)
    guard_moves: int = 0
    account: CallAccount | None = None
    barred: frozenset[UpstreamKey] = frozenset()

    def record_spillover(self) -> None:
        """Counts an attempt as spilled over from a full guard."""
        self.attempts -= 1
        self.spillovers += 1


def count_attempt(task: CallTask) -> None:
    """Counts an attempt that is not a hedge in the metrics."""
    if task.attempts > 1:
        _retries.inc()
    elif task.spillovers:
        _spills.inc()
    else:
        _first_attempts.inc()


def attempt_result(
    answer: Answer | None, elapsed_s: float, request: Request
) -> AttemptResult:
    """Returns the result of an attempt for the load balancer."""
    return AttemptResult(
        evidence=_evidence(answer),
        elapsed_s=elapsed_s,
        load=answer and answer.load,
        retry_after_ms=answer.retry_after_ms if answer else 0,
        transfer_bytes=_transfer_bytes(answer, request),
    )


def _transfer_bytes(answer: Answer | None, request: Request) -> int | None:
    if answer is None or answer.outcome is not Outcome.RAN:
        return None
    answer_bytes = len(answer.body) or answer.length
    return None if answer_bytes is None else answer_bytes + len(request.body)


def _evidence(answer: Answer | None) -> Evidence:
    if answer is None or answer.reason == 'cancelled':
        return Evidence.CANCELLED
    if answer.outcome is Outcome.RAN:
        return Evidence.ANSWERED
    # Only a guard that was reached reports its load.
    is_refused = answer.outcome is Outcome.NOT_RUN and answer.load is not None
    if is_refused and answer.reason != 'upstream-refused':
        return Evidence.REFUSED
    return Evidence.FAILED


def close_losers(answers: LightQueue, number: int) -> None:
    """Closes the streamed bodies of the slower attempts as they arrive."""
    # A slower attempt may still end with a streamed body.
    for _ in range(number):
        answer = answers.get()[1]
        if answer.stream is not None:
            answer.stream.close()


def end_attempt(
    task: CallTask,
    call_id: str,
    answer: Answer | None,
    started_s: float,
    clock: Callable[[], float],
) -> AttemptResult:
    """Removes an attempt from a task and records whether it may have run.

    Args:
        task: The call.
        call_id: Call identifier of the attempt.
        answer: Answer of the attempt; None if it was interrupted.
        started_s: When it started, in monotonic seconds.
        clock: Returns monotonic seconds.

    Returns:
        The result of the attempt for the load balancer.
    """
    elapsed_s = clock() - started_s
    upstream = task.in_flight.pop(call_id, None)
    if upstream is not None and len(task.attempt_trail) < _TRAIL_LENGTH:
        task.attempt_trail.append(
            _describe_attempt(call_id, upstream, answer, elapsed_s)
        )
    if answer is None or answer.outcome not in _EXACT_OUTCOMES:
        task.may_have_run = True
    return attempt_result(answer, elapsed_s, task.request)


def _describe_attempt(
    call_id: str,
    upstream: Upstream,
    answer: Answer | None,
    elapsed_s: float,
) -> str:
    """Describes an attempt, with the load that its guard reported."""
    label = f'{call_id} {upstream.host}/{upstream.name}'
    if answer is None:
        return f'{label} cut off'
    load = answer.load
    load_text = (
        f' in_flight={load.in_flight}/{load.limit} queued={load.queued}'
        f' wait_ms={load.wait_ms}'
        if load
        else ''
    )
    ending = answer.reason or answer.status
    took_ms = round(elapsed_s * MS_PER_S)
    return f'{label} {answer.outcome.value} {ending} {took_ms}ms{load_text}'


def build_call(task: CallTask, call_id: str, may_spill: bool) -> Call:
    """Returns the call of an attempt, as offered to a guard."""
    route = task.match.route
    return Call(
        call_id=call_id,
        route=task.match.name,
        work=route.work,
        priority=route.priority,
        is_idempotent=route.idempotent,
        deadline_s=task.deadline_s,
        may_spill=may_spill,
        origin=task.origin,
        due_s=task.due_s,
        account=task.account,
    )


def is_unsent(answer: Answer) -> bool:
    """Returns whether no byte of an attempt reached an upstream."""
    return answer.reason in _UNSENT_REASONS


def allow_guard_move(task: CallTask, answer: Answer) -> bool:
    """Returns whether a call may try another guard; counts it if so."""
    if (
        answer.reason not in _GUARD_FULL_REASONS
        or task.guard_moves >= _MAX_GUARD_MOVES
    ):
        return False
    task.guard_moves += 1
    return True


def no_upstream_answer(
    task: CallTask,
    retry_after_s: float,
    known: Sequence[Upstream],
    tried: Collection[UpstreamKey],
) -> Answer:
    """Returns the refusal of a call for which no upstream is available.

    Args:
        task: The call.
        retry_after_s: Seconds until a full upstream may accept the call; 0 if
            there is no upstream to wait for.
        known: All upstreams of its service.
        tried: Keys of those that it was sent to or must not be sent to.
    """
    if not retry_after_s:
        task.attempt_trail.append(_describe_known(task, known, tried))
        return not_run('no-upstream')
    retry_after_ms = max(1, round(retry_after_s * MS_PER_S))
    task.attempt_trail.append(f'held off, all full for {retry_after_ms}ms')
    return not_run(OVERLOAD, retry_after_ms)


def _describe_known(
    task: CallTask, known: Sequence[Upstream], tried: Collection[UpstreamKey]
) -> str:
    """Returns why no upstream of a service was taken, for the log."""
    reasons = Counter(_skip_reason(task, one, tried) for one in known)
    parts = ', '.join(f'{count} {why}' for why, count in reasons.items())
    return f'none of {len(known)} upstreams: {parts}' if known else 'none known'


def _skip_reason(
    task: CallTask, upstream: Upstream, tried: Collection[UpstreamKey]
) -> str:
    if upstream.state != 'ready':
        return upstream.state
    key = key_of(upstream)
    if key in task.barred:
        return 'of another version'
    return 'tried' if key in tried else 'not chosen'
