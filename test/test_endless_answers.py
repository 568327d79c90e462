"""Upstreams that send bytes without end, which are no answer."""

import time
from itertools import pairwise

import eventlet
from nose2.tools import params

from test.scripted_upstreams import (
    answer,
    flood,
    request,
    scripted_client,
    send,
    trickle,
)
from waxwingsaddle.call_class import Lane
from waxwingsaddle.calls import BrokenBodyError
from waxwingsaddle.upstream_connection import Exchange
from waxwingsaddle.util.outcome import Outcome

DEADLINE_S = 0.5
# Time for noticing the deadline and closing the connection.
CLOSE_S = 0.5
HEAD = b'HTTP/1.1 200 OK\r\nSeal: x\r\nCall-Id: z1\r\n'
SIZED = b'%bContent-Length: 300000\r\n\r\n' % HEAD
UNSIZED = b'%bConnection: close\r\n\r\n' % HEAD
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % HEAD
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Larger than the largest body that is not streamed.
BLOCK = b'z' * 100_000


@params(
    ('interim heads', [flood(INTERIM)]),
    ('slow interim heads', [trickle(INTERIM)]),
    ('early hints', [trickle(b'HTTP/1.1 103 Early\r\nLink: a\r\n\r\n')]),
    ('slow head', [b'HTTP/1.1 200 OK\r\nX: ', trickle(b'x')]),
    ('slow header lines', [b'HTTP/1.1 200 OK\r\n', trickle(b'X: x\r\n')]),
    ('header lines', [b'HTTP/1.1 200 OK\r\n', flood(b'X: x\r\n')]),
    ('one long line', [b'HTTP/1.1 200 ', flood(b'x')]),
    ('no head', [flood(b'\x00\xff')]),
    ('slow empty lines', [trickle(b'\r\n')]),
    ('empty lines', [flood(b'\r\n')]),
    ('slow chunks', [CHUNKED, trickle(b'1\r\nx\r\n')]),
    ('slow chunk size', [CHUNKED, trickle(b'0')]),
    ('long chunk size', [CHUNKED, flood(b'0')]),
    ('slow chunk extension', [CHUNKED, b'5;', trickle(b'x')]),
    ('slow trailers', [CHUNKED, b'0\r\n', trickle(b'X: x\r\n')]),
    ('trailers', [CHUNKED, b'0\r\n', flood(b'X: x\r\n')]),
    ('slow body with length', [SIZED, trickle(b'x')]),
    ('slow body without length', [UNSIZED, trickle(b'x')]),
    ('stray answers', [flood(answer('other'))]),
    ('slow stray answers', [trickle(answer('other'))]),
    (
        'endless stray answer',
        [UNSIZED.replace(b'z1', b'other'), flood(b'x' * 1000)],
    ),
    ('silence', []),
)
def test_endless_bytes_end_at_the_deadline(name, steps):
    """Guards against an upstream that holds a call past its deadline."""
    with scripted_client(steps) as (upstream, client):
        started_s = time.monotonic()
        outcome = send(client, request('z1'), DEADLINE_S).outcome
        elapsed_s = time.monotonic() - started_s
        assert outcome is Outcome.UNKNOWN, (name, outcome)
        assert elapsed_s < DEADLINE_S + CLOSE_S, (name, elapsed_s)
        eventlet.sleep(CLOSE_S)
        assert not upstream.open_sockets, name
        assert not client.pool.open_count, name


def test_flood_leaves_other_green_threads_running():
    """Guards against an endless answer that holds up the event loop."""
    ticks = []
    with scripted_client([flood(answer('other', b'x' * 1000))]) as (_, client):
        ticker = eventlet.spawn(_tick, ticks)
        with scripted_client([CHUNKED, flood(b'8\r\nabcdefgh\r\n')]) as pair:
            streamed = send(pair[1], request('z1'), DEADLINE_S)
            reader = eventlet.spawn(sum, map(len, streamed.stream))
            send(client, request('z1'), DEADLINE_S)
            eventlet.sleep(DEADLINE_S)
            reader.kill()
            streamed.stream.close()
        ticker.kill()
    gaps_s = [later - earlier for earlier, later in pairwise(ticks)]
    assert max(gaps_s) < DEADLINE_S, max(gaps_s)


