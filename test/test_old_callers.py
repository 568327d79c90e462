"""Callers of HTTP/1.0, for whom the close of the connection ends a body."""

import signal
from itertools import product

import eventlet
from nose2.tools import params

from test.scripted_hosts import two_hosts
from test.test_aborted_answers import LARGE, LIMITS, _still_sending
from test.test_broken_answers import UNSIZED
from test.test_resets_amid_uploads import PIECES_READ, UPLOAD, _reset_after
from waxwingsaddle.socket_reader import SocketReader

SERVERS = ('http_address', 'ingress_address')
# Time for the first part of the body to arrive.
ARRIVAL_S = 0.7


def _post(address, body=b''):
    """Makes a call; returns what came until the regular close, or None."""
    host, _, port = address.partition(':')
    head = f'POST /orders?id=z1 HTTP/1.0\r\nContent-Length: {len(body)}\r\n\r\n'
    with eventlet.connect((host, int(port))) as sock:
        sock.settimeout(15)
        # The green socket returns no bytes after a reset.
        reader = SocketReader(sock)
        try:
            sock.sendall(head.encode() + body)
            return reader.read(len(UPLOAD))
        except ConnectionResetError:
            return None


@params(*product((signal.SIGKILL, signal.SIGTERM), SERVERS))
def test_body_cut_by_the_end_of_the_node_ends_with_a_reset(
    signal_number, server
):
    """Guards against a part that looks whole when the node of a caller ends.

    The kernel closes the connections of a process that has ended.
    """
    with two_hosts([UNSIZED + LARGE, _still_sending], **LIMITS) as hosts:
        entry = hosts[-1]
        caller = eventlet.spawn(_post, entry.settings[server])
        eventlet.sleep(ARRIVAL_S)
        entry.process.signal(signal_number)
        received = caller.wait()
    assert received is None, len(received)


@params(*SERVERS)
def test_whole_body_ends_with_a_regular_close(server):
    """Guards against a whole body that ends with a reset."""
    script = [UNSIZED + LARGE, None]
    with two_hosts(script, script) as (_, guard, entry):
        for node in (guard, entry):
            received = _post(node.settings[server])
            assert received is not None
            assert received.endswith(b'\r\n\r\n%b' % LARGE), len(received)


@params(*SERVERS)
def test_part_of_an_answer_to_an_upload_ends_with_a_reset(server):
    """Guards against a part that looks whole, after a reset by an upstream."""
    script = _reset_after(UNSIZED + LARGE, PIECES_READ[0])
    with two_hosts(script, script) as (_, guard, entry):
        for node in (guard, entry):
            received = _post(node.settings[server], UPLOAD)
            assert received is None or b' 502 ' in received, len(received)
