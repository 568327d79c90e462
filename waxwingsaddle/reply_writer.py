"""Writes HTTP responses to a connection of a caller."""

from dataclasses import dataclass
from typing import Any

from waxwingsaddle.calls import Answer, HeaderPairs
from waxwingsaddle.http_heads import STATUS_LINES, RequestHead
from waxwingsaddle.lingering_close import reset_on_close

_BODYLESS = frozenset((204, 304))


@dataclass(slots=True)
class Reply:
    """An answer with the status and the header fields for its caller.

    Attributes:
        answer: Answer of the call, which holds the body.
        status: HTTP status.
        headers: Header fields, without those that delimit the body.
        is_last: Whether the connection closes afterwards.
    """

    answer: Answer
    status: int
    headers: HeaderPairs
    is_last: bool


def write_reply(sock: Any, head: RequestHead | None, reply: Reply) -> bool:
    """Writes one response.

    Args:
        sock: Socket of the connection.
        head: Head of the request; None if it could not be parsed.
        reply: The response to write.

    Returns:
        Whether another response may follow on the connection.

    Raises:
        OSError: The caller broke the connection off.
        BrokenBodyError: The body ended early; an incomplete response has been
            written.
    """
    answer = reply.answer
    is_http10 = head is not None and head.is_http10
    is_bodyless = _is_bodyless(head, reply.status)
    length = answer.length
    if answer.stream is None and length is None:
        length = len(answer.body)
    is_chunked = length is None and not is_http10 and not is_bodyless
    is_until_close = length is None and is_http10 and not is_bodyless
    head_bytes = _build_head(
        reply, length, is_chunked, reply.is_last or is_until_close
    )
    if is_bodyless or answer.stream is None:
        sock.sendall(head_bytes if is_bodyless else head_bytes + answer.body)
        return not reply.is_last
    if is_until_close:
        # A plain close would mark the end of the body.
        reset_on_close(sock)
    sock.sendall(head_bytes)
    sent_bytes = _write_stream(sock, answer, is_chunked)
    if is_until_close:
        reset_on_close(sock, is_reset=False)
    is_complete = length is None or sent_bytes == length
    return is_complete and not reply.is_last and not is_until_close


def _is_bodyless(head: RequestHead | None, status: int) -> bool:
    is_head_request = head is not None and head.method == 'HEAD'
    return is_head_request or status in _BODYLESS


def _build_head(
    reply: Reply,
    length: int | None,
    is_chunked: bool,
    is_last: bool,
) -> bytes:
    lines = [
        f'HTTP/1.1 {STATUS_LINES.get(reply.status) or reply.status}\r\n',
        *(f'{name}: {field_text}\r\n' for name, field_text in reply.headers),
    ]
    if is_chunked:
        lines.append('Transfer-Encoding: chunked\r\n')
    elif length is not None and reply.status not in _BODYLESS:
        lines.append(f'Content-Length: {length}\r\n')
    if is_last:
        lines.append('Connection: close\r\n')
    return ''.join((*lines, '\r\n')).encode('latin-1')


def _write_stream(sock: Any, answer: Answer, is_chunked: bool) -> int:
    sent_bytes = 0
    for block in filter(None, answer.stream):
        sent_bytes += len(block)
        chunk = b'%x\r\n%b\r\n' % (len(block), block)
        sock.sendall(chunk if is_chunked else block)
    if is_chunked:
        sock.sendall(b'0\r\n\r\n')
    return sent_bytes
