"""Admission of calls to upstreams that are ready or draining."""

from functools import cache
from math import inf
from types import SimpleNamespace

import eventlet

from test.scripted_upstreams import NAMES, ScriptedUpstream, answer, request
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Request
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_client import UpstreamClientPolicy
from waxwingsaddle.upstreams import Announcement
from waxwingsaddle.util.clock import monotonic_s
from waxwingsaddle.util.outcome import Outcome

_announced = []


@cache
def _shared_upstream_calls():
    # Its metrics can be registered only once in a process.
    return UpstreamCalls(
        SimpleNamespace(announcements=lambda: tuple(_announced)),
        SimpleNamespace(current=None),
        UpstreamClientPolicy(names=NAMES, inline_bytes=8192),
        lambda *_: None,
        call_ids_kept_s=60,
        drain_wait_s=0.5,
        clock=monotonic_s,
    )


def _upstream_calls(*announcements):
    _announced.clear()
    _announced.extend(announcements)
    upstream_calls = _shared_upstream_calls()
    upstream_calls.refresh()
    return upstream_calls


def _announcement(name, state, address='127.0.0.1:1', slots=4):
    return Announcement(name, 'orders', address, slots, state, 0.0)


def _run(upstream_calls, upstream, call_request, *claim):
    call_id = f'{upstream} {call_request.headers}'
    deadline_s = monotonic_s() + 3
    call = Call(call_id, 'r', 'learned', 'normal', True, deadline_s, due_s=inf)
    return upstream_calls.run(upstream, call, call_request, *claim)


def _reason(upstream_calls, name):
    return _run(upstream_calls, name, Request('GET', '/', ())).reason


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


def test_slot_is_free_while_a_large_answer_waits_for_its_caller():
    """Guards against short calls that wait until a large answer has left."""
    large = b'z' * 500_000
    upstream = ScriptedUpstream([answer('z1', large)], [answer('z2')])
    upstream_calls = _upstream_calls(
        _announcement('narrow', 'ready', upstream.address, slots=1)
    )
    first = _run(upstream_calls, 'narrow', request('z1', 'GET'))
    eventlet.sleep(0.2)
    assert not upstream_calls.pending
    second = _run(upstream_calls, 'narrow', request('z2', 'GET'))
    assert second.outcome is Outcome.RAN
    assert b''.join(first.stream) == large
    first.stream.close()
    upstream.close()


def test_answer_of_a_keyed_call_is_not_streamed():
    """Guards against answers that a repeat of their request cannot get.

    A streamed answer is not stored.
    """
    body = b'z' * 60_000
    upstream = ScriptedUpstream([answer('z1', body)])
    upstream_calls = _upstream_calls(
        _announcement('keyed', 'ready', upstream.address)
    )
    stored = _run(upstream_calls, 'keyed', request('z1'), b'claim')
    assert stored.stream is None
    assert stored.body == body
    upstream.close()
