"""Tests of the explanation of a request from log lines."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

import eventlet
from cleo.testers.command_tester import CommandTester

from waxwingsaddle import logs
from waxwingsaddle.explanation import explain
from waxwingsaddle.ui import ctl
from waxwingsaddle.ui.ctl_base import ExitCode


def _line(event, second, host, **fields):
    return json.dumps(
        {
            'event': event,
            'timestamp': f'2026-05-25T14:00:{second:06.3f}Z',
            'host': host,
            **fields,
        },
    )


CALL = _line(
    'call',
    10.2,
    'entry-1',
    request_id='r-1',
    outcome='not-run',
    reason='overload',
    status=0,
    took_ms=200,
    retry_after_ms=70,
    attempts=['entry-1-x-1 guard-1/i-1 not-run overload 190ms queued=4'],
)
GUARD = _line(
    'guard',
    10.19,
    'guard-1',
    request_id='r-1',
    attempt='entry-1-x-1',
    reason='overload',
    in_flight=6,
    limit=6,
)
LINES = (
    CALL,
    GUARD,
    _line('guard', 10.18, 'guard-1', request_id='r-2', attempt='entry-1-x-2'),
    _line('upstream ejected', 8, 'entry-1', upstream='i-2'),
    _line('upstream ejected', 2, 'entry-1', upstream='i-3'),
    _line('upstream ejected', 8, 'elsewhere', upstream='i-4'),
    _line('lease taken', 9, 'guard-1', reason='silent'),
    'not a line of ours',
)


def test_refused_request_is_explained_up_to_the_guard():
    """Guards against an explanation that ends at the entry node.

    The line of the guard and the state changes of both hosts are on other
    lines, of which only those near the call concern it.
    """
    explanation = explain('r-1', reversed(LINES))
    assert 'more calls than it could serve' in explanation.cause
    assert [step.text.split(' ')[0] for step in explanation.steps] == [
        'upstream',
        'lease',
        'guard',
        'call',
    ]
    assert 'in_flight=6' in explanation.steps[2].text
    assert 'upstream=i-2' in explanation.steps[0].text
    assert explanation.unreadable_lines == 1


def test_lines_of_a_log_collector_are_read():
    """Guards against ignored lines of a log collector.

    A collector puts a time and a host in front of the JSON object.
    """
    explanation = explain('r-1', [f'  10.2010 entry-1 {CALL}'])
    assert len(explanation.steps) == 1
    assert explain('r-9', LINES) is None


def test_each_outcome_has_a_readable_cause():
    """Guards against outcomes that are shown as bare reason codes.

    A reason without a text is shown as it is.
    """
    outcomes = (
        ('unknown', 'connection-lost', 0, 'may have run'),
        ('ran', '', 500, 'answered 500'),
        ('ran', '', 200, 'answered 200'),
        ('not-run', 'no-route', 0, 'no route'),
        ('not-run', 'something-new', 0, 'something-new'),
    )
    for outcome, reason, status, expected_text in outcomes:
        line = _line(
            'call',
            1,
            'entry-1',
            request_id='r-1',
            outcome=outcome,
            reason=reason,
            status=status,
        )
        assert expected_text in explain('r-1', [line]).cause


def _run(arguments):
    tester = CommandTester(ctl.application().find('explain'))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_command_reads_any_number_of_files():
    """Guards against a command that needs its log files merged first."""
    with TemporaryDirectory() as folder:
        first, second = Path(folder) / 'a.log', Path(folder) / 'b.log'
        first.write_text(f'{CALL}\n', encoding='utf-8')
        second.write_text(f'{GUARD}\nnoise\n', encoding='utf-8')
        code, output, error = _run(f'r-1 {first} {second}')
        assert code == ExitCode.done
        assert output.startswith('request r-1: every upstream')
        assert len(output.splitlines()) == 4
        assert '1 lines are no JSON' in error
        code, output, _ = _run(f'r-1 {first} {second} --json')
        assert json.loads(output)['request_id'] == 'r-1'
        assert _run(f'r-7 {first}')[0] == ExitCode.refused
        assert _run(f'r-1 {folder}/absent')[0] == ExitCode.usage


def test_lines_of_all_green_threads_name_their_host():
    """Guards against log lines without a host.

    The host was once a context variable, which other green threads lack, so
    that their lines could not be told apart in merged logs.
    """
    lines = []
    with patch.object(logs, '_writer', _Writer(lines)):
        logs.configure('info', 'json', host='h-1', program='node')
        thread = eventlet.spawn(logs.structlog.get_logger().info, 'here')
        thread.wait()
    assert json.loads(lines[0])['host'] == 'h-1'


class _Writer:
    """Log writer that stores lines."""

    def __init__(self, lines):
        self._lines = lines

    def info(self, line):
        """Stores a line."""
        self._lines.append(line)
