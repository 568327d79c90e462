"""Serializes and sends requests to an upstream."""

from eventlet import greenthread

from waxwingsaddle.calls import Request
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.upstream_connection import Connection

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
# Larger request bodies are sent while waiting for the answer, because an
# upstream may answer before it has read the body.
_MAX_INLINE_BODY_BYTES = 16_384


def request_head(
    request: Request,
    names: HeaderNames,
    upstream: str,
    remaining_ms: int,
) -> bytes:
    """Returns the serialized head of a request.

    Args:
        request: The request.
        names: Names of the header fields.
        upstream: Name of the upstream that must run the request.
        remaining_ms: Time until the caller gives up.
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
            f'{names.deadline_ms}: {remaining_ms}\r\n',
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
        The green thread that sends a large body; None if all bytes were sent.

    Raises:
        OSError: The connection broke.
    """
    if len(body) <= _MAX_INLINE_BODY_BYTES:
        connection.send(head + body if body else head)
        return None
    connection.send(head)
    return greenthread.spawn(_send_body, connection, body)


def _send_body(connection: Connection, body: bytes) -> None:
    try:
        # A green socket slices what is left to send, which copies bytes.
        connection.send(memoryview(body))
    except OSError:
        # Reading the answer reports a broken connection.
        connection.is_reusable = False
