"""Loads and validates the settings of all programs.

A settings file is a TOML file with one table per program. The defaults and the
reasons for them are in `default_settings.toml` of this package.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from waxwingsaddle.util.codec import unpack_toml
from waxwingsaddle.util.lines import one_line

_Model = TypeVar('_Model', bound=msgspec.Struct)

DEFAULTS_FILE = Path(__file__).with_name('default_settings.toml')
UNITS = {
    '_ms': 'milliseconds',
    '_s': 'seconds',
    '_bytes': 'bytes',
    '_percent': 'percent',
    '_per_s': 'a second',
}


@dataclass(frozen=True, slots=True)
class SettingsError:
    """An error in a settings file.

    Attributes:
        file: The settings file.
        key: Dotted path of the invalid key; empty if it concerns the file.
        problem: Description of the error, with the value if there is one.
    """

    file: str
    key: str
    problem: str

    def __str__(self) -> str:
        unit = next(
            (
                f' (in {name})'
                for suffix, name in sorted(UNITS.items(), key=_longest_first)
                if self.key.endswith(suffix)
            ),
            '',
        )
        location = f'{self.file}: {self.key}' if self.key else self.file
        return one_line(f'{location}{unit}: {self.problem}')


def load(path: Path, table: str, model: type[_Model]) -> _Model | SettingsError:
    """Reads the settings of one program.

    Args:
        path: The settings file.
        table: Name of the table of the program, such as `node`.
        model: Struct that describes and validates the table.

    Returns:
        The validated settings, or the error found in them.
    """
    try:
        document = unpack_toml(path.read_text(encoding='utf-8'))
    except OSError as error:
        return SettingsError(str(path), '', error.strerror or str(error))
    except ValueError as error:
        return SettingsError(str(path), '', f'not valid TOML: {error}')
    options = document.get(table)
    if not isinstance(options, dict):
        return SettingsError(str(path), table, 'the table is missing')
    return check(str(path), table, options, model)


def check(
    file: str,
    table: str,
    options: Mapping[str, Any],
    model: type[_Model],
) -> _Model | SettingsError:
    """Validates a table of settings after adding the defaults.

    Args:
        file: Name of the file, for error messages.
        table: Name of the table.
        options: Keys and values that the file sets.
        model: Struct that describes and validates the table.

    Returns:
        The validated settings, or the error found in them.
    """
    merged = {**defaults(table), **options}
    try:
        return msgspec.convert(merged, model)
    except msgspec.ValidationError as error:
        problem, _, location = str(error).partition(' - at `$')
        key = f'{table}{location.rstrip("`")}'
        if key in {table, f'{table}.'} and '`' in problem:
            key = f'{table}.{problem.split("`")[-2]}'
        return SettingsError(
            file, key, f'{problem}{_format_value(merged, location)}'
        )


def defaults(table: str) -> dict[str, Any]:
    """Returns the default settings of a table."""
    text = DEFAULTS_FILE.read_text(encoding='utf-8')
    return unpack_toml(text).get(table, {})


def _format_value(merged: Mapping[str, Any], location: str) -> str:
    key = location.strip('.`')
    return f' (value: {merged[key]!r})' if key in merged else ''


def _longest_first(unit: tuple[str, str]) -> int:
    return -len(unit[0])
