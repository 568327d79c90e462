"""Sends large answer bodies to the nodes of their callers, piece by piece."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

from waxwingsaddle.bulk_order import BulkTurn
from waxwingsaddle.bulk_window import BulkWindow, Piece
from waxwingsaddle.calls import Answer, BrokenBodyError, CallChunk
from waxwingsaddle.node_transport import NodeTransport

# Interval at which a waiting answer checks for pieces that expired.
_RECHECK_S = 0.1


@dataclass(slots=True)
class _Transfer:
    """State of a body that is sent to the node of its caller.

    Attributes:
        credit_bytes: Bytes that the receiver can take now.
        receiver: Route of the connection that the chunks are sent on.
        changed: Set when credit, a turn or a cancellation arrives.
        is_cancelled: Whether the call was cancelled.
        is_started: Whether the first credit has arrived.
        turn: Position among the answers that wait for room.
        pieces: Pieces that the receiver has not taken yet.
    """

    turn: BulkTurn
    credit_bytes: int = 0
    receiver: bytes = b''
    changed: Event = field(default_factory=Event)
    is_cancelled: bool = False
    is_started: bool = False
    pieces: deque[Piece] = field(default_factory=deque)

    def notify(self) -> None:
        """Wakes the green thread that waits for credit or room."""
        if not self.changed.ready():
            self.changed.send(None)


class BodySender:
    """Sends bodies as far as their receivers and the link of the host allow.

    Args:
        transport: Sends messages between nodes.
        stall_timeout_s: Longest wait for credit.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        transport: NodeTransport,
        stall_timeout_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._stall_timeout_s = stall_timeout_s
        self._window = BulkWindow(clock)
        self._transfers: dict[str, _Transfer] = {}
        self._clock = clock
        self._waiting: list[_Transfer] = []

    def send(
        self, call_id: str, answer: Answer, send_head: Callable[[], bool]
    ) -> None:
        """Sends the head and the body of an answer; blocks the green thread.

        Args:
            call_id: Identifier of the call.
            answer: The answer; its stream is closed at the end.
            send_head: Sends the head; returns False if that failed.
        """
        transfer = _Transfer(BulkTurn(self._clock(), answer.length))
        self._transfers[call_id] = transfer
        try:
            if send_head():
                self._send_body(call_id, transfer, answer)
        finally:
            self._end(call_id, transfer)
            answer.stream.close()

    def cancel(self, call_id: str) -> None:
        """Stops sending the body of a call, if there is one."""
        transfer = self._transfers.get(call_id)
        if transfer is not None:
            transfer.is_cancelled = True
            transfer.notify()

    def add_credit(
        self, call_id: str, credit_bytes: int, receiver: bytes
    ) -> None:
        """Allows more bytes; after the first time, pieces have arrived."""
        transfer = self._transfers.get(call_id)
        if transfer is None:
            return
        transfer.credit_bytes += credit_bytes
        transfer.receiver = receiver
        if transfer.is_started and transfer.pieces:
            self._window.acknowledge(transfer.pieces.popleft())
            self._wake_next()
        transfer.is_started = True
        transfer.notify()

    def _end(self, call_id: str, transfer: _Transfer) -> None:
        self._transfers.pop(call_id, None)
        for piece in transfer.pieces:
            self._window.drop(piece)
        self._wake_next()

    def _send_body(
        self, call_id: str, transfer: _Transfer, answer: Answer
    ) -> None:
        sequence = 0
        is_broken = False
        try:
            for block in answer.stream:
                if not self._wait_for_credit(transfer):
                    return
                self._wait_for_room(transfer, len(block))
                chunk = CallChunk(call_id, sequence)
                if transfer.is_cancelled or not self._transport.answer(
                    transfer.receiver, chunk, [block]
                ):
                    return
                transfer.credit_bytes -= len(block)
                transfer.turn.sent_bytes += len(block)
                transfer.pieces.append(
                    self._window.send(transfer.receiver, len(block))
                )
                self._wake_next()
                sequence += 1
        except BrokenBodyError:
            is_broken = True
        end = CallChunk(call_id, sequence, not is_broken, is_broken)
        if self._wait_for_credit(transfer):
            self._transport.answer(transfer.receiver, end, [b''])

    def _wait_for_credit(self, transfer: _Transfer) -> bool:
        while transfer.credit_bytes <= 0 and not transfer.is_cancelled:
            transfer.changed = Event()
            with eventlet.Timeout(self._stall_timeout_s, False):
                transfer.changed.wait()
            if not transfer.changed.ready():
                return False
        return not transfer.is_cancelled

    def _wait_for_room(self, transfer: _Transfer, size_bytes: int) -> None:
        """Waits until it is the turn of an answer and the window has room."""
        self._waiting.append(transfer)
        while not transfer.is_cancelled:
            is_next = self._next_waiting() is transfer
            if is_next and self._window.has_room(size_bytes):
                break
            transfer.changed = Event()
            with eventlet.Timeout(_RECHECK_S, False):
                transfer.changed.wait()
        self._waiting.remove(transfer)

    def _wake_next(self) -> None:
        if self._waiting and self._window.has_room(0):
            self._next_waiting().notify()

    def _next_waiting(self) -> _Transfer:
        return min(self._waiting, key=lambda waiting: waiting.turn.order)
