"""Checks that the verdict of a soak finds each kind of lost request."""

from dataclasses import replace
from math import inf

from nose2.tools import params

from test.soak_requests import SoakRequest
from test.soak_verdict import Journal, Lags, StopTimes, Verdict

TIMES = StopTimes(drain_s=0.4, upstream_drain_s=0.2, limit_s=1)
LAGS = Lags([(101, 0.01), (110, 2)])
GUARDS = {'up-1': 'guard'}
# A stop from 100 to 101.5 s of the epoch; the node served again from 102 s.
LOGS = {
    'entry': (
        "timestamp='1970-01-01T00:01:40.000000Z' event='stopping'\n"
        "timestamp='1970-01-01T00:01:41.000000Z' event='call' "
        "target='/orders/logged' stopping_ms=900\n"
        "timestamp='1970-01-01T00:01:41.500000Z' event='stopped'\n"
    ),
    'guard': '',
}
SERVED = SoakRequest(
    'call',
    'entry',
    'api',
    'POST',
    work_ms=5,
    deadline_ms=5000,
    connected_s=90,
    begun_s=95,
    whole_s=95,
    ended_s=95.1,
    status=200,
)
RAN = ('begin call 95.0', 'end call 95.1')
CUT = ('begin call 100.1', 'cut call 101.4')
LATE = replace(SERVED, begun_s=101, whole_s=101, ended_s=101.4)
UNANSWERED = replace(LATE, status=0)
AT_THE_END = replace(
    SERVED, begun_s=100.3, whole_s=100.3, ended_s=101.4, status=502
)


def _problem(request, lines):
    journal = Journal({'up-1': lines})
    verdict = Verdict(journal, LOGS, TIMES, GUARDS, LAGS)
    return next((rule for rule, _ in verdict.problems([request])), '')


@params(
    (SERVED, RAN),
    (replace(SERVED, method='GET'), RAN * 2),
    (replace(LATE, status=503), ()),
    # The caller's own deadline passed.
    (replace(SERVED, status=504, deadline_ms=50), RAN),
    # Arrived before its caller could know of the stop, and outlasted it.
    (AT_THE_END, CUT),
    # Sent to a node that closes its connections.
    (UNANSWERED, ()),
    (replace(UNANSWERED, whole_s=inf), ()),
    (replace(UNANSWERED, is_behind_close=True), ()),
)
def test_requests_that_got_their_due(request, lines):
    """Guards against a verdict that fails for what a stop may do."""
    assert not _problem(request, lines)


@params(
    (replace(SERVED, reason='another answer'), RAN, 'wrong answer'),
    (SERVED, (), 'wrong answer'),
    (SERVED, RAN * 2, 'ran twice'),
    (replace(SERVED, ended_s=130), RAN, 'no end'),
    (replace(LATE, status=503), RAN, 'refused and ran'),
    (replace(LATE, status=504, outcome='not-run'), RAN, 'refused and ran'),
    (replace(LATE, status=502), CUT, 'answer lost'),
    # The stop had not ended yet, or the call had.
    (replace(AT_THE_END, ended_s=101), CUT, 'answer lost'),
    (AT_THE_END, ('begin call 100.1', 'cut call 101'), 'answer lost'),
    (AT_THE_END, ('begin call 100.1', 'end call 101.2'), 'answer lost'),
    # No node stopped.
    (replace(SERVED, status=502), RAN, 'answer lost'),
    (UNANSWERED, CUT, 'passed on without an answer'),
    (replace(UNANSWERED, identifier='logged'), (), 'read without an answer'),
    # The node still served all connections.
    (replace(UNANSWERED, whole_s=100.3), (), 'not read'),
    (replace(UNANSWERED, connected_s=102), (), 'not read'),
    (
        replace(UNANSWERED, is_behind_close=True),
        RAN,
        'ran behind the last answer',
    ),
)
def test_lost_requests_are_found(request, lines, expected):
    """Guards against a verdict that passes over a lost request."""
    assert _problem(request, lines) == expected


def test_late_cuts_and_faults_in_logs_are_found():
    """Guards against a verdict that passes over what nodes have logged."""
    entries = (
        "timestamp='a' event='call cut off' stopping_ms=300.5",
        "timestamp='b' event='call cut off' stopping_ms=500.5",
        "timestamp='c' event='call failed'",
        "timestamp='d' event='started'\nTraceback\n  File",
        "timestamp='e' event='started'",
    )
    logs = {'entry': '\n'.join(entries)}
    verdict = Verdict(Journal({}), logs, TIMES, GUARDS, LAGS)
    assert verdict.log_problems() == [
        f'entry: {entry}' for entry in entries[1:4]
    ]


def test_lag_of_the_machine_counts_as_work():
    """Guards against a verdict that depends on the speed of the machine."""
    journal = Journal({'up-1': ('begin call 100.1', 'end call 101.2')})
    slow = Lags([(101.3, 0.06)])
    verdict = Verdict(journal, LOGS, TIMES, GUARDS, slow)
    assert not verdict.problems([AT_THE_END])
