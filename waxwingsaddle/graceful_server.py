"""HTTP server that stops without losing a request.

eventlet's own server closes idle connections when it stops, and with them a
request that a caller has just sent. This one goes on serving its connections
and tells each caller to close them.
"""

import socket
import time
from math import inf
from typing import Any

from eventlet import greenthread, wsgi

from waxwingsaddle.connection_acceptor import Acceptor
from waxwingsaddle.web import Application


class _State(wsgi.Server):
    """Settings that the protocol class reads; without logs of requests."""

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
    """One HTTP server.

    Args:
        address: IP number and port to listen on.
        application: Answers the requests.
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
        # When each was accepted, in monotonic seconds.
        self._accepted_s: dict[int, float] = {}
        self._state: _State | None = None

    @property
    def pending(self) -> int:
        """The number of requests that are being answered."""
        return self._state.outstanding_requests if self._state else 0

    @property
    def open_connections(self) -> int:
        """The number of connections of callers."""
        return len(self._connections)

    def start(self) -> None:
        """Listens and serves in green threads."""
        self._acceptor.start()
        self._state = _State(self._acceptor.listener, self._application)

    def drain(self) -> None:
        """Tells each caller, with its next answer, to close its connection."""
        self._state.keepalive = False

    def finish(self, limit_s: float) -> int:
        """Closes the listener and waits for the requests of open connections.

        Args:
            limit_s: Longest wait, in seconds.

        Returns:
            The number of requests that were cut off.
        """
        return self._acceptor.finish(
            lambda: self.pending,
            self._newest_s,
            limit_s,
        )

    def _newest_s(self) -> float:
        return max(self._accepted_s.values(), default=-inf)

    def _serve(self, accepted: Any, address: Any) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = [address, accepted, wsgi.STATE_IDLE]
        self._connections[id(connection)] = connection
        self._accepted_s[id(connection)] = time.monotonic()
        greenthread.spawn_n(self._serve_connection, connection)

    def _serve_connection(self, connection: list[Any]) -> None:
        try:
            self._protocol(connection, self._state)
        except OSError:
            # The caller broke the connection off.
            connection[1].close()
        finally:
            self._connections.pop(id(connection), None)
            self._accepted_s.pop(id(connection), None)
