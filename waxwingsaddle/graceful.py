"""HTTP server that stops without losing a request.

eventlet's own server closes idle connections when it stops, and with them a
request that a caller has just sent. This one goes on serving its connections
and tells each caller to close them.
"""

import errno
import socket
import time
from typing import Any

from eventlet import greenio, greenthread, wsgi

from waxwingsaddle.web import Application, listen

_POLL_S = 0.02
_ACCEPT_RETRY_S = 0.05
_QUIET_S = 0.1


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
        self._address = address
        self._application = application
        self._protocol = protocol
        self._connections: dict[int, list[Any]] = {}
        self._listener: Any = None
        self._state: _State | None = None
        self._thread: greenthread.GreenThread | None = None

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
        self._listener = listen(self._address)
        self._state = _State(self._listener, self._application)
        self._thread = greenthread.spawn(self._accept_all)

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
        raw = self._listener.fd
        raw.setblocking(False)
        while True:
            try:
                accepted, address = raw.accept()
            except OSError:
                break
            accepted.setblocking(False)
            self._serve(greenio.GreenSocket(accepted), address)
        self._listener.close()

    def _accept_all(self) -> None:
        while True:
            try:
                accepted, address = self._listener.accept()
            except OSError as error:
                # Out of descriptors: callers wait in the queue.
                is_full = error.errno in {errno.EMFILE, errno.ENFILE}
                greenthread.sleep(_ACCEPT_RETRY_S if is_full else 0)
                continue
            self._serve(accepted, address)

    def _serve(self, accepted: Any, address: Any) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = [address, accepted, wsgi.STATE_IDLE]
        self._connections[id(connection)] = connection
        greenthread.spawn_n(self._serve_connection, connection)

    def _serve_connection(self, connection: list[Any]) -> None:
        try:
            self._protocol(connection, self._state)
        except OSError:
            # The caller broke the connection off.
            connection[1].close()
        finally:
            self._connections.pop(id(connection), None)
