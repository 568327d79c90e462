"""Answers of upstreams that break off, seen by callers behind two hosts."""

from http.client import HTTPConnection, HTTPException
from itertools import product

import eventlet
from nose2.tools import params

from test.scripted_hosts import two_hosts
from test.scripted_upstreams import reset
from waxwingsaddle.socket_reader import SocketReader

WHOLE = (
    b'HTTP/1.1 200 OK\r\nX-Id: z1\r\nContent-Length: 300000\r\n'
    b'Connection: close\r\n\r\n'
)
UNSIZED = b'HTTP/1.1 200 OK\r\nX-Id: z1\r\n\r\n'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
BODY = b'z' * 300_000
CHUNK = b'186a0\r\n%b\r\n' % BODY[:100_000]
LAST_CHUNK = b'%b%b0\r\n' % (CHUNKED, CHUNK)
# Cuts in the status line, in and after a field, and before the empty line.
HALF_HEADS = tuple(WHOLE[:size] for size in (0, 7, 15, 17, 21, 27, 40, 50, 72))


def _addresses(hosts):
    _, guard, entry = hosts
    return guard.http_address, entry.http_address


def _post(address):
    """Makes a call that must not run twice; returns status and body."""
    connection = HTTPConnection(address, timeout=10)
    try:
        connection.request('POST', '/orders?id=z1')
        response = connection.getresponse()
        return response.status, response.read()
    except HTTPException:
        return 0, b''
    finally:
        connection.close()


def test_half_head_is_no_answer():
    """Guards against a success with an empty or short body.

    An upstream stops in the middle of the head of its answer, and closes or
    resets the connection.
    """
    ends = ([None], [None], [reset, None], [reset, None])
    scripts = [[half, *end] for half, end in product(HALF_HEADS, ends)]
    with two_hosts(*scripts) as hosts:
        for half in HALF_HEADS:
            for _ in range(2):
                results = [_post(address)[0] for address in _addresses(hosts)]
                assert results == [502, 502], (half, results)


@params(
    ('length, closed', [WHOLE + BODY[:-1], None]),
    ('length, no byte of the body', [WHOLE, None]),
    ('length, reset', [WHOLE + BODY[:-1], reset, None]),
    ('no length, reset', [UNSIZED + BODY, reset, None]),
    ('chunks, closed', [CHUNKED + CHUNK, None]),
    ('chunks, closed in a chunk', [CHUNKED + CHUNK[:-9], None]),
    ('chunks, closed before the trailers', [LAST_CHUNK, None]),
)
def test_short_body_never_looks_whole(name, script):
    """Guards against a body that breaks off and is framed as complete."""
    with two_hosts(script, script) as hosts:
        for address in _addresses(hosts):
            status, body = _post(address)
            assert status in {0, 502}, (name, status, len(body))


def test_body_that_ends_with_its_connection_is_whole():
    """Guards against a complete answer without length taken for broken."""
    script = [UNSIZED + BODY, None]
    with two_hosts(script, script) as hosts:
        for address in _addresses(hosts):
            assert _post(address) == (200, BODY)


def _receive_all(address):
    """Makes a call of HTTP/1.0; returns what came until the regular close."""
    host, _, port = address.partition(':')
    with eventlet.connect((host, int(port))) as sock:
        sock.settimeout(10)
        # The green socket returns no bytes after a reset.
        reader = SocketReader(sock)
        sock.sendall(b'POST /orders?id=z1 HTTP/1.0\r\nHost: orders\r\n\r\n')
        return reader.read(len(UNSIZED) + len(BODY) + 1000)


def test_broken_body_never_looks_whole_to_an_old_caller():
    """Guards against the close of a connection that ends a broken body.

    HTTP/1.0 has no chunks, so the close is the only end of a body without
    length.
    """
    scripts = [[UNSIZED + BODY, reset, None] for _ in range(4)]
    with two_hosts(*scripts) as (_, guard, entry):
        for node in (guard, entry):
            for server in ('http_address', 'ingress_address'):
                try:
                    received = _receive_all(node.settings[server])
                except ConnectionResetError:
                    continue
                raise AssertionError((server, len(received)))
