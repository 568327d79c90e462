"""Rate-limited log lines about calls, with priority for failed calls.

A line contains the outcome of a call of a caller and what led to it: its route
and version, the upstreams that it was sent to with the outcome of each attempt,
and its duration.
"""

from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle import logs, metrics
from waxwingsaddle.calls import Answer
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.stop_schedule import StopSchedule
from waxwingsaddle.tasks import CallTask
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome
from waxwingsaddle.util.token_bucket import TokenBucket

# A line takes 0.1 ms of processor time, so this rate stays under 1% of a core.
LINES_PER_S = 50
_BURST = 100
# Tokens of the bucket that only refused and failed calls may use.
_TOKENS_FOR_FAILED = 80
_MIN_FAILED_STATUS = 500

_left_out = metrics.counter(
    'waxwing_request_lines_left_out',
    'Calls without a log line, because there were too many.',
    ('outcome',),
)


@dataclass(slots=True)
class RequestLog:
    """Logs the outcome of calls, within a rate limit.

    Attributes:
        clock: Returns monotonic seconds.
        request_id_key: Name of the header with the request identifier, in
            lower case.
        stop_schedule: Knows when the stop of the node began.
    """

    clock: Callable[[], float]
    request_id_key: str
    stop_schedule: StopSchedule
    _bucket: TokenBucket | None = None
    _left_out: int = 0

    def log_call(
        self,
        head: RequestHead,
        task: CallTask | None,
        answer: Answer,
        started_s: float,
    ) -> None:
        """Logs one call, or counts it if the rate limit is reached.

        Args:
            head: Head of the request.
            task: The call; `None` if it was refused before it had a route.
            answer: Answer to the call.
            started_s: Monotonic time when the request was read, in seconds.
        """
        if not self._is_within_limit(answer):
            self._left_out += 1
            _left_out.labels(answer.outcome.value).inc()
            return
        left_out = self._left_out
        self._left_out = 0
        logs.logger().info(
            'call',
            request_id=head.fields.get(self.request_id_key, ''),
            target=head.path,
            outcome=answer.outcome.value,
            reason=answer.reason,
            status=answer.status,
            took_ms=round((self.clock() - started_s) * MS_PER_S, 1),
            retry_after_ms=answer.retry_after_ms,
            lines_left_out=left_out,
            **self._stop_fields(started_s),
            **({} if task is None else _task_fields(task, started_s)),
        )

    def _stop_fields(self, started_s: float) -> dict[str, object]:
        stopping_ms = self.stop_schedule.stopping_ms(started_s)
        return {} if stopping_ms is None else {'stopping_ms': stopping_ms}

    def _is_within_limit(self, answer: Answer) -> bool:
        if self._bucket is None:
            self._bucket = TokenBucket(LINES_PER_S, _BURST, self.clock)
        is_served = (
            answer.outcome is Outcome.RAN and answer.status < _MIN_FAILED_STATUS
        )
        if is_served and self._bucket.wait_s(_TOKENS_FOR_FAILED):
            return False
        return self._bucket.acquire()


def _task_fields(task: CallTask, started_s: float) -> dict[str, object]:
    return {
        'route': task.match.name,
        'service': task.match.route.service,
        'version': task.version,
        'deadline_ms': round((task.deadline_s - started_s) * MS_PER_S),
        'attempts': task.attempt_trail,
        'cancelled': task.is_cancelled,
        **({'account': task.account.name} if task.account else {}),
    }
