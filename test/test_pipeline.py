"""Connections of callers: order, cancellation, limits and endings."""

import time

import eventlet

from test.callers import FakeDispatcher, read_until, request, serving
from waxwingsaddle.calls import Answer, BrokenBodyError
from waxwingsaddle.util.outcome import Outcome


def test_answers_keep_the_order_of_calls_that_run_side_by_side():
    """Guards against answers that a caller takes for those of other calls."""
    with serving() as (_, connect, dispatch):
        sock = connect()
        begun_s = time.monotonic()
        paths = ['/designs/200', '/designs/1', '/designs/150']
        sock.sendall(b''.join(request(path) for path in paths))
        received = read_until(sock, b'/designs/150')
        places = [received.index(path.encode()) for path in paths]
        assert places == sorted(places)
        assert received.count(b'HTTP/1.1 200') == 3
        assert (time.monotonic() - begun_s) * 1000 < 320
        assert dispatch.begun == paths


def test_booking_waits_for_the_answers_before_it():
    """Guards against a booking that runs twice.

    When an answer before it closes the connection, the caller counts the
    booking as not read and sends it again.
    """
    with serving() as (_, connect, dispatch):
        sock = connect()
        sock.sendall(
            request('/designs/100', Connection='close')
            + request('/orders/1', 'POST', b'x'),
        )
        received = read_until(sock, b'never')
        assert received.count(b'HTTP/1.1') == 1
        assert b'Connection: close' in received
        assert dispatch.begun == ['/designs/100']


def test_caller_that_leaves_cancels_all_its_calls():
    """Guards against upstreams that work for callers who are gone."""
    with serving() as (server, connect, dispatch):
        sock = connect()
        sock.sendall(request('/designs/900') + request('/designs/901'))
        eventlet.sleep(0.05)
        sock.close()
        eventlet.sleep(0.1)
        assert sorted(dispatch.cancelled) == ['/designs/900', '/designs/901']
        assert not server.pending
        assert not server.open_connections


def test_bodies_of_both_framings_arrive_whole():
    """Guards against bodies that lose bytes or run into the next call."""
    with serving() as (_, connect, dispatch):
        sock = connect()
        chunked = (
            b'POST /orders/2 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
            b'3\r\nabc\r\n4;x=1\r\ndefg\r\n0\r\n\r\n'
        )
        sock.sendall(request('/orders/1', 'POST', b'first') + chunked)
        received = read_until(sock, b'abcdefg')
        assert b'/orders/1first' in received
        assert dispatch.tasks[1].request.body == b'abcdefg'
        assert dispatch.tasks[1].match.service is not None


def test_unreadable_requests_get_a_clear_status_and_the_end():
    """Guards against smuggled requests and callers left without an answer."""
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
        with serving() as (_, connect, dispatch):
            sock = connect()
            sock.sendall(raw)
            received = read_until(sock, b'never')
            assert received.startswith(b'HTTP/1.1 %b' % status), received
            assert b'Connection: close' in received
            assert not dispatch.begun


def test_slow_heads_end_and_idle_connections_close():
    """Guards against connections that hold resources for ever."""
    with serving(idle_timeout_s=0.1, head_timeout_s=0.1) as parts:
        _, connect, _ = parts
        slow, idle = connect(), connect()
        slow.sendall(b'GET /designs/1 HTTP/1.1\r\n')
        assert read_until(slow, b'never').startswith(b'HTTP/1.1 408')
        assert idle.recv(100) == b''


def test_idle_timeout_spares_a_call_that_runs():
    """Guards against calls cut because their caller has nothing to say."""
    with serving(idle_timeout_s=0.1) as (_, connect, _):
        sock = connect()
        sock.sendall(request('/designs/300'))
        assert b'/designs/300' in read_until(sock, b'/designs/300')


