"""Tests of the journal checker."""

import json
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

from waxwingsaddle import journal_checker


def _check(executions, answers):
    with TemporaryDirectory() as folder:
        files = (Path(folder, 'journal'), Path(folder, 'answers'))
        for file, lines in zip(files, (executions, answers), strict=True):
            _write(file, lines)
        return journal_checker.check_calls(files[:1], files[1:])


def _execution(call_id, key=''):
    return {'event': 'start', 'call_id': call_id, 'key': key}


def _answer(call_id, outcome, is_complete=True):
    return {
        'call_id': call_id,
        'outcome': outcome,
        'status': 200,
        'is_whole': is_complete,
        'reason': '',
    }


def test_clean_run_has_no_violations():
    """Guards against violations reported for a correct run."""
    outcome = _check([_execution('a', 'a')], [_answer('a', 'ran')])
    assert (outcome.executions, outcome.answers) == (1, 1)
    assert not outcome.violations


def test_each_violation_is_found():
    """Guards against violations of a guarantee that are not reported."""
    outcome = _check(
        [_execution('a', 'k'), _execution('b', 'k'), _execution('c')],
        [_answer('c', 'not-run'), _answer('d', 'ran', is_complete=False)],
    )
    assert 'key k ran 2 times' in outcome.violations[0]
    assert 'answered not-run' in outcome.violations[1]
    assert 'not whole' in outcome.violations[2]
    assert 'never ran' in outcome.violations[3]


def test_return_to_an_older_version_is_found():
    """Guards against returns to an older version that are not reported."""
    observed = [('n1', 1), ('n2', 3), ('n1', 2), ('n2', 2)]
    assert journal_checker.check_versions(observed) == (
        'n2 went back from version 3 to 2',
    )


def test_journals_of_nodes_are_checked():
    """Guards against unreported violations in the journals of nodes.

    These are returns to an older version, and routes without their service.
    """
    lines = [
        {'version': 2, 'dangling': ['pay']},
        {'version': 1, 'dangling': []},
    ]
    with TemporaryDirectory() as folder:
        file = Path(folder, 'n1.journal')
        _write(file, lines)
        # A killed node may leave an incomplete last line.
        with file.open('a', encoding='utf-8') as journal:
            journal.write('{"version": 0')
        assert journal_checker.check_node_journals([file]) == (
            'n1 went back from version 2 to 1',
            "n1 had route 'pay' without its service in version 2",
        )


def test_incomplete_line_of_an_execution_fails_the_check():
    """Guards against an execution that is ignored.

    An incomplete line in the journal of an upstream must fail the check, since
    the line may hold an execution.
    """
    with TemporaryDirectory() as folder:
        file = Path(folder, 'journal')
        file.write_text('{"event": "start", "call')
        with suppress(ValueError):
            journal_checker.check_calls([file], [])
            raise AssertionError('the incomplete line was ignored')


def _write(file, lines):
    file.write_text(''.join(f'{json.dumps(line)}\n' for line in lines))
