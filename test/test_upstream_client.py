"""HTTP leg to an upstream: connections that break off."""

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
# An upstream that is killed closes its connections this much apart.
CLOSING_S = 0.004


class DyingUpstream:
    """Answers `/ready`; breaks off all else, one connection at a time."""

    def __init__(self):
        """Listens."""
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
            # The leg may have closed it by now.
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
            # The connection was broken off on purpose.
            return
        finally:
            sock.close()


@contextmanager
def legs():
    """Gives an upstream and a leg to it."""
    upstream = DyingUpstream()
    leg = UpstreamClient(
        upstream.address, UpstreamClientPolicy(), time.monotonic
    )
    try:
        yield upstream, leg
    finally:
        leg.close()
        upstream.thread.kill()


def _send(leg, request, lane=Lane.SHORT):
    return leg.send(request, lane, time.monotonic() + 2, Exchange())


def test_waiting_call_gets_no_connection_of_a_dying_upstream():
    """Guards against a waiting call that goes out on a kept connection.

    A slot freed by the death of the upstream let the next call go out on a
    connection whose end had not been noticed yet; it was told as unknown.
    """
    ready = Request('GET', '/ready', (('Host', 'orders'),))
    with legs() as (upstream, leg):
        running = eventlet.spawn(_send, leg, POST)
        eventlet.sleep(CLOSING_S)
        assert _send(leg, ready).outcome is Outcome.RAN
        dying = eventlet.spawn(upstream.die)
        first = running.wait()
        assert (first.outcome, first.reason) == (
            Outcome.UNKNOWN,
            'upstream-broke-off',
        )
        sent_before = len(upstream.requests)
        waiting = _send(leg, POST)
        assert (waiting.outcome, waiting.reason) == (
            Outcome.NOT_RUN,
            'upstream-refused',
        )
        assert len(upstream.requests) == sent_before
        # Its sockets must not outlive the test.
        dying.wait()
        eventlet.sleep(CLOSING_S)
