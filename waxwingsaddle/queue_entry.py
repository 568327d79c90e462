"""Queued call of a guard and its position in the queue."""

from dataclasses import dataclass
from math import inf

from waxwingsaddle.account_shares import flow_of
from waxwingsaddle.call_class import Call

# Least run time of a call, as a share of the mean: with the usual spread of
# run times few calls end sooner.
_MIN_RUN_SHARE = 0.5

# Longest wait of a call, as a share of the time to its objective. A longer
# queue serves no more calls in time, and calls that are displaced from it have
# waited longer.
_MAX_WAIT_SHARE = 0.25
_Order = tuple[bool, bool, bool, int, float, float, float]


@dataclass(slots=True)
class QueueEntry:
    """A queued call and its position in the queue.

    Attributes:
        call: The call.
        flow: Its rank and account, within which calls share.
        timely_start_s: Latest start at which the call meets its objective.
        latest_start_s: Latest start at which it can end before its deadline.
        max_wait_s: Longest expected wait; with a longer one it is displaced.
        is_nested: Whether an upstream made the call while it served another.
        is_late: Whether the call misses its objective.
        is_favored: Whether the account of the call is served far less often
            than the others.
        run_s: Expected run time, in seconds.
        start_time: Virtual start time from the share of its account.
        arrival: Sequence number of its arrival.
        order: Sort key: nested calls first, late calls last, then favored
            ones, then the highest rank, then the virtual start time, then the
            end of the objective (the earliest first for nested calls, the
            latest first for others), then the arrival.
    """

    call: Call
    flow: tuple[int, str]
    timely_start_s: float = inf
    latest_start_s: float = inf
    max_wait_s: float = inf
    is_nested: bool = False
    is_late: bool = False
    is_favored: bool = False
    run_s: float = 0
    start_time: float = 0
    arrival: float = inf
    order: _Order = ()

    def update_order(self) -> _Order:
        """Recomputes the sort key and returns it."""
        call = self.call
        self.order = (
            not self.is_nested,
            self.is_late,
            not self.is_favored,
            -self.flow[0],
            self.start_time,
            call.due_s if self.is_nested else -call.due_s,
            self.arrival,
        )
        return self.order

    @property
    def order_in_flow(self) -> tuple[bool, float, float]:
        """Sort key among the calls of the same account and rank."""
        return self.is_late, -self.call.due_s, self.arrival


def queue_entry(
    call: Call,
    is_nested: bool,
    run_s: float,
    now_s: float,
) -> QueueEntry:
    """Returns the queue entry of a call.

    Args:
        call: The call.
        is_nested: Whether an upstream made the call while it served another.
        run_s: Expected run time of the call, in seconds.
        now_s: Monotonic time, in seconds.
    """
    min_run_s = run_s * _MIN_RUN_SHARE if call.due_s < inf else 0
    return QueueEntry(
        call,
        flow_of(call),
        timely_start_s=call.due_s - run_s,
        latest_start_s=call.deadline_s - min_run_s,
        max_wait_s=inf if is_nested else (call.due_s - now_s) * _MAX_WAIT_SHARE,
        is_nested=is_nested,
        run_s=run_s,
    )
