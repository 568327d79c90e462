"""Buffered reading from a socket."""

import socket
import struct
import time
from contextlib import contextmanager

import eventlet

from waxwingsaddle.socket_reader import SocketReader

# A close with this option resets the connection.
LINGER_NONE = struct.pack('ii', 1, 0)


@contextmanager
def connections():
    """Gives a reader and the other end of its connection."""
    listener = eventlet.listen(('127.0.0.1', 0))
    near = eventlet.connect(listener.getsockname())
    far, _ = listener.accept()
    near.settimeout(1)
    try:
        yield SocketReader(near), far
    finally:
        for sock in (near, far, listener):
            sock.close()


def test_reset_is_no_end():
    """Guards against an answer that broke off and looks complete.

    The green socket returns no bytes when its peer resets the connection, as
    it does at a regular end.
    """
    with connections() as (reader, far):
        far.sendall(b'half of a body')
        assert reader.read(4) == b'half'
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        far.close()
        try:
            rest = reader.read(100)
        except ConnectionResetError:
            return
        raise AssertionError(f'read {rest!r} as the end')


def test_regular_end_is_an_end():
    """Guards against a whole body without length that is taken for broken."""
    with connections() as (reader, far):
        far.sendall(b'whole\nbody')
        far.close()
        assert reader.readline(100) == b'whole\n'
        assert reader.has_buffered
        assert reader.read(100) == b'body'
        assert reader.read(1) == b''
        assert not reader.has_buffered


def test_deadline_bounds_all_reads_together():
    """Guards against a caller that sends a byte now and then for ever."""
    with connections() as (reader, far):
        reader.deadline_s = time.monotonic() + 0.1
        eventlet.spawn(_drip, far)
        begun_s = time.monotonic()
        try:
            reader.read(1000)
        except TimeoutError:
            assert time.monotonic() - begun_s < 1
            return
        raise AssertionError('a read outlived its deadline')


def _drip(far):
    for _ in range(20):
        far.sendall(b'x')
        eventlet.sleep(0.02)
