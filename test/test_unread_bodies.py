"""Answers to requests whose bodies the node API does not read."""

from contextlib import contextmanager

import eventlet

from test.callers import read_until
from waxwingsaddle.graceful_server import GracefulServer
from waxwingsaddle.http_heads import HeadLimits
from waxwingsaddle.lean_http import protocol_with_limits
from waxwingsaddle.util.ports import free_address
from waxwingsaddle.web import split_address

# More than the buffers of a connection hold.
BODY_BYTES = 20_000_000
HEAD = b'POST / HTTP/1.1\r\nHost: n\r\nContent-Length: %d\r\n\r\n'


def _refuse(_environ, start_response):
    start_response('503 Service Unavailable', [('Waxwing-Outcome', 'not-run')])
    return [b'']


@contextmanager
def _refusing_server():
    """Yields a server that refuses all requests, and a connection to it."""
    address = free_address()
    server = GracefulServer(
        address, _refuse, protocol_with_limits(HeadLimits())
    )
    server.start()
    sock = eventlet.connect(split_address(address))
    sock.settimeout(5)
    try:
        yield server, sock
    finally:
        sock.close()
        server.close_gracefully(0)


def test_caller_that_sends_its_whole_body_first_gets_the_refusal():
    """Guards against a reset that costs a caller the answer to its request.

    The connection was closed with unread bytes, which resets it.
    """
    with _refusing_server() as (server, sock):
        sock.sendall(HEAD % BODY_BYTES + bytes(BODY_BYTES))
        received = read_until(sock, b'never')
        assert received.startswith(b'HTTP/1.1 503'), received
        assert b'Connection: close' in received
        sock.close()
        eventlet.sleep(0.05)
        assert not server.open_connections


def test_caller_that_never_closes_is_closed():
    """Guards against connections that are kept open after their answer."""
    with _refusing_server() as (server, sock):
        sock.sendall(
            b'POST / HTTP/1.1\r\nHost: n\r\nContent-Length: 9\r\n\r\nabc'
        )
        assert b'Connection: close' in read_until(sock, b'never')
        eventlet.sleep(1.3)
        assert not server.open_connections
