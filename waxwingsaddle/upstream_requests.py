"""Requests as they are written to an upstream."""

from eventlet import greenthread

from waxwingsaddle.calls import Request
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.upstream_connection import Connection

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
# Larger request bodies are sent while the answer is awaited: an upstream may
# answer before it has read the body.
_SENT_FIRST_BYTES = 16_384


def request_head(
    request: Request,
    names: HeaderNames,
    upstream: str,
    left_ms: int,
) -> bytes:
    """Returns the head of a request.

    Args:
        request: The request.
        names: Names of the header fields.
        upstream: Name of the upstream that it is meant for.
        left_ms: Time until the caller gives up.
    """
    lines = [
        f'{name}: {text}\r\n'
        for name, text in request.headers
        if name != names.deadline_ms
    ]
    if names.expected_upstream:
        lines.append(f'{names.expected_upstream}: {upstream}\r\n')
    body = request.body
    has_body = body or request.method in _METHODS_WITH_BODY
    return ''.join(
        (
            f'{request.method} {request.target} HTTP/1.1\r\n',
            *lines,
            f'{names.deadline_ms}: {left_ms}\r\n',
            f'Content-Length: {len(body)}\r\n' if has_body else '',
            '\r\n',
        ),
    ).encode('latin-1')


def send_request(
    connection: Connection,
    head: bytes,
    body: bytes,
) -> greenthread.GreenThread | None:
    """Sends a request.

    Returns:
        The green thread that sends the rest of a large body; none when all is
        sent.

    Raises:
        OSError: The connection broke off.
    """
    if len(body) <= _SENT_FIRST_BYTES:
        connection.sock.sendall(head + body if body else head)
        return None
    connection.sock.sendall(head)
    return greenthread.spawn(_send_rest, connection, body)


def _send_rest(connection: Connection, body: bytes) -> None:
    try:
        connection.sock.sendall(body)
    except OSError:
        # The reader of the answer notices that the connection ended.
        connection.is_sound = False
