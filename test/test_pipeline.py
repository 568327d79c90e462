"""Connections with HTTP pipelining: order, cancellation, limits, closing."""

import time

import eventlet

from test.callers import (
    FakeDispatcher,
    hold_up,
    read_until,
    request,
    serve_callers,
)
from waxwingsaddle.calls import Answer, BrokenBodyError
from waxwingsaddle.util.outcome import Outcome


def test_answers_keep_the_order_of_calls_that_run_side_by_side():
    """Guards against answers that a caller assigns to the wrong calls.

    Pipelined calls run concurrently and end in another order.
    """
    with serve_callers() as (_, connect, dispatcher):
        sock = connect()
        started_s = time.monotonic()
        paths = ['/designs/200', '/designs/1', '/designs/150']
        sock.sendall(b''.join(request(path) for path in paths))
        received = read_until(sock, b'/designs/150')
        positions = [received.index(path.encode()) for path in paths]
        assert positions == sorted(positions)
        assert received.count(b'HTTP/1.1 200') == 3
        assert (time.monotonic() - started_s) * 1000 < 320
        assert dispatcher.started == paths


def test_booking_waits_for_the_answers_before_it():
    """Guards against a booking that runs twice.

    If an earlier answer closes the connection, the caller assumes that the
    booking was not read and sends it again.
    """
    with serve_callers() as (_, connect, dispatcher):
        sock = connect()
        sock.sendall(
            request('/designs/100', Connection='close')
            + request('/orders/1', 'POST', b'x'),
        )
        received = read_until(sock, b'never')
        assert received.count(b'HTTP/1.1') == 1
        assert b'Connection: close' in received
        assert dispatcher.started == ['/designs/100']


def test_caller_that_leaves_cancels_all_its_calls():
    """Guards against upstreams that work for callers that have left."""
    with serve_callers() as (server, connect, dispatcher):
        sock = connect()
        sock.sendall(request('/designs/900') + request('/designs/901'))
        eventlet.sleep(0.05)
        sock.close()
        eventlet.sleep(0.1)
        assert sorted(dispatcher.cancelled) == ['/designs/900', '/designs/901']
        assert not server.pending
        assert not server.open_connections


def test_bodies_of_both_framings_arrive_whole():
    """Guards against bodies that lose bytes or extend into the next call."""
    with serve_callers() as (_, connect, dispatcher):
        sock = connect()
        chunked = (
            b'POST /orders/2 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n'
        )
        sock.sendall(request('/orders/1', 'POST', b'first') + chunked)
        received = read_until(sock, b'abcdefg')
        assert b'/orders/1first' in received
        assert dispatcher.tasks[1].request.body == b'abcdefg'
        assert dispatcher.tasks[1].match.service is not None


def test_unreadable_requests_get_a_status_and_a_close():
    """Guards against request smuggling and callers without an answer."""
    cases = (
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', b'400'),
        (b'GET /%b HTTP/1.1\r\n\r\n' % (b'x' * 5000), b'431'),
        (
            b'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Content-Length: 20000\r\n\r\n',
            b'413',
        ),
        (
            b'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'400',
        ),
    )
    for raw, status in cases:
        with serve_callers() as (_, connect, dispatcher):
            sock = connect()
            sock.sendall(raw)
            received = read_until(sock, b'never')
            assert received.startswith(b'HTTP/1.1 %b' % status), received
            assert b'Connection: close' in received
            assert not dispatcher.started


def test_slow_heads_end_and_idle_connections_close():
    """Guards against connections that hold resources forever."""
    with serve_callers(idle_timeout_s=0.1, head_timeout_s=0.1) as served:
        _, connect, _ = served
        slow, idle = connect(), connect()
        slow.sendall(b'GET /designs/1 HTTP/1.1\r\n')
        assert read_until(slow, b'never').startswith(b'HTTP/1.1 408')
        assert idle.recv(100) == b''


def test_idle_timeout_spares_a_call_that_runs():
    """Guards against running calls that the idle timeout cuts off."""
    with serve_callers(idle_timeout_s=0.1) as (_, connect, _):
        sock = connect()
        sock.sendall(request('/designs/300'))
        assert b'/designs/300' in read_until(sock, b'/designs/300')


def test_request_that_came_in_time_is_served_after_the_idle_timeout():
    """Guards against a request dropped because its process was held up.

    The idle timeout expired before the event loop looked for bytes again.
    """
    with serve_callers(idle_timeout_s=0.1) as (_, connect, dispatcher):
        sock = connect()
        sock.sendall(request('/designs/1'))
        read_until(sock, b'/designs/1')
        sock.sendall(request('/designs/2'))
        # Holds the event loop up for longer than the timeout.
        hold_up(0.15)
        assert read_until(sock, b'/designs/2').startswith(b'HTTP/1.1 200')
        assert dispatcher.started == ['/designs/1', '/designs/2']


