"""Tests of the rate limit and the fields of log lines about calls."""

from itertools import repeat
from unittest.mock import patch

from test.callers import FakeDispatcher, new_ingress, request
from waxwingsaddle import logs
from waxwingsaddle.calls import Answer, not_run
from waxwingsaddle.http_heads import parse_request
from waxwingsaddle.request_log import LINES_PER_S, RequestLog
from waxwingsaddle.stop_schedule import StopSchedule
from waxwingsaddle.util.outcome import Outcome

HEAD = parse_request(request('/designs/1', Call_Id='c-1'))
SERVED = Answer(Outcome.RAN, 200)


class RecordingLogger:
    """Logger that stores the fields of lines."""

    def __init__(self):
        """Starts without lines."""
        self.lines = []

    def info(self, _event, **fields):
        """Stores the fields of a line."""
        self.lines.append(fields)


def _log_answers(answers, per_s):
    """Logs answers at a rate for two simulated seconds; returns the lines."""
    logger = RecordingLogger()
    now_s = [0.0]
    log = RequestLog(
        lambda: now_s[0], 'call-id', StopSchedule(2, 3, lambda: now_s[0])
    )
    with patch.object(logs, 'logger', lambda: logger):
        for number in range(2 * per_s):
            now_s[0] = number / per_s
            answer = answers[number % len(answers)]
            log.log_call(HEAD, None, answer, now_s[0])
    return logger.lines


def test_lines_are_limited_and_count_those_left_out():
    """Guards against log lines that use up the processor under load.

    Lines that are left out must be counted in the next line.
    """
    lines = _log_answers(
        [SERVED, not_run('overload', 100)], 10 * LINES_PER_S * 2
    )
    assert len(lines) <= 100 + 2 * LINES_PER_S + 1
    assert sum(line['lines_left_out'] for line in lines) > 1000


def test_failed_calls_have_priority():
    """Guards against failed calls left out in favour of served ones."""
    answers = (*repeat(SERVED, 19), not_run('overload', 100))
    lines = _log_answers(answers, 500)
    refused = [line for line in lines if line['outcome'] == 'not-run']
    assert len(refused) == 50


def test_line_explains_the_outcome():
    """Guards against a log line that does not explain a failed call."""
    logger = RecordingLogger()
    with patch.object(logs, 'logger', lambda: logger):
        ingress = new_ingress(FakeDispatcher())
        ingress.run(ingress.admit(HEAD))
        elsewhere = parse_request(request('/elsewhere/1', Call_Id='c-2'))
        ingress.admit(elsewhere)
    served, refused = logger.lines
    assert served['request_id'] == 'c-1'
    assert (served['route'], served['version']) == ('browse', 1)
    assert served['outcome'] == 'ran'
    assert refused['request_id'] == 'c-2'
    assert refused['reason'] == 'no-route'
