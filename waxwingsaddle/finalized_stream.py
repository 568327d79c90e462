"""Body of an answer whose end is reported."""

from collections.abc import Callable, Iterator

from waxwingsaddle.calls import BodyStream


class FinalizedStream:
    """Streamed body that calls a function once, when it is closed.

    Args:
        stream: The body.
        on_close: Called after the body is closed, also if closing fails.
    """

    def __init__(
        self, stream: BodyStream, on_close: Callable[[], None]
    ) -> None:
        self._stream = stream
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._stream)

    def close(self) -> None:
        """Closes the stream, whether or not it was read to the end."""
        on_close = self._on_close
        self._on_close = None
        try:
            self._stream.close()
        finally:
            if on_close is not None:
                on_close()
