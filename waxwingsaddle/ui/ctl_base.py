"""Base of the commands of `waxwingctl`: options, errors and exit codes."""

import json
import os
from collections.abc import Iterable
from enum import IntEnum
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from waxwingsaddle import settings
from waxwingsaddle.api_models import Failure
from waxwingsaddle.client import Client
from waxwingsaddle.config import Refused, SourceSet
from waxwingsaddle.ctl_settings import CtlSettings
from waxwingsaddle.sources import read_sources
from waxwingsaddle.util.numbers import parse_number

SETTINGS_VARIABLE = 'WAXWING_CTL_SETTINGS'
TABLE = 'ctl'


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    done = 0
    refused = 1
    usage = 2
    conflict = 3
    unreachable = 4
    not_in_force = 5
    not_allowed = 6
    doubtful = 7
    interrupted = 130


_EXIT_CODES = {
    'bad-request': ExitCode.refused,
    'too-large': ExitCode.refused,
    'not-found': ExitCode.refused,
    'refused': ExitCode.refused,
    'conflict': ExitCode.conflict,
    'not-authenticated': ExitCode.not_allowed,
    'forbidden': ExitCode.not_allowed,
    'unavailable': ExitCode.unreachable,
    'unreachable': ExitCode.unreachable,
    'internal': ExitCode.unreachable,
}


class CommandError(Exception):
    """Ends a command with an error message of one line.

    Attributes:
        code: Exit code of the program.
        document: Document to print if `--json` is set.
    """

    def __init__(
        self,
        message: str,
        code: ExitCode,
        document: Any = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.document = document or {'message': message}


class CtlCommand(Command):
    """Base of all commands.

    Subclasses implement `run_command`, which returns the exit code or raises
    `CommandError`.
    """

    own_options: ClassVar[list[Option]] = []

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Adds the options common to all commands."""
        super().__init_subclass__(**kwargs)
        cls.options = [*cls.own_options, *_common_options()]

    def run_command(self) -> ExitCode:
        """Executes the command and returns its exit code."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and reports an error in one line."""
        try:
            return self.run_command()
        except CommandError as error:
            if self.option('json'):
                self.show_json(error.document)
            self.warn(str(error))
            return error.code

    def load_settings(self) -> CtlSettings:
        """Returns the settings of the program.

        Raises:
            CommandError: The settings are missing or invalid.
        """
        file = self.option('settings') or os.environ.get(SETTINGS_VARIABLE)
        controls = self.option('control')
        if file:
            loaded = settings.load(Path(file), TABLE, CtlSettings)
        else:
            loaded = settings.check(
                '--control',
                TABLE,
                {'controls': controls},
                CtlSettings,
            )
            if not controls:
                raise CommandError(
                    'no control host is named; give --settings FILE or '
                    '--control IP:PORT',
                    ExitCode.usage,
                )
        if isinstance(loaded, settings.SettingsError):
            raise CommandError(str(loaded), ExitCode.usage)
        if controls:
            return msgspec.structs.replace(loaded, controls=tuple(controls))
        return loaded

    def client(self, loaded: CtlSettings) -> Client:
        """Returns a client of the control hosts.

        Raises:
            CommandError: The token file can't be read.
        """
        token = ''
        if loaded.token_file:
            try:
                token = Path(loaded.token_file).read_text('utf-8').strip()
            except (OSError, UnicodeDecodeError) as error:
                raise CommandError(
                    f'token_file {loaded.token_file}: {error}',
                    ExitCode.usage,
                ) from None
        return Client(loaded.controls, token, loaded.answer_limit_ms)

    def read_files(self, loaded: CtlSettings) -> SourceSet:
        """Reads the source files of an edit.

        Raises:
            CommandError: A file can't be read.
        """
        sources = read_sources(
            Path(self.option('base') or loaded.base_file),
            Path(self.option('overlays') or loaded.overlay_folder),
        )
        if isinstance(sources, Refused):
            raise CommandError(sources.problems[0], ExitCode.refused)
        return sources

    def parse_option_number(self, name: str, text: str | int) -> int:
        """Returns the value of a numeric option or argument.

        Args:
            name: Name of the option or argument, for the error message.
            text: Its value on the command line, or its default.

        Raises:
            CommandError: The value is not a number.
        """
        number = parse_number(str(text))
        if number is None:
            raise CommandError(
                f'{name}: expected a number, got {text!r}',
                ExitCode.usage,
            )
        return number

    def require_success(self, answer: Any) -> Any:
        """Returns an answer of the API unless it is a failure.

        Raises:
            CommandError: The answer is a failure.
        """
        if not isinstance(answer, Failure):
            return answer
        raise CommandError(
            f'{answer.kind}: {answer.message}',
            _EXIT_CODES[answer.kind],
            answer,
        )

    def show(self, document: Any, lines: Iterable[str]) -> None:
        """Prints the document if `--json` is set, otherwise the lines."""
        if self.option('json'):
            self.show_json(document)
            return
        for line in lines:
            self.line(escape_markup(line))

    def warn(self, message: str) -> None:
        """Prints a line to standard error."""
        self.io.write_error_line(
            escape_markup(f'waxwingctl {self.name}: {message}'),
        )

    def show_json(self, document: Any) -> None:
        """Prints a document as indented JSON."""
        plain = msgspec.to_builtins(document)
        self.io.write_line(escape_markup(json.dumps(plain, indent=2)))


def file_options() -> list[Option]:
    """Returns the options of commands that read source files."""
    return [
        option('base', None, 'The base file.', flag=False),
        option('overlays', None, 'Folder of the overlays.', flag=False),
    ]


def _common_options() -> list[Option]:
    return [
        option('json', None, 'Prints JSON.'),
        option('settings', None, 'Settings file.', flag=False),
        option(
            'control',
            None,
            'IP:PORT of a control host; may be repeated.',
            flag=False,
            multiple=True,
        ),
    ]


def escape_markup(text: str) -> str:
    """Escapes a text for cleo, which parses angle brackets as style tags."""
    return text.replace('<', r'\<')
