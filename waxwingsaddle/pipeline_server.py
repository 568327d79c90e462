"""Server for callers that stops without losing a call."""

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
        self._acceptor = Acceptor(address, self._serve)
        self._ingress = ingress
        self._limits = limits
        # When each was accepted, in monotonic seconds.
        self._connections: dict[CallerConnection, float] = {}
        self._is_draining = False

    @property
    def pending(self) -> int:
        """The number of calls that are not answered yet."""
        return sum(one.pending for one in self._connections)

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port that it listens on."""
        return self._acceptor.listener.getsockname()

    @property
    def open_connections(self) -> int:
        """The number of connections of callers."""
        return len(self._connections)

    def start(self) -> None:
        """Listens and serves in green threads."""
        self._acceptor.start()

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
        left = self._acceptor.finish(
            lambda: self.pending,
            self._newest_s,
            limit_s,
        )
        for connection in tuple(self._connections):
            connection.stop_reading()
        return left

    def _newest_s(self) -> float:
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
