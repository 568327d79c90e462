"""Requests on kept connections that arrive while their node stops."""

import signal
import threading
import time
from functools import partial
from http.client import HTTPConnection, HTTPException

from nose2.tools import params

from test.nodes import call, node_environment
from test.processes import wait_until
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.ports import free_address

DRAIN_WAIT_MS = 600
STOP_LIMIT_MS = 2400
WORK_MS = 500
# More than the stop leaves, so that only the node can know that it ends first.
DEADLINE_MS = 6000
CALLERS = 24
INTERVAL_S = 0.13


class LateCaller(threading.Thread):
    """Sends one call on a connection that has carried one before."""

    def __init__(self, address, number, stopped_s):
        """Makes the first call; the second one follows in the thread."""
        super().__init__(daemon=True)
        self.identifier = f'late-{number}'
        self._at_s = number * INTERVAL_S
        # Time from SIGTERM until the call was sent, in seconds.
        self.sent_s = 0.0
        self._stopped_s = stopped_s
        self._connection = HTTPConnection(address, timeout=20)
        self._call(f'/orders?id=first-{number}')
        self.result = ''
        self.start()

    def run(self):
        """Sends the call when its time has come."""
        while not self._stopped_s:
            time.sleep(0.002)
        stopped_s = self._stopped_s[0]
        time.sleep(max(0, stopped_s + self._at_s - time.monotonic()))
        target = f'/orders?id={self.identifier}&wait_ms={WORK_MS}'
        try:
            self.result = self._call(target, stopped_s)
        except (HTTPException, OSError) as error:
            self.result = repr(error)

    def _call(self, target, stopped_s=0):
        headers = {'Waxwing-Deadline-Ms': str(DEADLINE_MS)}
        self._connection.request('POST', target, headers=headers)
        self.sent_s = time.monotonic() - stopped_s
        response = self._connection.getresponse()
        response.read()
        return str(response.status)


def _new_pair(started, ingress_address):
    """Returns an entry node, and a guarding node with one upstream."""
    upstream = started.upstream(slots=64)
    limits = {'drain_wait_ms': DRAIN_WAIT_MS, 'stop_limit_ms': STOP_LIMIT_MS}
    guard = started.new_node('guard', **limits)
    entry = started.new_node('entry', ingress_address=ingress_address, **limits)
    guard.start(nodes=(entry, guard))
    guard.announce(upstream)
    entry.start([guard.entry(upstream)], nodes=(entry, guard))
    return entry, upstream


def _call_during_a_stop(node, address):
    """Returns callers that sent calls from SIGTERM on, when all have ended."""
    stopped_s = []
    callers = [
        LateCaller(address, number, stopped_s) for number in range(CALLERS)
    ]
    stopped_s.append(time.monotonic())
    node.process.signal(signal.SIGTERM)
    for caller in callers:
        caller.join(20)
    assert node.process.popen.wait(20) == 0
    return callers


@params('http_address', 'ingress_address')
def test_late_request_is_not_passed_on_and_cut_off(server):
    """Guards against a call that runs and is cut off at the end of a stop.

    Requests that arrived late in a stop were passed on with their whole
    deadline. Then the process ended and left their callers without an answer.
    """
    with node_environment() as started:
        ingress_address = free_address()
        entry, upstream = _new_pair(started, ingress_address)
        addresses = {
            'http_address': entry.http_address,
            'ingress_address': ingress_address,
        }
        callers = _call_during_a_stop(entry, addresses[server])
        ran = {
            caller.identifier
            for caller in callers
            if upstream.count('begin', caller.identifier)
        }
        served = {
            caller.identifier for caller in callers if caller.result == '200'
        }
        assert ran == served, [
            (caller.identifier, caller.result)
            for caller in callers
            if caller.identifier in ran ^ served
        ]
        # Until other hosts know of the stop, all requests are served.
        told = [
            caller
            for caller in callers
            if caller.sent_s < DRAIN_WAIT_MS / MS_PER_S / 2
        ]
        assert {caller.result for caller in told} == {'200'}
        assert '503' in {caller.result for caller in callers}
        assert 'cut off' not in entry.process.log_text()


def _send(address, target, responses):
    headers = {'Waxwing-Deadline-Ms': str(DEADLINE_MS)}
    send = partial(call, address, 'POST', target, None, headers)
    thread = threading.Thread(
        target=lambda: responses.update({target: send()}), daemon=True
    )
    thread.start()
    return thread


def _cut_calls(entry, upstream, address):
    """Returns the answers of calls sent before and after SIGTERM."""
    responses = {}
    # Ends after the stop does.
    long_ms = DEADLINE_MS - 100
    targets = (
        f'/orders?id=before&wait_ms={long_ms}',
        f'/orders?id=after&wait_ms={long_ms}',
        '/orders?id=short',
    )
    threads = [_send(address, targets[0], responses)]
    wait_until(partial(upstream.count, 'begin', 'before'), 'before')
    entry.process.signal(signal.SIGTERM)
    time.sleep(DRAIN_WAIT_MS / MS_PER_S / 4)
    threads.extend(_send(address, target, responses) for target in targets[1:])
    for thread in threads:
        thread.join(20)
    assert entry.process.popen.wait(20) == 0
    return [responses.get(target) for target in targets]


@params(('http_address', 502, 502), ('ingress_address', 502, 504))
def test_call_that_outlives_the_stop_is_answered(server, *statuses):
    """Guards against a connection that ends with the process, unanswered.

    Also guards against a call that tells its upstream a deadline at which its
    node no longer runs.
    """
    with node_environment() as started:
        ingress_address = free_address()
        entry, upstream = _new_pair(started, ingress_address)
        addresses = {
            'http_address': entry.http_address,
            'ingress_address': ingress_address,
        }
        before, after, short = _cut_calls(entry, upstream, addresses[server])
        assert (before[0], after[0]) == statuses, (before, after)
        remaining_ms = int(short[1]['X-Deadline'])
        assert remaining_ms < DRAIN_WAIT_MS + STOP_LIMIT_MS
        # The call that was taken during the stop ended with its deadline.
        log_text = entry.process.log_text()
        assert log_text.count("event='call cut off'") == 1, log_text
        for identifier in ('before', 'after'):
            assert upstream.count('cut', identifier) == 1
