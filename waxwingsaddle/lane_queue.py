"""Priority queue of the calls that wait for a slot of one lane."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from operator import attrgetter

from waxwingsaddle.call_class import Call

# Least run time of a call, as a share of the mean: with the usual spread of
# run times few calls end sooner.
_MIN_RUN_SHARE = 0.5

# Longest wait of a call, as a share of the time to its objective. A longer
# queue serves no more calls in time, and calls that are displaced from it have
# waited longer.
_MAX_WAIT_SHARE = 0.25
# A queue of at most this length is not cut to the longest wait: it is no sign
# of overload, and at an upstream with few slots a single call ahead already
# makes for a long wait.
_UNLIMITED_LENGTH = 2

_Order = tuple[bool, bool, int, float, float]
_order_of = attrgetter('order')
# Sorts before all late calls that no upstream made.
_LATE_ORDER = (True, True)


@dataclass(slots=True)
class QueueEntry:
    """A queued call and its position in the queue.

    Attributes:
        call: The call.
        timely_start_s: Latest start at which the call meets its objective.
        latest_start_s: Latest start at which it can end before its deadline.
        max_wait_s: Longest expected wait; with a longer one it is displaced.
        is_nested: Whether an upstream made the call while it served another.
        is_late: Whether the call misses its objective.
        arrival: Sequence number of its arrival.
        order: Sort key: nested calls first, late calls last, then the highest
            rank, then the end of the objective (the earliest first for nested
            calls, the latest first for others), then the arrival.
    """

    call: Call
    timely_start_s: float = inf
    latest_start_s: float = inf
    max_wait_s: float = inf
    is_nested: bool = False
    is_late: bool = False
    arrival: float = inf
    order: _Order = ()

    def update_order(self) -> _Order:
        """Recomputes the sort key and returns it."""
        call = self.call
        self.order = (
            not self.is_nested,
            self.is_late,
            -call.rank,
            call.due_s if self.is_nested else -call.due_s,
            self.arrival,
        )
        return self.order


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
        timely_start_s=call.due_s - run_s,
        latest_start_s=call.deadline_s - min_run_s,
        max_wait_s=inf if is_nested else (call.due_s - now_s) * _MAX_WAIT_SHARE,
        is_nested=is_nested,
    )


class LaneQueue:
    """Queued calls of one lane.

    Nested calls, which upstreams make while they serve other calls, go first.
    Calls that miss their objective go last: under overload, serving late calls
    first makes the next ones late, too. Among the others the highest rank goes
    first, and at equal rank the objective that ends last. With the earliest
    objective first, every call waits under overload until its objective can
    hardly be met, and a third is served late.

    Under overload the queue is long and is read several times for each answer.
    It is therefore searched by sort key and by identifier, and scanned only
    when a call has become late or has expired.
    """

    def __init__(self) -> None:
        self._waiting: list[QueueEntry] = []
        self._by_id: dict[str, QueueEntry] = {}
        self._arrivals = 0
        # Times before which no call becomes late or expires.
        self._next_late_s = inf
        self._next_expiry_s = inf

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[Call]:
        return (waiting.call for waiting in self._waiting)

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._by_id

    @property
    def has_timely(self) -> bool:
        """Whether a queued call can still meet its objective."""
        return bool(self._waiting) and not self._waiting[0].is_late

    def ahead_of(self, waiting: QueueEntry) -> int:
        """Returns the number of queued calls that go before this one."""
        return bisect_left(self._waiting, waiting.update_order(), key=_order_of)

    def push(self, waiting: QueueEntry) -> None:
        """Inserts a call at its position."""
        self._arrivals += 1
        waiting.arrival = self._arrivals
        self._insert(waiting)
        self._by_id[waiting.call.call_id] = waiting
        self._next_expiry_s = min(self._next_expiry_s, waiting.latest_start_s)
        if not waiting.is_late:
            self._next_late_s = min(self._next_late_s, waiting.timely_start_s)

    def demote_late(self, now_s: float) -> None:
        """Moves calls that now miss their objective to the end.

        Nested calls keep their position.
        """
        if now_s <= self._next_late_s:
            return
        timely = [
            waiting
            for waiting in self._waiting
            if not waiting.is_nested and not waiting.is_late
        ]
        late = [waiting for waiting in timely if waiting.timely_start_s < now_s]
        for demoted in late:
            self._waiting.remove(demoted)
            demoted.is_late = True
            self._insert(demoted)
        self._next_late_s = min(
            (
                waiting.timely_start_s
                for waiting in timely
                if not waiting.is_late
            ),
            default=inf,
        )

    def pop_expired(self, now_s: float) -> tuple[Call, ...]:
        """Removes and returns calls that can no longer end in time."""
        if now_s < self._next_expiry_s:
            return ()
        expired = [
            waiting
            for waiting in self._waiting
            if waiting.latest_start_s <= now_s
        ]
        for removed in expired:
            self.remove(removed.call.call_id)
        self._next_expiry_s = min(
            (waiting.latest_start_s for waiting in self._waiting),
            default=inf,
        )
        return tuple(waiting.call for waiting in expired)

    def pop_late(self) -> tuple[Call, ...]:
        """Removes and returns the calls that miss their objective."""
        first = bisect_left(self._waiting, _LATE_ORDER, key=_order_of)
        late = self._waiting[first:]
        for removed in late:
            self.remove(removed.call.call_id)
        return tuple(waiting.call for waiting in late)

    @property
    def max_wait_s(self) -> float:
        """Longest expected wait of the last call, in seconds."""
        last = self._waiting[-1]
        is_short = len(self._waiting) <= _UNLIMITED_LENGTH
        return inf if is_short or last.is_late else last.max_wait_s

    def pop_last(self) -> Call:
        """Removes and returns the call that would start last."""
        waiting = self._waiting.pop()
        self._by_id.pop(waiting.call.call_id)
        return waiting.call

    def first_unexpired(self, now_s: float) -> Call | None:
        """Returns the first call whose deadline has not passed, or None."""
        unexpired = (
            waiting.call
            for waiting in self._waiting
            if waiting.call.deadline_s > now_s
        )
        return next(unexpired, None)

    def remove(self, call_id: str) -> Call | None:
        """Removes and returns a call, or returns None if it is not queued."""
        waiting = self._by_id.pop(call_id, None)
        if waiting is None:
            return None
        index = bisect_left(self._waiting, waiting.order, key=_order_of)
        self._waiting.pop(index)
        return waiting.call

    def _insert(self, waiting: QueueEntry) -> None:
        waiting.update_order()
        insort(self._waiting, waiting, key=_order_of)