def test_refused_call_leaves_the_connection_usable():
    """Guards against callers that must connect again after each refusal."""
    with serving() as (_, connect, _):
        sock = connect()
        sock.sendall(request('/elsewhere/1', 'POST', b'abc'))
        assert read_until(sock, b'\r\n\r\n').startswith(b'HTTP/1.1 404')
        sock.sendall(request('/designs/1'))
        assert b'200 OK' in read_until(sock, b'/designs/1')


def test_drain_answers_what_was_read_and_asks_to_close():
    """Guards against calls that a planned stop cuts off."""
    with serving() as (server, connect, _):
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


def test_caller_that_has_just_connected_is_served_by_a_stop():
    """Guards against a first call that a stop loses.

    A stop ended 0.1 s after the last answer, and closed the connections of
    callers that had connected before it and sent their call later than that.
    """
    with serving() as (server, connect, _):
        late = connect()
        eventlet.sleep(0.01)
        server.drain()
        finishing = eventlet.spawn(server.close_gracefully, 3)
        eventlet.sleep(0.4)
        late.sendall(request('/designs/1'))
        received = read_until(late, b'never')
        assert b'/designs/1' in received
        assert b'Connection: close' in received
        assert finishing.wait() == 0


def test_call_after_the_last_moment_is_not_passed_on():
    """Guards against a call that runs while its node ends without it.

    A node that stopped went on reading calls from open connections until its
    process ended, and cut them off.
    """
    with serving() as (server, connect, dispatch):
        idle = connect()
        idle.sendall(request('/designs/1'))
        read_until(idle, b'/designs/1')
        server.drain()
        assert server.close_gracefully(1) == 0
        idle.sendall(request('/designs/2'))
        assert read_until(idle, b'never') == b''
        assert dispatch.begun == ['/designs/1']


class _Broken:
    """Body of an answer that breaks off."""

    def __init__(self):
        """Is open."""
        self.closed = 0

    def __iter__(self):
        yield b'half'
        raise BrokenBodyError('the upstream is gone')

    def close(self):
        """Counts."""
        self.closed += 1


class _BreakingDispatch(FakeDispatcher):
    """Answers with a body that breaks off."""

    def __init__(self, length):
        super().__init__()
        self.stream = _Broken()
        self.length = length

    def run(self, task):
        """Begins an answer."""
        answer = Answer(Outcome.RAN, 200)
        answer.length = self.length
        answer.stream = self.stream
        return answer


class _FaultyBody(_Broken):
    """Body of an answer whose reading fails in an unexpected way."""

    def __iter__(self):
        yield b'half'
        raise ValueError('a fault')


def test_fault_in_an_answer_ends_its_connection():
    """Guards against callers that wait for the rest of an answer for ever."""
    dispatch = _BreakingDispatch(100)
    dispatch.stream = _FaultyBody()
    with serving(dispatch) as (server, connect, _):
        sock = connect()
        sock.sendall(request('/designs/1'))
        assert b'half' in read_until(sock, b'never')
        eventlet.sleep(0.05)
        assert not server.open_connections


class _EndlessBody(_Broken):
    """Body that its caller does not read."""

    def __iter__(self):
        while True:
            yield bytes(100_000)


def test_caller_that_leaves_amid_an_answer_ends_it():
    """Guards against green threads that write for callers who are gone."""
    dispatch = _BreakingDispatch(None)
    dispatch.stream = _EndlessBody()
    with serving(dispatch) as (server, connect, _):
        sock = connect()
        sock.sendall(request('/designs/1'))
        assert sock.recv(100)
        eventlet.sleep(0.05)
        sock.close()
        eventlet.sleep(0.1)
        assert dispatch.stream.closed == 1
        assert not server.pending
        assert not server.open_connections


def test_broken_answer_never_looks_complete():
    """Guards against half a body that a caller takes for the whole."""
    for length in (None, 100):
        dispatch = _BreakingDispatch(length)
        with serving(dispatch) as (_, connect, _):
            sock = connect()
            sock.sendall(request('/designs/1'))
            received = read_until(sock, b'never')
            assert b'half' in received
            assert not received.endswith(b'0\r\n\r\n')
            assert dispatch.stream.closed == 1
