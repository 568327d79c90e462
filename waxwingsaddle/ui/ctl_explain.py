"""Command that traces a request through log files."""

import sys
from collections.abc import Iterator
from dataclasses import asdict

from cleo.helpers import argument

from waxwingsaddle.explanation import Explanation, explain
from waxwingsaddle.ui.ctl_base import CommandError, CtlCommand, ExitCode

_STANDARD_INPUT = '-'


class ExplainCommand(CtlCommand):
    """Shows the processing and outcome of a request."""

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
        """Reads the log files and prints the steps of the request."""
        request_id = self.argument('request-id')
        explanation = explain(request_id, _read_lines(self.argument('files')))
        if explanation is None:
            raise CommandError(
                f'no line names request {request_id}: it was left out under '
                'load, or the log of the node of its caller is missing',
                ExitCode.refused,
            )
        if explanation.unreadable_lines:
            self.warn(
                f'{explanation.unreadable_lines} lines are no JSON objects'
            )
        self.show(asdict(explanation), _format_explanation(explanation))
        return ExitCode.done


def _read_lines(files: list[str]) -> Iterator[str]:
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


def _format_explanation(explanation: Explanation) -> Iterator[str]:
    yield f'request {explanation.request_id}: {explanation.cause}'
    for step in explanation.steps:
        yield f'{step.at} {step.host} {step.text}'
