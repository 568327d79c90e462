"""Buffered reader of a socket that exposes its buffer.

`socket.makefile` hides the bytes that it has read ahead. A connection may be
reused only if there are no such bytes.
"""

import time
from typing import Any

from eventlet import greenthread, hubs

_RECEIVE_BYTES = 65_536
# Receives in a row that may return bytes at once before other green threads
# run: a peer that never stops sending must not hold up the event loop.
_RECEIVES_PER_TURN = 16
# Minimum timeout of one wait; shorter timers cost the event loop more than they
# gain in precision.
_MIN_TIMEOUT_S = 0.001


class SocketReader:
    """Buffered reader of a socket.

    Args:
        sock: A green socket, which blocks only the current green thread.

    Attributes:
        deadline_s: Monotonic time, in seconds, at which reads fail with
            `TimeoutError`; if None, the timeout of the socket applies.
    """

    def __init__(self, sock: Any) -> None:
        self.deadline_s: float | None = None
        self._sock = sock
        self._buffer = b''
        # Position of the first unread byte. Advancing it instead of slicing
        # keeps reading many short lines linear in their size.
        self._start = 0
        self._is_ended = False
        self._problem = ''
        self._receives = 0

    @property
    def has_buffered(self) -> bool:
        """Whether the buffer contains unread bytes."""
        return self._start < len(self._buffer)

    def peek(self) -> bytes:
        """Returns the buffer without consuming it; waits if it is empty.

        Returns:
            The buffered bytes; empty after the peer closed the connection.

        Raises:
            OSError: The connection broke off, this side closed it, or the
                deadline passed.
        """
        if not self.has_buffered:
            self._receive_more()
        if self._start:
            self._buffer = self._buffer[self._start :]
            self._start = 0
        return self._buffer

    def read(self, size_bytes: int) -> bytes:
        """Returns the next `size_bytes` bytes; fewer only at the end.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        blocks = []
        while size_bytes > 0:
            if not (self.has_buffered or self._receive_more()):
                break
            block = self._take(size_bytes)
            size_bytes -= len(block)
            blocks.append(block)
        return blocks[0] if len(blocks) == 1 else b''.join(blocks)

    def readline(self, max_bytes: int) -> bytes:
        """Returns the bytes up to and with a line feed, at most `max_bytes`.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        while True:
            limit = self._start + max_bytes
            end = self._buffer.find(b'\n', self._start, limit) + 1
            if end:
                return self._take(end - self._start)
            if len(self._buffer) >= limit or not self._receive_more():
                return self._take(max_bytes)

    def discard(self) -> None:
        """Discards the buffered bytes."""
        self._buffer = b''
        self._start = 0

    def abort(self, problem: str = 'this side closed the connection') -> None:
        """Makes reads fail at the end, because the peer has not caused it.

        Otherwise a body that lasts until the connection closes would look
        complete wherever this side shut the connection down.

        Args:
            problem: What ended the connection.
        """
        self._problem = self._problem or problem

    def close(self) -> None:
        """Discards the buffered bytes; later reads fail."""
        self.discard()
        self.abort()
        self._is_ended = True

    def _take(self, size_bytes: int) -> bytes:
        end = self._start + size_bytes
        block = self._buffer[self._start : end]
        if end < len(self._buffer):
            self._start = end
        else:
            self.discard()
        return block

    def _receive_more(self) -> bool:
        received = b'' if self._is_ended else self._receive()
        self._is_ended = self._is_ended or not received
        if self._is_ended and self._problem:
            raise ConnectionAbortedError(self._problem)
        self._buffer = self._buffer[self._start :] + received
        self._start = 0
        return bool(received)

    def _receive(self) -> bytes:
        # Reads the raw socket, because the green socket returns no bytes when
        # the connection is reset: an answer that broke off would look complete.
        raw_socket = self._sock.fd
        self._check_turn()
        expired = None
        while True:
            try:
                return raw_socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                if expired is not None:
                    raise expired from None
            self._receives = 0
            try:
                hubs.trampoline(
                    raw_socket,
                    read=True,
                    timeout=self._timeout_s(),
                    timeout_exc=TimeoutError('no bytes received in time'),
                )
            except TimeoutError as error:
                # Timers come first when the event loop was held up: bytes may
                # have arrived in time.
                expired = error

    def _check_turn(self) -> None:
        """Applies the deadline and yields while bytes arrive without a wait."""
        self._receives += 1
        if self._receives < _RECEIVES_PER_TURN:
            return
        self._receives = 0
        greenthread.sleep(0)
        if self.deadline_s is not None and time.monotonic() > self.deadline_s:
            raise TimeoutError('read deadline passed')

    def _timeout_s(self) -> float | None:
        if self.deadline_s is None:
            return self._sock.gettimeout()
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('read deadline passed')
        return max(_MIN_TIMEOUT_S, remaining_s)
