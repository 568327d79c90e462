"""HTTP server of all programs: eventlet's WSGI server with probe paths."""

import socket
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from typing import Any

from eventlet import Timeout, convenience, greenthread, wsgi
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
# Leaves time for what a program does after its servers have stopped.
_STOP_LIMIT_S = 3


class StopServing(GreenletExit):
    """Ends the accept loop; requests in flight are still answered."""


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` into IP number and port.

    Raises:
        ValueError: The address has no valid port.
    """
    ip, _, port = address.rpartition(':')
    return ip, int(port)


def listen(address: str) -> socket.socket:
    """Returns a listening socket.

    Args:
        address: IP number and port, as `IP:PORT`.

    Raises:
        ListenError: The address is in use or does not belong to this host.
    """
    with wrap_listen_errors(address):
        return convenience.listen(
            split_address(address),
            backlog=LISTEN_BACKLOG,
            # eventlet sets SO_REUSEPORT by default. A second process started
            # by mistake would then take part of the connections.
            reuse_port=False,
        )


def reply_json(
    start_response: StartResponse,
    status: str,
    body: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answers a request with a JSON document.

    Args:
        start_response: WSGI function that takes status and headers.
        status: Status code and phrase.
        body: Encoded as JSON.
        headers: Further header fields.

    Returns:
        The body, as WSGI expects it.
    """
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
    """Answers a request of a measurement with the result of a handler.

    Args:
        environ: WSGI environment; the request body is JSON or empty.
        start_response: WSGI function that takes status and headers.
        handlers: By path, functions from the parsed body to the result.

    Returns:
        The result as JSON; 404 for other paths.
    """
    handler = handlers.get(environ['PATH_INFO'])
    if handler is None:
        return reply_json(start_response, '404 Not Found', {})
    body = environ['wsgi.input'].read()
    request = unpack_json(body) if body else {}
    return reply_json(start_response, '200 OK', handler(request))


def parse_since(query: str) -> int:
    """Returns the number of the query `since=NUMBER`; 0 for other queries."""
    name, _, text = query.partition('=')
    return (parse_number(text) or 0) if name == 'since' else 0


class Probes:
    """WSGI middleware for `/metrics`, `/healthz`, `/readyz`, `/v1/events`.

    Args:
        application: Serves all other paths.
        is_ready: Returns whether the program can do its work now.
        detail: Returns further fields of `/readyz`, such as the last problem.
        timeline: Events of `/v1/events`; without it that path goes to the
            application.
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
        """Answers a probe, or passes the request to the application."""
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
    """HTTP server.

    Args:
        address: IP number and port to listen on.
        application: WSGI application.
        protocol: Class that serves the requests of a connection.
        stop_limit_s: Longest wait for requests in progress at a stop, in
            seconds.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        protocol: type[wsgi.HttpProtocol] = wsgi.HttpProtocol,
        stop_limit_s: float = _STOP_LIMIT_S,
    ) -> None:
        self._address = address
        self._application = application
        self._protocol = protocol
        self._stop_limit_s = stop_limit_s
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to listen and serves requests in a green thread."""
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
        """Closes listener and idle connections, waits for open requests."""
        if self._thread is None:
            return
        # A thread that has not started yet needs all three parts of the
        # exception: eventlet passes them to `throw`.
        self._thread.kill(StopServing, StopServing(), None)
        with suppress(StopServing), Timeout(self._stop_limit_s, False):
            self._thread.wait()
        self._thread = None
