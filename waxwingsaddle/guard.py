"""Guard of one upstream: slots, lanes, a bounded queue and early refusal."""

import random
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain
from math import inf

from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.call_origins import CallOrigins
from waxwingsaddle.concurrency_limit import ConcurrencyLimit
from waxwingsaddle.guard_decisions import (
    BUSY,
    OVERLOAD,
    Admitted,
    Duplicate,
    GuardPolicy,
    Load,
    Queued,
    Refused,
    refused_after,
)
from waxwingsaddle.lane_queue import LaneQueue, Waiting, waiting_for
from waxwingsaddle.run_times import RunTimes
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

_PERCENT = 100
# Share of an objective that a call of a route without answers is expected to
# run: operators set objectives at a few times the usual run time. With a far
# lower guess, the queues of a start under load hold calls for seconds.
_GUESS_SHARE = 0.25
# Most finished call identifiers remembered, about 250 bytes each.
_FINISHED_KEPT = 2000


@dataclass(slots=True)
class _Running:
    call: Call
    lane: Lane


class Guard:
    """Decides which calls an upstream gets, and when.

    Args:
        slots: Slots that the upstream announced.
        policy: Tunables.
        clock: Monotonic seconds.
        rng: Spreads the retry hints.
    """

    def __init__(
        self,
        slots: int,
        policy: GuardPolicy,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._limit = ConcurrencyLimit(slots, policy.limit)
        self._times = RunTimes(
            policy.initial_run_ms / MS_PER_S,
            policy.long_ratio,
        )
        self._queues = {lane: LaneQueue() for lane in Lane}
        self._running: dict[str, _Running] = {}
        self._held: Counter[Lane] = Counter()
        self._origins = CallOrigins()
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._is_draining = False

    def configure(
        self,
        slots: int,
        policy: GuardPolicy,
    ) -> tuple[Admitted, ...]:
        """Adopts new slots or tunables; running calls are not touched.

        Returns:
            The queued calls that have a slot now.
        """
        self._policy = policy
        self._limit.resize(slots, policy.limit)
        self._times.long_ratio = policy.long_ratio
        return self._start_queued()

    def drain(self) -> None:
        """Refuses calls from now on; queued and running ones go on."""
        self._is_draining = True

    def offer(self, call: Call) -> Admitted | Queued | Refused | Duplicate:
        """Decides on a call that just arrived."""
        if self._knows(call.call_id):
            return Duplicate(call)
        is_inner = self._origins.observe(call.route, call.origin)
        if self._is_draining:
            return Refused(call, 'draining', 0)
        lane = self._times.lane_of(call)
        now_s = self._clock()
        left_s = call.deadline_s - now_s
        if left_s <= 0:
            return Refused(call, 'deadline', 0)
        if call.due_s < inf:
            guess_s = (call.due_s - now_s) * _GUESS_SHARE
            self._times.expect(call.route, lane, max(0, guess_s))
        if not self._queues[lane] and self._has_room(lane):
            return self._admit(call, lane)
        if call.may_spill:
            return Refused(call, BUSY, 0)
        run_s = self._times.expected_s(call.route)
        waiting = waiting_for(call, is_inner, run_s, now_s)
        return self._queue(waiting, lane, now_s)

    def finish_call(
        self,
        call_id: str,
        outcome: Outcome,
        took_s: float,
    ) -> tuple[Admitted, ...]:
        """Takes back the slot of a call.

        Args:
            call_id: Identifier of a running call; others are passed over.
            outcome: How it ended; only run times of `RAN` are learned from.
            took_s: Time since it was handed over, in seconds.

        Returns:
            The queued calls to hand over now.
        """
        running = self._running.pop(call_id, None)
        if running is None:
            return ()
        self._held[running.lane] -= 1
        self._remember(running.call)
        if outcome is Outcome.RAN:
            route = running.call.route
            ratio = self._times.observe(route, running.lane, took_s)
            self._limit.observe(ratio)
        return self._start_queued()

    def cancel(self, call_id: str) -> bool:
        """Withdraws a call that nobody waits for.

        Returns:
            True if it was queued and is gone, so it did not run. False if it
            runs or has ended: abort the request to the upstream and report
            `finish_call` with `CANCELLED`.
        """
        return any(
            queue.remove(call_id) is not None for queue in self._queues.values()
        )

    def expire(self) -> tuple[Refused, ...]:
        """Takes out queued calls that are late or too many; call it often.

        They are too many when the upstream has slowed since they came.
        """
        now_s = self._clock()
        expired = [
            (lane, call)
            for lane, queue in self._queues.items()
            for call in queue.take_expired(now_s)
        ]
        return (
            *(self._refused(*pair, 'deadline') for pair in expired),
            *chain.from_iterable(map(self._given_up, Lane)),
            *chain.from_iterable(map(self._displaced, Lane)),
        )

    def load(self) -> Load:
        """Returns the load to carry on answers."""
        has_room = self._has_room(Lane.SHORT)
        short_queued = len(self._queues[Lane.SHORT])
        wait_s = 0 if has_room else self._wait_s(Lane.SHORT, short_queued)
        return Load(
            in_flight=len(self._running),
            queued=sum(len(queue) for queue in self._queues.values()),
            limit=self._limit.current,
            wait_ms=round(wait_s * MS_PER_S),
        )

    def _knows(self, call_id: str) -> bool:
        if call_id in self._running or call_id in self._finished:
            return True
        return any(call_id in queue for queue in self._queues.values())

    def _queue(
        self,
        waiting: Waiting,
        lane: Lane,
        now_s: float,
    ) -> Queued | Refused:
        call = waiting.call
        queue = self._queues[lane]
        wait_s = self._wait_s(lane, queue.ahead_of(waiting))
        is_late = now_s + wait_s > waiting.timely_start_s
        if is_late and not waiting.is_inner:
            if queue.has_timely:
                return self._refused(lane, call, OVERLOAD)
            waiting.is_late = True
            wait_s = self._wait_s(lane, len(queue))
        usable_s = call.deadline_s - now_s - self._times.expected_s(call.route)
        if wait_s > min(usable_s, self._bound_s(lane)):
            return self._refused(lane, call, OVERLOAD)
        queue.push(waiting)
        return Queued(call, wait_s * MS_PER_S, self._displaced(lane))

    def _remember(self, call: Call) -> None:
        if call.is_idempotent:
            return
        self._finished[call.call_id] = None
        if len(self._finished) > _FINISHED_KEPT:
            self._finished.popitem(last=False)

    def _capacity(self, lane: Lane) -> int:
        limit = self._limit.current
        if lane is Lane.SHORT:
            return max(1, limit - self._held[Lane.LONG])
        return max(1, limit * self._policy.long_slots_percent // _PERCENT)

    def _has_room(self, lane: Lane, ahead: int = 0) -> bool:
        if len(self._running) >= self._limit.current + ahead:
            return False
        return lane is Lane.SHORT or self._held[lane] < self._capacity(lane)

    def _wait_s(self, lane: Lane, ahead: int) -> float:
        return (ahead + 1) * self._times.lane_s(lane) / self._capacity(lane)

    def _bound_s(self, lane: Lane) -> float:
        bound_s = self._policy.queue_wait_ms / MS_PER_S
        if lane is Lane.LONG:
            return max(bound_s, 2 * self._times.lane_s(lane))
        return bound_s

    def _admit(self, call: Call, lane: Lane) -> Admitted:
        self._running[call.call_id] = _Running(call, lane)
        self._held[lane] += 1
        return Admitted(call, lane)

    def _given_up(self, lane: Lane) -> tuple[Refused, ...]:
        """Refuses late calls while timely ones wait.

        They would wait until their deadline, since each slot that gets free
        goes to a timely one.
        """
        queue = self._queues[lane]
        if not queue.has_timely:
            return ()
        late = queue.take_late()
        return tuple(self._refused(lane, call, OVERLOAD) for call in late)

    def _displaced(self, lane: Lane) -> tuple[Refused, ...]:
        """Sheds the calls of lowest rank that would wait too long."""
        queue = self._queues[lane]
        displaced = []
        while queue and self._is_too_long(lane, queue):
            loser = queue.pop_last()
            displaced.append(self._refused(lane, loser, 'displaced'))
        return tuple(displaced)

    def _is_too_long(self, lane: Lane, queue: LaneQueue) -> bool:
        wait_s = self._wait_s(lane, len(queue) - 1)
        return wait_s > min(self._bound_s(lane), queue.longest_wait_s)

    def _refused(self, lane: Lane, call: Call, reason: str) -> Refused:
        wait_s = self._wait_s(lane, len(self._queues[lane]))
        return refused_after(call, reason, wait_s, self._rng)

    def _start_queued(self) -> tuple[Admitted, ...]:
        started = []
        while True:
            following = self._next()
            if following is None:
                return tuple(started)
            started.append(following)

    def _next(self) -> Admitted | None:
        now_s = self._clock()
        for queued in self._queues.values():
            queued.demote(now_s)
        ahead = self._policy.calls_ahead(self._limit.current)
        heads = {
            lane: call
            for lane, queue in self._queues.items()
            if self._has_room(lane, ahead)
            and (call := queue.first_alive(now_s)) is not None
        }
        if not heads:
            return None
        # Of equal rank, short work goes first, but long work always gets one
        # slot so that it is not starved.
        first = Lane.SHORT if self._held[Lane.LONG] else Lane.LONG
        lane = max(heads, key=lambda key: (heads[key].rank, key is first))
        self._queues[lane].remove(heads[lane].call_id)
        return self._admit(heads[lane], lane)
