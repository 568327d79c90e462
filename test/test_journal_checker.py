"""Checker of journals."""

import json
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from waxwingsaddle import journal_checker


def _verdict(executions, answers):
    with TemporaryDirectory() as folder:
        files = (Path(folder, 'journal'), Path(folder, 'answers'))
        for file, lines in zip(files, (executions, answers), strict=True):
            _write(file, lines)
        return journal_checker.check_calls(files[:1], files[1:])


def _execution(call_id, key=''):
    return {'event': 'start', 'call_id': call_id, 'key': key}


def _answer(call_id, outcome, is_whole=True):
    return {
        'call_id': call_id,
        'outcome': outcome,
        'status': 200,
        'is_whole': is_whole,
        'reason': '',
    }


def test_clean_run_has_no_violations():
    """Guards against false alarms."""
    verdict = _verdict([_execution('a', 'a')], [_answer('a', 'ran')])
    assert (verdict.executions, verdict.answers) == (1, 1)
    assert not verdict.violations


def test_each_violation_is_found():
    """Guards against a checker that passes a broken promise."""
    verdict = _verdict(
        [_execution('a', 'k'), _execution('b', 'k'), _execution('c')],
        [_answer('c', 'not-run'), _answer('d', 'ran', is_whole=False)],
    )
    assert 'key k ran 2 times' in verdict.violations[0]
    assert 'answered not-run' in verdict.violations[1]
    assert 'not whole' in verdict.violations[2]
    assert 'never ran' in verdict.violations[3]


def test_step_back_of_a_version_is_found():
    """Guards against a node that returns to an older version."""
    seen = [('n1', 1), ('n2', 3), ('n1', 2), ('n2', 2)]
    assert journal_checker.check_versions(seen) == (
        'n2 went back from version 3 to 2',
    )


def test_journals_of_nodes_are_checked():
    """Guards against a checker that passes a step back or a dangling route."""
    lines = [
        {'version': 2, 'dangling': ['pay']},
        {'version': 1, 'dangling': []},
    ]
    with TemporaryDirectory() as folder:
        file = Path(folder, 'n1.journal')
        _write(file, lines)
        # A killed node may leave a line without its end.
        with file.open('a', encoding='utf-8') as journal:
            journal.write('{"version": 0')
        assert journal_checker.check_node_journals([file]) == (
            'n1 went back from version 2 to 1',
            "n1 had route 'pay' without its service in version 2",
        )


def test_torn_line_of_an_execution_is_not_passed_over():
    """Guards against a run whose journal lacks an execution."""
    with TemporaryDirectory() as folder:
        file = Path(folder, 'journal')
        file.write_text('{"event": "start", "call')
        with suppress(ValueError):
            journal_checker.check_calls([file], [])
            raise AssertionError('the torn line was passed over')


def _write(file, lines):
    file.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
