"""Admission control of one upstream: slots, lanes and bounded queues."""

import random
from collections import Counter
from collections.abc import Callable
from itertools import chain
from math import inf

from waxwingsaddle.account_shares import ServedFloor
from waxwingsaddle.call_class import Call, Lane
from waxwingsaddle.call_origins import CallOrigins
from waxwingsaddle.concurrency_limit import ConcurrencyLimit
from waxwingsaddle.finished_calls import FinishedCalls
from waxwingsaddle.guard_decisions import (
    BUSY,
    OVERLOAD,
    Admitted,
    Duplicate,
    GuardPolicy,
    Load,
    Queued,
    Refused,
    refuse_with_hint,
)
from waxwingsaddle.lane_queue import LaneQueue
from waxwingsaddle.queue_entry import QueueEntry, queue_entry
from waxwingsaddle.run_times import RunTimes
from waxwingsaddle.upstream_speed import GuardSpeed
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

_PERCENT = 100
# Expected run time of a route without answers, as a share of the time to the
# objective. Operators set objectives at a few times the usual run time. With a
# much lower estimate, queues hold calls for seconds after a start under load.
_RUN_TIME_SHARE = 0.25


class Guard:
    """Admits, queues or refuses the calls to one upstream.

    Args:
        slots: Number of slots that the upstream announced.
        policy: Tunables.
        clock: Returns the monotonic time, in seconds.
        rng: Spreads the `Retry-After` hints.
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
            policy.initial_run_ms / MS_PER_S, policy.long_ratio
        )
        self._speed = GuardSpeed(clock)
        self._queues = {lane: LaneQueue() for lane in Lane}
        self._running: dict[str, Admitted] = {}
        self._active: Counter[Lane] = Counter()
        self._origins = CallOrigins()
        self._finished = FinishedCalls()
        self._floor = ServedFloor()
        self._is_draining = False

    def configure(
        self, slots: int, policy: GuardPolicy
    ) -> tuple[Admitted, ...]:
        """Applies a new slot count and tunables; running calls are kept.

        Returns:
            The queued calls that get a slot now.
        """
        self._policy = policy
        self._limit.resize(slots, policy.limit)
        self._times.long_ratio = policy.long_ratio
        return self._start_queued()

    def drain(self) -> None:
        """Refuses new calls from now on; queued and running calls go on."""
        self._is_draining = True

    def offer(self, call: Call) -> Admitted | Queued | Refused | Duplicate:
        """Admits, queues or refuses a call that has just arrived."""
        if self._is_known(call.call_id):
            return Duplicate(call)
        # Upstreams have no keys, so a call with an account is not nested.
        is_nested = (
            self._origins.observe(call.route, call.origin)
            and call.account is None
        )
        if self._is_draining:
            return Refused(call, 'draining', 0)
        lane = self._times.lane_of(call)
        now_s = self._clock()
        if call.deadline_s <= now_s:
            return Refused(call, 'deadline', 0)
        if call.due_s < inf:
            estimate_s = (call.due_s - now_s) * _RUN_TIME_SHARE
            self._times.record_estimate(call.route, lane, max(0, estimate_s))
        queue = self._queues[lane]
        has_slot = not queue and self._has_free_slot(lane)
        if call.may_spill and not has_slot:
            return Refused(call, BUSY, 0)
        queue.shares.observe(call.account)
        is_favored = self._floor.offer(call.account, now_s)
        run_s = self._times.expected_s(call.route)
        if has_slot:
            if not is_nested:
                queue.shares.admit(call, run_s)
            return self._admit(call, lane)
        entry = queue_entry(call, is_nested, run_s, now_s)
        entry.is_favored = is_favored
        return self._enqueue(entry, lane, now_s)

    def finish_call(
        self,
        call_id: str,
        outcome: Outcome,
        elapsed_s: float,
    ) -> tuple[Admitted, ...]:
        """Releases the slot of a call.

        Args:
            call_id: Identifier of the call; ignored unless it is running.
            outcome: How the call ended; only `RAN` updates the run times.
            elapsed_s: Time since the call was sent, in seconds.

        Returns:
            The queued calls to send now.
        """
        running = self._running.pop(call_id, None)
        if running is None:
            return ()
        self._active[running.lane] -= 1
        self._finished.add(running.call)
        if outcome is Outcome.RAN:
            route = running.call.route
            ratio = self._times.observe(route, running.lane, elapsed_s)
            self._limit.observe(ratio)
            self._speed.observe(route, elapsed_s)
        return self._start_queued()

    def cancel(self, call_id: str) -> bool:
        """Removes a call from its queue after its caller has gone.

        Returns:
            True if the call was queued, so it has not run. False if it is
            running or has ended: the caller of this method must abort the
            request and call `finish_call` with `CANCELLED`.
        """
        return any(
            queue.remove(call_id) is not None for queue in self._queues.values()
        )

    def expire(self) -> tuple[Refused, ...]:
        """Removes queued calls that expired or would wait too long.

        Call it regularly: expected waits grow while the upstream is slow.
        """
        now_s = self._clock()
        expired = [
            (lane, call)
            for lane, queue in self._queues.items()
            for call in queue.pop_expired(now_s)
        ]
        return (
            *(self._refuse(*pair, 'deadline') for pair in expired),
            *chain.from_iterable(map(self._refuse_late, Lane)),
            *chain.from_iterable(map(self._displace, Lane)),
        )

    def load(self, route: str = '') -> Load:
        """Returns the current load, which answers report to other nodes."""
        has_free_slot = self._has_free_slot(Lane.SHORT)
        short_queued = len(self._queues[Lane.SHORT])
        wait_s = 0 if has_free_slot else self._wait_s(Lane.SHORT, short_queued)
        return Load(
            in_flight=len(self._running),
            queued=sum(len(queue) for queue in self._queues.values()),
            limit=self._limit.current,
            wait_ms=round(wait_s * MS_PER_S),
            run_us=self._speed.run_us(route) if self._policy.is_learned else 0,
        )

    def _is_known(self, call_id: str) -> bool:
        if call_id in self._running or call_id in self._finished:
            return True
        return any(call_id in queue for queue in self._queues.values())

    def _enqueue(
        self,
        entry: QueueEntry,
        lane: Lane,
        now_s: float,
    ) -> Queued | Refused:
        call = entry.call
        queue = self._queues[lane]
        wait_s = self._wait_s(lane, queue.ahead_of(entry))
        is_late = now_s + wait_s > entry.timely_start_s
        if is_late and not entry.is_nested:
            if queue.has_timely:
                return self._refuse(lane, call, OVERLOAD)
            entry.is_late = True
            wait_s = self._wait_s(lane, len(queue))
        usable_s = call.deadline_s - now_s - self._times.expected_s(call.route)
        if wait_s > min(usable_s, self._max_wait_s(lane)):
            return self._refuse(lane, call, OVERLOAD)
        queue.push(entry)
        return Queued(call, wait_s * MS_PER_S, self._displace(lane))

    def _capacity(self, lane: Lane) -> int:
        limit = self._limit.current
        if lane is Lane.SHORT:
            return max(1, limit - self._active[Lane.LONG])
        return max(1, limit * self._policy.long_slots_percent // _PERCENT)

    def _has_free_slot(self, lane: Lane, ahead: int = 0) -> bool:
        if len(self._running) >= self._limit.current + ahead:
            return False
        return lane is Lane.SHORT or self._active[lane] < self._capacity(lane)

    def _wait_s(self, lane: Lane, ahead: int) -> float:
        return (ahead + 1) * self._times.mean_s(lane) / self._capacity(lane)

    def _max_wait_s(self, lane: Lane) -> float:
        max_wait_s = self._policy.queue_wait_ms / MS_PER_S
        if lane is Lane.LONG:
            return max(max_wait_s, 2 * self._times.mean_s(lane))
        return max_wait_s

    def _admit(self, call: Call, lane: Lane) -> Admitted:
        admitted = Admitted(call, lane)
        self._running[call.call_id] = admitted
        self._active[lane] += 1
        self._floor.start(call.account)
        return admitted

    def _refuse_late(self, lane: Lane) -> tuple[Refused, ...]:
        """Refuses calls past their objective while timely calls wait.

        Each free slot goes to a timely call, so the late ones would wait until
        their deadline.
        """
        queue = self._queues[lane]
        if not queue.has_timely:
            return ()
        late = queue.pop_late()
        return tuple(self._refuse(lane, call, OVERLOAD) for call in late)

    def _displace(self, lane: Lane) -> tuple[Refused, ...]:
        """Refuses the last calls of a queue whose expected wait is too long."""
        queue = self._queues[lane]
        displaced = []
        while queue and self._is_too_long(lane, queue):
            call = queue.pop_last()
            displaced.append(self._refuse(lane, call, 'displaced'))
        return tuple(displaced)

    def _is_too_long(self, lane: Lane, queue: LaneQueue) -> bool:
        wait_s = self._wait_s(lane, len(queue) - 1)
        return wait_s > min(self._max_wait_s(lane), queue.max_wait_s)

    def _refuse(self, lane: Lane, call: Call, reason: str) -> Refused:
        wait_s = self._wait_s(lane, len(self._queues[lane]))
        return refuse_with_hint(call, reason, wait_s, self._rng)

    def _start_queued(self) -> tuple[Admitted, ...]:
        started = []
        while True:
            admitted = self._admit_next()
            if admitted is None:
                return tuple(started)
            started.append(admitted)

    def _admit_next(self) -> Admitted | None:
        now_s = self._clock()
        for queued in self._queues.values():
            queued.demote_late(now_s)
        ahead = self._policy.calls_ahead(self._limit.current)
        eligible = {
            lane: call
            for lane, queue in self._queues.items()
            if self._has_free_slot(lane, ahead)
            and (call := queue.first_unexpired(now_s)) is not None
        }
        if not eligible:
            return None
        # At equal rank short calls go first, unless no long call is running:
        # one slot is always open to long calls so that they are not starved.
        first = Lane.SHORT if self._active[Lane.LONG] else Lane.LONG
        lane = max(eligible, key=lambda key: (eligible[key].rank, key is first))
        call = self._queues[lane].start(eligible[lane].call_id)
        return self._admit(call, lane)
