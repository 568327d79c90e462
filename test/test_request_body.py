"""Bodies of requests to pages that read them whole, without end or in part."""

import time
from contextlib import contextmanager

import eventlet
from eventlet.green import socket
from nose2.tools import params

from test.scripted_upstreams import flood, trickle
from waxwingsaddle.lean_http import LeanProtocol
from waxwingsaddle.request_body import RequestBodyError, read_body
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import Server, reply_json, split_address

LIMIT_BYTES = 10_000
TIMEOUT_S = 0.3
# Time for noticing a limit and closing the connection.
CLOSE_S = 0.5
START = b'POST /page HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n'
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START


def sized(size_bytes, sent_bytes=0):
    """Returns a head with a length, and the first bytes of the body."""
    body = b'x' * sent_bytes
    return b'%bContent-Length: %d\r\n\r\n%b' % (START, size_bytes, body)


def _page(environ, start_response):
    try:
        body = read_body(environ, LIMIT_BYTES, TIMEOUT_S)
    except RequestBodyError as error:
        return reply_json(start_response, error.status, {'error': str(error)})
    return reply_json(start_response, '200 OK', {'size': len(body)})


@contextmanager
def _connection():
    """Yields a connection to a server with one page."""
    address = free_address()
    server = Server(address, _page, LeanProtocol)
    server.start()
    eventlet.sleep(0.05)
    sock = socket.create_connection(split_address(address), 5)
    try:
        yield sock
    finally:
        sock.close()
        server.stop()


@params(
    ('with length', sized(LIMIT_BYTES, LIMIT_BYTES), None, b'200'),
    ('in chunks', b'%b3\r\nxyz\r\n0\r\n\r\n' % CHUNKED, None, b'200'),
    ('too long', sized(LIMIT_BYTES + 1, LIMIT_BYTES), b'x', b'413'),
    ('endless', sized(10**12), b'x' * 1000, b'413'),
    ('endless chunks', CHUNKED, b'3e8\r\n%b\r\n' % (b'x' * 1000), b'413'),
    ('malformed chunk size', b'%bzz\r\n' % CHUNKED, None, b'400'),
)
def test_body_is_bounded(name, start, endless, status):
    """Guards against a page that stores an endless body in memory."""
    with _connection() as sock:
        sock.sendall(start)
        sender = eventlet.spawn(_send_endlessly, sock, endless)
        assert sock.recv(12).startswith(b'HTTP/1.1 %b' % status), name
        sender.kill()


@params(
    ('silence', sized(100), b''),
    ('trickle', sized(100), b'x'),
    ('trickling chunks', CHUNKED, b'1\r\nx\r\n'),
)
def test_slow_body_ends_in_time(name, start, piece):
    """Guards against a page that waits for a body without end."""
    with _connection() as sock:
        started_s = time.monotonic()
        sock.sendall(start)
        sender = eventlet.spawn(_ignore_errors, trickle(piece), sock)
        assert sock.recv(12).startswith(b'HTTP/1.1 408'), name
        elapsed_s = time.monotonic() - started_s
        assert elapsed_s < TIMEOUT_S + CLOSE_S, (name, elapsed_s)
        sender.kill()


def test_body_that_breaks_off_is_refused():
    """Guards against half a body that is taken for a whole one."""
    with _connection() as sock:
        sock.sendall(sized(100, 50))
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(12).startswith(b'HTTP/1.1 400')


def _send_endlessly(sock, piece):
    if piece is not None:
        _ignore_errors(flood(piece), sock)


def _ignore_errors(script, sock):
    try:
        script(sock)
    except OSError:
        # The server closed the connection.
        return
