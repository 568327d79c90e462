"""Streamed answer body whose call holds a slot."""

from collections.abc import Callable, Iterator

from waxwingsaddle.calls import BodyStream
from waxwingsaddle.util.outcome import Outcome


class GuardedStream:
    """Streamed answer body; its call holds the slot until `close`.

    Args:
        stream: The body as read from the upstream.
        clock: Returns the monotonic time, in seconds.
        on_end: Called once at the end with the outcome and the time spent
            reading, in seconds.
    """

    def __init__(
        self,
        stream: BodyStream,
        clock: Callable[[], float],
        on_end: Callable[[Outcome, float], None],
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._on_end: Callable[[Outcome, float], None] | None = on_end
        self._reading_s = 0.0
        self._outcome = Outcome.CANCELLED

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces; only time spent reading counts as run time."""
        pieces = iter(self._stream)
        while True:
            started_s = self._clock()
            piece = next(pieces, b'')
            self._reading_s += self._clock() - started_s
            if not piece:
                self._outcome = Outcome.RAN
                return
            yield piece

    def close(self) -> None:
        """Closes the stream and reports the end of the call."""
        if self._on_end is not None:
            on_end = self._on_end
            self._on_end = None
            self._stream.close()
            on_end(self._outcome, self._reading_s)
