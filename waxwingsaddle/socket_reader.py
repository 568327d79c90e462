"""Buffered reader of a socket that exposes its buffer.

`socket.makefile` hides the bytes that it has read ahead. A connection may be
reused only if there are no such bytes.
"""

import time
from typing import Any

from eventlet import hubs

_RECEIVE_BYTES = 65_536
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
        self._is_ended = False

    @property
    def has_buffered(self) -> bool:
        """Whether the buffer contains unread bytes."""
        return bool(self._buffer)

    def peek(self) -> bytes:
        """Returns the buffer without consuming it; waits if it is empty.

        Returns:
            The buffered bytes; empty at the end of the connection.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        if not self._buffer:
            self._receive_more()
        return self._buffer

    def read(self, size_bytes: int) -> bytes:
        """Returns the next `size_bytes` bytes; fewer only at the end.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        blocks = []
        while size_bytes > 0 and self.peek():
            block = self._buffer[:size_bytes]
            self._buffer = self._buffer[size_bytes:]
            size_bytes -= len(block)
            blocks.append(block)
        return blocks[0] if len(blocks) == 1 else b''.join(blocks)

    def readline(self, max_bytes: int) -> bytes:
        """Returns the bytes up to and with a line feed, at most `max_bytes`.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        while b'\n' not in self._buffer and len(self._buffer) < max_bytes:
            if not self._receive_more():
                break
        end = self._buffer.find(b'\n', 0, max_bytes) + 1 or max_bytes
        line = self._buffer[:end]
        self._buffer = self._buffer[end:]
        return line

    def discard(self) -> None:
        """Discards the buffered bytes."""
        self._buffer = b''

    def close(self) -> None:
        """Discards the buffered bytes; later reads return no bytes."""
        self._buffer = b''
        self._is_ended = True

    def _receive_more(self) -> bool:
        if self._is_ended:
            return False
        received = self._receive()
        self._is_ended = not received
        self._buffer += received
        return bool(received)

    def _receive(self) -> bytes:
        # Reads the raw socket, because the green socket returns no bytes when
        # the connection is reset: an answer that broke off would look complete.
        raw_socket = self._sock.fd
        while True:
            try:
                return raw_socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                hubs.trampoline(
                    raw_socket,
                    read=True,
                    timeout=self._timeout_s(),
                    timeout_exc=TimeoutError('no bytes received in time'),
                )

    def _timeout_s(self) -> float | None:
        if self.deadline_s is None:
            return self._sock.gettimeout()
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('read deadline passed')
        return max(_MIN_TIMEOUT_S, remaining_s)
