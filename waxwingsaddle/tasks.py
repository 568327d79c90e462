"""Calls of callers while they run, and what is learned from attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from eventlet.queue import LightQueue

from waxwingsaddle import metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer, Request, not_run
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard_decisions import OVERLOAD
from waxwingsaddle.routing import Match
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstream_keys import Upstream
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
# A call is sent to a few upstreams at most; moves between guards come on top.
_TRAIL_LENGTH = 8
# After these, the caller knows whether the attempt ran.
_EXACT_OUTCOMES = frozenset((Outcome.RAN, Outcome.NOT_RUN))


# Reasons of a guard that has more calls than its upstream can serve.
_GUARD_FULL_REASONS = frozenset((OVERLOAD, 'displaced'))
# With these reasons, no byte of the attempt reached an upstream.
_UNSENT_REASONS = frozenset(
    ('unreachable', 'upstream-refused', 'no-upstream', 'draining'),
)
# A second guard may have room where the first had none; a third one is rarely
# worth the messages.
_MAX_GUARD_MOVES = 1


@dataclass(slots=True)
class CallTask:
    """One call of a caller.

    Attributes:
        match: Its route.
        request: What to send.
        deadline_s: When the caller gives up.
        is_cancelled: Whether the caller is gone.
        claim: Encoded claim of the idempotency key; empty without one.
        in_flight: Attempts in flight: call identifier and upstream.
        withdrawn_ids: Attempts withdrawn before they began.
        attempts: Attempts made so far, without those that were sent on.
        spillovers: Attempts that full guards sent on.
        may_have_run: Whether the outcome of an attempt is unknown.
        due_s: Until when an answer serves the caller best.
        origin: Service of the host at which the call began; empty when it is
            not known.
        version: Version of the configuration that gave the route.
        attempt_trail: How its attempts ended, the first ones only.
        guard_moves: Free retries at another guard after a full one refused.
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

    def record_spillover(self) -> None:
        """Counts an attempt that a full guard sent on."""
        self.attempts -= 1
        self.spillovers += 1


def count_attempt(task: CallTask) -> None:
    """Counts an attempt that is not a hedge."""
    if task.attempts > 1:
        _retries.inc()
    elif task.spillovers:
        _spills.inc()
    else:
        _first_attempts.inc()


def attempt_result(answer: Answer | None, elapsed_s: float) -> AttemptResult:
    """Returns what the choice learns from an attempt."""
    return AttemptResult(
        evidence=_evidence(answer),
        elapsed_s=elapsed_s,
        load=answer and answer.load,
        retry_after_ms=answer.retry_after_ms if answer else 0,
        answer_bytes=_answer_bytes(answer),
    )


def _answer_bytes(answer: Answer | None) -> int | None:
    if answer is None or answer.outcome is not Outcome.RAN:
        return None
    return len(answer.body) or answer.length


def _evidence(answer: Answer | None) -> Evidence:
    if answer is None or answer.reason == 'cancelled':
        return Evidence.CANCELLED
    if answer.outcome is Outcome.RAN:
        return Evidence.ANSWERED
    # Only a guard that was reached tells its load.
    is_refused = answer.outcome is Outcome.NOT_RUN and answer.load is not None
    if is_refused and answer.reason != 'upstream-refused':
        return Evidence.REFUSED
    return Evidence.FAILED


def close_losers(answers: LightQueue, number: int) -> None:
    """Closes the bodies of the losers of a hedge as they come."""
    # The losers of a hedge may still bring a streamed body.
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
) -> float:
    """Takes an attempt off a task, and notes whether it may have run.

    Args:
        task: The call.
        call_id: The attempt.
        answer: Its answer; absent when it was cut off.
        started_s: When it was begun.
        clock: Monotonic seconds.

    Returns:
        How long it took, in seconds.
    """
    elapsed_s = clock() - started_s
    upstream = task.in_flight.pop(call_id, None)
    if upstream is not None and len(task.attempt_trail) < _TRAIL_LENGTH:
        task.attempt_trail.append(
            _describe_attempt(call_id, upstream, answer, elapsed_s)
        )
    if answer is None or answer.outcome not in _EXACT_OUTCOMES:
        task.may_have_run = True
    return elapsed_s


def _describe_attempt(
    call_id: str,
    upstream: Upstream,
    answer: Answer | None,
    elapsed_s: float,
) -> str:
    """Describes an attempt, with the load that its guard told."""
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
    """Returns the call of an attempt, as guards see it."""
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
    )


def is_unsent(answer: Answer) -> bool:
    """Says whether no byte of an attempt reached an upstream."""
    return answer.reason in _UNSENT_REASONS


def allow_guard_move(task: CallTask, answer: Answer) -> bool:
    """Says whether a call may go to another guard, and counts it."""
    if (
        answer.reason not in _GUARD_FULL_REASONS
        or task.guard_moves >= _MAX_GUARD_MOVES
    ):
        return False
    task.guard_moves += 1
    return True


def no_upstream_answer(task: CallTask, retry_after_s: float) -> Answer:
    """Refuses a call that no upstream is left for.

    Args:
        task: The call.
        retry_after_s: Time until an upstream may accept the call; 0 when
            there is none.
    """
    if not retry_after_s:
        return not_run('no-upstream')
    retry_after_ms = max(1, round(retry_after_s * MS_PER_S))
    task.attempt_trail.append(f'held off, all full for {retry_after_ms}ms')
    return not_run(OVERLOAD, retry_after_ms)
