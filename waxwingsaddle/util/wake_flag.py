"""Wake-up of one green thread by others."""

import eventlet
from eventlet.event import Event


class WakeFlag:
    """A flag that a green thread can wait for, with a time limit."""

    def __init__(self) -> None:
        self._event = Event()

    def set(self) -> None:
        """Raises the flag and ends the wait."""
        if not self._event.ready():
            self._event.send()

    def clear(self) -> None:
        """Lowers the flag."""
        if self._event.ready():
            self._event = Event()

    def is_set(self) -> bool:
        """Says whether the flag is raised."""
        return self._event.ready()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the flag, and says whether it was raised in time."""
        with eventlet.Timeout(timeout_s, exception=False):
            self._event.wait()
        return self._event.ready()
