"""Zones cut off from each other while keyed calls run and are sent again."""

from functools import partial

from nose2.tools import params

from test.processes import wait_until
from test.zoned_nodes import Caller, zones

CROSSING = ('to-entry', 'to-guard', 'to-third', 'to-far')
RUN_MS = 1500
RESEND_MS = 1500
# Covers three missed heartbeats, a new connection and a resend.
HEAL_LIMIT_S = 10


def _send(running, host, key, wait_ms=0, deadline_ms=RESEND_MS):
    address = running.address(host)
    return Caller(address, key, wait_ms, key, deadline_ms)


def _told(running, host, key):
    caller = _send(running, host, key).ended()
    if caller.outcome == 'not-run':
        assert not running.begun(key), caller.reason
    if caller.outcome == 'ran':
        assert running.begun(key) == 1, caller.reason
    return caller.outcome


def _ran(running, key):
    return _told(running, 'far', key) == 'ran'


@params(
    {'is_forward_cut': True},
    {'is_backward_cut': True},
    {'is_forward_cut': True, 'is_backward_cut': True},
)
def test_cut_zone_and_resends_from_the_other_side(cut):
    """Guards against a booking that runs in two zones during a partition."""
    with zones(slots=6) as running:
        # Of the keys homed in zone 1, a call begins in each zone.
        begun = {
            key: _send(running, host, key, RUN_MS, 4000)
            for host, key in (('entry', 'zone-1.a'), ('far', 'zone-1.b'))
        }
        for key in begun:
            wait_until(partial(running.begun, key), key)
        running.cut(CROSSING, **cut)
        for key, call in begun.items():
            assert _told(running, 'far', key) == 'unknown', key
            assert call.ended().outcome == 'ran', (key, call.reason)
        # What began on the other side is known at home only after the heal.
        assert _told(running, 'third', 'zone-1.a') == 'ran'
        # The outcome from zone 2 may reach the keepers on a connection that is
        # cut in the direction of the answers only.
        may_pass = (
            {'unknown'} if 'is_forward_cut' in cut else {'ran', 'unknown'}
        )
        assert _told(running, 'third', 'zone-1.b') in may_pass
        # The cut-off zone takes the keys homed there, and no other one does.
        assert _told(running, 'third', 'zone-1.new') == 'ran'
        assert _told(running, 'far', 'zone-2.new') == 'ran'
        assert _told(running, 'far', 'zone-1.late') == 'unknown'
        assert not running.begun('zone-1.late')
        running.cut(CROSSING)
        for key in ('zone-1.a', 'zone-1.b', 'zone-1.new', 'zone-1.late'):
            wait_until(partial(_ran, running, key), key, HEAL_LIMIT_S)
            assert running.begun(key) == 1, key
