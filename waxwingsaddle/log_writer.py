"""Writes log lines without blocking the event loop.

The reader of standard output may stop reading, so a separate thread does the
blocking writes. Lines beyond a limit are dropped and counted.
"""

import atexit
from collections import deque
from typing import Any

from eventlet.patcher import original

# Lines that wait for the reader, about half a megabyte.
MAX_LINES = 2000
# Longest wait for a slow reader when the process exits.
_EXIT_TIMEOUT_S = 0.5

_threading = original('threading')


class LogWriter:
    """Queues lines and writes them in a thread.

    Args:
        stream: Binary stream to write to.
        max_lines: Most lines queued while the stream blocks.

    Attributes:
        dropped: Number of lines dropped because the queue was full.
    """

    def __init__(self, stream: Any, max_lines: int = MAX_LINES) -> None:
        self.dropped = 0
        self._stream = stream
        self._max_lines = max_lines
        self._lines: deque[str] = deque()
        self._has_lines = _threading.Event()
        self._thread: Any = None

    def msg(self, line: str) -> None:
        """Queues a line without blocking, or drops it if the queue is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._thread is None:
            self._start_thread()
        self._has_lines.set()

    debug = msg
    info = msg
    warning = msg
    error = msg
    critical = msg

    def flush(self) -> None:
        """Waits up to `_EXIT_TIMEOUT_S` for the queued lines to be written."""
        timer = _threading.Event()
        for _ in range(10):
            if not self._lines:
                return
            self._has_lines.set()
            timer.wait(_EXIT_TIMEOUT_S / 10)

    def _start_thread(self) -> None:
        self._thread = _threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()
        atexit.register(self.flush)

    def _write_all(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            try:
                self._write_queued()
            except (OSError, ValueError):
                # The reader has closed the stream; the process continues
                # without log output.
                self._lines.clear()

    def _write_queued(self) -> None:
        while self._lines:
            line = self._lines[0]
            self._stream.write(f'{line}\n'.encode())
            self._stream.flush()
            self._lines.popleft()
