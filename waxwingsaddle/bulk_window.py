"""Bytes of large bodies that may be on their way.

A few large bodies at once fill the link of a host, and its short messages then
wait behind them. A window limits the sum over all large answers that a host
sends, another one that over all large request bodies it takes. It follows the
queueing delay of the link, as LEDBAT (RFC 6817) does: it shrinks once pieces
take longer than the shortest round trip to their receiver, and grows while the
link is idle.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

# Queueing delay that large answers may cause.
_TARGET_S = 0.02
# At this queueing delay, the window is halved.
_EXCESS_S = 0.03
_MIN_BYTES = 16_384
_MAX_BYTES = 4_194_304
_INITIAL_BYTES = 65_536
# The window grows by at most this much per window that was acknowledged.
_STEP_BYTES = 16_384
# A piece that is not acknowledged by then is with a caller who reads slowly,
# and no longer on the link.
_STALL_S = 0.5
# The shortest round trip to a receiver is forgotten after one to two periods,
# because a route or the distance of a caller can change.
_BASE_PERIOD_S = 60


@dataclass(slots=True)
class Piece:
    """A piece of a large body that was sent or asked for.

    Attributes:
        receiver: Identity of the connection to the other node.
        size_bytes: Its size.
        sent_s: When it was sent or asked for, in monotonic seconds.
        is_counted: Whether it counts as on its way.
    """

    receiver: bytes
    size_bytes: int
    sent_s: float
    is_counted: bool = True


class BulkWindow:
    """Window of all large bodies in one direction at one host.

    Args:
        clock: Returns monotonic seconds.

    Attributes:
        window_bytes: Bytes that may be on their way now.
        in_flight_bytes: Bytes that are on their way.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.window_bytes: float = _INITIAL_BYTES
        self.in_flight_bytes = 0
        self._clock = clock
        self._pieces: deque[Piece] = deque()
        self._shortest_s: dict[bytes, float] = {}
        self._earlier_shortest_s: dict[bytes, float] = {}
        self._period_end_s = clock() + _BASE_PERIOD_S
        self._reduced_s = float('-inf')

    def has_room(self, size_bytes: int) -> bool:
        """Returns whether a piece may be sent now.

        One piece of any size may be on its way.
        """
        self._expire()
        total_bytes = self.in_flight_bytes + size_bytes
        return not self.in_flight_bytes or total_bytes <= self.window_bytes

    def send(self, receiver: bytes, size_bytes: int) -> Piece:
        """Records that a piece is sent and returns it."""
        piece = Piece(receiver, size_bytes, self._clock())
        self._pieces.append(piece)
        self.in_flight_bytes += size_bytes
        return piece

    def acknowledge(self, piece: Piece) -> None:
        """Records that the receiver has taken a piece."""
        if not piece.is_counted:
            return
        self.drop(piece)
        now_s = self._clock()
        round_trip_s = now_s - piece.sent_s
        delay_s = round_trip_s - self._update_shortest(
            piece.receiver, round_trip_s, now_s
        )
        self._resize(piece, delay_s, now_s)

    def drop(self, piece: Piece) -> None:
        """Records that a piece is no longer on its way."""
        if piece.is_counted:
            piece.is_counted = False
            self.in_flight_bytes -= piece.size_bytes

    def _resize(self, piece: Piece, delay_s: float, now_s: float) -> None:
        if delay_s > _EXCESS_S:
            if piece.sent_s < self._reduced_s:
                return
            self._reduced_s = now_s
            resized = self.window_bytes / 2
        else:
            off_target = (_TARGET_S - delay_s) / _TARGET_S
            share = piece.size_bytes / self.window_bytes
            resized = self.window_bytes + off_target * share * _STEP_BYTES
        self.window_bytes = max(_MIN_BYTES, min(_MAX_BYTES, resized))

    def _expire(self) -> None:
        oldest_s = self._clock() - _STALL_S
        while self._pieces:
            piece = self._pieces[0]
            if piece.is_counted and piece.sent_s > oldest_s:
                return
            self.drop(piece)
            self._pieces.popleft()

    def _update_shortest(
        self, receiver: bytes, round_trip_s: float, now_s: float
    ) -> float:
        if now_s >= self._period_end_s:
            self._earlier_shortest_s = self._shortest_s
            self._shortest_s = {}
            self._period_end_s = now_s + _BASE_PERIOD_S
        shortest_s = min(
            round_trip_s,
            self._shortest_s.get(receiver, round_trip_s),
            self._earlier_shortest_s.get(receiver, round_trip_s),
        )
        self._shortest_s[receiver] = shortest_s
        return shortest_s
