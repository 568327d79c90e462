"""Tests of nodes and upstreams that are killed or stop during calls."""

import signal
import threading
import time
from contextlib import suppress
from functools import partial
from http.client import HTTPConnection, HTTPException, IncompleteRead

from test.nodes import call, node_environment
from test.processes import wait_until

# Less than the killed calls would take.
KILLED_CALL_S = 4


class Caller(threading.Thread):
    """Makes a call in a thread of its own."""

    def __init__(self, node, target, method='POST', deadline_ms=5000):
        super().__init__(daemon=True)
        headers = {'Waxwing-Deadline-Ms': str(deadline_ms)}
        self._parts = (node.http_address, method, target, None, headers)
        self.response = None
        self.error = None
        self.elapsed_s = 0.0
        self.start()

    def run(self):
        """Makes the call."""
        started_s = time.monotonic()
        try:
            self.response = call(*self._parts)
        except OSError as error:
            self.error = error
        self.elapsed_s = time.monotonic() - started_s

    def outcome(self):
        """Returns status, outcome and reason."""
        self.join(20)
        status, headers, _ = self.response
        return status, headers['Waxwing-Outcome'], headers['Waxwing-Reason']


def _wait_until_running(upstream, identifier):
    wait_until(lambda: upstream.count('begin', identifier), identifier)


def test_guarding_node_killed_while_call_runs():
    """Guards against waiting for a dead node, a wrong "not run" and a rerun."""
    with node_environment() as started:
        entry, guard, upstream = started.pair()
        caller = Caller(entry, '/orders?id=k1&wait_ms=4500')
        _wait_until_running(upstream, 'k1')
        guard.process.kill()
        assert caller.outcome() == (502, 'unknown', 'connection-lost')
        assert caller.elapsed_s < KILLED_CALL_S, caller.elapsed_s
        # Without the guarding node, the entry node sends the next call nowhere.
        status, headers, _ = call(entry.http_address, 'POST', '/orders?id=k2')
        assert (status, headers['Waxwing-Outcome']) == (503, 'not-run')
        assert upstream.count('begin', 'k1') == 1
        assert upstream.count('begin', 'k2') == 0


def test_upstream_killed_while_call_runs():
    """Guards against a late or "not run" answer after an upstream is killed."""
    with node_environment() as started:
        entry, _, upstream = started.pair()
        caller = Caller(entry, '/orders?id=u1&wait_ms=4500')
        _wait_until_running(upstream, 'u1')
        upstream.process.kill()
        assert caller.outcome() == (502, 'unknown', 'upstream-broke-off')
        assert caller.elapsed_s < KILLED_CALL_S, caller.elapsed_s
        assert Caller(entry, '/orders?id=u2').outcome() == (
            503,
            'not-run',
            'upstream-refused',
        )


def test_upstream_killed_while_answer_streams():
    """Guards against a truncated large answer that looks complete."""
    with node_environment() as started:
        entry, _, upstream = started.pair()
        connection = HTTPConnection(entry.http_address, timeout=20)
        size = 500_000_000
        connection.request('GET', f'/plans?id=s1&bytes={size}')
        response = connection.getresponse()
        response.read(100_000)
        upstream.process.kill()
        # The caller gets fewer bytes than announced before the connection ends.
        started_s = time.monotonic()
        with suppress(ConnectionError, HTTPException):
            received = sum(
                map(len, iter(partial(response.read, 1_000_000), b''))
            )
            assert int(response.headers['Content-Length']) == size
            assert received < size, received
        assert time.monotonic() - started_s < KILLED_CALL_S


def test_upstream_killed_while_answer_of_unknown_length_streams():
    """Guards against a truncated chunked answer that ends regularly."""
    with node_environment() as started:
        entry, _, upstream = started.pair()
        connection = HTTPConnection(entry.http_address, timeout=20)
        target = '/plans?id=s2&bytes=500000000&unsized=1'
        connection.request('GET', target)
        response = connection.getresponse()
        assert response.headers['Transfer-Encoding'] == 'chunked'
        response.read(100_000)
        upstream.process.kill()
        try:
            response.read()
        except IncompleteRead:
            return
        raise AssertionError('the truncated answer looked complete')


def test_entry_node_killed_cancels_at_upstream():
    """Guards against calls that continue after their entry node is killed."""
    with node_environment() as started:
        entry, guard, upstream = started.pair()
        Caller(entry, '/orders?id=e1&wait_ms=15000', deadline_ms=20_000)
        _wait_until_running(upstream, 'e1')
        entry.process.kill()
        wait_until(lambda: upstream.count('cut', 'e1'), 'cancellation', 5)
        wait_until(
            lambda: guard.metric('waxwing_guard_in_flight') == 0, 'free slot', 5
        )


def test_caller_that_goes_away_cancels_at_upstream():
    """Guards against calls that continue after their caller disconnects."""
    with node_environment() as started:
        entry, guard, upstream = started.pair()
        for node, identifier in ((entry, 'c1'), (guard, 'c2')):
            connection = HTTPConnection(node.http_address, timeout=20)
            target = f'/orders?id={identifier}&wait_ms=15000'
            # Long enough that the deadline does not end the call.
            late = {'Waxwing-Deadline-Ms': '20000'}
            connection.request('POST', target, headers=late)
            _wait_until_running(upstream, identifier)
            connection.close()
            wait_until(partial(upstream.count, 'cut', identifier), 'cut', 5)


