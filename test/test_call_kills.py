"""Process kills and lost answers at each stage of a non-idempotent call."""

import time
from functools import partial

from nose2.tools import params

from test.processes import wait_until
from test.zoned_nodes import Caller, zones

KEY = 'zone-1.order'
# How long the upstream is busy before the calls, and how long a call runs.
BUSY_MS = 2000
RUN_MS = 600
IN_TRANSIT_S = 0.3
CASES = (
    # Stage, link on which the answer is lost, killed process, reported outcome,
    # and the outcomes of resends in the home zone and in another zone. Empty
    # outcome: the connection ended without an answer.
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
    stage, link, victim, expected, *resent
):
    """Guards against a second run, and a call that ran reported as not run.

    Answers on the link `link` are lost after the start of the calls, and the
    process `victim` is killed while they are queued at the guard, run, or have
    been answered by the upstream. One of the two calls has an idempotency key.
    """
    with zones(is_upstream_proxied=link == 'upstream') as running:
        calls = _start_calls(running, stage)
        if link:
            running.links.set_condition(link, is_backward_cut=True)
        _wait_for_stage(running, stage)
        _kill(running, victim)
        for identifier, caller in calls.items():
            _check(running, identifier, caller, expected)
        if link:
            _wait_until_cancelled(running, victim)
            running.links.set_condition(link)
        for host, outcome in zip(('third', 'far'), resent, strict=True):
            resend = Caller(
                running.address(host), 'keyed', key=KEY, deadline_ms=1500
            )
            _check(running, 'keyed', resend, outcome)


def _start_calls(running, stage):
    calls = {}
    if stage == 'queued':
        for slot in ('busy-1', 'busy-2'):
            Caller(running.address('guard'), slot, BUSY_MS)
            wait_until(
                partial(running.execution_count, slot), 'the slot is taken'
            )
    address = running.links.addresses['caller']
    for identifier, key in (('plain', ''), ('keyed', KEY)):
        calls[identifier] = Caller(
            address,
            identifier,
            RUN_MS,
            key,
        )
    return calls


def _wait_for_stage(running, stage):
    guard = running.nodes['guard']
    if stage == 'queued':
        wait_until(lambda: guard.metric('waxwing_guard_queued') == 2, stage)
        return
    kind = 'begin' if stage == 'running' else 'end'
    for identifier in ('plain', 'keyed'):
        count = partial(running.upstream.count, kind, identifier)
        wait_until(count, stage)
    if stage == 'answered':
        # The answer travels as far as the cut link.
        time.sleep(IN_TRANSIT_S)


def _kill(running, victim):
    if victim == 'upstream':
        running.upstream.process.kill()
    elif victim:
        running.nodes[victim].process.kill()


def _wait_until_cancelled(running, victim):
    """Waits until the guard has cancelled the calls of a killed entry node."""
    guard = running.nodes['guard']
    if victim == 'entry':
        wait_until(lambda: not guard.metric('waxwing_guard_in_flight'), 'end')


def _check(running, identifier, caller, expected):
    """Compares the reported outcome with the expected one and the journals."""
    reported = (caller.wait_ended().outcome, caller.reason)
    assert caller.outcome == expected, reported
    executions = running.execution_count(identifier)
    assert executions <= 1, reported
    if caller.outcome == 'not-run':
        assert not executions, reported
    if caller.outcome == 'ran':
        assert executions, reported
        assert caller.body == identifier.encode(), reported
