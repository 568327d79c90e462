"""Log lines about calls without an answer and ejections of upstreams."""

from collections.abc import Callable

from waxwingsaddle import logs, metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstream_keys import Upstream
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.token_bucket import TokenBucket

# A line takes 0.1 ms of processor time, so at this rate the log takes at most
# 0.2% of a core, besides the lines about callers' requests.
MAX_LINES_PER_S = 20
_BURST = 40

_suppressed_counter = metrics.counter(
    'waxwing_guard_lines_left_out',
    'Calls that did not run, without a log line at the guard.',
)


class GuardLog:
    """Logs calls that were refused or whose outcome is unknown.

    Calls that ran are logged by the node of their caller.

    Args:
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._bucket = TokenBucket(MAX_LINES_PER_S, _BURST, clock)
        self._suppressed = 0

    def log_unserved(
        self,
        call: Call,
        request_id: str,
        upstream: str,
        answer: Answer,
        started_s: float,
    ) -> None:
        """Logs a call that did not run, or may not have run.

        Lines beyond the rate limit are counted instead.

        Args:
            call: The call.
            request_id: Request identifier of the caller; empty without one.
            upstream: Name of the upstream.
            answer: The answer, with the load of the upstream.
            started_s: When the call reached the guard, on the clock of the log.
        """
        if not self._bucket.acquire():
            self._suppressed += 1
            _suppressed_counter.inc()
            return
        suppressed = self._suppressed
        self._suppressed = 0
        now_s = self._clock()
        load = answer.load
        logs.logger().info(
            'guard',
            request_id=request_id,
            attempt=call.call_id,
            upstream=upstream,
            route=call.route,
            outcome=answer.outcome.value,
            reason=answer.reason,
            took_ms=round((now_s - started_s) * MS_PER_S, 1),
            deadline_ms=round((call.deadline_s - started_s) * MS_PER_S),
            retry_after_ms=answer.retry_after_ms,
            in_flight=load.in_flight if load else None,
            limit=load.limit if load else None,
            queued=load.queued if load else None,
            wait_ms=load.wait_ms if load else None,
            lines_left_out=suppressed,
            **({'account': call.account.name} if call.account else {}),
        )


def log_ejection_change(
    upstream: Upstream, ended: AttemptResult, is_ejected: bool
) -> None:
    """Logs that this node ejects an upstream or uses it again.

    Args:
        upstream: The upstream.
        ended: The attempt that caused the change.
        is_ejected: Whether the upstream is ejected from now on.
    """
    logs.logger().info(
        'upstream ejected' if is_ejected else 'upstream returned',
        upstream=upstream.name,
        upstream_host=upstream.host,
        service=upstream.service,
        evidence=ended.evidence.value,
        took_ms=round(ended.elapsed_s * MS_PER_S, 1),
    )
