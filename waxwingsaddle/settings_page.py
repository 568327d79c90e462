"""Generates docs/settings.md from the settings models and their defaults.

Run `python -m waxwingsaddle.settings_page` after changing a setting.
"""

import re
import textwrap
from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, get_args

from msgspec import NODEFAULT, Struct, inspect, json, structs

from waxwingsaddle import settings
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.ctl_settings import CtlSettings
from waxwingsaddle.fault_proxy_settings import FaultsSettings
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.source_settings import SourceSettings
from waxwingsaddle.standin_settings import StandinSettings

PAGE_FILE = Path(__file__).parents[1] / 'docs' / 'settings.md'
MODELS: Mapping[str, type[Struct]] = MappingProxyType(
    {
        'control': ControlSettings,
        'node': NodeSettings,
        'source': SourceSettings,
        'ctl': CtlSettings,
        'upstream': StandinSettings,
        'faults': FaultsSettings,
    },
)
_HEAD = """# Settings

Each program is started as `PROGRAM --settings FILE.toml` and reads the table
with its name (`waxwingctl` reads `ctl`, `waxwing-load` reads `upstream` or
`faults`). A file sets the keys that differ from their defaults and the keys
that have no default. Units are part of the key names. A program with invalid
settings does not start and reports the file, key, value and unit.

This page is generated: `python -m waxwingsaddle.settings_page`.
"""
_ATTRIBUTE = re.compile(r'(?P<key>\w+): (?P<text>.+)')
PIPE = r'\|'
_HEADER = '| key | type | default | meaning |\n| --- | --- | --- | --- |'
_TABLE = re.compile(r'\[(?P<table>\w+)\]')
_KEY = re.compile(r'(?P<key>\w+) = ')


def page() -> str:
    """Returns the Markdown text of the page."""
    reasons = _parse_reasons(settings.DEFAULTS_FILE.read_text(encoding='utf-8'))
    parts = [_HEAD]
    nested: dict[str, type[Struct]] = {}
    for table, model in MODELS.items():
        parts.append(f'## `[{table}]`\n\n{_summary(model)}\n\n{_HEADER}')
        parts.append('\n'.join(_rows(model, table, reasons)))
        parts.append('')
        for inner in _nested_models(model):
            nested.setdefault(inner.__name__, inner)
    for name, model in sorted(nested.items()):
        parts.append(f'## {name}\n\n{_summary(model)}\n\n{_HEADER}')
        parts.append('\n'.join(_rows(model, '', {})))
        parts.append('')
    return '\n'.join(parts)


def _rows(
    model: type[Struct],
    table: str,
    reasons: Mapping[tuple[str, str], str],
) -> Iterator[str]:
    texts = _attribute_texts(model)
    table_reasons = {
        key: text for (owner, key), text in reasons.items() if owner == table
    }
    meanings = {**texts, **table_reasons}
    defaults = settings.defaults(table) if table else {}
    for field in structs.fields(model):
        # A comment in the defaults file replaces the text of the model: it also
        # gives the reason for the value.
        meaning = meanings[field.name]
        default = _format_default(field, defaults)
        yield (
            f'| `{field.name}` | {_type_name(field.type)} | {default} | '
            f'{meaning.replace("|", PIPE)} |'
        )


def _format_default(
    field: structs.FieldInfo,
    defaults: Mapping[str, Any],
) -> str:
    default = defaults.get(field.name, NODEFAULT)
    if default is NODEFAULT and field.required:
        return 'none'
    if default is NODEFAULT:
        default = field.default
    if default is NODEFAULT:
        default = field.default_factory()
    return f'`{_encode_toml(default)}`'


def _encode_toml(plain: Any) -> str:
    # Numbers, strings, booleans and arrays are written alike in JSON and TOML.
    return json.encode(plain).decode()


def _type_name(annotation: Any) -> str:
    return _format_type(inspect.type_info(annotation))


def _format_type(info: inspect.Type) -> str:
    if isinstance(info, inspect.Metadata):
        return _format_type(info.type)
    if isinstance(info, inspect.LiteralType):
        return ', '.join(f'`{choice}`' for choice in info.values)
    if isinstance(info, inspect.VarTupleType):
        return f'array of {_format_type(info.item_type)}'
    if isinstance(info, inspect.StructType):
        return f'table {info.cls.__name__}'
    return _SIMPLE_NAMES[type(info)]


_SIMPLE_NAMES: Mapping[type[inspect.Type], str] = MappingProxyType(
    {
        inspect.StrType: 'string',
        inspect.IntType: 'integer',
        inspect.FloatType: 'number',
        inspect.BoolType: 'boolean',
    },
)


def _nested_models(
    model: type[Struct],
) -> Iterator[type[Struct]]:
    for field in structs.fields(model):
        for inner in _iterate_types(field.type):
            if isinstance(inner, type) and issubclass(inner, Struct):
                yield inner
                yield from _nested_models(inner)


def _iterate_types(annotation: Any) -> Iterator[Any]:
    yield annotation
    for inner in get_args(annotation):
        yield from _iterate_types(inner)


def _summary(model: type[Struct]) -> str:
    return (model.__doc__ or '').split('\n\n', 1)[0].strip()


def _attribute_texts(model: type[Struct]) -> dict[str, str]:
    """Returns the description of each key from the docstrings."""
    texts: dict[str, str] = {}
    for parent in reversed(model.__mro__):
        _, _, attributes = (parent.__doc__ or '').partition('Attributes:\n')
        texts.update(_parse_attributes(textwrap.dedent(attributes)))
    return texts


def _parse_attributes(section: str) -> dict[str, str]:
    texts: dict[str, str] = {}
    key = ''
    for line in section.splitlines():
        match = _ATTRIBUTE.fullmatch(line)
        if match:
            key = match['key']
            texts[key] = match['text']
        elif key and line.startswith(' '):
            texts[key] = f'{texts[key]} {line.strip()}'
    return texts


def _parse_reasons(defaults_text: str) -> dict[tuple[str, str], str]:
    """Returns the comment above each default, by table and key."""
    reasons: dict[tuple[str, str], str] = {}
    table = ''
    comment: list[str] = []
    for line in defaults_text.splitlines():
        header, key = _TABLE.fullmatch(line), _KEY.match(line)
        if line.startswith('#'):
            comment.append(line.removeprefix('#').strip())
            continue
        if key and comment:
            reasons[table, key['key']] = ' '.join(comment)
        if header:
            table = header['table']
        comment = []
    return reasons


def main() -> None:
    """Writes the page."""
    PAGE_FILE.write_text(page(), encoding='utf-8')


if __name__ == '__main__':
    main()
