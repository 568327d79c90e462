"""Admission of calls to upstreams that are ready or draining."""

from math import inf
from types import SimpleNamespace

from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Request
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_client import UpstreamClientPolicy
from waxwingsaddle.upstreams import Announcement
from waxwingsaddle.util.clock import monotonic_s


def _announcement(name, state):
    return Announcement(name, 'orders', '127.0.0.1:1', 4, state, 0.0)


def _upstream_calls(*announcements):
    upstream_calls = UpstreamCalls(
        SimpleNamespace(announcements=lambda: announcements),
        SimpleNamespace(current=None),
        UpstreamClientPolicy(),
        lambda *_: None,
        call_ids_kept_s=60,
        drain_wait_s=0.5,
        clock=monotonic_s,
    )
    upstream_calls.refresh()
    return upstream_calls


def _reason(upstream_calls, name):
    deadline_s = monotonic_s() + 1
    call = Call(name, 'r', 'learned', 'normal', True, deadline_s, due_s=inf)
    return upstream_calls.run(name, call, Request('GET', '/', ())).reason


def test_upstream_first_announced_as_draining_gets_no_call():
    """Guards against calls to a draining upstream after a restart of its node.

    The guard was drained only at a change from ready to draining, which a node
    that starts in between never sees.
    """
    upstream_calls = _upstream_calls(
        _announcement('leaving', 'draining'),
        _announcement('staying', 'ready'),
    )
    assert _reason(upstream_calls, 'leaving') == 'draining'
    # Nothing listens on its port, so the connection is refused.
    assert _reason(upstream_calls, 'staying') == 'upstream-refused'
