"""Server for connections with HTTP pipelining; stops without losing a call."""

import socket
import time
from collections.abc import Callable
from math import inf
from typing import Any

from eventlet import greenthread

from waxwingsaddle.connection_acceptor import Acceptor
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.pipeline import CallerConnection
from waxwingsaddle.request_reader import ConnectionLimits


class PipelineServer:
    """Serves connections of callers.

    Args:
        address: IP number and port to listen on.
        ingress: Admits and runs the calls.
        limits: Returns the current limits of a connection.
    """

    def __init__(
        self,
        address: str,
        ingress: Ingress,
        limits: Callable[[], ConnectionLimits],
    ) -> None:
        self._acceptor = Acceptor(address, self._serve)
        self._ingress = ingress
        self._limits = limits
        # Monotonic time at which each connection was accepted, in seconds.
        self._connections: dict[CallerConnection, float] = {}
        self._is_draining = False

    @property
    def pending(self) -> int:
        """Number of calls that are not answered yet."""
        return sum(connection.pending for connection in self._connections)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port of the listener."""
        return self._acceptor.listener.getsockname()

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    def start(self) -> None:
        """Starts to listen and serves connections in green threads."""
        self._acceptor.start()

    def drain(self) -> None:
        """Adds `Connection: close` to the last pending answer."""
        self._is_draining = True

    def close_gracefully(self, timeout_s: float) -> int:
        """Closes the listener and waits for the calls of open connections.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            The number of calls that are not answered by then.
        """
        unanswered = self._acceptor.close_gracefully(
            lambda: self.pending,
            self._newest_accepted_s,
            timeout_s,
        )
        for connection in tuple(self._connections):
            connection.stop_reading()
        return unanswered

    def _newest_accepted_s(self) -> float:
        return max(self._connections.values(), default=-inf)

    def _serve(self, accepted: Any, _address: Any) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(
            accepted,
            self._ingress,
            self._limits,
            lambda: self._is_draining,
        )
        self._connections[connection] = time.monotonic()
        greenthread.spawn(self._run, connection)

    def _run(self, connection: CallerConnection) -> None:
        try:
            connection.serve()
        finally:
            self._connections.pop(connection, None)
