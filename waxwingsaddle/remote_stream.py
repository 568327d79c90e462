"""Body of a large answer that another node sends piece by piece."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from eventlet.queue import Empty, LightQueue

from waxwingsaddle.calls import (
    BrokenBodyError,
    CallCancel,
    CallChunk,
    CallCredit,
)
from waxwingsaddle.link import Link
from waxwingsaddle.node_transport import NodeTransport

_BULK_LANE = 'bulk'
# A connection within a region is established within 20 ms. If its first packet
# is lost, it takes a second; the body is then sent on the link of its call.
_BULK_CONNECT_TIMEOUT_S = 0.1


@dataclass(frozen=True, slots=True)
class RemoteCallPolicy:
    """Settings of calls to other nodes.

    Attributes:
        bulk_threshold_bytes: Request bodies above this size are sent in pieces
            that the guarding node asks for.
        credit_window_bytes: Bytes of a streamed answer in flight at once.
        stall_timeout_s: Longest wait for the next chunk of a streamed answer,
            in seconds.
        answer_grace_s: Extra wait beyond the deadline for the guard to report
            whether the call ran, in seconds.
    """

    bulk_threshold_bytes: int = 65_536
    credit_window_bytes: int = 262_144
    stall_timeout_s: float = 10
    answer_grace_s: float = 0.05


class RemoteStream:
    """Body of a large answer from another node, with credit flow control."""

    def __init__(
        self,
        call_id: str,
        transport: NodeTransport,
        link: Link,
        policy: RemoteCallPolicy,
        on_end: Callable[[], None],
    ) -> None:
        self.link = link
        self._call_id = call_id
        self._transport = transport
        self._address = link.address
        self._policy = policy
        self._on_end = on_end
        self._next_sequence = 0
        self._chunks: LightQueue = LightQueue()
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body in chunks; raises `BrokenBodyError` on failure."""
        bulk = self._transport.link(self._address, _BULK_LANE)
        if bulk.wait_connected(_BULK_CONNECT_TIMEOUT_S):
            self.link = bulk
        self._grant_credit(self._policy.credit_window_bytes)
        while True:
            chunk, piece = self._next_chunk()
            if chunk is None or chunk.is_broken:
                raise BrokenBodyError('answer body ended early')
            if chunk.is_last:
                self._is_closed = True
                return
            yield piece
            self._grant_credit(len(piece))

    def add_chunk(self, chunk: CallChunk, piece: bytes) -> None:
        """Queues a chunk that arrived; aborts the body if one is missing."""
        if chunk.sequence == self._next_sequence:
            self._next_sequence += 1
            self._chunks.put((chunk, piece))
        else:
            self.abort()

    def abort(self) -> None:
        """Makes the iteration fail, since the body cannot be completed."""
        self._chunks.put((None, b''))

    def close(self) -> None:
        """Closes the stream; cancels the call if the body was not read."""
        self._on_end()
        if not self._is_closed:
            self._is_closed = True
            self._transport.notify(self._address, CallCancel(self._call_id))

    def _next_chunk(self) -> tuple[CallChunk | None, bytes]:
        try:
            return self._chunks.get(timeout=self._policy.stall_timeout_s)
        except Empty:
            raise BrokenBodyError(
                'no chunk of the answer body arrived in time'
            ) from None

    def _grant_credit(self, credit_bytes: int) -> None:
        credit = CallCredit(self._call_id, credit_bytes)
        if not self._transport.send(self.link, credit):
            raise BrokenBodyError('guarding node is unreachable')
