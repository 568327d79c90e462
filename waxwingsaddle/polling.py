"""Polling of conditions that no event announces, such as a new leader."""

from collections.abc import Callable

from eventlet import greenthread

from waxwingsaddle.util.clock import monotonic_s

POLL_INTERVAL_S = 0.02


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Polls a condition in this green thread.

    Args:
        condition: The condition.
        timeout_s: Seconds after which to give up.

    Returns:
        Whether the condition became true in time.
    """
    deadline_s = monotonic_s() + timeout_s
    while not condition():
        if monotonic_s() >= deadline_s:
            return False
        greenthread.sleep(POLL_INTERVAL_S)
    return True