def test_refused_call_leaves_the_connection_usable():
    """Guards against callers that have to reconnect after each refusal."""
    with serve_callers() as (_, connect, _):
        sock = connect()
        sock.sendall(request('/elsewhere/1', 'POST', b'abc'))
        assert read_until(sock, b'\r\n\r\n').startswith(b'HTTP/1.1 404')
        sock.sendall(request('/designs/1'))
        assert b'200 OK' in read_until(sock, b'/designs/1')


def test_drain_answers_what_was_read_and_asks_to_close():
    """Guards against calls cut off by a planned stop."""
    with serve_callers() as (server, connect, _):
        busy, idle = connect(), connect()
        busy.sendall(request('/designs/200'))
        eventlet.sleep(0.02)
        server.drain()
        idle.sendall(request('/designs/1'))
        assert b'Connection: close' in read_until(idle, b'never')
        assert server.close_gracefully(2) == 0
        received = read_until(busy, b'never')
        assert b'/designs/200' in received
        assert b'Connection: close' in received


def test_new_connection_is_served_during_a_stop():
    """Guards against the first call on a new connection lost by a stop.

    The stop used to end 0.1 s after the last answer. It closed connections of
    callers that had connected before and sent their first call after that.
    """
    with serve_callers() as (server, connect, _):
        late_connection = connect()
        eventlet.sleep(0.01)
        server.drain()
        finishing = eventlet.spawn(server.close_gracefully, 3)
        eventlet.sleep(0.4)
        late_connection.sendall(request('/designs/1'))
        received = read_until(late_connection, b'never')
        assert b'/designs/1' in received
        assert b'Connection: close' in received
        assert finishing.wait() == 0


def test_call_after_the_stop_is_not_run():
    """Guards against calls that start after the stop and are cut off.

    A stopping node used to read calls from open connections until its process
    ended.
    """
    with serve_callers() as (server, connect, dispatcher):
        idle = connect()
        idle.sendall(request('/designs/1'))
        read_until(idle, b'/designs/1')
        server.drain()
        assert server.close_gracefully(1) == 0
        idle.sendall(request('/designs/2'))
        assert read_until(idle, b'never') == b''
        assert dispatcher.started == ['/designs/1']


class _BrokenBody:
    """Body of an answer that breaks off."""

    def __init__(self):
        """Opens the body."""
        self.closed = 0

    def __iter__(self):
        yield b'half'
        raise BrokenBodyError('the upstream is gone')

    def close(self):
        """Counts how often the body was closed."""
        self.closed += 1


class _StreamingDispatcher(FakeDispatcher):
    """Answers with a streamed body, by default one that breaks off."""

    def __init__(self, length):
        super().__init__()
        self.stream = _BrokenBody()
        self.length = length

    def run(self, task):
        """Returns an answer with the stream."""
        answer = Answer(Outcome.RAN, 200)
        answer.length = self.length
        answer.stream = self.stream
        return answer


class _FaultyBody(_BrokenBody):
    """Body of an answer that raises an unexpected error."""

    def __iter__(self):
        yield b'half'
        raise ValueError('a fault')


def test_fault_in_an_answer_ends_its_connection():
    """Guards against callers that wait for the rest of an answer forever."""
    dispatcher = _StreamingDispatcher(100)
    dispatcher.stream = _FaultyBody()
    with serve_callers(dispatcher) as (server, connect, _):
        sock = connect()
        sock.sendall(request('/designs/1'))
        assert b'half' in read_until(sock, b'never')
        eventlet.sleep(0.05)
        assert not server.open_connections


class _EndlessBody(_BrokenBody):
    """Body without end."""

    def __iter__(self):
        while True:
            yield bytes(100_000)


def test_caller_that_leaves_amid_an_answer_ends_it():
    """Guards against green threads that write to callers that have left."""
    dispatcher = _StreamingDispatcher(None)
    dispatcher.stream = _EndlessBody()
    with serve_callers(dispatcher) as (server, connect, _):
        sock = connect()
        sock.sendall(request('/designs/1'))
        assert sock.recv(100)
        eventlet.sleep(0.05)
        sock.close()
        eventlet.sleep(0.1)
        assert dispatcher.stream.closed == 1
        assert not server.pending
        assert not server.open_connections


def test_broken_answer_never_looks_complete():
    """Guards against a truncated body that a caller takes for complete."""
    for length in (None, 100):
        dispatcher = _StreamingDispatcher(length)
        with serve_callers(dispatcher) as (_, connect, _):
            sock = connect()
            sock.sendall(request('/designs/1'))
            received = read_until(sock, b'never')
            assert b'half' in received
            assert not received.endswith(b'0\r\n\r\n')
            assert dispatcher.stream.closed == 1
