"""Upstreams in the test's process that send bytes by a script."""

import struct
import time
from contextlib import contextmanager
from functools import partial

import eventlet
from eventlet.green import socket

from waxwingsaddle.call_class import Lane
from waxwingsaddle.calls import Request
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.upstream_client import UpstreamClient, UpstreamClientPolicy
from waxwingsaddle.upstream_connection import Exchange

NAMES = HeaderNames(
    request_id='Call-Id',
    expected_upstream='Meant-For',
    not_run='Not-Run',
    signature='Seal',
)
TRICKLE_S = 0.02
BLOCK_BYTES = 65_536
# Closing a socket with this SO_LINGER option resets the connection.
LINGER_ZERO = struct.pack('ii', 1, 0)


def answer(identifier, body=b'ok', status='200 OK', fields=()):
    """Returns the bytes of a signed answer."""
    lines = [
        f'HTTP/1.1 {status}',
        f'Content-Length: {len(body)}',
        'Seal: x',
        *([f'Call-Id: {identifier}'] if identifier else []),
        *fields,
    ]
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode() + body


def refusal(identifier):
    """Returns the bytes of an answer that states that nothing ran."""
    return answer(identifier, b'', '503 Full', ('Not-Run: full',))


def request(identifier, method='POST', body=b''):
    """Returns a request with an identifier."""
    return Request(method, '/orders/1', (('Call-Id', identifier),), body)


def trickle(piece):
    """Returns a script that sends a piece without end, slowly."""
    return partial(_send_endlessly, piece, TRICKLE_S)


def flood(piece):
    """Returns a script that sends a piece without end, as fast as it can."""
    block = piece * max(1, BLOCK_BYTES // len(piece))
    return partial(_send_endlessly, block, 0)


def _send_endlessly(piece, pause_s, sock):
    while True:
        sock.sendall(piece)
        eventlet.sleep(pause_s)


def reset(sock):
    """Script that resets the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


class ScriptedUpstream:
    """Upstream that sends scripted bytes for each request.

    Args:
        scripts: For each request that arrives, on any connection, a sequence
            of bytes to send and functions that are called with the socket. The
            connection closes after the last one if it ends with `None`.

    Attributes:
        requests: Heads of the requests, each with the number of its
            connection.
        open_sockets: Number of connections that are open.
    """

    def __init__(self, *scripts):
        """Starts to accept connections."""
        self.requests = []
        self.open_sockets = 0
        self._scripts = list(scripts)
        self._connections = 0
        self._threads = []
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self._threads.append(eventlet.spawn(self._accept))

    @property
    def address(self):
        """IP number and port."""
        ip, port = self._listener.getsockname()
        return f'{ip}:{port}'

    def close(self):
        """Closes all connections and the listener."""
        for thread in self._threads:
            thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self._connections += 1
            self._threads.append(
                eventlet.spawn(self._serve, sock, self._connections)
            )

    def _serve(self, sock, number):
        self.open_sockets += 1
        try:
            while True:
                head = _read_request(sock)
                if not head:
                    return
                self.requests.append((number, head))
                if not self._play(sock, self._scripts.pop(0)):
                    return
        except OSError:
            # The client closed the connection.
            return
        finally:
            self.open_sockets -= 1
            sock.close()

    def _play(self, sock, script):
        for step in script:
            if step is None:
                return False
            if callable(step):
                step(sock)
            else:
                sock.sendall(step)
        return True


def _read_request(sock):
    received = b''
    while b'\r\n\r\n' not in received:
        block = sock.recv(65_536)
        if not block:
            return b''
        received += block
    return received


@contextmanager
def scripted_client(*scripts, **policy):
    """Yields an upstream that plays scripts, and an HTTP client for it."""
    upstream = ScriptedUpstream(*scripts)
    client = UpstreamClient(
        upstream.address,
        UpstreamClientPolicy(names=NAMES, **policy),
        time.monotonic,
        'up-1',
    )
    try:
        yield upstream, client
    finally:
        client.close()
        upstream.close()


def send(client, sent_request, deadline_s=2.0, is_idempotent=False):
    """Sends a request with a time until its deadline."""
    return client.send(
        sent_request,
        Lane.SHORT,
        time.monotonic() + deadline_s,
        Exchange(),
        is_idempotent,
    )
