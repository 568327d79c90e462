"""One HTTP connection to an upstream."""

from eventlet.green import socket

from waxwingsaddle.bodies import Body
from waxwingsaddle.calls import Request
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.heads import (
    AnswerHead,
    HeadLimits,
    MalformedError,
    parse_answer,
    read_head,
)
from waxwingsaddle.socket_reader import SocketReader

# Second answers to earlier requests that are passed over on one connection.
_MOST_STRAYS = 4
_STRAY_BYTES = 1_048_576
BODYLESS = frozenset((204, 304))
_LEAST_FINAL_STATUS = 200
_LEAST_REDIRECT_STATUS = 300


class Connection:
    """One connection to an upstream, with buffered reading."""

    def __init__(self, target: tuple[str, int], timeout_s: float) -> None:
        self.sock = socket.create_connection(target, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = SocketReader(self.sock)
        self.idle_since_s = 0.0
        self.idle_limit_s = float('inf')
        self.is_sound = True

    def is_idle(self) -> bool:
        """Says whether it is open with nothing to read."""
        if self.reader.has_buffered:
            return False
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes it."""
        self.reader.close()
        self.sock.close()


class Exchange:
    """One request on the leg, which another green thread may abort."""

    def __init__(self) -> None:
        self.is_aborted = False
        self.connection: Connection | None = None

    def abort(self) -> None:
        """Closes the connection below the request: the upstream notices."""
        self.is_aborted = True
        if self.connection is not None:
            try:
                self.connection.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The upstream closed it first.
                return


def read_answer(
    connection: Connection,
    request: Request,
    limits: HeadLimits,
    names: HeaderNames,
) -> AnswerHead:
    """Returns the head of the final answer to a request.

    An upstream may send a second answer to an earlier request late, when the
    next answer is due. Identifiers tell; the connection is not used again.

    Raises:
        MalformedError: It is malformed or too large, belongs to no request of
            this connection, or the connection ended.
        OSError: The connection broke off.
    """
    request_id = request_id_of(request, names)
    for _ in range(_MOST_STRAYS):
        head = _next_final(connection, limits)
        answered_id = head.fields.get(names.request_id_key, request_id)
        if answered_id == request_id:
            _check_signature(head, names)
            return head
        connection.is_sound = False
        body = body_of(connection, request, head)
        body.read(_STRAY_BYTES)
        if not body.is_whole:
            raise MalformedError('a long answer to another request')
    raise MalformedError('too many answers to other requests')


def _next_final(connection: Connection, limits: HeadLimits) -> AnswerHead:
    while True:
        raw = read_head(connection.reader, limits)
        if not raw:
            raise MalformedError('the upstream closed the connection')
        head = parse_answer(raw)
        if head.status >= _LEAST_FINAL_STATUS:
            return head


def request_id_of(request: Request, names: HeaderNames) -> str:
    """Returns the identifier that the caller gave; empty without one."""
    if not names.request_id:
        return ''
    key = names.request_id_key
    return next(
        (text for name, text in request.headers if name.lower() == key),
        '',
    )


def _check_signature(head: AnswerHead, names: HeaderNames) -> None:
    is_success = head.status < _LEAST_REDIRECT_STATUS
    is_signed = not names.signature or names.signature_key in head.fields
    if is_success and not is_signed:
        raise MalformedError('a success without signature')


def body_of(connection: Connection, request: Request, head: AnswerHead) -> Body:
    """Returns the body that follows the head of an answer."""
    is_bodyless = request.method == 'HEAD' or head.status in BODYLESS
    body = Body(connection.reader, head.framing, is_to_end=not is_bodyless)
    body.is_whole = body.is_whole or is_bodyless
    return body
