"""Checks of the merged configuration of a site."""

from collections import defaultdict
from collections.abc import Iterator
from itertools import combinations
from typing import Any

import msgspec

from waxwingsaddle.account_keys import shared_key_problems
from waxwingsaddle.config_models import (
    ENTRY_MODELS,
    LIMITS_TABLE,
    NAME_TYPES,
    Limits,
    Name,
    Route,
    SiteDocument,
)
from waxwingsaddle.util.codec import Tree

BASE_NAME = 'base.toml'
_SECRET_FIELD = 'keys'


def overlay_file(site: str) -> str:
    """Returns the name of the overlay of a site."""
    return f'overlays/{site}.toml'


def site_problems(site: str, tree: Tree) -> Iterator[str]:
    """Yields all problems of the merged tree of a site, one line each."""
    label = f'{overlay_file(site)} over {BASE_NAME}'
    schema_problems = tuple(_schema_problems(tree))
    if schema_problems:
        yield from (f'{label}: {problem}' for problem in schema_problems)
        return
    document = msgspec.convert(tree, SiteDocument)
    yield from (
        f'{label}: routes.{name}.service: '
        f'{service!r} is no service of this site'
        for name, route in document.routes.items()
        for service in sorted(route.services - document.services.keys())
    )
    yield from (
        f'{label}: routes.{name}.split: the weights add up to 0'
        for name, route in document.routes.items()
        if route.split and not any(share.weight for share in route.split)
    )
    yield from _overlap_problems(label, document)
    yield from (
        f'{label}: {problem}'
        for problem in shared_key_problems(document.accounts)
    )


def _overlap_problems(label: str, document: SiteDocument) -> Iterator[str]:
    by_match: dict[tuple[str, str], list[str]] = defaultdict(list)
    for name, route in sorted(document.routes.items()):
        by_match[route.host, route.path_prefix].append(name)
    yield from (
        f'{label}: routes.{first} and routes.{second} '
        f'both take {document.routes[first].path_prefix!r}'
        for names in by_match.values()
        for first, second in combinations(names, 2)
        if _share_method(document.routes[first], document.routes[second])
    )


def _schema_problems(tree: Tree) -> Iterator[str]:
    # Entries are checked one by one, because error messages of msgspec do not
    # name the keys of a dictionary.
    yield from (
        f'{key}: no such key; the tables are services, routes, accounts '
        'and limits'
        for key in sorted(tree.keys() - ENTRY_MODELS.keys() - {LIMITS_TABLE})
    )
    limits = tree.get(LIMITS_TABLE, {})
    yield from _model_problems(LIMITS_TABLE, limits, Limits)
    for table_name, model in ENTRY_MODELS.items():
        table = tree.get(table_name, {})
        if not isinstance(table, dict):
            yield f'{table_name}: expected a table, got {table!r}'
            continue
        for name, entry in table.items():
            yield from _name_problems(table_name, name)
            yield from _model_problems(f'{table_name}.{name}', entry, model)


def _name_problems(table_name: str, name: str) -> Iterator[str]:
    try:
        msgspec.convert(name, NAME_TYPES.get(table_name, Name))
    except msgspec.ValidationError:
        yield f'{table_name}.{name}: {name!r} is no valid name'


def _model_problems(
    label: str,
    entry: Any,
    model: type[msgspec.Struct],
) -> Iterator[str]:
    try:
        msgspec.convert(entry, model)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(' - at `$')
        key = path.strip('.`')
        shown_value = _shown_value(entry, key)
        yield f'{label}{path.rstrip("`")}: {problem}{shown_value}'


def _shown_value(entry: Any, key: str) -> str:
    actual = entry.get(key) if isinstance(entry, dict) else entry
    # Problems are logged, and what stands in place of keys may be a key.
    if actual is None or key == _SECRET_FIELD:
        return ''
    return f' (value: {actual!r})'


def _share_method(first: Route, second: Route) -> bool:
    if not first.methods or not second.methods:
        return True
    return not set(first.methods).isdisjoint(second.methods)
