"""Answers without end, seen by callers behind two real hosts."""

import time

import eventlet
from eventlet.green import socket
from nose2.tools import params

from test.scripted_hosts import two_hosts
from test.scripted_upstreams import flood
from waxwingsaddle.util.process_usage import read_usage
from waxwingsaddle.web import split_address

REQUEST = (
    b'GET /orders/1 HTTP/1.1\r\nHost: a\r\nWaxwing-Deadline-Ms: 1000\r\n\r\n'
)
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
UNSIZED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n'
READ_S = 1.0
# Buffers of a body in pieces at either host, and what the allocator keeps.
MEMORY_BYTES = 12_000_000
CLOSE_S = 1.0


def _memory(*nodes):
    return [read_usage(node.process.popen.pid).rss_bytes for node in nodes]


@params(
    ('chunks', [CHUNKED, flood(b'8\r\nabcdefgh\r\n')]),
    ('no length', [UNSIZED, flood(b'x' * 1000)]),
    ('interim heads', [flood(b'HTTP/1.1 103 Early\r\n\r\n')]),
    ('header lines', [b'HTTP/1.1 200 OK\r\n', flood(b'X: x\r\n')]),
    ('no head', [flood(b'\x00\xff')]),
)
def test_endless_answer_takes_no_memory_and_ends(name, script):
    """Guards against endless bytes that fill two hosts or hold a slot.

    The caller reads for a while and then closes its connection.
    """
    with two_hosts(script) as (upstream, guard, entry):
        before = _memory(guard, entry)
        sock = socket.create_connection(split_address(entry.http_address), 5)
        sock.sendall(REQUEST)
        received = _read_for(sock, READ_S)
        growth = [
            now - earlier
            for now, earlier in zip(_memory(guard, entry), before, strict=True)
        ]
        sock.close()
        eventlet.sleep(CLOSE_S)
        assert max(growth) < MEMORY_BYTES, (name, growth)
        assert not upstream.open_sockets, (name, upstream.open_sockets)
        # An answer without its end must not look complete.
        if not received.startswith(b'HTTP/1.1 502'):
            assert received.startswith(b'HTTP/1.1 200'), (name, received)
            assert not received.endswith(b'0\r\n\r\n'), (name, received)
            assert b'Content-Length' not in received, (name, received)


def _read_for(sock, duration_s):
    """Returns the first bytes; reads and forgets the others."""
    end_s = time.monotonic() + duration_s
    first = b''
    last = b''
    sock.settimeout(duration_s)
    while time.monotonic() < end_s:
        try:
            last = sock.recv(65_536)
        except (TimeoutError, OSError):
            break
        if not last:
            break
        if len(first) < 4096:
            first += last
    return first + last[-5:]
