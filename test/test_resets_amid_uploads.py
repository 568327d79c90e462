"""Answers of upstreams that reset the connection during an upload."""

from functools import partial
from http.client import HTTPException
from itertools import product

import eventlet
from eventlet.green import socket
from nose2.tools import params

from test.nodes import call
from test.scripted_hosts import two_hosts
from test.scripted_upstreams import (
    answer,
    request,
    reset,
    scripted_client,
    send,
)
from test.test_aborted_answers import HEAD, LARGE
from test.test_broken_answers import UNSIZED
from waxwingsaddle.calls import BrokenBodyError
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import Framing
from waxwingsaddle.upstream_connection import Connection
from waxwingsaddle.upstream_requests import send_request
from waxwingsaddle.util.outcome import Outcome

# More than the kernel buffers, so that the upload goes on during the reset.
UPLOAD = b'u' * 8_000_000
# The kernel takes all of it, so that no sender waits at the reset.
BUFFERED_UPLOAD = b'u' * 50_000
PIECE_BYTES = 16_384
# Below and above the size from which bodies are streamed.
PARTS = (b'z' * 300, LARGE)
# At most a quarter of the upload is read before the reset.
PIECES_READ = (5, 20, 60, 120)
PAUSE_S = 0.05
UNDELIMITED = Framing(None, is_chunked=False, is_persistent=False)


def _read_upload(pieces, sock):
    for _ in range(pieces):
        sock.recv(PIECE_BYTES)


def _pause(sock):
    eventlet.sleep(PAUSE_S)


def _end(sock):
    """Script that ends the answers and goes on reading."""
    sock.shutdown(socket.SHUT_WR)


def _reset_after(start, pieces):
    """Returns a script that answers at once and resets during the upload."""
    return [start, partial(_read_upload, pieces), reset, None]


def _whole_body(received):
    """Returns the body that looks whole; None if the answer is no success."""
    if received.outcome is not Outcome.RAN:
        return None
    if received.stream is None:
        return received.body
    try:
        return b''.join(received.stream)
    except BrokenBodyError:
        return None
    finally:
        received.stream.close()


def _upload(address, headers=None):
    """Uploads; returns status and body, or 0 if the answer broke off."""
    try:
        status, _, body = call(
            address, 'POST', '/orders?id=z1', UPLOAD, headers
        )
    except (HTTPException, OSError):
        return 0, b''
    return status, body


def _read_behind_a_reset(*steps):
    """Returns the body of a connection whose reset its sender meets first.

    Args:
        steps: Functions that the upstream calls with its socket before it
            closes, after it has sent a body.
    """
    listener = eventlet.listen(('127.0.0.1', 0))
    connection = Connection(listener.getsockname(), 1)
    peer, _ = listener.accept()
    try:
        peer.sendall(b'a body')
        for step in steps:
            step(peer)
        peer.close()
        _send_until_broken(connection)
        body = Body(connection.reader, UNDELIMITED, is_until_close=True)
        return body.read(1000)
    finally:
        connection.close()
        listener.close()


def _send_until_broken(connection):
    while True:
        try:
            send_request(connection, b'u', b'')
        except ConnectionError:
            return
        eventlet.sleep(0.01)


def test_reset_that_the_sender_meets_first_reaches_the_reader():
    """Guards against a reset that ends a body like a regular close."""
    try:
        received = _read_behind_a_reset(reset)
    except ConnectionAbortedError:
        return
    raise AssertionError(f'{received!r} looks whole')


def test_regular_end_before_the_reset_ends_the_body():
    """Guards against a whole body that a reset behind its end breaks."""
    assert _read_behind_a_reset(_end, _pause, reset) == b'a body'


@params(*PARTS)
def test_body_cut_by_a_reset_during_the_upload_is_broken(part):
    """Guards against a success of the client with a part of the body."""
    scripts = [_reset_after(HEAD + part, pieces) for pieces in PIECES_READ]
    with scripted_client(*scripts) as (_, client):
        for pieces in PIECES_READ:
            received = _whole_body(send(client, request('a', body=UPLOAD)))
            assert received is None, (pieces, len(received))


@params(*product((UPLOAD, BUFFERED_UPLOAD), PARTS))
def test_body_cut_while_the_upload_stands_still_is_broken(upload, part):
    """Guards against a part that looks whole, with no sender to notice."""
    with scripted_client([HEAD + part, _pause, reset, None]) as (_, client):
        received = _whole_body(send(client, request('a', body=upload)))
    assert received is None, len(received)


@params(*PARTS)
def test_body_that_ends_before_the_reset_is_whole(part):
    """Guards against a whole answer without length taken for broken.

    The upstream ends its answer with a regular close of its side, goes on
    reading and resets the connection later.
    """
    read = partial(_read_upload, PIECES_READ[0])
    script = [HEAD + part, _end, read, _pause, reset, None]
    with scripted_client(script) as (_, client):
        assert _whole_body(send(client, request('a', body=UPLOAD))) == part


def test_answer_with_a_length_before_the_reset_is_whole():
    """Guards against an early answer, such as a refusal, that is lost."""
    script = _reset_after(answer('a', b'whole'), PIECES_READ[0])
    with scripted_client(script) as (_, client):
        received = _whole_body(send(client, request('a', body=UPLOAD)))
    assert received == b'whole'


@params(*PARTS)
def test_caller_never_gets_the_part_as_whole(part):
    """Guards against broken answers to uploads: what callers have seen."""
    pieces_read = [pieces for pieces in PIECES_READ for _ in range(2)]
    scripts = [_reset_after(UNSIZED + part, pieces) for pieces in pieces_read]
    with two_hosts(*scripts) as (_, guard, entry):
        for pieces in PIECES_READ:
            for node in (guard, entry):
                status, body = _upload(node.http_address)
                found = (pieces, node.settings['host'], status, len(body))
                assert status in {0, 502}, found


def test_part_is_not_stored_for_repeats():
    """Guards against a part that later callers with the same key get."""
    key = {'Idempotency-Key': 'key-1'}
    script = _reset_after(UNSIZED + PARTS[0], PIECES_READ[0])
    with two_hosts(script, script) as (upstream, guard, entry):
        statuses = [
            _upload(node.http_address, key)[0] for node in (guard, entry, guard)
        ]
        assert 200 not in statuses, statuses
        assert len(upstream.requests) == 1
