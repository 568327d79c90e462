"""HTTP client of an upstream: connections that break."""

import socket
import time
from contextlib import contextmanager, suppress

import eventlet

from waxwingsaddle.call_class import Lane
from waxwingsaddle.calls import Request
from waxwingsaddle.upstream_client import UpstreamClient, UpstreamClientPolicy
from waxwingsaddle.upstream_connection import Exchange
from waxwingsaddle.util.outcome import Outcome

POST = Request('POST', '/orders/1', (('Host', 'orders'),))
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
# Interval at which a killed upstream closes its connections.
CLOSING_S = 0.004


class DyingUpstream:
    """Answers only `/ready`; closes its connections one after the other."""

    def __init__(self):
        """Starts to accept connections."""
        self.listener = eventlet.listen(('127.0.0.1', 0))
        self.sockets = []
        self.requests = []
        self.thread = eventlet.spawn(self._accept)

    @property
    def address(self):
        """IP number and port."""
        ip, port = self.listener.getsockname()
        return f'{ip}:{port}'

    def die(self):
        """Closes the connections, the oldest first, and the listener last."""
        self.thread.kill()
        for sock in self.sockets:
            # The client may have closed it by now.
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            eventlet.sleep(CLOSING_S)
        self.listener.close()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            self.sockets.append(sock)
            eventlet.spawn(self._serve, sock)

    def _serve(self, sock):
        try:
            while True:
                request = sock.recv(4096)
                if not request:
                    return
                self.requests.append(request)
                if b'/ready' in request:
                    sock.sendall(ANSWER)
        except OSError:
            # The test shut the connection down.
            return
        finally:
            sock.close()


@contextmanager
def upstream_and_client():
    """Provides an upstream and an HTTP client for it."""
    upstream = DyingUpstream()
    client = UpstreamClient(
        upstream.address, UpstreamClientPolicy(), time.monotonic
    )
    try:
        yield upstream, client
    finally:
        client.close()
        upstream.thread.kill()


def _send(client, request, lane=Lane.SHORT):
    return client.send(request, lane, time.monotonic() + 2, Exchange())


def test_waiting_call_gets_no_connection_of_a_dying_upstream():
    """Guards against a waiting call that is sent on a dying connection.

    When an upstream died, the next call got the free slot and was sent on a
    connection whose end had not been noticed yet: its outcome was unknown.
    """
    ready = Request('GET', '/ready', (('Host', 'orders'),))
    with upstream_and_client() as (upstream, client):
        running = eventlet.spawn(_send, client, POST)
        eventlet.sleep(CLOSING_S)
        assert _send(client, ready).outcome is Outcome.RAN
        dying = eventlet.spawn(upstream.die)
        first = running.wait()
        assert (first.outcome, first.reason) == (
            Outcome.UNKNOWN,
            'upstream-broke-off',
        )
        sent_before = len(upstream.requests)
        waiting = _send(client, POST)
        assert (waiting.outcome, waiting.reason) == (
            Outcome.NOT_RUN,
            'upstream-refused',
        )
        assert len(upstream.requests) == sent_before
        # The sockets of the upstream must not outlive the test.
        dying.wait()
        eventlet.sleep(CLOSING_S)
