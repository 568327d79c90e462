"""Configuration: parsing, merging and checking of files and snapshots."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from itertools import chain
from typing import Any

import msgspec

from waxwingsaddle.account_keys import hash_keys, key_problems
from waxwingsaddle.config_checks import (
    BASE_NAME,
    overlay_file,
    site_problems,
)
from waxwingsaddle.config_models import (
    ROLLOUTS_TABLE,
    Name,
    SiteDocument,
)
from waxwingsaddle.documents import (
    DOCUMENT_SITE,
    DocumentError,
    Form,
    is_document,
    parse_document,
)
from waxwingsaddle.util.codec import Tree, digest, unpack_toml
from waxwingsaddle.util.lines import one_line

MAX_FILE_BYTES = 1_048_576
MAX_DEPTH = 8
MAX_SITES = 64


@dataclass(frozen=True, slots=True)
class SiteSnapshot:
    """Configuration that a node has in force; immutable, replaced in full.

    Attributes:
        site: Name of the site.
        version: Configuration version.
        digest: Digest of `tree`.
        tree: The merged document as plain Python values.
        document: The merged document as checked models.
    """

    site: str
    version: int
    digest: str
    tree: Tree
    document: SiteDocument


class SourceSet(msgspec.Struct, frozen=True, kw_only=True):
    """Source files that operators edit.

    Attributes:
        base: Text of the base file, or a full document (see `documents`).
        overlays: Text of each overlay by site name.
    """

    base: str
    overlays: dict[str, str]


@dataclass(frozen=True, slots=True)
class CheckedSources:
    """Source files that passed all checks.

    Attributes:
        version: The version that the edit requests; 0 for the next one.
        digest: Digest of all merged sites, without the version.
        sites: Merged tree by site name.
        number: The operator's number of a document; 0 for files.
        form: How the operator wrote a document.
        base_number: Number of the document that this one is based on; 0 for
            none.
    """

    version: int
    digest: str
    sites: Mapping[str, Tree]
    number: int = 0
    base_number: int = 0
    form: Form = field(default_factory=Form)


@dataclass(frozen=True, slots=True)
class Refused:
    """Source files that can't be accepted.

    Attributes:
        problems: One line of text each: file, key, value and problem.
    """

    problems: tuple[str, ...]


class _ConfigError(ValueError):
    """One problem of the files; the message is one line of text."""


def check_sources(sources: SourceSet) -> CheckedSources | Refused:
    """Checks a full edit: schema and references of every merged site.

    Args:
        sources: The files as text.

    Returns:
        The merged sites, or all problems found.
    """
    if is_document(sources.base):
        return _check_document(sources.base)
    try:
        base, overlays = _parse_all(sources)
        version = _pop_version(base)
    except _ConfigError as error:
        return Refused((one_line(str(error)),))
    sites: dict[str, Tree] = {}
    problems: list[str] = []
    for site, overlay in sorted(overlays.items()):
        try:
            merged = merge_site(base, overlay, overlay_file(site))
        except _ConfigError as error:
            problems.append(str(error))
            continue
        sites[site] = hash_keys(merged)
        problems.extend(_submitted_problems(site, merged, sites[site]))
    if problems:
        return Refused(tuple(map(one_line, problems)))
    return CheckedSources(version, digest(sites), sites)


def _check_document(text: str) -> CheckedSources | Refused:
    try:
        document = parse_document(text)
    except DocumentError as error:
        return Refused((one_line(str(error)),))
    sites = {DOCUMENT_SITE: hash_keys(document.tree)}
    problems = tuple(
        _submitted_problems(DOCUMENT_SITE, document.tree, sites[DOCUMENT_SITE])
    )
    if problems:
        return Refused(tuple(map(one_line, problems)))
    return CheckedSources(
        version=0,
        digest=digest(sites),
        sites=sites,
        number=document.number,
        base_number=document.base_number,
        form=document.form,
    )


def _submitted_problems(
    site: str, submitted: Tree, merged: Tree
) -> Iterator[str]:
    """Yields the problems of a site.

    Args:
        site: Name of the site.
        submitted: Its merged tree with the keys of accounts.
        merged: The same tree with the digests of these keys.
    """
    label = f'{overlay_file(site)} over {BASE_NAME}'
    yield from (f'{label}: {problem}' for problem in key_problems(submitted))
    yield from site_problems(site, merged)


def snapshot(site: str, version: int, tree: Tree) -> SiteSnapshot | Refused:
    """Checks a merged tree again and makes a snapshot of it.

    Args:
        site: Name of the site.
        version: Configuration version of the tree.
        tree: The merged document.

    Returns:
        The snapshot, or the problems of the tree.
    """
    edited = {key: tree[key] for key in tree.keys() - {ROLLOUTS_TABLE}}
    problems = tuple(site_problems(site, edited))
    if problems:
        return Refused(problems)
    try:
        document = msgspec.convert(tree, SiteDocument)
    except msgspec.ValidationError as error:
        return Refused((one_line(f'{ROLLOUTS_TABLE}: {error}'),))
    return SiteSnapshot(site, version, digest(tree), tree, document)


def merge_site(base: Tree, overlay: Tree, overlay_file: str) -> Tree:
    """Merges an overlay into the base.

    Tables are merged key by key, other values replace those of the base. The
    overlay's `remove` array names tables to delete, such as `routes.reports`.
    """
    removed = overlay.get('remove', [])
    if not isinstance(removed, list):
        raise _ConfigError(f'{overlay_file}: remove: expected an array')
    tables = {key: overlay[key] for key in overlay.keys() - {'remove'}}
    merged = _merge(base, tables)
    for dotted_key in removed:
        _remove(merged, dotted_key, overlay_file)
    return merged


def _merge(base: Any, overlay: Any) -> Any:
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged_values = {
        key: _merge(base[key], overlay[key])
        for key in base.keys() & overlay.keys()
    }
    return {**base, **overlay, **merged_values}


def _remove(tree: Tree, dotted_key: Any, overlay_file: str) -> None:
    table_name, _, key = str(dotted_key).partition('.')
    table = tree.get(table_name)
    if not isinstance(table, dict) or key not in table:
        raise _ConfigError(
            f'{overlay_file}: remove: the base has no {dotted_key!r}',
        )
    tree[table_name] = {
        name: entry for name, entry in table.items() if name != key
    }


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
            f'{overlay_file(site)}: {site!r} is no valid site name',
        ) from None
    return _parse(overlay_file(site), text)


def _parse(file: str, text: str) -> Tree:
    size_bytes = len(text.encode('utf-8', 'surrogatepass'))
    if size_bytes > MAX_FILE_BYTES:
        raise _ConfigError(
            f'{file}: {size_bytes} bytes, at most {MAX_FILE_BYTES}',
        )
    try:
        tree = unpack_toml(text)
    except ValueError as error:
        raise _ConfigError(f'{file}: not valid TOML: {error}') from None
    _check_depth(file, tree)
    return tree


def _check_depth(file: str, tree: Tree) -> None:
    nested_values: list[Any] = [tree]
    for _ in range(MAX_DEPTH):
        nested_values = list(
            chain.from_iterable(map(_child_values, nested_values))
        )
    if nested_values:
        raise _ConfigError(f'{file}: nested deeper than {MAX_DEPTH} levels')


def _child_values(node: Any) -> list[Any]:
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
