"""Detects changes of a file by polling its status."""

import os
from collections.abc import Callable

import eventlet

# Short compared with the time in which a changed setting has to take effect;
# a check costs one system call.
_POLL_INTERVAL_S = 1.0

# Inode, size in bytes and modification time in ns; None for an absent file.
_FileState = tuple[int, int, int] | None


class WatchedFile:
    """Calls a function after each change of a file.

    Args:
        path: The file; it may be absent for a while.
        on_change: Called in the green thread that polls the file.
    """

    def __init__(self, path: str, on_change: Callable[[], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._state = self._read_state()
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts polling in a green thread."""
        self._thread = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Stops polling."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def check(self) -> None:
        """Checks the file once and reports a change."""
        state = self._read_state()
        is_changed = state is not None and state != self._state
        self._state = state or self._state
        if is_changed:
            self._on_change()

    def _watch(self) -> None:
        while True:
            eventlet.sleep(_POLL_INTERVAL_S)
            self.check()

    def _read_state(self) -> _FileState:
        try:
            status = os.stat(self._path)
        except OSError:
            # A file that is being replaced may be absent for a moment.
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns
