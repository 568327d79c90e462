"""Callers that send bytes without end."""

import time

import eventlet
from nose2.tools import params

from test.callers import serve_callers
from test.scripted_upstreams import flood, trickle

HEAD_TIMEOUT_S = 0.4
# The connection lingers for a second, so that the caller can read its answer.
CLOSE_S = 1.6
START = b'POST /orders/0 HTTP/1.1\r\nHost: shop.example\r\n'
SIZED = b'%bContent-Length: 5000\r\n\r\n' % START
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % START
TRAILERS = b'%b0\r\n' % CHUNKED


@params(
    ('slow head', b'GET /designs/', trickle(b'x'), b'408'),
    ('slow header lines', START, trickle(b'X: x\r\n'), b'408'),
    ('header lines', START, flood(b'X: x\r\n'), b'431'),
    ('one long line', b'GET /', flood(b'x'), b'431'),
    ('no head', b'', flood(b'\x00\xff\n'), b'431'),
    ('slow empty lines', b'', trickle(b'\r\n'), b'400'),
    ('empty lines', b'', flood(b'\r\n'), b'400'),
    ('slow body with length', SIZED, trickle(b'x'), b'408'),
    ('slow chunks', CHUNKED, trickle(b'1\r\nx\r\n'), b'408'),
    ('chunks', CHUNKED, flood(b'1\r\nx\r\n'), b'413'),
    ('slow chunk size', CHUNKED, trickle(b'0'), b'408'),
    ('long chunk size', CHUNKED, flood(b'0'), b'400'),
    ('slow trailers', TRAILERS, trickle(b'X: x\r\n'), b'408'),
    ('trailers', TRAILERS, flood(b'X: x\r\n'), b'400'),
)
def test_endless_request_is_refused(name, start, script, status):
    """Guards against a caller that holds a connection without end."""
    with serve_callers(head_timeout_s=HEAD_TIMEOUT_S) as parts:
        _, connect, dispatcher = parts
        sock = connect()
        sender = eventlet.spawn(_send, sock, start, script)
        started_s = time.monotonic()
        received = _read_all(sock)
        elapsed_s = time.monotonic() - started_s
        sender.kill()
        assert not dispatcher.started, name
        assert received.startswith(b'HTTP/1.1 %b' % status), (name, received)
        assert elapsed_s < HEAD_TIMEOUT_S + CLOSE_S, (name, elapsed_s)


def _send(sock, start, script):
    try:
        sock.sendall(start)
        script(sock)
    except OSError:
        # The server closed the connection.
        return


def _read_all(sock):
    received = b''
    try:
        while block := sock.recv(65_536):
            received += block
    except ConnectionResetError:
        # The server closed it while bytes were on their way.
        return received
    return received
