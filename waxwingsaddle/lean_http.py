"""HTTP server connection with low overhead per request.

Replaces the most expensive parts of eventlet's `HttpProtocol`: header parsing
by `email.parser`, the full WSGI environment, and a response writer with many
small steps.
"""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from eventlet import wsgi

from waxwingsaddle import logs, metrics
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import (
    HeadLimits,
    HeadTooLargeError,
    MalformedError,
    RequestHead,
    parse_request,
    read_head,
)
from waxwingsaddle.lingering_close import linger, reset_on_close
from waxwingsaddle.util.http_date import http_date
from waxwingsaddle.web import Environ

_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_OUTCOME_LINE = 'Waxwing-Outcome: not-run\r\n'
_BODYLESS = frozenset((204, 304))

_malformed_requests = metrics.counter(
    'waxwing_http_malformed',
    'Requests that were refused as malformed.',
)


class RequestBody(Body):
    """Body of a request; sends `100 Continue` before the first read if asked.

    Args:
        protocol: The connection that received the request.
        head: Head of the request.
    """

    def __init__(self, protocol: 'LeanProtocol', head: RequestHead) -> None:
        super().__init__(protocol.rfile, head.framing)
        self._protocol = protocol
        self._is_continue_expected = (
            head.fields.get('expect', '').lower() == '100-continue'
            and not self.is_complete
        )

    def read(self, size_bytes: int) -> bytes:
        """Returns the next bytes; fewer than requested only at the end."""
        if self._is_continue_expected:
            self._is_continue_expected = False
            self._protocol.connection.sendall(_CONTINUE_RESPONSE)
        return super().read(size_bytes)

    def get_socket(self) -> Any:
        """Returns the socket of the caller's connection."""
        return self._protocol.connection


class LeanProtocol(wsgi.HttpProtocol):
    """Serves the requests of one connection.

    Attributes:
        limits: Largest accepted head.
        is_lingering: Whether the caller gets time to read the last answer.
        is_broken_off: Whether the connection ends with a reset, as a regular
            close would mark the end of the body.
    """

    limits = HeadLimits()
    is_lingering = False
    is_broken_off = False

    def finish(self) -> None:
        """Closes the connection."""
        if self.is_broken_off:
            # The socket is open as long as one of these is.
            for stream in (self.rfile, self.wfile, self.connection):
                stream.close()
            return
        if self.is_lingering:
            linger(self.connection)
        super().finish()

    def handle_one_request(self) -> None:
        """Reads and answers one request."""
        self.close_connection = True
        raw_head = self._read_head()
        if not raw_head:
            return
        self.conn_state[2] = wsgi.STATE_REQUEST
        try:
            head = parse_request(raw_head)
        except MalformedError as error:
            self._refuse(HTTPStatus.BAD_REQUEST, str(error))
            return
        self.server.outstanding_requests += 1
        try:
            self._respond(head)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True
        finally:
            self.server.outstanding_requests -= 1

    def _read_head(self) -> bytes:
        try:
            return read_head(self.rfile, self.limits)
        except HeadTooLargeError as error:
            status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            self._refuse(status, str(error))
        except (OSError, ValueError):
            pass  # The caller or the server has closed the connection.
        return b''

    def _refuse(self, status: HTTPStatus, problem: str) -> None:
        _malformed_requests.inc()
        body = f'{problem}\n'
        text = (
            f'HTTP/1.1 {status.value} {status.phrase}\r\n{_OUTCOME_LINE}'
            f'Waxwing-Reason: malformed\r\nContent-Type: text/plain\r\n'
            f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}'
        )
        try:
            self.connection.sendall(text.encode('ascii'))
        except OSError:
            # The caller has closed the connection; it is closed here anyway.
            return

    def _respond(self, head: RequestHead) -> None:
        body = RequestBody(self, head)
        writer = _ResponseWriter(self, head, body)
        body_parts = ()
        try:
            body_parts = self.server.app(_environ(head, body), writer.start)
            writer.write_all(body_parts)
        except (BrokenPipeError, ConnectionResetError):
            raise
        except Exception as error:
            writer.fail(error)
        finally:
            if hasattr(body_parts, 'close'):
                body_parts.close()


def protocol_with_limits(limits: HeadLimits) -> type[LeanProtocol]:
    """Returns a protocol class with these limits, for callers of a node.

    The server creates one instance per connection and passes no limits.
    """
    attributes = {'limits': limits, 'is_lingering': True}
    return type('LimitedProtocol', (LeanProtocol,), attributes)


