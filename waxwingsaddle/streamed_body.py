"""Large answer body that is read from an upstream piece by piece."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from waxwingsaddle.calls import BrokenBodyError
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import MalformedError
from waxwingsaddle.upstream_connection import Connection


@dataclass(frozen=True, slots=True)
class StreamLimits:
    """Limits of streamed bodies.

    For a body with a length, only the time in which the upstream keeps the
    reader waiting counts, so that a caller who reads slowly does not break its
    own answer off. A body without one may never end, however fast it comes.

    Attributes:
        piece_bytes: Largest piece.
        stall_timeout_s: Longest wait for the next bytes, in seconds.
        overtime_s: Longest wait after the deadline of the call for bytes that
            arrive at less than the minimum rate, and for the end of a body
            without a length, in seconds.
        min_bytes_per_s: Minimum rate after the deadline.
        unsized_bytes: Largest body without a length.
    """

    piece_bytes: int
    stall_timeout_s: float
    overtime_s: float
    min_bytes_per_s: float
    unsized_bytes: int


class StreamedBody:
    """Answer body that an upstream still sends.

    Args:
        first: The bytes that were already read.
        body: The rest of the body.
        connection: Connection that it arrives on.
        limits: Limits.
        deadline_s: Deadline of the call, on `clock`.
        clock: Returns monotonic seconds.
        on_end: Called once at the end with whether the body is complete.
    """

    def __init__(
        self,
        first: bytes,
        body: Body,
        connection: Connection,
        limits: StreamLimits,
        deadline_s: float,
        clock: Callable[[], float],
        on_end: Callable[[bool], None],
    ) -> None:
        self._first = first
        self._body = body
        self._reader = connection.reader
        self._limits = limits
        self._clock = clock
        self._on_end = on_end
        self._is_open = True
        self._waited_s = 0.0
        self._unsized_end_s = deadline_s + limits.overtime_s
        self._read_bytes = len(first)
        self._patience_s = (
            max(0, deadline_s - clock())
            + limits.overtime_s
            - len(first) / limits.min_bytes_per_s
        )

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces of the body.

        Raises:
            BrokenBodyError: The body ended early, came too slowly or is too
                long.
        """
        yield self._first
        while not self._body.is_complete:
            try:
                piece = self._read_piece()
            except (OSError, MalformedError) as error:
                raise BrokenBodyError(str(error)) from None
            if piece:
                yield piece

    def close(self) -> None:
        """Reports whether the body was read in full, for the connection."""
        if self._is_open:
            self._is_open = False
            self._on_end(self._body.is_complete)

    def _read_piece(self) -> bytes:
        earned_s = self._read_bytes / self._limits.min_bytes_per_s
        wait_s = self._patience_s + earned_s - self._waited_s
        started_s = self._clock()
        self._reader.deadline_s = started_s + min(
            self._limits.stall_timeout_s, wait_s
        )
        piece = self._body.read(self._limits.piece_bytes)
        self._waited_s += self._clock() - started_s
        self._read_bytes += len(piece)
        if self._body.length is None:
            self._check_unsized()
        return piece

    def _check_unsized(self) -> None:
        if self._body.is_complete:
            return
        if self._read_bytes > self._limits.unsized_bytes:
            raise MalformedError('a body without length is too long')
        if self._clock() > self._unsized_end_s:
            raise MalformedError('a body without length lasts too long')
