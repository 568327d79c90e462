"""Priority queue of the calls that wait for a slot of one lane."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from math import inf
from operator import attrgetter

from waxwingsaddle.account_shares import AccountShares
from waxwingsaddle.call_class import Call
from waxwingsaddle.queue_entry import QueueEntry

# A queue of at most this length is not cut to the longest wait: it is no sign
# of overload, and at an upstream with few slots a single call ahead already
# makes for a long wait.
_UNLIMITED_LENGTH = 2

_order_of = attrgetter('order')
# Sorts before all late calls that no upstream made.
_LATE_ORDER = (True, True)


class LaneQueue:
    """Queued calls of one lane.

    Nested calls, which upstreams make while they serve other calls, go first.
    Calls that miss their objective go last: under overload, serving late calls
    first makes the next ones late, too. Among the others the highest rank goes
    first, and at equal rank accounts share by their weights. Among the calls of
    one account, or of none, the objective that ends last goes first. With the
    earliest objective first, every call waits under overload until its
    objective can hardly be met, and a third is served late.

    Under overload the queue is long and is read several times for each answer.
    It is therefore searched by sort key and by identifier, and scanned only
    when a call has become late or has expired.
    """

    def __init__(self) -> None:
        self.shares = AccountShares()
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
        waiting.start_time = self._time_of(waiting)
        return bisect_left(self._waiting, waiting.update_order(), key=_order_of)

    def push(self, waiting: QueueEntry) -> None:
        """Inserts a call at its position."""
        self._arrivals += 1
        waiting.arrival = self._arrivals
        self._charge(waiting)
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
        call = self._waiting[-1].call
        self.remove(call.call_id)
        return call

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
        waiting = self._pop(call_id)
        if waiting is None:
            return None
        self._release(waiting, is_started=False)
        return waiting.call

    def start(self, call_id: str) -> Call:
        """Removes and returns a queued call that gets a slot."""
        waiting = self._pop(call_id)
        self._release(waiting, is_started=True)
        return waiting.call

    def _pop(self, call_id: str) -> QueueEntry | None:
        waiting = self._by_id.pop(call_id, None)
        if waiting is not None:
            index = bisect_left(self._waiting, waiting.order, key=_order_of)
            self._waiting.pop(index)
        return waiting

    def _peers_of(self, waiting: QueueEntry) -> list[QueueEntry]:
        """Returns the other queued calls of the same account and rank."""
        flow = waiting.flow
        return [
            other
            for other in self._waiting
            if other.flow == flow
            and other is not waiting
            and not other.is_nested
        ]

    def _time_of(self, waiting: QueueEntry) -> float:
        """Returns the virtual start time that a call would get."""
        if waiting.is_nested or not self.shares.is_active:
            return 0
        peers = self._peers_of(waiting)
        before = sum(
            peer.order_in_flow < waiting.order_in_flow for peer in peers
        )
        times = [peer.start_time for peer in peers]
        return sorted(
            (*times, self.shares.next_time(waiting.call, waiting.run_s))
        )[before]

    def _charge(self, waiting: QueueEntry) -> None:
        """Charges a call and orders it among those of its account."""
        if waiting.is_nested or not self.shares.is_active:
            return
        waiting.start_time = self.shares.next_time(waiting.call, waiting.run_s)
        self.shares.charge(waiting.call, waiting.run_s)
        peers = self._peers_of(waiting)
        times = [entry.start_time for entry in (waiting, *peers)]
        self._assign([waiting, *peers], sorted(times))

    def _release(self, waiting: QueueEntry, *, is_started: bool) -> None:
        """Gives the virtual start times of an account to its other calls.

        A call that starts uses up the earliest one; for one that leaves
        unserved, the latest one is taken back.
        """
        if waiting.is_nested or not self.shares.is_active:
            return
        peers = self._peers_of(waiting)
        times = sorted(entry.start_time for entry in (waiting, *peers))
        if is_started:
            self.shares.start(waiting.call, times.pop(0))
        else:
            self.shares.refund(waiting.call, times.pop())
        self._assign(peers, times)

    def _assign(self, entries: list[QueueEntry], times: list[float]) -> None:
        """Assigns ascending virtual start times in the order of calls."""
        entries.sort(key=attrgetter('order_in_flow'))
        for entry, start_time in zip(entries, times, strict=True):
            entry.start_time = start_time
            entry.update_order()
        self._waiting.sort(key=_order_of)

    def _insert(self, waiting: QueueEntry) -> None:
        waiting.update_order()
        insort(self._waiting, waiting, key=_order_of)
