"""Accepts connections; stops without losing requests that are on the way."""

import errno
import time
from collections.abc import Callable
from typing import Any

from eventlet import greenio, greenthread

from waxwingsaddle.web import listen

_POLL_S = 0.02
# Pause before the next attempt when the process has no free descriptor.
_ACCEPT_RETRY_S = 0.05
# After so many polls without a pending request, it is unlikely that a caller
# has one on the way. While the process is held up, nothing is read, and time
# alone says nothing.
_QUIET_POLLS = 5
# Time in which a caller sends its first request on a new connection. Clients
# give a new connection up after about one second, and busy ones send late.
_FIRST_REQUEST_TIMEOUT_S = 1.0


class Acceptor:
    """Accepts connections on one address.

    Args:
        address: IP number and port to listen on.
        serve: Called with each connection and its remote address; must not
            block.

    Attributes:
        listener: The listening socket; None when not listening.
    """

    def __init__(
        self,
        address: str,
        serve: Callable[[Any, Any], None],
    ) -> None:
        self._address = address
        self._serve = serve
        self._thread: greenthread.GreenThread | None = None
        self.listener: Any = None

    def start(self) -> None:
        """Starts to listen and accepts connections in a green thread."""
        self.listener = listen(self._address)
        self._thread = greenthread.spawn(self._accept_all)

    def close_gracefully(
        self,
        pending: Callable[[], int],
        newest_accepted_s: Callable[[], float],
        timeout_s: float,
    ) -> int:
        """Stops listening and waits until all requests are answered.

        Args:
            pending: Returns the number of requests that are not answered.
            newest_accepted_s: Returns the monotonic time at which the newest
                open connection was accepted.
            timeout_s: Longest wait, in seconds.

        Returns:
            The number of requests that are still not answered.
        """
        self._close_listener()
        deadline_s = time.monotonic() + timeout_s
        quiet_polls = 0
        while time.monotonic() < deadline_s:
            quiet_polls = 0 if pending() else quiet_polls + 1
            age_s = time.monotonic() - newest_accepted_s()
            if quiet_polls > _QUIET_POLLS and age_s > _FIRST_REQUEST_TIMEOUT_S:
                break
            greenthread.sleep(_POLL_S)
        return pending()

    def _close_listener(self) -> None:
        """Accepts the connections in the backlog, then closes the listener."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        if self.listener is None:
            return
        raw_listener = self.listener.fd
        raw_listener.setblocking(False)
        while True:
            try:
                accepted, address = raw_listener.accept()
            except OSError:
                break
            accepted.setblocking(False)
            self._serve(greenio.GreenSocket(accepted), address)
        self.listener.close()
        self.listener = None

    def _accept_all(self) -> None:
        while True:
            try:
                accepted, address = self.listener.accept()
            except OSError as error:
                # Callers wait in the backlog while no descriptor is free.
                is_out_of_descriptors = error.errno in {
                    errno.EMFILE,
                    errno.ENFILE,
                }
                greenthread.sleep(
                    _ACCEPT_RETRY_S if is_out_of_descriptors else 0
                )
                continue
            self._serve(accepted, address)
