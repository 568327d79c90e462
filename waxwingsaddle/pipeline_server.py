"""Server for callers that stops without losing a call."""

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

from eventlet import greenio, greenthread

from waxwingsaddle.ingress import Ingress
from waxwingsaddle.pipeline import CallerConnection
from waxwingsaddle.request_reader import ConnectionLimits
from waxwingsaddle.web import listen

_POLL_S = 0.02
_ACCEPT_RETRY_S = 0.05
# Without a call for so long, no caller is likely to have one under way.
_QUIET_S = 0.1


class PipelineServer:
    """Accepts connections of callers.

    Args:
        address: IP number and port to listen on.
        ingress: Runs the calls.
        limits: Returns the limits in force.
    """

    def __init__(
        self,
        address: str,
        ingress: Ingress,
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        self._address = address
        self._ingress = ingress
        self._limits = limits
        self._connections: set[CallerConnection] = set()
        self._is_draining = False
        self._listener: Any = None
        self._thread: greenthread.GreenThread | None = None

    @property
    def pending(self) -> int:
        """The number of calls that are not answered yet."""
        return sum(one.pending for one in self._connections)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self._listener.getsockname()

    @property
    def open_connections(self) -> int:
        """The number of connections of callers."""
        return len(self._connections)

    def start(self) -> None:
        """Listens and serves in green threads."""
        self._listener = listen(self._address)
        self._thread = greenthread.spawn(self._accept_all)

    def drain(self) -> None:
        """Tells each caller, with its next answer, to close its connection."""
        self._is_draining = True

    def finish(self, limit_s: float) -> int:
        """Closes the listener and waits for the calls of open connections.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            The number of calls that were cut off.
        """
        self._close_listener()
        end_s = time.monotonic() + limit_s
        quiet_since_s = time.monotonic()
        while time.monotonic() < end_s:
            if self.pending:
                quiet_since_s = time.monotonic()
            elif time.monotonic() - quiet_since_s > _QUIET_S:
                break
            greenthread.sleep(_POLL_S)
        return self.pending

    def _close_listener(self) -> None:
        """Takes the connections that wait in the queue, then closes it."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        if self._listener is None:
            return
        raw = self._listener.fd
        raw.setblocking(False)
        while True:
            try:
                accepted, _ = raw.accept()
            except OSError:
                break
            accepted.setblocking(False)
            self._serve(greenio.GreenSocket(accepted))
        self._listener.close()
        self._listener = None

    def _accept_all(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError as error:
                # Out of descriptors: callers wait in the queue.
                is_full = error.errno in {errno.EMFILE, errno.ENFILE}
                greenthread.sleep(_ACCEPT_RETRY_S if is_full else 0)
                continue
            self._serve(accepted)

    def _serve(self, accepted: Any) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(
            accepted,
            self._ingress,
            self._limits,
            lambda: self._is_draining,
        )
        self._connections.add(connection)
        greenthread.spawn(self._run, connection)

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)
