"""HTTP server that stops without losing a request.

eventlet's own server closes idle connections when it stops, and loses requests
that callers have just sent on them. This server keeps serving its connections
and asks each caller to close its own.
"""

import socket
import time
from math import inf
from typing import Any

from eventlet import greenthread, wsgi

from waxwingsaddle.connection_acceptor import Acceptor
from waxwingsaddle.web import Application


class _ServerState(wsgi.Server):
    """Server state that the protocol class reads; does not log requests."""

    def __init__(self, listener: Any, application: Application) -> None:
        super().__init__(
            listener,
            listener.getsockname(),
            application,
            log_output=False,
            debug=False,
            keepalive=True,
        )


class GracefulServer:
    """HTTP server with graceful stop.

    Args:
        address: IP number and port to listen on.
        application: WSGI application.
        protocol: Class that serves the requests of a connection.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        protocol: type[wsgi.HttpProtocol],
    ) -> None:
        self._acceptor = Acceptor(address, self._serve)
        self._application = application
        self._protocol = protocol
        self._connections: dict[int, list[Any]] = {}
        # Monotonic time at which each connection was accepted, in seconds.
        self._accepted_s: dict[int, float] = {}
        self._server_state: _ServerState | None = None

    @property
    def pending(self) -> int:
        """Number of requests that are being answered."""
        return (
            self._server_state.outstanding_requests if self._server_state else 0
        )

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    def start(self) -> None:
        """Starts to listen and serves connections in green threads."""
        self._acceptor.start()
        self._server_state = _ServerState(
            self._acceptor.listener, self._application
        )

    def drain(self) -> None:
        """Adds `Connection: close` to the next answer on each connection."""
        self._server_state.keepalive = False

    def close_gracefully(self, timeout_s: float) -> int:
        """Closes the listener and waits for the requests of open connections.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            The number of requests that are not answered by then.
        """
        return self._acceptor.close_gracefully(
            lambda: self.pending,
            self._newest_accepted_s,
            timeout_s,
        )

    def _newest_accepted_s(self) -> float:
        return max(self._accepted_s.values(), default=-inf)

    def _serve(self, accepted: Any, address: Any) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = [address, accepted, wsgi.STATE_IDLE]
        self._connections[id(connection)] = connection
        self._accepted_s[id(connection)] = time.monotonic()
        greenthread.spawn_n(self._serve_connection, connection)

    def _serve_connection(self, connection: list[Any]) -> None:
        try:
            self._protocol(connection, self._server_state)
        except OSError:
            # The caller broke the connection off; release its socket.
            connection[1].close()
        finally:
            self._connections.pop(id(connection), None)
            self._accepted_s.pop(id(connection), None)
