"""Lines about calls that are read or cut off while the node stops."""

from functools import partial
from types import SimpleNamespace
from unittest.mock import patch

from test.callers import request, running_calls
from test.test_request_log import SERVED, RecordingLogger
from waxwingsaddle import logs
from waxwingsaddle.calls import Answer, Request
from waxwingsaddle.http_heads import parse_request
from waxwingsaddle.request_log import RequestLog
from waxwingsaddle.tasks import CallTask
from waxwingsaddle.util.outcome import Outcome


class Clock:
    """Clock that a test sets, in seconds."""

    def __init__(self):
        """Starts at 0."""
        self.now_s = 0.0

    def __call__(self):
        """Returns the time."""
        return self.now_s


class WarningLogger(RecordingLogger):
    """Logger that stores the fields of warnings."""

    warning = RecordingLogger.info


def _task(deadline_s):
    match = SimpleNamespace(name='order', route=SimpleNamespace())
    return CallTask(match, Request('POST', '/orders/1?x=2', ()), deadline_s)


def _new_calls():
    clock = Clock()
    return clock, running_calls(lambda task: None, clock)


def _cut_off_lines(calls):
    logger = WarningLogger()
    with patch.object(logs, 'logger', lambda: logger):
        calls.cut_off()
    return logger.lines


def _cut(clock, calls, lines):
    clock.now_s = 15.0
    lines.extend(_cut_off_lines(calls))
    return SERVED


def test_call_that_is_cut_off_has_a_line():
    """Guards against calls that end with the process and leave no line."""
    clock, calls = _new_calls()
    clock.now_s = 10.0
    calls.stop_schedule.begin()
    lines = []
    calls.run(_task(14.5), 13.5, 'r-1', partial(_cut, clock, calls, lines))
    assert not _cut_off_lines(calls)
    line = lines[0]
    assert (line['request_id'], line['target']) == ('r-1', '/orders/1')
    assert (line['stopping_ms'], line['took_ms']) == (3500, 1500)
    assert (line['deadline_ms'], line['route']) == (1000, 'order')


def test_call_runs_until_its_body_is_closed():
    """Guards against a broken-off download that leaves no line."""
    _, calls = _new_calls()
    streamed = Answer(
        Outcome.RAN, 200, stream=SimpleNamespace(close=lambda: None)
    )
    answer = calls.run(_task(5), 0, 'r-2', lambda: streamed)
    assert len(_cut_off_lines(calls)) == 1
    answer.stream.close()
    assert not _cut_off_lines(calls)


def test_line_of_a_late_request_says_how_long_the_stop_lasted():
    """Guards against lines that hide that a request came during a stop."""
    clock, calls = _new_calls()
    log = RequestLog(clock, 'call-id', calls.stop_schedule)
    head = parse_request(request('/designs/1', Call_Id='c-1'))
    logger = RecordingLogger()
    with patch.object(logs, 'logger', lambda: logger):
        log.log_call(head, None, SERVED, 0.0)
        clock.now_s = 2.0
        calls.stop_schedule.begin()
        log.log_call(head, None, SERVED, 1.5)
        log.log_call(head, None, SERVED, 4.5)
    assert 'stopping_ms' not in logger.lines[0]
    assert [line['stopping_ms'] for line in logger.lines[1:]] == [-500, 2500]
