"""Uploads of callers who are cut off in the middle of a body."""

import time
from contextlib import suppress
from itertools import product
from socket import create_connection

import eventlet
from nose2.tools import params

from test.scripted_hosts import two_hosts
from test.scripted_upstreams import reset
from test.test_broken_answers import UNSIZED
from waxwingsaddle.web import split_address

SIZED = (
    b'POST /orders?id=z1 HTTP/1.1\r\nHost: o\r\nContent-Length: 3000000\r\n\r\n'
)
CHUNKED = (
    b'POST /orders?id=z1 HTTP/1.1\r\nHost: o\r\n'
    b'Transfer-Encoding: chunked\r\n\r\nf4240\r\n'
)
LAST_CHUNK_MISSING = b'%b%b\r\n' % (CHUNKED, b'u' * 1_000_000)
PART = b'u' * 1_000_000
EARLIER = b'GET /orders?id=z0 HTTP/1.1\r\nHost: o\r\n\r\n'
SERVERS = ('http_address', 'ingress_address')
# Time for a request to reach the upstream if it were run.
PAUSE_S = 0.3


def _keep(sock):
    """Leaves the connection to its regular close."""


def _cut_off(address, raw, end):
    with create_connection(split_address(address)) as sock:
        # The node may refuse and close before it has read everything.
        with suppress(OSError):
            sock.sendall(raw)
        end(sock)
    eventlet.sleep(PAUSE_S)


@params(
    *product((SIZED + PART, CHUNKED + PART, LAST_CHUNK_MISSING), (_keep, reset))
)
def test_upload_that_is_cut_off_never_runs(raw, end):
    """Guards against a part of a body that is run as a whole one."""
    with two_hosts() as (upstream, guard, entry):
        for node, server in product((guard, entry), SERVERS):
            _cut_off(node.settings[server], raw, end)
        assert not upstream.requests


@params(*SERVERS)
def test_upload_behind_an_answer_that_meets_the_reset_never_runs(server):
    """Guards against a reset that the writer of an earlier answer sees alone.

    One green thread writes the answer, another one reads the next request.
    """
    answer = b'%b%b' % (UNSIZED, PART * 9)
    scripts = [[_pause, answer, None] for _ in range(2)]
    with two_hosts(*scripts) as (upstream, guard, entry):
        for node in (guard, entry):
            _cut_off(node.settings[server], EARLIER + SIZED + PART, reset)
        time.sleep(PAUSE_S)
        methods = [head.split()[0] for _, head in upstream.requests]
        assert set(methods) <= {b'GET'}, methods


def _pause(_sock):
    eventlet.sleep(PAUSE_S / 2)
