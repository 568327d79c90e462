"""Command that follows one request through log files."""

import sys
from collections.abc import Iterator
from dataclasses import asdict

from cleo.helpers import argument

from waxwingsaddle.explanation import Explanation, explain
from waxwingsaddle.ui.ctl_base import CommandError, CtlCommand, ExitCode

_STANDARD_INPUT = '-'


class ExplainCommand(CtlCommand):
    """Shows what became of one request."""

    name = 'explain'
    description = 'Shows what became of one request, from log files.'
    arguments = [
        argument('request-id', 'Identifier that the caller gave.'),
        argument(
            'files',
            'Log files of any processes; - reads the input.',
            multiple=True,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Reads the files and shows the steps of the request."""
        request_id = self.argument('request-id')
        found = explain(request_id, _lines(self.argument('files')))
        if found is None:
            raise CommandError(
                f'no line names request {request_id}: it was left out under '
                'load, or the log of the node of its caller is missing',
                ExitCode.refused,
            )
        if found.unreadable_lines:
            self.warn(f'{found.unreadable_lines} lines are no JSON objects')
        self.show(asdict(found), _text(found))
        return ExitCode.done


def _lines(files: list[str]) -> Iterator[str]:
    for name in files:
        if name == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with open(name, encoding='utf-8', errors='replace') as stream:
                yield from stream
        except OSError as error:
            raise CommandError(
                f'{name}: {error.strerror}',
                ExitCode.usage,
            ) from None


def _text(found: Explanation) -> Iterator[str]:
    yield f'request {found.request_id}: {found.cause}'
    for step in found.steps:
        yield f'{step.at} {step.host} {step.text}'