def test_deadline_passed_in_queue_did_not_run():
    """Guards against a queued call that runs after its deadline."""
    with node_environment() as started:
        entry, _, upstream = started.pair(slots=1)
        long_call = Caller(entry, '/orders?id=d1&wait_ms=1500')
        _wait_until_running(upstream, 'd1')
        queued = Caller(entry, '/orders?id=d2', deadline_ms=150)
        status, outcome, _ = queued.outcome()
        assert (status, outcome) == (504, 'not-run')
        assert long_call.outcome()[1] == 'ran'
        assert upstream.count('begin', 'd2') == 0


def test_deadline_passed_at_upstream_is_unknown():
    """Guards against a started call that is answered as "not run"."""
    with node_environment() as started:
        entry, _, upstream = started.pair()
        caller = Caller(entry, '/orders?id=t1&wait_ms=3000', deadline_ms=300)
        assert caller.outcome() == (502, 'unknown', 'deadline')
        wait_until(lambda: upstream.count('cut', 't1'), 'cut', 5)


def test_frozen_upstream_does_not_block_others():
    """Guards against short answers that wait behind a large one.

    The caller of the large answer stops reading it.
    """
    with node_environment() as started:
        entry, _, _ = started.pair()
        slow_reader = HTTPConnection(entry.http_address, timeout=20)
        slow_reader.request('GET', '/plans?id=big&bytes=200000000')
        large = slow_reader.getresponse()
        large.read(1000)
        for number in range(20):
            caller = Caller(entry, f'/orders?id=n{number}')
            assert caller.outcome()[1] == 'ran'
            assert caller.elapsed_s < 2, caller.elapsed_s
        slow_reader.close()


class LoadWorker(threading.Thread):
    """Makes calls on a persistent connection and records failed ones.

    After a refused connection, which has sent no call, the worker switches to
    the other node.
    """

    def __init__(self, name, nodes, stop_event):
        super().__init__(name=name)
        self._addresses = [node.http_address for node in nodes]
        self._stop_event = stop_event
        self._connection = None
        self.calls = 0
        self.failures = []
        self.start()

    def run(self):
        """Makes calls until the event is set."""
        while not self._stop_event.is_set():
            if self._connection is None:
                self._connect()
                continue
            self.calls += 1
            try:
                self._call()
            except (OSError, HTTPException) as error:
                self.failures.append(repr(error))
                self._connection = None

    def _connect(self):
        connection = HTTPConnection(self._addresses[0], timeout=20)
        try:
            connection.connect()
        except OSError:
            self._addresses.reverse()
        else:
            self._connection = connection

    def _call(self):
        target = f'/orders?id={self.name}-{self.calls}&wait_ms=5'
        self._connection.request('POST', target)
        response = self._connection.getresponse()
        response.read()
        if response.status != 200:
            self.failures.append((response.status, response.headers.items()))
        if response.headers['Connection'] == 'close':
            self._connection = None


def test_stop_of_entry_node_under_load_fails_no_call():
    """Guards against calls that fail because a node stops."""
    with node_environment() as started:
        entry, guard, _ = started.pair(slots=64, drain_wait_ms=500)
        stop_event = threading.Event()
        workers = [
            LoadWorker(f'w{number}', [entry, guard], stop_event)
            for number in range(8)
        ]
        time.sleep(0.5)
        try:
            assert entry.process.terminate() == 0
            time.sleep(0.3)
        finally:
            stop_event.set()
        for worker in workers:
            worker.join()
            assert not worker.failures, worker.failures[:3]
            assert worker.calls > 10, worker.calls


def test_stop_serves_a_caller_that_has_just_connected():
    """Guards against a stop that closes a connection before its first call.

    A stop ended 0.1 s after the last answer, so a caller that was connected
    but sent its first call later got a closed connection.
    """
    with node_environment() as started:
        entry, _, _ = started.pair(drain_wait_ms=200)
        entry.process.signal(signal.SIGTERM)
        time.sleep(0.1)
        late = HTTPConnection(entry.http_address, timeout=20)
        late.connect()
        time.sleep(0.5)
        late.request('POST', '/orders?id=late')
        assert late.getresponse().status == 200


def test_stop_of_guarding_node_finishes_calls_in_flight():
    """Guards against a stop that cuts off calls of other nodes."""
    with node_environment() as started:
        entry, guard, upstream = started.pair(drain_wait_ms=200)
        caller = Caller(entry, '/orders?id=g1&wait_ms=1500')
        _wait_until_running(upstream, 'g1')
        assert guard.process.terminate() == 0
        assert caller.outcome()[:2] == (200, 'ran')
        assert 'cut off' not in guard.process.log_text()


def test_stop_beyond_its_limit_says_what_was_cut():
    """Guards against a stop that hangs or does not log cut-off calls."""
    with node_environment() as started:
        entry, guard, upstream = started.pair(
            drain_wait_ms=100, stop_limit_ms=300
        )
        caller = Caller(
            entry, '/orders?id=x1&wait_ms=15000', deadline_ms=20_000
        )
        _wait_until_running(upstream, 'x1')
        assert guard.process.terminate(5) == 0
        assert caller.outcome()[1] == 'unknown'
        assert 'calls were cut off' in guard.process.log_text()
        assert 'nodes=1' in guard.process.log_text()
