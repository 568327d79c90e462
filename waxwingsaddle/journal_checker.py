"""Checks the journals of a run against the guarantees of the system.

Reads the executions of stand-in upstreams, the answers that callers received,
and the configuration versions that nodes had in force.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from itertools import chain
from pathlib import Path
from typing import Any

from waxwingsaddle.util.jsonlines import read_finished_lines, read_lines


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Outcome of a check of journals.

    Attributes:
        executions: Executions started.
        answers: Answers that callers received.
        violations: One readable line each; empty when all guarantees held.
    """

    executions: int
    answers: int
    violations: tuple[str, ...] = field(default=())


def check_calls(
    journals: Iterable[Path],
    answers: Iterable[Path],
) -> CheckResult:
    """Checks the executions of calls against the answers to callers.

    A keyed call runs at most once, a call that was answered "not-run" never
    runs, and every successful answer is complete and follows an execution.

    Args:
        journals: Journal files of stand-in upstreams.
        answers: Answer files of the load tool.

    Returns:
        Counts of executions and answers, and the violations.
    """
    started = [
        line
        for line in chain.from_iterable(map(read_lines, journals))
        if line['event'] == 'start'
    ]
    answer_lines = list(chain.from_iterable(map(read_lines, answers)))
    violations = (
        *_repeated_executions(started),
        *_executed_despite_not_run(started, answer_lines),
        *_invalid_answers(started, answer_lines),
    )
    return CheckResult(len(started), len(answer_lines), violations)


def check_node_journals(files: Iterable[Path]) -> tuple[str, ...]:
    """Checks the configurations that nodes had in force, across restarts.

    Args:
        files: Journal of each node, named after its host. Each line has the
            `version` in force and the names of its routes whose service does
            not exist (`dangling`).

    Returns:
        One readable line for each return to an older version and for each
        dangling route.
    """
    observed = [
        (file.stem, line)
        for file in files
        for line in read_finished_lines(file)
    ]
    return (
        *check_versions((host, line['version']) for host, line in observed),
        *(
            f'{host} had route {route!r} without its service '
            f'in version {line["version"]}'
            for host, line in observed
            for route in line['dangling']
        ),
    )


def check_versions(
    observed: Iterable[tuple[str, int]],
) -> tuple[str, ...]:
    """Checks that no node returned to an older version.

    Args:
        observed: Pairs of host and version in force, in chronological order.

    Returns:
        One readable line for each return to an older version.
    """
    newest: dict[str, int] = defaultdict(int)
    violations = []
    for host, version in observed:
        if version < newest[host]:
            violations.append(
                f'{host} went back from version {newest[host]} to {version}',
            )
        newest[host] = max(newest[host], version)
    return tuple(violations)


def _repeated_executions(started: list[dict[str, Any]]) -> Iterator[str]:
    execution_counts = Counter(line['key'] for line in started if line['key'])
    yield from (
        f'key {key} ran {executions} times'
        for key, executions in execution_counts.items()
        if executions > 1
    )


def _executed_despite_not_run(
    started: list[dict[str, Any]],
    answer_lines: list[dict[str, Any]],
) -> Iterator[str]:
    executed_ids = {line['call_id'] for line in started}
    last_outcomes = {line['call_id']: line for line in answer_lines}
    yield from (
        f'call {call_id} was answered not-run ({line["reason"]}) but ran'
        for call_id, line in last_outcomes.items()
        if line['outcome'] == 'not-run' and call_id in executed_ids
    )


def _invalid_answers(
    started: list[dict[str, Any]],
    answer_lines: list[dict[str, Any]],
) -> Iterator[str]:
    executed_ids = {line['call_id'] for line in started}
    for line in answer_lines:
        if (
            line['outcome'] != 'ran'
            or line['status'] >= HTTPStatus.MULTIPLE_CHOICES
        ):
            continue
        if not line['is_whole']:
            yield f'call {line["call_id"]} got an answer that is not whole'
        if line['call_id'] not in executed_ids:
            yield f'call {line["call_id"]} was answered but never ran'
