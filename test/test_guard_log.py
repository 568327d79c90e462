"""Log lines about upstreams: refusals, ejections and announcements."""

from types import SimpleNamespace
from unittest.mock import patch

from waxwingsaddle import logs
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import not_run
from waxwingsaddle.ejection import Evidence
from waxwingsaddle.guard_decisions import Load
from waxwingsaddle.guard_log import (
    MAX_LINES_PER_S,
    GuardLog,
    log_ejection_change,
)
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.upstream_estimate import AttemptResult
from waxwingsaddle.upstreams import AnnouncementBody, Upstreams

CALL = Call('a-1', 'browse', 'learned', 'normal', True, deadline_s=9)
TTL_MS = 1000


class Lines:
    """Fake logger that collects the lines."""

    def __init__(self):
        """Starts without lines."""
        self.lines = []

    def info(self, event, **fields):
        """Collects a line."""
        self.lines.append({'event': event, **fields})


def _logging(lines):
    return patch.object(logs, 'logger', lambda: lines)


def test_refusal_line_has_the_load_of_the_guard():
    """Guards against refusals whose cause cannot be found in the log."""
    lines = Lines()
    answer = not_run('overload', 120)
    answer.load = Load(6, 4, 6, 80)
    with _logging(lines):
        log = GuardLog(lambda: 8.5)
        log.log_unserved(CALL, 'r-1', 'i-1', answer, 8.25)
    line = lines.lines[0]
    assert (line['request_id'], line['attempt']) == ('r-1', 'a-1')
    assert (line['outcome'], line['reason']) == ('not-run', 'overload')
    assert (line['in_flight'], line['limit'], line['queued']) == (6, 6, 4)
    assert (line['took_ms'], line['deadline_ms']) == (250, 750)


def test_guard_lines_are_rate_limited():
    """Guards against logging that uses up the processor under overload."""
    lines = Lines()
    with _logging(lines):
        log = GuardLog(lambda: 8.5)
        for _ in range(1000):
            log.log_unserved(CALL, 'r-1', 'i-1', not_run('overload'), 8.5)
    assert len(lines.lines) <= 2 * MAX_LINES_PER_S


def test_ejection_line_names_the_upstream_and_the_cause():
    """Guards against an upstream that gets no calls for no logged reason."""
    lines = Lines()
    upstream = SimpleNamespace(name='i-1', host='h-1', service='orders')
    with _logging(lines):
        log_ejection_change(
            upstream, AttemptResult(Evidence.FAILED, 0.2), is_ejected=True
        )
    line = lines.lines[0]
    assert line['event'] == 'upstream ejected'
    assert (line['upstream'], line['upstream_host']) == ('i-1', 'h-1')
    assert (line['evidence'], line['took_ms']) == ('failed', 200)


def _announced(state):
    return AnnouncementBody(
        service='orders', address='127.0.0.1:1', slots=4, state=state
    )


def test_each_change_of_an_upstream_has_a_line():
    """Guards against an upstream that leaves without a log line."""
    lines = Lines()
    now_s = [0.0]
    kernel = Kernel()
    upstreams = Upstreams(kernel, TTL_MS, lambda: now_s[0])
    with _logging(lines):
        for state in ('ready', 'ready', 'draining'):
            upstreams.record_announcement('i-1', _announced(state))
        upstreams.remove('i-1')
        upstreams.record_announcement('i-2', _announced('ready'))
        now_s[0] = 2.0
        upstreams.expire()
    states = [(line['upstream'], line['state']) for line in lines.lines]
    assert states == [
        ('i-1', 'ready'),
        ('i-1', 'draining'),
        ('i-1', 'left'),
        ('i-2', 'ready'),
        ('i-2', 'silent'),
    ]
