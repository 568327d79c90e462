"""Upstreams of a node that come, leave and drain."""

from math import inf
from types import SimpleNamespace

from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Request
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_client import UpstreamClientPolicy
from waxwingsaddle.upstreams import Announcement
from waxwingsaddle.util.clock import monotonic_s


def _announced(name, state):
    return Announcement(name, 'orders', '127.0.0.1:1', 4, state, 0.0)


def _guarding(*announced):
    guarding = UpstreamCalls(
        SimpleNamespace(announcements=lambda: announced),
        SimpleNamespace(current=None),
        UpstreamClientPolicy(),
        lambda *_: None,
        call_ids_kept_s=60,
        drain_wait_s=0.5,
        clock=monotonic_s,
    )
    guarding.refresh()
    return guarding


def _reason(guarding, name):
    deadline_s = monotonic_s() + 1
    call = Call(name, 'r', 'learned', 'normal', True, deadline_s, due_s=inf)
    return guarding.run(name, call, Request('GET', '/', ())).reason


def test_upstream_that_is_draining_when_first_heard_of_gets_no_call():
    """Guards against calls to a leaving upstream after a restart of its node.

    The guard was told to drain only by a change from ready to draining, which
    a node that started in between never sees.
    """
    guarding = _guarding(
        _announced('leaving', 'draining'),
        _announced('staying', 'ready'),
    )
    assert _reason(guarding, 'leaving') == 'draining'
    # Nobody listens there, so that the connection is refused.
    assert _reason(guarding, 'staying') == 'upstream-refused'
