"""Tasks that run at an interval, each in a green thread of its own."""

from collections.abc import Callable

from eventlet import greenthread

from waxwingsaddle import logs
from waxwingsaddle.util.clock import MS_PER_S, monotonic_ms


def repeat_task(interval_ms: int, task: Callable[[int], None]) -> None:
    """Runs a task forever at an interval.

    Args:
        interval_ms: Pause after each run, in milliseconds.
        task: Called with the milliseconds by which the run is late.
    """
    late_ms = 0
    while True:
        try:
            task(late_ms)
        except Exception:
            # An error in one round must not end the periodic task.
            logs.logger().exception('periodic task failed')
        due_ms = monotonic_ms() + interval_ms
        greenthread.sleep(interval_ms / MS_PER_S)
        late_ms = monotonic_ms() - due_ms
