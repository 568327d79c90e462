"""What all commands of `waxwingctl` share: options, errors, exit codes."""

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
    """Ends a command with one readable line.

    Attributes:
        code: Exit code of the program.
        document: What `--json` prints.
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

    Subclasses define `run`; it returns the exit code and raises
    `CommandError` for what the operator must know.
    """

    own_options: ClassVar[list[Option]] = []

    def __init_subclass__(cls, **kwargs: Any) -> None:
        """Adds the options that all commands have."""
        super().__init_subclass__(**kwargs)
        cls.options = [*cls.own_options, *_common_options()]

    def run_command(self) -> ExitCode:
        """Does the work of the command."""
        raise NotImplementedError

    def handle(self) -> int:
        """Runs the command and reports its error in one line."""
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
            CommandError: They can't be used.
        """
        file = self.option('settings') or os.environ.get(SETTINGS_VARIABLE)
        given = self.option('control')
        if file:
            loaded = settings.load(Path(file), TABLE, CtlSettings)
        else:
            loaded = settings.check(
                '--control',
                TABLE,
                {'controls': given},
                CtlSettings,
            )
            if not given:
                raise CommandError(
                    'no control host is named; give --settings FILE or '
                    '--control IP:PORT',
                    ExitCode.usage,
                )
        if isinstance(loaded, settings.SettingsError):
            raise CommandError(str(loaded), ExitCode.usage)
        if given:
            return msgspec.structs.replace(loaded, controls=tuple(given))
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
        """Returns the files of the edit.

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

    def parse_option_number(self, name: str, given: str | int) -> int:
        """Returns the value of an option or argument that is a number.

        Raises:
            CommandError: It is none.
        """
        number = parse_number(str(given))
        if number is None:
            raise CommandError(
                f'{name}: expected a number, got {given!r}',
                ExitCode.usage,
            )
        return number

    def require_success(self, answer: Any) -> Any:
        """Returns an answer.

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
        """Prints a document as JSON with `--json`, else the lines."""
        if self.option('json'):
            self.show_json(document)
            return
        for line in lines:
            self.line(escaped(line))

    def warn(self, message: str) -> None:
        """Prints one line on standard error."""
        self.io.write_error_line(
            escaped(f'waxwingctl {self.name}: {message}'),
        )

    def show_json(self, document: Any) -> None:
        """Prints a document as indented JSON."""
        plain = msgspec.to_builtins(document)
        self.io.write_line(escaped(json.dumps(plain, indent=2)))


def file_options() -> list[Option]:
    """Returns the options of commands that read the files of an edit."""
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


def escaped(text: str) -> str:
    """Returns text for cleo, which reads angle brackets as style tags."""
    return text.replace('<', r'\<')
