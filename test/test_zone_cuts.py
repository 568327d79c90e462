"""Tests of resends of keyed calls between zones that are cut off."""

from functools import partial

from nose2.tools import params

from test.processes import wait_until
from test.zoned_nodes import Caller, zones

CROSS_ZONE_LINKS = ('to-entry', 'to-guard', 'to-third', 'to-far')
RUN_MS = 1500
RESEND_MS = 1500
# Covers three missed heartbeats, a reconnection and a resend.
HEAL_TIMEOUT_S = 10


def _send(running, host, key, wait_ms=0, deadline_ms=RESEND_MS):
    address = running.address(host)
    return Caller(address, key, wait_ms, key, deadline_ms)


def _resend_outcome(running, host, key):
    caller = _send(running, host, key).wait_ended()
    if caller.outcome == 'not-run':
        assert not running.execution_count(key), caller.reason
    if caller.outcome == 'ran':
        assert running.execution_count(key) == 1, caller.reason
    return caller.outcome


def _has_run(running, key):
    return _resend_outcome(running, 'far', key) == 'ran'


@params(
    {'is_forward_cut': True},
    {'is_backward_cut': True},
    {'is_forward_cut': True, 'is_backward_cut': True},
)
def test_cut_zone_and_resends_from_the_other_side(cut):
    """Guards against a keyed call that runs in two zones.

    The zones are cut off in one or both directions while calls with keys of
    zone 1 run in each zone; both are then resent from the other side.
    """
    with zones(slots=6) as running:
        # Both keys have zone 1 as home; one call runs in each zone.
        callers = {
            key: _send(running, host, key, RUN_MS, 4000)
            for host, key in (('entry', 'zone-1.a'), ('far', 'zone-1.b'))
        }
        for key in callers:
            wait_until(partial(running.execution_count, key), key)
        running.set_condition(CROSS_ZONE_LINKS, **cut)
        for key, caller in callers.items():
            assert _resend_outcome(running, 'far', key) == 'unknown', key
            assert caller.wait_ended().outcome == 'ran', (key, caller.reason)
        # The home zone learns of a call on the other side after the heal only.
        assert _resend_outcome(running, 'third', 'zone-1.a') == 'ran'
        # With only the direction of the answers cut, the outcome from zone 2
        # can still reach the claim service of the home zone.
        allowed_outcomes = (
            {'unknown'} if 'is_forward_cut' in cut else {'ran', 'unknown'}
        )
        assert _resend_outcome(running, 'third', 'zone-1.b') in allowed_outcomes
        # Each zone accepts new keys of its own, but none of the other zone.
        assert _resend_outcome(running, 'third', 'zone-1.new') == 'ran'
        assert _resend_outcome(running, 'far', 'zone-2.new') == 'ran'
        assert _resend_outcome(running, 'far', 'zone-1.late') == 'unknown'
        assert not running.execution_count('zone-1.late')
        running.set_condition(CROSS_ZONE_LINKS)
        for key in ('zone-1.a', 'zone-1.b', 'zone-1.new', 'zone-1.late'):
            wait_until(partial(_has_run, running, key), key, HEAL_TIMEOUT_S)
            assert running.execution_count(key) == 1, key
