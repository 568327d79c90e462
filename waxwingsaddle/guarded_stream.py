"""Body of a large answer while its call holds a slot."""

from collections.abc import Callable, Iterator

from waxwingsaddle.calls import BodyStream
from waxwingsaddle.util.outcome import Outcome


class GuardedStream:
    """Body of a large answer that holds its slot until it ends."""

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
            begun_s = self._clock()
            piece = next(pieces, b'')
            self._reading_s += self._clock() - begun_s
            if not piece:
                self._outcome = Outcome.RAN
                return
            yield piece

    def close(self) -> None:
        """Ends the stream and returns the slot."""
        if self._on_end is not None:
            on_end = self._on_end
            self._on_end = None
            self._stream.close()
            on_end(self._outcome, self._reading_s)
