"""Configuration: base file, site overlays, merge, checks and snapshots."""

import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import chain, combinations
from types import MappingProxyType
from typing import Annotated, Any, Literal

import msgspec

from waxwingsaddle.util.codec import Tree, digest
from waxwingsaddle.util.lines import one_line

MAX_FILE_BYTES = 1_048_576
MAX_DEPTH = 8
MAX_SITES = 64
MAX_TIMEOUT_MS = 3_600_000
MAX_RETENTION_S = 604_800
BASE_NAME = 'base.toml'
_NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}$'

Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
TimeoutMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMEOUT_MS)]
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
Ratio = Annotated[float, msgspec.Meta(gt=1, le=1000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100)]


class Service(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One service of a site.

    Attributes:
        timeout_ms: Deadline of a call that brings none, in milliseconds.
        retention_s: How long the outcome of an idempotency key is kept.
        hedge_percent: Hedged calls allowed, in percent of idempotent calls.
        retry_percent: Retries allowed, in percent of calls.
        long_slots_percent: Most slots of an upstream that long work may hold.
        long_ratio: Multiple of the median run time from which a route whose
            work is learned counts as long.
        initial_run_ms: Run time assumed before the first answer.
        queue_wait_ms: Longest expected wait in the queue of an upstream.
        limit_floor_percent: Least slots used of a slow upstream, in percent.
        slow_ratio: Multiple of the learned run time from which an upstream
            counts as slow.
        max_attempts: Most attempts of one call, the first included.
        hedge_quantile_percent: Share of answers that come before the hedge.
        slow_start_ms: Time until a new upstream gets its full share.
        eject_failures: Failures or slow answers in a row that eject.
        eject_slow_ratio: Multiple of the median round trip from which an
            answer counts as slow.
        eject_ms: First ejection time; it doubles with each further one.
        eject_limit_ms: Longest ejection time.
        max_ejected_percent: Most upstreams ejected at once, in percent.
    """

    timeout_ms: TimeoutMs = 2000
    retention_s: Annotated[int, msgspec.Meta(ge=1, le=MAX_RETENTION_S)] = 86_400
    hedge_percent: Percent = 5
    retry_percent: Percent = 10
    long_slots_percent: Percent = 34
    long_ratio: Ratio = 4
    initial_run_ms: TimeoutMs = 20
    queue_wait_ms: TimeoutMs = 250
    limit_floor_percent: Percent = 34
    slow_ratio: Ratio = 2
    max_attempts: Count = 3
    hedge_quantile_percent: Percent = 97
    slow_start_ms: TimeoutMs = 10_000
    eject_failures: Count = 3
    eject_slow_ratio: Ratio = 4
    eject_ms: TimeoutMs = 1000
    eject_limit_ms: TimeoutMs = 30_000
    max_ejected_percent: Percent = 40


class Route(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One route of a site: which calls go to which service, and how.

    Attributes:
        path_prefix: Prefix of the path, at a segment border.
        methods: HTTP methods; empty for all.
        service: Name of the service.
        idempotent: Whether a call may run more than once.
        work: Expected run time: `short`, `long`, or `learned` from answers.
        priority: `low` calls are shed first, `high` calls last.
    """

    path_prefix: Annotated[str, msgspec.Meta(pattern='^/', max_length=1024)]
    service: Name
    methods: tuple[
        Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
        ...,
    ] = ()
    idempotent: bool = False
    work: Literal['short', 'long', 'learned'] = 'learned'
    priority: Literal['high', 'normal', 'low'] = 'normal'


class SiteDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The merged configuration of one site."""

    services: dict[Name, Service] = {}
    routes: dict[Name, Route] = {}


_ENTRY_MODELS: Mapping[str, type[msgspec.Struct]] = MappingProxyType(
    {'services': Service, 'routes': Route},
)


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """What a node has in force; immutable, replaced as a whole.

    Attributes:
        site: Name of the site.
        version: Configuration version.
        digest: Digest of `tree`.
        tree: The merged document, as plain values.
        document: The merged document, checked.
    """

    site: str
    version: int
    digest: str
    tree: Tree
    document: SiteDocument


class SourceSet(msgspec.Struct, frozen=True, kw_only=True):
    """The files that operators edit.

    Attributes:
        base: Text of the base file.
        overlays: Text of each overlay by site name.
    """

    base: str
    overlays: dict[str, str]


@dataclass(frozen=True, slots=True)
class CheckedSources:
    """Files that passed every check.

    Attributes:
        version: The version the edit wants.
        digest: Digest of all merged sites, without the version.
        sites: Merged tree by site name.
    """

    version: int
    digest: str
    sites: Mapping[str, Tree]


@dataclass(frozen=True, slots=True)
class Refused:
    """Files that can't be accepted.

    Attributes:
        problems: One readable line each: file, key, value and problem.
    """

    problems: tuple[str, ...]


class _ConfigError(ValueError):
    """One problem, in one readable line."""


def check_sources(sources: SourceSet) -> CheckedSources | Refused:
    """Checks an edit as a whole: schema and references of every merged site.

    Args:
        sources: The files as text.

    Returns:
        The merged sites, or all problems found.
    """
    try:
        base, overlays = _parse_all(sources)
        version = _pop_version(base)
    except _ConfigError as error:
        return Refused((one_line(str(error)),))
    sites: dict[str, Tree] = {}
    problems: list[str] = []
    for site, overlay in sorted(overlays.items()):
        try:
            sites[site] = merge_site(base, overlay, _overlay_file(site))
        except _ConfigError as error:
            problems.append(str(error))
            continue
        problems.extend(_site_problems(site, sites[site]))
    if problems:
        return Refused(tuple(map(one_line, problems)))
    return CheckedSources(version, digest(sites), sites)


def snapshot(site: str, version: int, tree: Tree) -> SiteSnapshot | Refused:
    """Checks a merged tree again and makes it a snapshot.

    Args:
        site: Name of the site.
        version: Configuration version of the tree.
        tree: The merged document.

    Returns:
        The snapshot, or the problems of the tree.
    """
    problems = tuple(_site_problems(site, tree))
    if problems:
        return Refused(problems)
    document = msgspec.convert(tree, SiteDocument)
    return SiteSnapshot(site, version, digest(tree), tree, document)


def merge_site(base: Tree, overlay: Tree, overlay_file: str) -> Tree:
    """Returns the base with an overlay laid over it.

    Tables merge key by key, other values replace. The overlay's `remove`
    array names tables to delete, such as `routes.reports`.
    """
    removed = overlay.get('remove', [])
    if not isinstance(removed, list):
        raise _ConfigError(f'{overlay_file}: remove: expected an array')
    tables = {key: overlay[key] for key in overlay.keys() - {'remove'}}
    merged = _merge(base, tables)
    for dotted in removed:
        _remove(merged, dotted, overlay_file)
    return merged


def _merge(base: Any, overlay: Any) -> Any:
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    shared = {
        key: _merge(base[key], overlay[key])
        for key in base.keys() & overlay.keys()
    }
    return {**base, **overlay, **shared}


def _remove(tree: Tree, dotted: Any, overlay_file: str) -> None:
    table_name, _, key = str(dotted).partition('.')
    table = tree.get(table_name)
    if not isinstance(table, dict) or key not in table:
        raise _ConfigError(
            f'{overlay_file}: remove: the base has no {dotted!r}',
        )
    tree[table_name] = {
        name: entry for name, entry in table.items() if name != key
    }


def _overlay_file(site: str) -> str:
    return f'overlays/{site}.toml'


def _parse_all(sources: SourceSet) -> tuple[Tree, dict[str, Tree]]:
    if not sources.overlays:
        raise _ConfigError('overlays: no overlay file; each site needs one')
    if len(sources.overlays) > MAX_SITES:
        raise _ConfigError(
            f'overlays: {len(sources.overlays)} sites, at most {MAX_SITES}',
        )
    return _parse(BASE_NAME, sources.base), {
        site: _parse_overlay(site, text)
        for site, text in sources.overlays.items()
    }


def _parse_overlay(site: str, text: str) -> Tree:
    try:
        msgspec.convert(site, Name)
    except msgspec.ValidationError:
        raise _ConfigError(
            f'{_overlay_file(site)}: {site!r} is no valid site name',
        ) from None
    return _parse(_overlay_file(site), text)


def _parse(file: str, text: str) -> Tree:
    size_bytes = len(text.encode('utf-8', 'surrogatepass'))
    if size_bytes > MAX_FILE_BYTES:
        raise _ConfigError(
            f'{file}: {size_bytes} bytes, at most {MAX_FILE_BYTES}',
        )
    try:
        tree = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise _ConfigError(f'{file}: not valid TOML: {error}') from None
    _check_depth(file, tree)
    return tree


def _check_depth(file: str, tree: Tree) -> None:
    level: list[Any] = [tree]
    for _ in range(MAX_DEPTH):
        level = list(chain.from_iterable(map(_children, level)))
    if level:
        raise _ConfigError(f'{file}: nested deeper than {MAX_DEPTH} levels')


def _children(node: Any) -> list[Any]:
    if isinstance(node, dict):
        return list(node.values())
    return node if isinstance(node, list) else []


def _pop_version(base: Tree) -> int:
    version = base.pop('version', None)
    if not isinstance(version, int) or isinstance(version, bool) or version < 1:
        raise _ConfigError(
            f'{BASE_NAME}: version: expected an integer from 1 up, '
            f'got {version!r}',
        )
    return version


def _site_problems(site: str, tree: Tree) -> Iterator[str]:
    place = f'{_overlay_file(site)} over {BASE_NAME}'
    shape_problems = tuple(_shape_problems(tree))
    if shape_problems:
        yield from (f'{place}: {problem}' for problem in shape_problems)
        return
    document = msgspec.convert(tree, SiteDocument)
    yield from (
        f'{place}: routes.{name}.service: '
        f'{route.service!r} is no service of this site'
        for name, route in document.routes.items()
        if route.service not in document.services
    )
    yield from (
        f'{place}: routes.{first} and routes.{second} '
        f'both take {document.routes[first].path_prefix!r}'
        for first, second in combinations(sorted(document.routes), 2)
        if _overlap(document.routes[first], document.routes[second])
    )


def _shape_problems(tree: Tree) -> Iterator[str]:
    # Entries are checked one by one because the messages of msgspec do not
    # name the keys of a dictionary.
    yield from (
        f'{key}: no such key; the tables are services and routes'
        for key in sorted(tree.keys() - _ENTRY_MODELS.keys())
    )
    for table_name, model in _ENTRY_MODELS.items():
        table = tree.get(table_name, {})
        if not isinstance(table, dict):
            yield f'{table_name}: expected a table, got {table!r}'
            continue
        for name, entry in table.items():
            yield from _entry_problems(
                f'{table_name}.{name}', name, entry, model
            )


def _entry_problems(
    place: str,
    name: str,
    entry: Any,
    model: type[msgspec.Struct],
) -> Iterator[str]:
    try:
        msgspec.convert(name, Name)
    except msgspec.ValidationError:
        yield f'{place}: {name!r} is no valid name'
    try:
        msgspec.convert(entry, model)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(' - at `$')
        key = path.strip('.`')
        found = entry.get(key) if isinstance(entry, dict) else entry
        shown = '' if found is None else f' (value: {found!r})'
        yield f'{place}{path.rstrip("`")}: {problem}{shown}'


def _overlap(first: Route, second: Route) -> bool:
    if first.path_prefix.rstrip('/') != second.path_prefix.rstrip('/'):
        return False
    if not first.methods or not second.methods:
        return True
    return not set(first.methods).isdisjoint(second.methods)
