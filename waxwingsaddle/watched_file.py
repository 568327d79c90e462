"""Notices that a file has changed, without a signal."""

import os
from collections.abc import Callable

import eventlet

# Short beside the time in which a changed setting has to work, and a check
# costs one system call.
_INTERVAL_S = 1.0

_State = tuple[int, int, int] | None


class WatchedFile:
    """Calls a function after each change of a file.

    Args:
        path: The file; it may be absent for a time.
        on_change: Called in a green thread of its own.
    """

    def __init__(self, path: str, on_change: Callable[[], None]) -> None:
        self._path = path
        self._on_change = on_change
        self._state = self._read_state()
        self._thread: eventlet.greenthread.GreenThread | None = None

    def start(self) -> None:
        """Begins to look."""
        self._thread = eventlet.spawn(self._watch)

    def stop(self) -> None:
        """Ends."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def check(self) -> None:
        """Looks once."""
        state = self._read_state()
        is_changed = state is not None and state != self._state
        self._state = state or self._state
        if is_changed:
            self._on_change()

    def _watch(self) -> None:
        while True:
            eventlet.sleep(_INTERVAL_S)
            self.check()

    def _read_state(self) -> _State:
        try:
            found = os.stat(self._path)
        except OSError:
            # A file that is being replaced may be absent for a moment.
            return None
        return found.st_ino, found.st_size, found.st_mtime_ns
