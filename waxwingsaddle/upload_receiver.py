"""Takes the bodies of uploads from the nodes of their callers.

Load pattern: callers all over a fleet upload files to the few upstreams of one
service, whose hosts have narrow links. Sent at once, the bodies queue up for
seconds on these links, and short calls and heartbeats wait behind them. The
guarding node asks for the bodies piece by piece instead. The pieces that are on
their way to it share one window, which follows the queueing delay, and the
upload with the fewest bytes left goes first.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from waxwingsaddle.body_budget import BodyBudget
from waxwingsaddle.bulk_order import BulkTurn
from waxwingsaddle.bulk_window import BulkWindow, Piece
from waxwingsaddle.calls import CallRequest
from waxwingsaddle.node_transport import NodeTransport, ReceivedMessage
from waxwingsaddle.upload_messages import BodyGrant, BodyPiece
from waxwingsaddle.util.codec import msgpack_decoder

PIECE_BYTES = 8192

_decode_piece = msgpack_decoder(BodyPiece)

# Runs a call: the connection of its node, the call, its body and its deadline.
RunCall = Callable[[bytes, CallRequest, bytearray, float], None]


@dataclass(slots=True)
class _Upload:
    """An upload in progress.

    Attributes:
        sender: Connection of the node of the caller.
        request: The call.
        deadline_s: Its deadline, in monotonic seconds.
        turn: Position among the uploads to this node.
        body: The body, of which `received_bytes` have arrived.
        received_bytes: Number of bytes that have arrived.
        asked: Pieces that were asked for and have not arrived.
    """

    sender: bytes
    request: CallRequest
    deadline_s: float
    turn: BulkTurn
    body: bytearray
    received_bytes: int = 0
    asked: deque[Piece] = field(default_factory=deque)

    @property
    def unasked_bytes(self) -> int:
        """Bytes that were not asked for yet."""
        return self.turn.length_bytes - self.turn.sent_bytes

    @property
    def is_stalled(self) -> bool:
        """Whether a piece is so late that it no longer counts as on its way.

        The node of the caller is dead or cut off then, and asking it for more
        would take room from other uploads.
        """
        return bool(self.asked) and not self.asked[0].is_counted


class UploadReceiver:
    """Uploads to the upstreams of this node.

    Args:
        transport: Sends and receives messages between nodes.
        run_call: Runs a call whose body is complete; must not block. It
            releases the body from the budget in the end.
        budget: Memory for bodies.
        clock: Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        transport: NodeTransport,
        run_call: RunCall,
        budget: BodyBudget,
        clock: Callable[[], float],
    ) -> None:
        self._transport = transport
        self._run_call = run_call
        self._budget = budget
        self._clock = clock
        self._window = BulkWindow(clock)
        self._uploads: dict[str, _Upload] = {}
        transport.subscribe_raw(BodyPiece, self._on_piece)

    def start(
        self,
        sender: bytes,
        request: CallRequest,
        body_bytes: int,
        deadline_s: float,
    ) -> bool:
        """Begins to ask for the body of a call.

        Args:
            sender: Connection of the node of the caller.
            request: The call.
            body_bytes: Size of its body.
            deadline_s: Its deadline, in monotonic seconds.

        Returns:
            Whether there is memory for the body.
        """
        if request.call_id in self._uploads:
            return True
        if not self._budget.reserve(body_bytes):
            return False
        self._uploads[request.call_id] = _Upload(
            sender,
            request,
            deadline_s,
            BulkTurn(self._clock(), body_bytes),
            bytearray(body_bytes),
        )
        self.ask()
        return True

    def cancel(self, call_id: str) -> None:
        """Forgets an upload; its call does not run."""
        upload = self._uploads.pop(call_id, None)
        if upload is not None:
            self._budget.release(len(upload.body))
            for piece in upload.asked:
                self._window.drop(piece)

    def check(self) -> None:
        """Forgets uploads past their deadline, and asks again.

        Call it regularly: pieces that never arrive leave room after a while.
        """
        now_s = self._clock()
        for call_id, upload in tuple(self._uploads.items()):
            if upload.deadline_s < now_s:
                self.cancel(call_id)
        self.ask()

    def ask(self) -> None:
        """Asks for pieces while the window has room."""
        while True:
            waiting = [
                upload
                for upload in self._uploads.values()
                if upload.unasked_bytes and not upload.is_stalled
            ]
            if not waiting:
                return
            upload = min(waiting, key=lambda other: other.turn.order)
            size_bytes = min(PIECE_BYTES, upload.unasked_bytes)
            if not self._window.has_room(size_bytes):
                return
            self._ask_for(upload, size_bytes)

    def _ask_for(self, upload: _Upload, size_bytes: int) -> None:
        call_id = upload.request.call_id
        if not self._transport.answer(
            upload.sender, BodyGrant(call_id, size_bytes)
        ):
            self.cancel(call_id)
            return
        upload.turn.sent_bytes += size_bytes
        upload.asked.append(self._window.send(upload.sender, size_bytes))

    def _on_piece(self, received: ReceivedMessage) -> None:
        message = _decode_piece(received.body)
        upload = self._uploads.get(message.call_id)
        if upload is None:
            return
        piece = received.frames[0] if received.frames else b''
        is_expected = (
            upload.asked
            and message.offset == upload.received_bytes
            and len(piece) == upload.asked[0].size_bytes
        )
        if not is_expected:
            # Part of the body is missing, so the call can't run.
            self.cancel(message.call_id)
            return
        start = upload.received_bytes
        upload.received_bytes += len(piece)
        upload.body[start : upload.received_bytes] = piece
        self._window.acknowledge(upload.asked.popleft())
        if upload.received_bytes == upload.turn.length_bytes:
            self._uploads.pop(message.call_id)
            self._run_call(
                upload.sender, upload.request, upload.body, upload.deadline_s
            )
        self.ask()
