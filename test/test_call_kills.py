"""Kills and lost answers at each stage of a call that may run only once."""

import time
from functools import partial

from nose2.tools import params

from test.processes import wait_until
from test.zoned_nodes import Caller, zones

KEY = 'zone-1.order'
# The upstream is busy so long, and a call runs there so long.
BUSY_MS = 2000
RUN_MS = 600
ON_ITS_WAY_S = 0.3
CASES = (
    # Stage, leg, victim, outcome told, outcome of a resend in the home zone
    # and of one in another zone. Empty: the connection ended without answer.
    ('queued', '', 'entry', '', 'unknown', 'unknown'),
    ('queued', '', 'guard', 'unknown', 'unknown', 'unknown'),
    ('queued', '', 'upstream', 'not-run', 'not-run', 'ran'),
    ('running', '', 'entry', '', 'unknown', 'unknown'),
    ('running', '', 'guard', 'unknown', 'unknown', 'unknown'),
    ('running', '', 'upstream', 'unknown', 'unknown', 'unknown'),
    ('answered', 'upstream', '', 'unknown', 'unknown', 'unknown'),
    ('answered', 'upstream', 'entry', '', 'unknown', 'unknown'),
    ('answered', 'upstream', 'guard', 'unknown', 'unknown', 'unknown'),
    ('answered', 'upstream', 'upstream', 'unknown', 'unknown', 'unknown'),
    ('answered', 'guard', '', 'unknown', 'ran', 'ran'),
    ('answered', 'guard', 'entry', '', 'ran', 'ran'),
    ('answered', 'guard', 'guard', 'unknown', 'ran', 'ran'),
    ('answered', 'guard', 'upstream', 'unknown', 'ran', 'ran'),
    ('answered', 'caller', '', '', 'ran', 'ran'),
    ('answered', 'caller', 'entry', '', 'ran', 'ran'),
    ('answered', 'caller', 'guard', '', 'ran', 'ran'),
    ('answered', 'caller', 'upstream', '', 'ran', 'ran'),
)


@params(*CASES)
def test_call_runs_at_most_once_and_is_told_so(
    stage, leg, victim, told, *resent
):
    """Guards against a second run, or a call that ran told as not run.

    The answer is lost on `leg` from a cut on, and `victim` is killed while the
    call waits at the guard, runs, or was answered by the upstream. One call
    has a key and one has none.
    """
    with zones(is_upstream_proxied=leg == 'upstream') as running:
        calls = _begin(running, stage)
        if leg:
            running.links.set_condition(leg, is_backward_cut=True)
        _wait_stage(running, stage)
        _kill(running, victim)
        for identifier, caller in calls.items():
            _check(running, identifier, caller, told)
        if leg:
            _wait_cancelled(running, victim)
            running.links.set_condition(leg)
        for host, outcome in zip(('third', 'far'), resent, strict=True):
            resend = Caller(
                running.address(host), 'keyed', key=KEY, deadline_ms=1500
            )
            _check(running, 'keyed', resend, outcome)


def _begin(running, stage):
    calls = {}
    if stage == 'queued':
        for slot in ('busy-1', 'busy-2'):
            Caller(running.address('guard'), slot, BUSY_MS)
            wait_until(partial(running.begun, slot), 'the slot is taken')
    address = running.links.addresses['caller']
    for identifier, key in (('plain', ''), ('keyed', KEY)):
        calls[identifier] = Caller(
            address,
            identifier,
            RUN_MS,
            key,
        )
    return calls


def _wait_stage(running, stage):
    guard = running.nodes['guard']
    if stage == 'queued':
        wait_until(lambda: guard.metric('waxwing_guard_queued') == 2, stage)
        return
    kind = 'begin' if stage == 'running' else 'end'
    for identifier in ('plain', 'keyed'):
        count = partial(running.upstream.count, kind, identifier)
        wait_until(count, stage)
    if stage == 'answered':
        # The answer goes on its way as far as the cut.
        time.sleep(ON_ITS_WAY_S)


def _kill(running, victim):
    if victim == 'upstream':
        running.upstream.process.kill()
    elif victim:
        running.nodes[victim].process.kill()


def _wait_cancelled(running, victim):
    """Waits until the guard has noticed that the entry is gone."""
    guard = running.nodes['guard']
    if victim == 'entry':
        wait_until(lambda: not guard.metric('waxwing_guard_in_flight'), 'end')


def _check(running, identifier, caller, expected):
    """Checks what a caller was told against the expectation and journals."""
    told = (caller.ended().outcome, caller.reason)
    assert caller.outcome == expected, told
    begun = running.begun(identifier)
    assert begun <= 1, told
    if caller.outcome == 'not-run':
        assert not begun, told
    if caller.outcome == 'ran':
        assert begun, told
        assert caller.body == identifier.encode(), told
