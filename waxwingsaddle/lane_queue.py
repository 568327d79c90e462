"""Queue of the calls that wait for a slot of one lane."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf
from operator import attrgetter

from waxwingsaddle.call_class import Call

# Half of the mean: with the usual spread of run times few calls end sooner.
_LEAST_RUN_SHARE = 0.5

# Share of the time to its objective that a call may have to wait. A longer
# queue serves no more calls in time, and those that leave it unserved have
# waited longer.
_WAIT_SHARE = 0.25
# A queue of so few calls is no sign of overload. Upstreams with few slots need
# it, because one call ahead makes a long wait there.
_SHORT_QUEUE = 2

_Order = tuple[bool, bool, int, float, float]
_by_order = attrgetter('order')
# Begin of the order of calls that no upstream made and that are late.
_FIRST_LATE = (True, True)


@dataclass(slots=True)
class Waiting:
    """A queued call and its place.

    Attributes:
        call: The call.
        timely_start_s: Latest start within its objective.
        last_start_s: Latest start that is worth a send.
        longest_wait_s: Longest expected wait with which it stays queued.
        is_inner: Whether an upstream made it.
        is_late: Whether it misses its objective.
        arrival: Number of its arrival.
        order: Whether no upstream made it, whether it is late, its rank, the
            end of its objective (the last one first), and its arrival.
    """

    call: Call
    timely_start_s: float = inf
    last_start_s: float = inf
    longest_wait_s: float = inf
    is_inner: bool = False
    is_late: bool = False
    arrival: float = inf
    order: _Order = ()

    def place(self) -> _Order:
        """Sets the place in the queue and returns it."""
        call = self.call
        self.order = (
            not self.is_inner,
            self.is_late,
            -call.rank,
            call.due_s if self.is_inner else -call.due_s,
            self.arrival,
        )
        return self.order


def waiting_for(
    call: Call,
    is_inner: bool,
    run_s: float,
    now_s: float,
) -> Waiting:
    """Returns the place of a call.

    Args:
        call: The call.
        is_inner: Whether an upstream made it.
        run_s: Its expected run time, in seconds.
        now_s: Monotonic seconds.
    """
    least_run_s = run_s * _LEAST_RUN_SHARE if call.due_s < inf else 0
    return Waiting(
        call,
        timely_start_s=call.due_s - run_s,
        last_start_s=call.deadline_s - least_run_s,
        longest_wait_s=inf if is_inner else (call.due_s - now_s) * _WAIT_SHARE,
        is_inner=is_inner,
    )


class LaneQueue:
    """Queued calls of one lane.

    Calls that upstreams make while they work go first. Calls that are too
    late for their objective stand behind all others: in overload, slots that
    serve late calls first make the next ones late, too. Then the highest rank
    goes first, and of equal ranks the objective that ends last. With the one
    that ends first, every call waits under overload until its objective hardly
    fits, and a third is served late.

    Under overload the queue is long and each answer asks it several times, so
    that it is searched by place and by identifier, and read as a whole only
    when the time of a call has come.
    """

    def __init__(self) -> None:
        self._waiting: list[Waiting] = []
        self._by_id: dict[str, Waiting] = {}
        self._arrivals = 0
        # No call becomes late, or expires, before these.
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
        """Whether a call waits that can still meet its objective."""
        return bool(self._waiting) and not self._waiting[0].is_late

    def ahead_of(self, waiting: Waiting) -> int:
        """Returns how many queued calls would start before this one."""
        return bisect_left(self._waiting, waiting.place(), key=_by_order)

    def push(self, waiting: Waiting) -> None:
        """Queues a call behind all that go before it."""
        self._arrivals += 1
        waiting.arrival = self._arrivals
        self._insert(waiting)
        self._by_id[waiting.call.call_id] = waiting
        self._next_expiry_s = min(self._next_expiry_s, waiting.last_start_s)
        if not waiting.is_late:
            self._next_late_s = min(self._next_late_s, waiting.timely_start_s)

    def demote(self, now_s: float) -> None:
        """Puts the calls of callers that became late behind all others."""
        if now_s <= self._next_late_s:
            return
        timely = [
            one for one in self._waiting if not one.is_inner and not one.is_late
        ]
        late = [one for one in timely if one.timely_start_s < now_s]
        for demoted in late:
            self._waiting.remove(demoted)
            demoted.is_late = True
            self._insert(demoted)
        self._next_late_s = min(
            (one.timely_start_s for one in timely if not one.is_late),
            default=inf,
        )

    def take_expired(self, now_s: float) -> tuple[Call, ...]:
        """Takes out the calls that are not worth a send any more."""
        if now_s < self._next_expiry_s:
            return ()
        expired = [one for one in self._waiting if one.last_start_s <= now_s]
        for gone in expired:
            self.remove(gone.call.call_id)
        self._next_expiry_s = min(
            (one.last_start_s for one in self._waiting),
            default=inf,
        )
        return tuple(one.call for one in expired)

    def take_late(self) -> tuple[Call, ...]:
        """Takes out the calls that miss their objective."""
        first = bisect_left(self._waiting, _FIRST_LATE, key=_by_order)
        late = self._waiting[first:]
        for gone in late:
            self.remove(gone.call.call_id)
        return tuple(one.call for one in late)

    @property
    def longest_wait_s(self) -> float:
        """Longest expected wait with which the last call stays queued."""
        last = self._waiting[-1]
        is_short = len(self._waiting) <= _SHORT_QUEUE
        return inf if is_short or last.is_late else last.longest_wait_s

    def pop_last(self) -> Call:
        """Takes the call that would start last."""
        waiting = self._waiting.pop()
        self._by_id.pop(waiting.call.call_id)
        return waiting.call

    def first_alive(self, now_s: float) -> Call | None:
        """Returns the call to start next, passing over expired ones."""
        alive = (
            waiting.call
            for waiting in self._waiting
            if waiting.call.deadline_s > now_s
        )
        return next(alive, None)

    def remove(self, call_id: str) -> Call | None:
        """Takes a call out of the queue, or returns None if it is absent."""
        waiting = self._by_id.pop(call_id, None)
        if waiting is None:
            return None
        index = bisect_left(self._waiting, waiting.order, key=_by_order)
        self._waiting.pop(index)
        return waiting.call

    def _insert(self, waiting: Waiting) -> None:
        waiting.place()
        insort(self._waiting, waiting, key=_by_order)
