"""HTTP server of every program: eventlet's WSGI server with probes."""

import socket
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from typing import Any

from eventlet import convenience, greenthread, wsgi
from greenlet import GreenletExit

from waxwingsaddle import metrics
from waxwingsaddle.events import Timeline
from waxwingsaddle.listen_errors import wrap_listen_errors
from waxwingsaddle.util.codec import pack_json, unpack_json
from waxwingsaddle.util.numbers import parse_number

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

LISTEN_BACKLOG = 1024
JSON_TYPE = 'application/json'
EVENTS_PATH = '/v1/events'


class StopServing(GreenletExit):
    """Ends the accept loop; calls in flight are served to their end."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and port of `IP:PORT`.

    Raises:
        ValueError: The text has no port.
    """
    ip, _, port = address.rpartition(':')
    return ip, int(port)


def listen(address: str) -> socket.socket:
    """Returns a listening socket.

    Raises:
        ListenError: The address is taken or not one of this host.
    """
    with wrap_listen_errors(address):
        return convenience.listen(
            split_address(address),
            backlog=LISTEN_BACKLOG,
            # eventlet shares ports by default, which would split the calls
            # between two processes by mistake.
            reuse_port=False,
        )


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


def reply_from_handler(
    environ: Environ,
    start_response: StartResponse,
    handlers: Mapping[str, Callable[[Any], Any]],
) -> list[bytes]:
    """Answers a request of a measurement with the result of its path.

    Args:
        environ: The request; its body is a JSON document or empty.
        start_response: Takes status and fields.
        handlers: By path, takes the document and returns the result.
    """
    handler = handlers.get(environ['PATH_INFO'])
    if handler is None:
        return reply_json(start_response, '404 Not Found', {})
    body = environ['wsgi.input'].read()
    request = unpack_json(body) if body else {}
    return reply_json(start_response, '200 OK', handler(request))


def parse_since(query: str) -> int:
    """Returns the number in `since=NUMBER`; 0 for any other query."""
    name, _, text = query.partition('=')
    return (parse_number(text) or 0) if name == 'since' else 0


class Probes:
    """Serves `/metrics`, `/healthz` and `/readyz` before an application.

    Args:
        application: Serves all other paths.
        is_ready: Whether the program can do its work now.
        detail: Named values that `/readyz` adds, such as the last problem.
        timeline: Events that `/v1/events` returns; without it the path goes
            to the application.
    """

    def __init__(
        self,
        application: Application,
        is_ready: Callable[[], bool],
        detail: Callable[[], dict[str, Any]] = dict,
        timeline: Timeline | None = None,
    ) -> None:
        self._application = application
        self._is_ready = is_ready
        self._detail = detail
        self._timeline = timeline

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
        if path == EVENTS_PATH and self._timeline:
            since = parse_since(environ.get('QUERY_STRING', ''))
            document = self._timeline.events_since(since)
            return reply_json(start_response, '200 OK', document)
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
        listener = listen(self._address)
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
