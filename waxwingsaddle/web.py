"""HTTP server of every program: eventlet's WSGI server with probes."""

from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from eventlet import convenience, greenthread, wsgi
from greenlet import GreenletExit

from waxwingsaddle import metrics
from waxwingsaddle.util.codec import pack_json

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LISTEN_BACKLOG = 1024
JSON_TYPE = 'application/json'


class StopServing(GreenletExit):
    """Ends the accept loop; calls in flight are served to their end."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and port of `IP:PORT`.

    Raises:
        ValueError: The text has no port.
    """
    ip, _, port = address.rpartition(':')
    return ip, int(port)


def reply_json(
    start_response: StartResponse,
    status: str,
    body: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers a request with a JSON document."""
    encoded = pack_json(body)
    start_response(
        status,
        [
            ('Content-Type', JSON_TYPE),
            ('Content-Length', str(len(encoded))),
            *headers,
        ],
    )
    return [encoded]


class Probes:
    """Serves `/metrics`, `/healthz` and `/readyz` before an application.

    Args:
        application: Serves all other paths.
        is_ready: Whether the program can do its work now.
        detail: Named values that `/readyz` adds, such as the last problem.
    """

    def __init__(
        self,
        application: Application,
        is_ready: Callable[[], bool],
        detail: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        self._application = application
        self._is_ready = is_ready
        self._detail = detail

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ['PATH_INFO']
        if path == '/metrics':
            exposition = metrics.exposition()
            start_response(
                '200 OK',
                [
                    ('Content-Type', metrics.CONTENT_TYPE),
                    ('Content-Length', str(len(exposition))),
                ],
            )
            return [exposition]
        if path == '/healthz':
            return reply_json(start_response, '200 OK', {'alive': True})
        if path == '/readyz':
            is_ready = self._is_ready()
            status = '200 OK' if is_ready else '503 Service Unavailable'
            body = {**self._detail(), 'ready': is_ready}
            return reply_json(start_response, status, body)
        return self._application(environ, start_response)


class Server:
    """One HTTP server.

    Args:
        address: IP number and port to listen on.
        application: Answers the requests.
        protocol: Class that reads requests from a connection.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        protocol: type[wsgi.HttpProtocol] = wsgi.HttpProtocol,
    ) -> None:
        self._address = address
        self._application = application
        self._protocol = protocol
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Listens and serves in a green thread."""
        listener = convenience.listen(
            split_address(self._address),
            backlog=LISTEN_BACKLOG,
        )
        self._thread = greenthread.spawn(
            wsgi.server,
            listener,
            self._application,
            protocol=self._protocol,
            log_output=False,
            socket_timeout=None,
            debug=False,
        )

    def stop(self) -> None:
        """Closes the listener and idle connections, then waits for calls."""
        if self._thread is None:
            return
        # eventlet takes all three parts where the thread has not begun yet.
        self._thread.kill(StopServing, StopServing(), None)
        with suppress(StopServing):
            self._thread.wait()
        self._thread = None
