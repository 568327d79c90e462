"""Calls that are in flight on one connection when their node stops."""

import eventlet

from test.callers import FakeDispatcher, read_until, request, serve_callers
from waxwingsaddle.calls import Answer
from waxwingsaddle.util.outcome import Outcome


def test_stop_answers_all_calls_of_a_connection():
    """Guards against pipelined calls that a stop cancels while they run.

    The first answer after SIGTERM closed its connection, and the calls behind
    it, which upstreams had at work, were given up.
    """
    with serve_callers() as (server, connect, dispatcher):
        sock = connect()
        paths = ['/designs/100', '/designs/250', '/designs/150']
        sock.sendall(b''.join(request(path) for path in paths))
        eventlet.sleep(0.05)
        server.drain()
        received = read_until(sock, b'never')
        assert received.count(b'HTTP/1.1 200') == 3, received
        assert received.endswith(b'/designs/150')
        # Only the last answer asks the caller to close.
        assert received.count(b'Connection: close') == 1
        assert received.rindex(b'Connection: close') > received.index(
            b'/designs/250'
        )
        assert not dispatcher.cancelled


class _SlowBody:
    """Body that ends a while after its first bytes."""

    def __iter__(self):
        yield b'half'
        eventlet.sleep(0.2)
        yield b'half'

    def close(self):
        """Has nothing to close."""


class _SlowDispatcher(FakeDispatcher):
    """Streams each answer slowly."""

    def run(self, task):
        """Returns an answer whose body is written for a while."""
        super().run(task)
        return Answer(Outcome.RAN, 200, length=8, stream=_SlowBody())


def test_call_whose_body_arrives_behind_another_is_answered():
    """Guards against a call that runs and is given up with its connection.

    An answer before it closed the connection while its body arrived.
    """
    with serve_callers(_SlowDispatcher()) as (server, connect, dispatcher):
        sock = connect()
        sock.sendall(request('/designs/60'))
        head, body = request('/orders/2', 'POST', b'x').split(b'\r\n\r\n')
        eventlet.sleep(0.02)
        server.drain()
        sock.sendall(b'%b\r\n\r\n' % head)
        read_until(sock, b'half')
        sock.sendall(body)
        rest = read_until(sock, b'never')
        assert rest.startswith(b'half'), rest
        assert rest.endswith(b'halfhalf'), rest
        assert rest.count(b'Connection: close') == 1
        assert dispatcher.started == ['/designs/60', '/orders/2']
        assert not dispatcher.cancelled


def test_call_behind_a_closing_answer_is_not_run():
    """Guards against a call that runs, although its caller sends it again."""
    with serve_callers(_SlowDispatcher()) as (server, connect, dispatcher):
        sock = connect()
        sock.sendall(request('/designs/60'))
        eventlet.sleep(0.02)
        server.drain()
        read_until(sock, b'half')
        sock.sendall(request('/orders/2', 'POST', b'x'))
        rest = read_until(sock, b'never')
        assert rest == b'half', rest
        assert dispatcher.started == ['/designs/60']
        assert not dispatcher.cancelled
