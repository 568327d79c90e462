"""HTTP connection to an upstream, and reading of answers from it."""

from eventlet.green import socket

from waxwingsaddle.calls import Request
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import (
    HeadLimits,
    MalformedError,
    ResponseHead,
    parse_response,
    read_head,
)
from waxwingsaddle.lingering_close import reset_on_close
from waxwingsaddle.socket_reader import SocketReader

# Maximum number and body size of stray answers, which are second answers to
# earlier requests, that are skipped before the answer to a request.
_MAX_STRAY_ANSWERS = 4
_MAX_STRAY_BYTES = 1_048_576
_BLOCK_BYTES = 65_536
# Statuses whose answers have no body.
BODYLESS = frozenset((204, 304))
_SWITCHING_PROTOCOLS_STATUS = 101
_MIN_FINAL_STATUS = 200
# Maximum number of interim answers before the final answer to a request.
_MAX_INTERIM_ANSWERS = 8
_MIN_REDIRECT_STATUS = 300


class Connection:
    """A connection to an upstream, with buffered reading.

    Args:
        target: IP number and port of the upstream.
        timeout_s: Longest wait for the connection, in seconds.

    Attributes:
        sock: The socket.
        reader: Buffered reader of the socket.
        idle_since_s: When it was last returned to the pool.
        idle_limit_s: How long it may be idle and still be reused, in seconds.
        is_reusable: Whether another request may be sent on it.
    """

    def __init__(self, target: tuple[str, int], timeout_s: float) -> None:
        self.sock = socket.create_connection(target, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = SocketReader(self.sock)
        self.idle_since_s = 0.0
        self.idle_limit_s = float('inf')
        self.is_reusable = True

    def send(self, data: bytes | memoryview) -> None:
        """Sends bytes; another green thread may read at the same time.

        The kernel reports a reset once, to the first call on the socket. Later
        reads return no bytes, as after a regular end. If the reset is reported
        here, the reader has to be told.

        Raises:
            BrokenPipeError: The upstream ended its answers before the reset,
                so their end is a regular one.
            OSError: The connection broke.
        """
        try:
            self.sock.sendall(data)
        except BrokenPipeError:
            raise
        except OSError:
            self.reader.abort('the connection broke off during the request')
            raise

    def is_idle(self) -> bool:
        """Returns whether it is open and has nothing to read."""
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
        """Closes the socket."""
        self.reader.close()
        self.sock.close()

    def reset(self) -> None:
        """Resets the connection, in the middle of an answer.

        After a plain close, an upstream that goes on sending may wait for room
        in its window for as long as the kernel knows the connection, a minute.
        """
        reset_on_close(self.sock)
        self.close()


class Exchange:
    """A request to an upstream that another green thread may abort."""

    def __init__(self) -> None:
        self.is_aborted = False
        self.reason = 'cancelled'
        self.connection: Connection | None = None

    def abort(self, reason: str = 'cancelled') -> None:
        """Shuts down the connection, which the upstream notices.

        Args:
            reason: Reason of the answer.
        """
        if self.is_aborted:
            return
        self.is_aborted = True
        self.reason = reason
        if self.connection is not None:
            self.connection.reader.abort()
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
) -> ResponseHead:
    """Returns the head of the final answer to a request.

    Before it, an upstream may send a late second answer to an earlier request.
    Such a stray answer is recognized by its request identifier and skipped, and
    the connection is not reused. An answer without identifier may be a stray
    one as well, unless the request has none.

    Raises:
        MalformedError: The answer is malformed, contradicts itself, is too
            large or not identified, there are too many stray or interim
            answers, or the upstream closed the connection.
        OSError: The connection broke.
    """
    request_id = request_id_of(request, names)
    for _ in range(_MAX_STRAY_ANSWERS):
        head = _read_final_head(connection, limits)
        _check_fields(head, names)
        answered_id = head.fields.get(names.request_id_key, '')
        if request_id and not answered_id:
            raise MalformedError('an answer without a request identifier')
        if answered_id == request_id or not request_id:
            _check_signature(head, names)
            return head
        connection.is_reusable = False
        _skip_body(answer_body(connection, request, head))
    raise MalformedError('too many stray answers on one connection')


def _skip_body(body: Body) -> None:
    """Reads and drops the body of a stray answer.

    Raises:
        MalformedError: It is malformed or too long.
        OSError: The connection broke.
    """
    skipped_bytes = 0
    while not body.is_complete:
        if skipped_bytes >= _MAX_STRAY_BYTES:
            raise MalformedError('the body of a stray answer is too long')
        skipped_bytes += len(body.read(_BLOCK_BYTES))


def _read_final_head(
    connection: Connection, limits: HeadLimits
) -> ResponseHead:
    for _ in range(_MAX_INTERIM_ANSWERS + 1):
        raw = read_head(connection.reader, limits)
        if not raw:
            raise MalformedError('the upstream closed the connection')
        head = parse_response(raw)
        if head.status == _SWITCHING_PROTOCOLS_STATUS:
            raise MalformedError('a change of protocol that nobody asked for')
        if head.status >= _MIN_FINAL_STATUS:
            return head
    raise MalformedError('too many interim answers')


def request_id_of(request: Request, names: HeaderNames) -> str:
    """Returns the request identifier of the caller; empty without one."""
    if not names.request_id:
        return ''
    key = names.request_id_key
    return next(
        (text for name, text in request.headers if name.lower() == key),
        '',
    )


def _check_fields(head: ResponseHead, names: HeaderNames) -> None:
    """Checks that a head is that of one answer.

    Raises:
        MalformedError: A field that decides about the outcome is repeated, or
            a success says that the request has not run.
    """
    keys = [name.lower() for name, _ in head.headers]
    if any(keys.count(key) > 1 for key in names.once_in_answers):
        raise MalformedError('a repeated field in one answer')
    is_success = head.status < _MIN_REDIRECT_STATUS
    if is_success and names.not_run and names.not_run_key in head.fields:
        raise MalformedError('a success that says that it has not run')


def _check_signature(head: ResponseHead, names: HeaderNames) -> None:
    is_success = head.status < _MIN_REDIRECT_STATUS
    is_signed = not names.signature or names.signature_key in head.fields
    if is_success and not is_signed:
        raise MalformedError('a successful answer without a signature')


def answer_body(
    connection: Connection, request: Request, head: ResponseHead
) -> Body:
    """Returns the body that follows the head of an answer."""
    is_bodyless = request.method == 'HEAD' or head.status in BODYLESS
    body = Body(connection.reader, head.framing, is_until_close=not is_bodyless)
    body.is_complete = body.is_complete or is_bodyless
    return body
