"""Checked settings of every program.

Settings are TOML files with one table a program. Defaults stand, with their
explanations, in `default_settings.toml` of this package.
"""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

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
    """A settings file that can't be used.

    Attributes:
        file: The settings file.
        key: Dotted path of the key at fault, empty for the whole file.
        problem: What is wrong, with the value where there is one.
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
        place = f'{self.file}: {self.key}' if self.key else self.file
        return one_line(f'{place}{unit}: {self.problem}')


def load(path: Path, table: str, model: type[_Model]) -> _Model | SettingsError:
    """Reads the settings of one program.

    Args:
        path: The settings file.
        table: Name of the table of the program, such as `node`.
        model: Struct that describes and checks the table.

    Returns:
        The checked settings, or what is wrong with them.
    """
    try:
        document = tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        return SettingsError(str(path), '', error.strerror or str(error))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return SettingsError(str(path), '', f'not valid TOML: {error}')
    given = document.get(table)
    if not isinstance(given, dict):
        return SettingsError(str(path), table, 'the table is missing')
    return check(str(path), table, given, model)


def check(
    file: str,
    table: str,
    given: Mapping[str, Any],
    model: type[_Model],
) -> _Model | SettingsError:
    """Checks one table of settings, with defaults filled in.

    Args:
        file: Name of the file, for messages.
        table: Name of the table.
        given: The keys that the file sets.
        model: Struct that describes and checks the table.

    Returns:
        The checked settings, or what is wrong with them.
    """
    merged = {**defaults(table), **given}
    try:
        return msgspec.convert(merged, model)
    except msgspec.ValidationError as error:
        problem, _, place = str(error).partition(' - at `$')
        key = f'{table}{place.rstrip("`")}'
        if key in {table, f'{table}.'} and '`' in problem:
            key = f'{table}.{problem.split("`")[-2]}'
        return SettingsError(file, key, f'{problem}{_shown(merged, place)}')


def defaults(table: str) -> dict[str, Any]:
    """Returns the default settings of a table."""
    text = DEFAULTS_FILE.read_text(encoding='utf-8')
    return tomllib.loads(text).get(table, {})


def _shown(merged: Mapping[str, Any], place: str) -> str:
    key = place.strip('.`')
    return f' (value: {merged[key]!r})' if key in merged else ''


def _longest_first(unit: tuple[str, str]) -> int:
    return -len(unit[0])
