"""Requests of soaks on kept connections, and what their callers saw."""

import hashlib
import io
import socket
import time
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPException, HTTPResponse
from math import inf

from test.fake_upstream import body_blocks

# Far beyond the end of every call; longer means that the node forgot it.
HANG_S = 20
_CHUNK_BYTES = 3000


@dataclass
class SoakRequest:
    """A request and what its caller saw.

    Attributes:
        identifier: Identifier in the journals of the upstreams.
        host: Node that it was sent to.
        server: Server of the node, `ingress` or `api`.
        method: HTTP method; only `GET` may run more than once.
        work_ms: Time that the upstream works.
        deadline_ms: Deadline that the caller states.
        body: Body of the request.
        is_chunked: Whether the body is sent in chunks of HTTP.
        pause_s: Pause amid the body, in seconds.
        answer_bytes: Size of the answer; 0 for the identifier.
        connected_s: When its connection was opened, in epoch seconds.
        begun_s: When the caller began to send it, in epoch seconds.
        whole_s: When it was sent whole; infinite if it never was.
        ended_s: When the answer or the connection ended.
        status: Status of a complete answer; 0 without one.
        outcome: Outcome in the answer, if it states one.
        reason: Reason in the answer, or the error without an answer.
        is_behind_close: Whether an earlier answer on the connection announced
            that it closes.
    """

    identifier: str
    host: str
    server: str
    method: str
    work_ms: int
    deadline_ms: int
    body: bytes = b''
    is_chunked: bool = False
    pause_s: float = 0
    answer_bytes: int = 0
    connected_s: float = 0
    begun_s: float = 0
    whole_s: float = inf
    ended_s: float = 0
    status: int = 0
    outcome: str = ''
    reason: str = ''
    is_behind_close: bool = False

    @property
    def is_safe(self):
        """Whether the request may run more than once."""
        return self.method == 'GET'

    @property
    def is_sized(self):
        """Whether the answer states its length, as one of an even size does."""
        return self.answer_bytes % 2 == 0

    def parts(self):
        """Returns the bytes to send before and after the pause."""
        half = len(self.body) // 2
        first, second = self.body[:half], self.body[half:]
        if not self.is_chunked:
            length = f'Content-Length: {len(self.body)}'
            return self._head(length) + first, second
        head = self._head('Transfer-Encoding: chunked')
        return head + _chunks(first), b'%b0\r\n\r\n' % _chunks(second)

    def _head(self, framing):
        query = f'id={self.identifier}&wait_ms={self.work_ms}'
        if self.answer_bytes:
            query = f'{query}&bytes={self.answer_bytes}'
        if not self.is_sized:
            query = f'{query}&unsized=1'
        lines = (
            f'{self.method} /orders/{self.identifier}?{query} HTTP/1.1',
            'Host: soak',
            f'Waxwing-Deadline-Ms: {self.deadline_ms}',
            framing,
            '\r\n',
        )
        return '\r\n'.join(lines).encode()

    def problem_of(self, headers, answer_body):
        """Returns what is wrong with the answer of a call that ran."""
        digest = hashlib.sha256(self.body).hexdigest()
        if headers['X-Body-Digest'] != digest:
            return 'the upstream got another body'
        expected = self.identifier.encode()
        if self.answer_bytes:
            blocks = body_blocks(self.answer_bytes, self.identifier)
            expected = b''.join(blocks)
        return '' if answer_body == expected else 'another answer'


def _chunks(body):
    starts = range(0, len(body), _CHUNK_BYTES)
    blocks = [body[start : start + _CHUNK_BYTES] for start in starts]
    return b''.join(b'%x\r\n%b\r\n' % (len(block), block) for block in blocks)


class _KeptFile(io.BufferedReader):
    """File of a connection that outlasts its answers."""

    def close(self):
        """Does nothing: the connection closes its socket."""


class _AnswerSource:
    """Socket of `HTTPResponse` whose file is that of the connection."""

    def __init__(self, file):
        self._file = file

    def makefile(self, *_arguments):
        """Returns the file of the connection."""
        return self._file


class KeptConnection:
    """A connection that carries requests until its node closes it.

    Attributes:
        is_open: Whether it can carry another request.
    """

    def __init__(self, address):
        """Connects; raises `OSError` if the node does not listen."""
        ip, _, port = address.rpartition(':')
        self._sock = socket.create_connection((ip, int(port)), HANG_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = _KeptFile(socket.SocketIO(self._sock, 'r'))
        self._connected_s = time.time()
        self.is_open = True

    def close(self):
        """Closes the connection."""
        self._sock.close()

    def exchange(self, requests):
        """Sends requests without waiting, then reads their answers."""
        for request in requests:
            request.connected_s = self._connected_s
            request.begun_s = time.time()
        for request in requests:
            self._send(request)
        is_announced = False
        for request in requests:
            request.is_behind_close = is_announced
            if self.is_open:
                self.is_open = not self._read_answer(request)
                is_announced = bool(request.status) and not self.is_open
            else:
                request.ended_s = time.time()

    def _send(self, request):
        first, second = request.parts()
        # The node may answer and close before the request is whole.
        with suppress(OSError):
            self._sock.sendall(first)
            if request.pause_s:
                time.sleep(request.pause_s)
            self._sock.sendall(second)
            request.whole_s = time.time()

    def _read_answer(self, request):
        """Reads an answer; returns whether the connection then closes."""
        response = HTTPResponse(
            _AnswerSource(self._file), method=request.method
        )
        try:
            response.begin()
            answer_body = response.read()
        except (OSError, HTTPException, ValueError) as error:
            request.ended_s = time.time()
            request.reason = repr(error)
            return True
        request.ended_s = time.time()
        request.status = response.status
        request.outcome = response.headers['Waxwing-Outcome'] or ''
        request.reason = response.headers['Waxwing-Reason'] or ''
        if response.status == 200:
            request.reason = request.problem_of(response.headers, answer_body)
        return response.will_close
