"""Outcomes that the entry gives before a call is claimed, and its bound."""

from itertools import chain, repeat
from types import SimpleNamespace

from nose2.tools import params

from test.nodes import node_environment
from test.processes import wait_until
from test.zoned_nodes import Caller
from waxwingsaddle.config_models import Route, Service
from waxwingsaddle.entry import CallLimits, Entry
from waxwingsaddle.entry_bound import EntryBound
from waxwingsaddle.routing import Match
from waxwingsaddle.util.clock import monotonic_s

NO_ROUTE = SimpleNamespace(match=lambda _method, _path: None)


@params(
    (None, 'k', 'unknown', '502'),
    (None, '', 'not-run', '503'),
    (NO_ROUTE, 'k', 'unknown', '502'),
    (NO_ROUTE, '', 'not-run', '404'),
)
def test_refusal_before_the_claim_is_read(table, key, outcome, status):
    """Guards against a resend told not-run while its first attempt ran."""
    routing = SimpleNamespace(table=table)
    entry = _entry(routing)
    told = []
    list(entry(_environ(key), lambda *given: told.append(given)))
    line, headers = told[0]
    assert line.startswith(status), line
    assert dict(headers)['Waxwing-Outcome'] == outcome


def _environ(key=''):
    fields = {'idempotency-key': key} if key else {}
    return {
        'waxwing.head': SimpleNamespace(fields=fields),
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/orders',
    }


def _entry(routing, wait_s=0):
    bound = EntryBound(10, 1000)
    limits = CallLimits(1000, 255, wait_s)
    return Entry(routing, None, None, bound, limits, monotonic_s)


class _LateRouting:
    """Has its routes only when asked for the fourth time."""

    def __init__(self):
        self._tables = chain((None,) * 3, repeat(NO_ROUTE))

    @property
    def table(self):
        """The table, or None."""
        return next(self._tables)


def test_call_waits_for_the_first_configuration():
    """Guards against calls refused by a node that has just restarted."""
    assert _status_after(wait_s=5) == '404'
    assert _status_after(wait_s=0) == '503'


@params(('', 'not-run', '413'), ('k', 'unknown', '502'))
def test_announced_length_is_refused_before_the_body_is_read(
    key, outcome, status
):
    """Guards against a node that reads a body which it can't take."""
    environ = _environ(key)
    # It has no `read`.
    environ['wsgi.input'] = SimpleNamespace(is_complete=False, length=1001)
    assert _refusal(environ) == (outcome, status)


@params(('', 'not-run', '400'), ('k', 'unknown', '502'))
def test_deadline_that_is_no_number(key, outcome, status):
    """Guards against a resend told not-run because of its deadline."""
    environ = _environ(key)
    environ['waxwing.head'].fields['waxwing-deadline-ms'] = 'soon'
    assert _refusal(environ) == (outcome, status)


def _refusal(environ):
    match = Match('r', Route(path_prefix='/', service='s'), Service())
    table = SimpleNamespace(match=lambda _method, _path: match)
    told = []
    entry = _entry(SimpleNamespace(table=table))
    list(entry(environ, lambda *given: told.append(given)))
    line, headers = told[0]
    return dict(headers)['Waxwing-Outcome'], line[:3]


def _refused_calls(caller):
    return caller.wait_ended().outcome, caller.reason


def test_calls_beyond_the_bound_are_refused_lowest_rank_first():
    """Guards against a node that takes calls until its memory is gone."""
    with node_environment() as started:
        node = started.node(entry_calls=10)
        upstream = started.upstream(slots=20)
        node.announce(upstream)
        address = node.http_address
        # Orders have rank 3 of 5: nine of ten calls.
        held = [Caller(address, f'h{number}', 1500) for number in range(9)]
        wait_until(lambda: upstream.count('begin', 'h8'), 'h8')
        refused = _refused_calls(Caller(address, 'r1'))
        assert refused == ('not-run', 'entry-full'), refused
        # With a key, an attempt before this one may have run.
        keyed = _refused_calls(Caller(address, 'r2', key='r2'))
        assert keyed == ('unknown', 'entry-full'), keyed
        assert node.metric('waxwing_entry_refused_total{bound="calls"}') == 2
        assert all(one.wait_ended().outcome == 'ran' for one in held)
        assert Caller(address, 'after').wait_ended().outcome == 'ran'
        assert not upstream.count('begin', 'r1')


def test_bound_gives_back_what_a_call_held():
    """Guards against bounds that fill up over time, or refuse all bodies."""
    bound = EntryBound(max_calls=8, max_body_bytes=1000)
    low, high = 0, 5
    held = [bound.reserve_call(low) for _ in range(6)]
    assert None not in held
    assert bound.reserve_call(low) is None
    booking = bound.reserve_call(high)
    # One body of any size fits; then those of low rank have no room first.
    assert booking.reserve_body(800)
    assert not held[0].reserve_body(100)
    assert booking.reserve_body(200)
    assert not booking.reserve_body(1)
    for one in (*held, booking):
        one.release()
    assert (bound.calls, bound.body_bytes) == (0, 0)
    assert bound.reserve_call(low).reserve_body(5000)


def _status_after(wait_s):
    told = []
    entry = _entry(_LateRouting(), wait_s)
    list(entry(_environ(), lambda *given: told.append(given)))
    return told[0][0][:3]
