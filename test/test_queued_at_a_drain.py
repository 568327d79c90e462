"""Calls that wait at the guard of an upstream that leaves."""

import signal
from functools import partial

from nose2.tools import params

from test.nodes import call, node_environment
from test.processes import wait_until
from test.test_node_failures import Caller

# The guard accepts calls for this time after the upstream has announced that it
# leaves, and sends none that waited for three times as long.
DRAIN_WAIT_MS = 200
WORK_MS = 2000


def _drain(guard, upstream):
    guard.announce(upstream, 'draining')


def _deregister(guard, upstream):
    path = f'/v1/upstreams/{upstream.name}'
    assert call(guard.http_address, 'DELETE', path)[0] == 200


def _stop(guard, _upstream):
    guard.process.signal(signal.SIGTERM)


@params(_drain, _deregister, _stop)
def test_queued_call_is_refused_when_its_upstream_leaves(leave):
    """Guards against calls that reach an upstream long after it has left.

    A call that had waited for a slot was sent 3.3 s after the drain was
    acknowledged, and at a node that stopped its caller was told that it may
    have run.
    """
    with node_environment() as started:
        entry, guard, upstream = started.pair(
            slots=1,
            upstream_drain_ms=DRAIN_WAIT_MS,
            drain_wait_ms=400,
            stop_limit_ms=1100,
        )
        Caller(entry, f'/orders?id=q1&wait_ms={WORK_MS}')
        wait_until(partial(upstream.count, 'begin', 'q1'), 'q1')
        queued = Caller(entry, '/orders?id=q2')
        wait_until(lambda: guard.metric('waxwing_guard_queued') == 1, 'queued')
        leave(guard, upstream)
        assert queued.outcome()[:2] == (503, 'not-run'), queued.response
        assert queued.elapsed_s * 1000 < WORK_MS, queued.elapsed_s
        assert upstream.count('begin', 'q2') == 0
