"""Calls of callers that run on this node, which a stop cuts off at its end."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

from eventlet import greenthread
from greenlet import getcurrent, greenlet

from waxwingsaddle import logs, metrics
from waxwingsaddle.calls import Answer
from waxwingsaddle.finalized_stream import FinalizedStream
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.stop_schedule import StoppingError, StopSchedule
from waxwingsaddle.tasks import CallTask
from waxwingsaddle.util.clock import MS_PER_S

_cut_off = metrics.counter(
    'waxwing_calls_cut_off',
    'Calls of callers that were not answered when the node stopped.',
)


@dataclass(frozen=True, slots=True, eq=False)
class _RunningCall:
    """A call that is not answered yet.

    Attributes:
        task: The call.
        arrived_s: Monotonic time at which its head was read, in seconds.
        request_id: Identifier that its caller gave; empty without one.
    """

    task: CallTask
    arrived_s: float
    request_id: str


class RunningCalls:
    """Keeps the calls of callers from their head to the end of their answer.

    Args:
        stop_schedule: Times of the stop of the node.
        cancel: Cancels all attempts of a call.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        stop_schedule: Times of the stop of the node.
    """

    def __init__(
        self,
        stop_schedule: StopSchedule,
        cancel: Callable[[CallTask], None],
        clock: Callable[[], float],
    ) -> None:
        self.stop_schedule = stop_schedule
        self._cancel = cancel
        self._clock = clock
        self._calls: set[_RunningCall] = set()
        self._readers: dict[greenlet, RequestHead] = {}

    @contextmanager
    def reading(self, head: RequestHead) -> Iterator[None]:
        """Counts a call as running while the current green thread reads it.

        Args:
            head: Head of its request.

        Raises:
            StoppingError: The stop ended before that.
        """
        reader = getcurrent()
        self._readers[reader] = head
        try:
            yield
        finally:
            del self._readers[reader]

    def run(
        self,
        task: CallTask,
        arrived_s: float,
        request_id: str,
        run: Callable[[], Answer],
    ) -> Answer:
        """Runs a call, which counts as running until its answer has ended.

        Args:
            task: The call.
            arrived_s: Monotonic time at which its head was read, in seconds.
            request_id: Identifier that its caller gave; empty without one.
            run: Runs the call; blocks the current green thread.

        Returns:
            The answer; the caller must close its `stream`.
        """
        running = _RunningCall(task, arrived_s, request_id)
        self._calls.add(running)
        answer = None
        try:
            answer = run()
        finally:
            if answer is None or answer.stream is None:
                self._calls.discard(running)
        if answer.stream is not None:
            answer.stream = FinalizedStream(
                answer.stream, partial(self._calls.discard, running)
            )
        return answer

    def cut_off(self) -> int:
        """Cancels and logs all calls, because the stop has ended.

        Their callers get an answer that says what is known: that the call has
        not run, or that it may have.

        Returns:
            The number of these calls.
        """
        now_s = self._clock()
        cut = tuple(self._calls)
        for running in cut:
            _cut_off.inc()
            task = running.task
            logs.logger().warning(
                'call cut off',
                request_id=running.request_id,
                target=task.request.target.partition('?')[0],
                route=task.match.name,
                deadline_ms=round(
                    (task.deadline_s - running.arrived_s) * MS_PER_S
                ),
                took_ms=round((now_s - running.arrived_s) * MS_PER_S, 1),
                stopping_ms=self.stop_schedule.stopping_ms(running.arrived_s),
                attempts=task.attempt_trail,
                in_flight=len(task.in_flight),
            )
            self._cancel(task)
        return len(cut) + self._end_reading()

    def _end_reading(self) -> int:
        readers = tuple(self._readers)
        for reader in readers:
            head = self._readers.get(reader)
            if head is not None:
                _cut_off.inc()
                logs.logger().warning('body cut off', target=head.path)
                greenthread.kill(reader, StoppingError())
        return len(readers)
