"""One HTTP connection to an upstream."""

from eventlet.green import socket

from waxwingsaddle.bodies import Body
from waxwingsaddle.calls import Request
from waxwingsaddle.heads import (
    AnswerHead,
    HeadLimits,
    MalformedError,
    parse_answer,
    read_head,
)

BODYLESS = frozenset((204, 304))
_LEAST_FINAL_STATUS = 200


class Connection:
    """One connection to an upstream, with buffered reading."""

    def __init__(self, target: tuple[str, int], timeout_s: float) -> None:
        self.sock = socket.create_connection(target, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.sock.makefile('rb')
        self.idle_since_s = 0.0

    def is_idle(self) -> bool:
        """Says whether it is open with nothing to read."""
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


def read_answer(connection: Connection, limits: HeadLimits) -> AnswerHead:
    """Returns the head of the final answer.

    Raises:
        MalformedError: It is malformed or too large, or the connection ended.
        OSError: The connection broke off.
    """
    while True:
        raw = read_head(connection.reader, limits)
        if not raw:
            raise MalformedError('the upstream closed the connection')
        head = parse_answer(raw)
        if head.status >= _LEAST_FINAL_STATUS:
            return head


def body_of(connection: Connection, request: Request, head: AnswerHead) -> Body:
    """Returns the body that follows the head of an answer."""
    is_bodyless = request.method == 'HEAD' or head.status in BODYLESS
    body = Body(connection.reader, head.framing, is_to_end=not is_bodyless)
    body.is_whole = body.is_whole or is_bodyless
    return body
