"""Reads large answers from upstreams faster than their callers take them.

An upstream is busy with an answer until its last byte was read. On a narrow
link, or with a caller who reads slowly, that lasts many times longer than the
work itself, and the calls in the queue of the upstream wait for it.
"""

from collections.abc import Callable, Iterator

import eventlet
from eventlet.event import Event
from eventlet.queue import LightQueue

from waxwingsaddle.calls import BodyStream, BrokenBodyError


class ReadAheadBuffer:
    """Memory for answer bytes that were read and not yet sent on.

    Args:
        limit_bytes: Most bytes held for all answers of this host.

    Attributes:
        held_bytes: Bytes held now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        self._freed = Event()

    def wait_for_room(
        self, size_bytes: int, own_bytes: Callable[[], int]
    ) -> None:
        """Waits until an answer may hold more bytes, and counts them.

        Args:
            size_bytes: Bytes to add.
            own_bytes: Function that returns the bytes that the answer holds
                now. One piece may be held however full the buffer is, so that
                each answer goes on.
        """
        while own_bytes() and self.held_bytes + size_bytes > self._limit_bytes:
            self._freed.wait()
        self.held_bytes += size_bytes

    def free(self, size_bytes: int) -> None:
        """Counts bytes as sent on, and wakes the answers that wait."""
        self.held_bytes -= size_bytes
        freed = self._freed
        self._freed = Event()
        freed.send(None)


class ReadAheadStream:
    """Body of an answer that a green thread reads ahead of its caller.

    The body is closed as soon as it was read to its end, which frees the
    upstream, and not only when the caller has taken it.

    Args:
        stream: The body as read from the upstream.
        buffer: Memory shared with the other answers.
    """

    def __init__(self, stream: BodyStream, buffer: ReadAheadBuffer) -> None:
        self._stream = stream
        self._buffer = buffer
        self._held_bytes = 0
        self._pieces: LightQueue = LightQueue()
        self._is_open = True
        self._reader = eventlet.spawn(self._read)

    def __iter__(self) -> Iterator[bytes]:
        """Yields the pieces; raises `BrokenBodyError` if the body broke off."""
        while True:
            piece = self._pieces.get()
            if piece is None:
                return
            if isinstance(piece, BrokenBodyError):
                raise piece
            self._free(len(piece))
            yield piece

    def close(self) -> None:
        """Stops reading and forgets the pieces that nobody has taken."""
        if not self._is_open:
            return
        self._is_open = False
        self._reader.kill()
        self._stream.close()
        self._free(self._held_bytes)

    def _read(self) -> None:
        ending: BrokenBodyError | None = BrokenBodyError('reading was stopped')
        try:
            for piece in self._stream:
                self._buffer.wait_for_room(len(piece), self._count_held)
                self._held_bytes += len(piece)
                self._pieces.put(piece)
            ending = None
        except BrokenBodyError as error:
            ending = error
        finally:
            self._stream.close()
            self._pieces.put(ending)

    def _count_held(self) -> int:
        return self._held_bytes

    def _free(self, size_bytes: int) -> None:
        self._held_bytes -= size_bytes
        self._buffer.free(size_bytes)
