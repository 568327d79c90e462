"""Bound and content of the log lines about calls."""

from itertools import repeat
from unittest.mock import patch

from test.callers import FakeDispatcher, new_ingress, request
from waxwingsaddle import logs
from waxwingsaddle.calls import Answer, not_run
from waxwingsaddle.http_heads import parse_request
from waxwingsaddle.request_log import LINES_PER_S, RequestLog
from waxwingsaddle.util.outcome import Outcome

HEAD = parse_request(request('/designs/1', Call_Id='c-1'))
SERVED = Answer(Outcome.RAN, 200)


class Lines:
    """Stands for the logger."""

    def __init__(self):
        """Has no lines."""
        self.lines = []

    def info(self, _event, **fields):
        """Takes a line."""
        self.lines.append(fields)


def _logged(answers, per_s):
    """Logs answers at a rate for two seconds and returns the lines."""
    lines = Lines()
    now_s = [0.0]
    log = RequestLog(lambda: now_s[0], 'call-id')
    with patch.object(logs, 'logger', lambda: lines):
        for number in range(2 * per_s):
            now_s[0] = number / per_s
            answer = answers[number % len(answers)]
            log.log_call(HEAD, None, answer, now_s[0])
    return lines.lines


def test_lines_stay_bounded_and_say_what_they_leave_out():
    """Guards against logs that take the processor when load is high."""
    lines = _logged([SERVED, not_run('overload', 100)], 10 * LINES_PER_S * 2)
    assert len(lines) <= 100 + 2 * LINES_PER_S + 1
    assert sum(line['lines_left_out'] for line in lines) > 1000


def test_failed_calls_go_before_served_ones():
    """Guards against a failed call whose line a served one took."""
    answers = (*repeat(SERVED, 19), not_run('overload', 100))
    lines = _logged(answers, 500)
    refused = [line for line in lines if line['outcome'] == 'not-run']
    assert len(refused) == 50


def test_line_has_what_led_to_the_outcome():
    """Guards against a failed call that cannot be explained afterwards."""
    lines = Lines()
    with patch.object(logs, 'logger', lambda: lines):
        ingress = new_ingress(FakeDispatcher())
        ingress.run(ingress.admit(HEAD))
        elsewhere = parse_request(request('/elsewhere/1', Call_Id='c-2'))
        ingress.admit(elsewhere)
    served, refused = lines.lines
    assert served['request_id'] == 'c-1'
    assert (served['route'], served['version']) == ('browse', 1)
    assert served['outcome'] == 'ran'
    assert refused['request_id'] == 'c-2'
    assert refused['reason'] == 'no-route'
