"""Buffered reading from a socket that shows what is buffered.

`socket.makefile` hides the bytes that it has read ahead; a connection may be
used again only when there are none.
"""

import time
from typing import Any

from eventlet import hubs

_RECEIVE_BYTES = 65_536
# Shorter timers of the event loop are not worth their cost.
_MIN_TIMEOUT_S = 0.001


class SocketReader:
    """Reads from a socket.

    Args:
        sock: The socket, which blocks green threads.

    Attributes:
        deadline_s: Monotonic time at which reading fails with `TimeoutError`;
            the timeout of the socket holds when it is absent.
    """

    def __init__(self, sock: Any) -> None:
        self.deadline_s: float | None = None
        self._sock = sock
        self._buffer = b''
        self._is_ended = False

    @property
    def has_buffered(self) -> bool:
        """Whether bytes were received that nobody has read."""
        return bool(self._buffer)

    def peek(self) -> bytes:
        """Returns what is buffered; waits for bytes when nothing is.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        if not self._buffer:
            self._receive_more()
        return self._buffer

    def read(self, size: int) -> bytes:
        """Returns so many bytes, fewer only at the end.

        Raises:
            OSError: The connection broke off or the deadline passed.
        """
        pieces = []
        while size > 0 and self.peek():
            piece = self._buffer[:size]
            self._buffer = self._buffer[size:]
            size -= len(piece)
            pieces.append(piece)
        return pieces[0] if len(pieces) == 1 else b''.join(pieces)

    def readline(self, max_bytes: int) -> bytes:
        """Returns the bytes up to a line feed, or up to a limit.

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
        """Drops what is buffered."""
        self._buffer = b''

    def close(self) -> None:
        """Forgets what is buffered."""
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
        # The green socket returns no bytes for a reset connection, which
        # would make an answer that broke off look complete.
        raw_socket = self._sock.fd
        while True:
            try:
                return raw_socket.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                hubs.trampoline(
                    raw_socket,
                    read=True,
                    timeout=self._timeout_s(),
                    timeout_exc=TimeoutError('no bytes came in time'),
                )

    def _timeout_s(self) -> float | None:
        if self.deadline_s is None:
            return self._sock.gettimeout()
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the deadline passed')
        return max(_MIN_TIMEOUT_S, remaining_s)
