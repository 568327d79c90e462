"""Flag that wakes a waiting green thread."""

import eventlet
from eventlet.event import Event


class WakeFlag:
    """A flag that a green thread can wait for, with a timeout."""

    def __init__(self) -> None:
        self._event = Event()

    def set(self) -> None:
        """Sets the flag and wakes the waiting green thread."""
        if not self._event.ready():
            self._event.send()

    def clear(self) -> None:
        """Clears the flag."""
        if self._event.ready():
            self._event = Event()

    def is_set(self) -> bool:
        """Returns whether the flag is set."""
        return self._event.ready()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the flag, and returns whether it was set in time."""
        with eventlet.Timeout(timeout_s, exception=False):
            self._event.wait()
        return self._event.ready()