def _environ(head: RequestHead, body: RequestBody) -> Environ:
    path, _, query = head.target.partition('?')
    return {
        'REQUEST_METHOD': head.method,
        'RAW_PATH_INFO': path,
        'PATH_INFO': unquote(path, 'latin-1') if '%' in path else path,
        'QUERY_STRING': query,
        'wsgi.input': body,
        'waxwing.head': head,
    }


class _ResponseWriter:
    """Writes the response to one request."""

    def __init__(
        self,
        protocol: LeanProtocol,
        head: RequestHead,
        body: RequestBody,
    ) -> None:
        self._protocol = protocol
        self._head = head
        self._body = body
        self._status = ''
        self._headers: list[tuple[str, str]] = []
        self._is_head_written = False
        self._is_chunked = False
        self._is_until_close = False

    def start(
        self,
        status: str,
        headers: list[tuple[str, str]],
        _exc_info: object = None,
    ) -> None:
        """Sets status and header fields, as `start_response` of WSGI."""
        self._status = status
        self._headers = headers

    def write_all(self, body_parts: Iterable[bytes]) -> None:
        """Writes the response; a list of body parts goes out in one message."""
        if isinstance(body_parts, list):
            body = b''.join(body_parts)
            self._send(self._build_head(len(body)), body)
            return
        head = self._build_head(None)
        if self._is_until_close:
            self._set_broken_off(True)
        self._send(head, b'')
        if self._is_bodyless():
            return
        sent_bytes = 0
        for block in filter(None, body_parts):
            sent_bytes += len(block)
            if self._is_chunked:
                self._send(b'%x\r\n' % len(block), block, b'\r\n')
            else:
                self._protocol.connection.sendall(block)
        if self._is_chunked:
            self._protocol.connection.sendall(b'0\r\n\r\n')
        elif self._is_until_close:
            self._set_broken_off(False)
        elif sent_bytes != self._declared_length():
            raise ValueError(
                f'body has {sent_bytes} bytes, unlike its Content-Length'
            )

    def _set_broken_off(self, is_broken_off: bool) -> None:
        self._protocol.is_broken_off = is_broken_off
        reset_on_close(self._protocol.connection, is_broken_off)

    def _declared_length(self) -> int:
        return next(
            int(text)
            for name, text in self._headers
            if name.lower() == 'content-length'
        )

    def fail(self, error: Exception) -> None:
        """Breaks the response off, so that it does not look complete."""
        logs.logger().warning('answer broke off', error=repr(error))
        self._protocol.close_connection = True
        if not self._is_head_written:
            self.start('500 Internal Server Error', [])
            self._send(self._build_head(0), b'')

    def _build_head(self, length: int | None) -> bytes:
        self._is_head_written = True
        names = {name.lower() for name, _ in self._headers}
        lines = [
            f'HTTP/1.1 {self._status}\r\n',
            *(f'{name}: {text}\r\n' for name, text in self._headers),
        ]
        if 'date' not in names:
            lines.append(f'Date: {http_date()}\r\n')
        has_length = 'content-length' in names
        if not has_length and not self._is_bodyless():
            lines.append(self._framing_line(length))
        lines.append(self._connection_line())
        lines.append('\r\n')
        return ''.join(lines).encode('latin-1')

    def _framing_line(self, length: int | None) -> str:
        if length is not None:
            return f'Content-Length: {length}\r\n'
        if self._head.is_http10:
            self._is_until_close = True
            return ''
        self._is_chunked = True
        return 'Transfer-Encoding: chunked\r\n'

    def _connection_line(self) -> str:
        protocol = self._protocol
        is_kept_alive = (
            self._head.framing.is_persistent
            and self._body.is_complete
            and not self._is_until_close
            and protocol.server.keepalive
            and protocol.conn_state[2] != wsgi.STATE_CLOSE
        )
        protocol.close_connection = not is_kept_alive
        if not is_kept_alive:
            return 'Connection: close\r\n'
        return 'Connection: keep-alive\r\n' if self._head.is_http10 else ''

    def _is_bodyless(self) -> bool:
        status = int(self._status[:3])
        return self._head.method == 'HEAD' or status in _BODYLESS

    def _send(self, *parts: bytes) -> None:
        message = b''.join(parts)
        if self._is_bodyless():
            message = parts[0]
        self._protocol.connection.sendall(message)
