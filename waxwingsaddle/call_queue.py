"""Queue of the unanswered calls of a connection with HTTP pipelining."""

from collections import deque

from waxwingsaddle.pipelined_call import PipelinedCall
from waxwingsaddle.util.wake_flag import WakeFlag

# Reading pauses while this many calls of a connection are unanswered. Callers
# usually have far fewer in flight.
_MAX_PENDING_CALLS = 32
# Waits check their condition at least this often.
_CHECK_INTERVAL_S = 10


class CallQueue:
    """Calls of a connection, in the order in which they were read."""

    def __init__(self) -> None:
        self._calls: deque[PipelinedCall] = deque()
        self._changed = WakeFlag()

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, call: PipelinedCall) -> bool:
        return call in self._calls

    def append(self, call: PipelinedCall) -> None:
        """Adds the call that was read last."""
        self._calls.append(call)

    def due(self) -> PipelinedCall | None:
        """Returns the call to be answered next, if it has an answer."""
        if self._calls and self._calls[0].answer is not None:
            return self._calls[0]
        return None

    def pop(self) -> None:
        """Removes the first call, unless the queue was cleared before."""
        if self._calls:
            self._calls.popleft()
        self._changed.set()

    def clear(self) -> tuple[PipelinedCall, ...]:
        """Removes and returns all calls."""
        calls = tuple(self._calls)
        self._calls.clear()
        self._changed.set()
        return calls

    def wait_for_room(self) -> None:
        """Waits until another call may be read."""
        while len(self._calls) >= _MAX_PENDING_CALLS:
            self._wait_for_change()

    def wait_until_empty(self) -> None:
        """Waits until all calls are answered."""
        while self._calls:
            self._wait_for_change()

    def wait_until_first(self, call: PipelinedCall) -> None:
        """Waits until all calls before this one are answered."""
        while self._calls and self._calls[0] is not call:
            self._wait_for_change()

    def _wait_for_change(self) -> None:
        self._changed.clear()
        self._changed.wait(_CHECK_INTERVAL_S)
