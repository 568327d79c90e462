"""Calls that are in flight when the stop of their node ends."""

import signal
import socket
import threading
import time
from http.client import HTTPConnection, HTTPException

from nose2.tools import params

from test.nodes import node_environment
from test.processes import wait_until
from waxwingsaddle.util.ports import free_address

LIMITS = {'drain_wait_ms': 300, 'stop_limit_ms': 700}
DEADLINE_MS = 8000
WORK_MS = 6000
# What callers are told at each stage.
EXPECTED = {
    'connecting': (503, 'not-run', 'cancelled'),
    'queued': (503, 'not-run', 'cancelled'),
    'at work here': (502, 'unknown', 'cancelled'),
    'at work there': (502, 'unknown', 'cancelled'),
}
CALLERS = (
    ('http_address', ''),
    ('http_address', 'key-1'),
    ('ingress_address', ''),
)


class Caller(threading.Thread):
    """Makes a call in a thread of its own and keeps what it got."""

    def __init__(self, address, identifier, key=''):
        """Starts the call."""
        super().__init__(daemon=True)
        self.identifier = identifier
        self._connection = HTTPConnection(address, timeout=20)
        self._headers = {'Waxwing-Deadline-Ms': str(DEADLINE_MS)}
        if key:
            self._headers['Idempotency-Key'] = key
        self.result = None
        self.start()

    def run(self):
        """Makes the call."""
        target = f'/orders?id={self.identifier}&wait_ms={WORK_MS}'
        try:
            self._connection.request('POST', target, headers=self._headers)
            response = self._connection.getresponse()
            response.read()
            self.result = (
                response.status,
                response.headers['Connection'],
                response.headers['Waxwing-Outcome'],
                response.headers['Waxwing-Reason'],
            )
        except (HTTPException, OSError) as error:
            self.result = repr(error)


def _wait_until_running(upstream, identifier):
    wait_until(lambda: upstream.count('begin', identifier), identifier)


def _start(started, stage):
    """Returns an entry node, a guarding node and an upstream."""
    upstream = started.upstream(slots=1 if stage == 'queued' else 6)
    guard = started.new_node('guard')
    entry = started.new_node(
        'entry',
        ingress_address=free_address(),
        connect_timeout_ms=20_000,
        **LIMITS,
    )
    nodes = (entry, guard)
    guard.start(nodes=nodes)
    if stage == 'at work here':
        entry.start(nodes=nodes).announce(upstream)
        return entry, guard, upstream
    guard.announce(upstream)
    address = guard.call_address
    if stage == 'connecting':
        # Accepts connections and never answers on them.
        started.silent = socket.create_server(('127.0.0.1', 0))
        address = '{}:{}'.format(*started.silent.getsockname())
    entry.start([guard.entry(upstream, address)], nodes=nodes)
    return entry, guard, upstream


@params(*EXPECTED)
def test_call_in_flight_is_answered_at_the_end_of_a_stop(stage):
    """Guards against calls whose connection ends with the process.

    A call that waited for a connection to another host was not cancelled. Its
    answer raced with the exit of the process.
    """
    with node_environment() as started:
        entry, guard, upstream = _start(started, stage)
        if stage == 'queued':
            Caller(guard.http_address, 'filler')
            _wait_until_running(upstream, 'filler')
        callers = [
            Caller(entry.settings[server], f'{server}{key}', key)
            for server, key in CALLERS
        ]
        if 'at work' in stage:
            for caller in callers:
                _wait_until_running(upstream, caller.identifier)
        else:
            wait_until(
                lambda: entry.metric('waxwing_attempts_total') == len(callers),
                'attempts',
            )
        entry.process.signal(signal.SIGTERM)
        for caller in callers:
            caller.join(20)
        assert entry.process.popen.wait(20) == 0
        status, outcome, reason = EXPECTED[stage]
        results = [caller.result for caller in callers]
        assert results == [
            (status, 'close', outcome, reason),
            (status, 'close', outcome, reason),
            (status, 'close', None, None),
        ], results


def test_call_that_waits_for_its_claim_is_answered():
    """Guards against calls with a key whose connection ends with the process.

    A call that waited for the keepers of its key was not cancelled.
    """
    with node_environment() as started:
        entry, guard, _ = _start(started, 'at work there')
        guard.process.signal(signal.SIGSTOP)
        caller = Caller(entry.http_address, 'claimed', 'key-1')
        # Time for the call to arrive before the stop begins.
        time.sleep(0.3)
        entry.process.signal(signal.SIGTERM)
        caller.join(20)
        assert entry.process.popen.wait(20) == 0
        assert caller.result[:3] == (502, 'close', 'unknown'), caller.result
