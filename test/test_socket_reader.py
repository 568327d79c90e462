"""Buffered reader of a socket."""

import socket
import struct
import time
from contextlib import contextmanager

import eventlet
from nose2.tools import params

from waxwingsaddle.socket_reader import SocketReader

# Closing a socket with this SO_LINGER option resets the connection.
LINGER_ZERO = struct.pack('ii', 1, 0)


@contextmanager
def connected_reader():
    """Yields a reader and the peer socket of its connection."""
    listener = eventlet.listen(('127.0.0.1', 0))
    local_socket = eventlet.connect(listener.getsockname())
    peer, _ = listener.accept()
    local_socket.settimeout(1)
    try:
        yield SocketReader(local_socket), peer
    finally:
        for sock in (local_socket, peer, listener):
            sock.close()


def test_reset_is_an_error():
    """Guards against an answer that broke off but looks complete.

    The green socket returns no bytes both after a reset and after a regular
    close.
    """
    with connected_reader() as (reader, peer):
        peer.sendall(b'half of a body')
        assert reader.read(4) == b'half'
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        peer.close()
        try:
            remainder = reader.read(100)
        except ConnectionResetError:
            return
        raise AssertionError(f'read {remainder!r} as the end')


def _shut_down(reader, local_socket):
    reader.abort()
    local_socket.shutdown(socket.SHUT_RDWR)


def _close(reader, _local_socket):
    reader.close()


@params(_shut_down, _close)
def test_end_that_this_side_caused_is_an_error(end):
    """Guards against a half body that looks whole after our own close."""
    with connected_reader() as (reader, peer):
        peer.sendall(b'half of a body')
        assert reader.read(4) == b'half'
        eventlet.spawn_after(0.05, end, reader, reader._sock)
        eventlet.spawn_after(0.1, peer.sendall, b' and more')
        try:
            remainder = reader.read(100)
        except ConnectionAbortedError:
            return
        raise AssertionError(f'read {remainder!r} as the end')


def test_regular_close_ends_the_body():
    """Guards against a complete body without length taken for truncated."""
    with connected_reader() as (reader, peer):
        peer.sendall(b'whole\nbody')
        peer.close()
        assert reader.readline(100) == b'whole\n'
        assert reader.has_buffered
        assert reader.read(100) == b'body'
        assert reader.read(1) == b''
        assert not reader.has_buffered


def test_deadline_bounds_all_reads_together():
    """Guards against a slow caller that keeps a read alive forever.

    Each byte arrives in time, but the deadline applies to all of them.
    """
    with connected_reader() as (reader, peer):
        reader.deadline_s = time.monotonic() + 0.1
        eventlet.spawn(_send_slowly, peer)
        started_s = time.monotonic()
        try:
            reader.read(1000)
        except TimeoutError:
            assert time.monotonic() - started_s < 1
            return
        raise AssertionError('a read outlived its deadline')


def _send_slowly(peer):
    for _ in range(20):
        peer.sendall(b'x')
        eventlet.sleep(0.02)
