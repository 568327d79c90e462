"""Log lines about upstreams: what their guards decide and nodes believe."""

from collections.abc import Callable

from waxwingsaddle import logs, metrics
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstream_keys import Upstream
from waxwingsaddle.util.bucket import TokenBucket
from waxwingsaddle.util.clock import MS_PER_S

# A line takes 0.1 ms of processor time, so that these stay under 0.2% of a
# core beside those of callers.
LINES_PER_S = 20
_BURST = 40

_left_out = metrics.counter(
    'waxwing_guard_lines_left_out',
    'Calls that did not run, without a log line at the guard.',
)


class GuardLog:
    """Logs the calls that a guard refused, or whose run it does not know.

    Served calls have their line at the node of their caller.

    Args:
        clock: Monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._bucket = TokenBucket(LINES_PER_S, _BURST, clock)
        self._left_out = 0

    def ended(
        self,
        call: Call,
        request_id: str,
        upstream: str,
        answer: Answer,
        begun_s: float,
    ) -> None:
        """Logs one call that did not run, or may not have.

        Args:
            call: The call.
            request_id: Identifier that its caller gave; empty without one.
            upstream: Name of the upstream.
            answer: How it ended, with the load at that time.
            begun_s: When the guard got it.
        """
        if not self._bucket.take():
            self._left_out += 1
            _left_out.inc()
            return
        left_out = self._left_out
        self._left_out = 0
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
            took_ms=round((now_s - begun_s) * MS_PER_S, 1),
            deadline_ms=round((call.deadline_s - begun_s) * MS_PER_S),
            retry_after_ms=answer.retry_after_ms,
            in_flight=load.in_flight if load else None,
            limit=load.limit if load else None,
            queued=load.queued if load else None,
            wait_ms=load.wait_ms if load else None,
            lines_left_out=left_out,
        )


def log_ejection_change(
    upstream: Upstream, ended: AttemptResult, is_ejected: bool
) -> None:
    """Logs that a node stops, or begins again, to choose an upstream.

    Args:
        upstream: The upstream.
        ended: The attempt that decided.
        is_ejected: Whether it is left out from now on.
    """
    logs.logger().info(
        'upstream ejected' if is_ejected else 'upstream returned',
        upstream=upstream.name,
        upstream_host=upstream.host,
        service=upstream.service,
        evidence=ended.evidence.value,
        took_ms=round(ended.elapsed_s * MS_PER_S, 1),
    )
