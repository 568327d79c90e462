"""Accepts connections, and stops without losing a request."""

import errno
import time
from collections.abc import Callable
from typing import Any

from eventlet import greenio, greenthread

from waxwingsaddle.web import listen

_POLL_S = 0.02
_ACCEPT_RETRY_S = 0.05
# Without a request for so long, no caller is likely to have one under way.
_QUIET_S = 0.1
# A caller that has just connected sends its request within this time. Clients
# take a second to give a new connection up, and busy ones send late.
_FIRST_REQUEST_S = 1.0


class Acceptor:
    """Listens on one address.

    Args:
        address: IP number and port.
        serve: Takes each connection and its remote address; must not block.
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
        """Listens, and accepts in a green thread."""
        self.listener = listen(self._address)
        self._thread = greenthread.spawn(self._accept_all)

    def finish(
        self,
        pending: Callable[[], int],
        newest_s: Callable[[], float],
        limit_s: float,
    ) -> int:
        """Stops to listen and waits until no request is left.

        Args:
            pending: Returns the number of requests that are not answered.
            newest_s: Returns when the newest open connection was accepted.
            limit_s: Longest wait, in seconds.

        Returns:
            The number of requests that are left.
        """
        self._close()
        end_s = time.monotonic() + limit_s
        quiet_since_s = time.monotonic()
        while time.monotonic() < end_s:
            now_s = time.monotonic()
            if pending():
                quiet_since_s = now_s
            is_quiet = now_s - quiet_since_s > _QUIET_S
            if is_quiet and now_s - newest_s() > _FIRST_REQUEST_S:
                break
            greenthread.sleep(_POLL_S)
        return pending()

    def _close(self) -> None:
        """Takes the connections that wait in the queue, then closes it."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        if self.listener is None:
            return
        raw = self.listener.fd
        raw.setblocking(False)
        while True:
            try:
                accepted, address = raw.accept()
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
                # Out of descriptors: callers wait in the queue.
                is_full = error.errno in {errno.EMFILE, errno.ENFILE}
                greenthread.sleep(_ACCEPT_RETRY_S if is_full else 0)
                continue
            self._serve(accepted, address)
