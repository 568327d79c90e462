"""Outcomes that the entry gives before a call is claimed."""

from types import SimpleNamespace

from nose2.tools import params

from waxwingsaddle.entry import CallLimits, Entry
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
    entry = Entry(routing, None, None, CallLimits(1000, 255), monotonic_s)
    fields = {'idempotency-key': key} if key else {}
    environ = {
        'waxwing.head': SimpleNamespace(fields=fields),
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/orders',
    }
    told = []
    list(entry(environ, lambda *given: told.append(given)))
    line, headers = told[0]
    assert line.startswith(status), line
    assert dict(headers)['Waxwing-Outcome'] == outcome