def _tick(ticks):
    while True:
        ticks.append(time.monotonic())
        eventlet.sleep(0.01)


@params(
    ('with length', SIZED + BLOCK, b'x'),
    ('without length', UNSIZED + BLOCK, b'x'),
    ('in chunks', b'%b186a0\r\n%b\r\n' % (CHUNKED, BLOCK), b'1\r\nx\r\n'),
)
def test_streamed_body_that_trickles_is_broken(name, start, piece):
    """Guards against a slot held for as long as a body trickles.

    The first part of the body is fast, so that the answer is streamed.
    """
    policy = {'stream_overtime_s': 0.5}
    with scripted_client([start, trickle(piece)], **policy) as pair:
        upstream, client = pair
        started_s = time.monotonic()
        streamed = send(client, request('z1'), DEADLINE_S)
        assert streamed.outcome is Outcome.RAN
        assert _is_broken(streamed), name
        elapsed_s = time.monotonic() - started_s
        assert elapsed_s < DEADLINE_S + 0.5 + CLOSE_S, (name, elapsed_s)
        eventlet.sleep(CLOSE_S)
        assert not upstream.open_sockets, name


@params(
    ('without length', UNSIZED + BLOCK, b'x' * 1000),
    ('in chunks', b'%b186a0\r\n%b\r\n' % (CHUNKED, BLOCK), b'1\r\nx\r\n'),
)
def test_fast_body_without_end_is_broken(name, start, piece):
    """Guards against a caller and a slot held by a body that never ends."""
    policy = {'stream_overtime_s': 0.5}
    with scripted_client([start, flood(piece)], **policy) as pair:
        upstream, client = pair
        started_s = time.monotonic()
        streamed = send(client, request('z1'), DEADLINE_S)
        with eventlet.Timeout(10):
            assert _is_broken(streamed), name
        elapsed_s = time.monotonic() - started_s
        assert elapsed_s < DEADLINE_S + 0.5 + CLOSE_S, (name, elapsed_s)
        eventlet.sleep(CLOSE_S)
        assert not upstream.open_sockets, name


def test_slow_reader_does_not_break_a_streamed_body():
    """Guards against blaming an upstream for a caller that reads slowly."""
    policy = {'stream_overtime_s': 0.1, 'chunk_bytes': 30_000}
    body = b'z' * 300_000
    with scripted_client([SIZED + body], **policy) as (_, client):
        streamed = send(client, request('z1'), 0.3)
        received = 0
        for piece in streamed.stream:
            received += len(piece)
            eventlet.sleep(0.1)
        streamed.stream.close()
        assert received == len(body)


def test_streamed_body_without_length_is_bounded():
    """Guards against an answer without length that never ends."""
    policy = {'unsized_bytes': 1_000_000}
    with scripted_client([UNSIZED, flood(b'x' * 1000)], **policy) as pair:
        upstream, client = pair
        streamed = send(client, request('z1'))
        assert _is_broken(streamed)
        eventlet.sleep(CLOSE_S)
        assert not upstream.open_sockets


def _is_broken(streamed):
    try:
        sum(map(len, streamed.stream))
    except BrokenBodyError:
        return True
    finally:
        streamed.stream.close()
    return False


def test_cancelled_answer_leaves_its_upstream_at_once():
    """Guards against an upstream that sends on for a minute after the end.

    Its window is full when the call is cancelled. A connection that is only
    shut down and closed lets it wait for room in the window until the kernel
    forgets the connection.
    """
    with scripted_client([CHUNKED, flood(b'8\r\nabcdefgh\r\n')]) as pair:
        upstream, client = pair
        exchange = Exchange()
        deadline_s = time.monotonic() + 30
        streamed = client.send(request('z1'), Lane.SHORT, deadline_s, exchange)
        eventlet.sleep(CLOSE_S)
        exchange.abort()
        assert _is_broken(streamed)
        eventlet.sleep(CLOSE_S)
        assert not upstream.open_sockets
