"""Control hosts that send answers without end to `waxwingctl` and sources."""

import socket
import threading
import time
from contextlib import contextmanager, suppress

from nose2.tools import params

from waxwingsaddle.api_models import Failure
from waxwingsaddle.client import Client

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
TIMEOUT_S = 0.5
MAX_BYTES = 1_000_000


def _send(listener, start, piece, pause_s):
    sock = listener.accept()[0]
    with sock, suppress(OSError):
        sock.recv(4096)
        sock.sendall(start)
        while True:
            sock.sendall(piece)
            time.sleep(pause_s)


@contextmanager
def _endless_host(start, piece, pause_s):
    """Runs a control host that sends pieces until its caller closes."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_send, args=(listener, start, piece, pause_s), daemon=True
        ).start()
        yield '{}:{}'.format(*listener.getsockname())


@params(
    ('fast body without length', b'\r\n', b'x' * 65_536, 0),
    ('slow body without length', b'\r\n', b'x', 0.05),
    ('slow chunks', b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\nx\r\n', 0.05),
    ('chunks', b'Transfer-Encoding: chunked\r\n\r\n', b'2\r\nxy\r\n' * 9, 0),
    ('slow body', b'Content-Length: 99999\r\n\r\n', b'x', 0.05),
)
def test_answer_without_end_is_given_up(name, fields, piece, pause_s):
    """Guards against a command that reads for ever, or fills the memory."""
    with _endless_host(HEAD + fields, piece, pause_s) as address:
        started_s = time.monotonic()
        client = Client(
            [address],
            timeout_ms=round(TIMEOUT_S * 1000),
            max_answer_bytes=MAX_BYTES,
        )
        failure = client.history()
        elapsed_s = time.monotonic() - started_s
    assert isinstance(failure, Failure), name
    assert failure.kind == 'unreachable', (name, failure)
    assert 'answer' in failure.message, (name, failure)
    # Fast answers end by their size, for which the slowest rate allows 15 s.
    limit_s = TIMEOUT_S + 2 if pause_s else 17
    assert elapsed_s < limit_s, (name, elapsed_s)
