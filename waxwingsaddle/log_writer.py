"""Writes log lines without ever holding up the event loop.

The reader of standard output may stand still; a thread of its own waits for
it. Lines beyond a bound are dropped and counted.
"""

import atexit
from collections import deque
from typing import Any

from eventlet.patcher import original

# About half a megabyte of lines.
MOST_LINES = 2000
# At the end of the process, so long for a reader that is slow.
_LAST_WAIT_S = 0.5

_threading = original('threading')


class LogWriter:
    """Takes lines, and writes them in a thread.

    Args:
        stream: Binary stream.
        most_lines: Lines held while the stream takes none.
    """

    def __init__(self, stream: Any, most_lines: int = MOST_LINES) -> None:
        self.dropped = 0
        self._stream = stream
        self._most_lines = most_lines
        self._lines: deque[str] = deque()
        self._changed = _threading.Event()
        self._thread: Any = None

    def msg(self, line: str) -> None:
        """Takes one line; never waits."""
        if len(self._lines) >= self._most_lines:
            self.dropped += 1
            return
        self._lines.append(line)
        if self._thread is None:
            self._begin()
        self._changed.set()

    debug = msg
    info = msg
    warning = msg
    error = msg
    critical = msg

    def finish(self) -> None:
        """Gives the thread a moment for the lines that are left."""
        deadline = _threading.Event()
        for _ in range(10):
            if not self._lines:
                return
            self._changed.set()
            deadline.wait(_LAST_WAIT_S / 10)

    def _begin(self) -> None:
        self._thread = _threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()
        atexit.register(self.finish)

    def _write_all(self) -> None:
        while True:
            self._changed.wait()
            self._changed.clear()
            try:
                self._write_waiting()
            except (OSError, ValueError):
                # Nobody reads any more; the process goes on without lines.
                self._lines.clear()

    def _write_waiting(self) -> None:
        while self._lines:
            line = self._lines[0]
            self._stream.write(f'{line}\n'.encode())
            self._stream.flush()
            self._lines.popleft()
