"""Configuration as one document, numbered by the operator.

Operators whose tools store the full configuration submit it as a document
instead of a base file and overlays. It names the number of the document that
it is based on, so that one of two concurrent edits of a document is refused.
Its text has one entry per line, which keeps the differences between two
versions small.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

import msgspec

from waxwingsaddle.config_models import LIMITS_TABLE, MAX_RATIO
from waxwingsaddle.util.codec import Tree, json_decoder
from waxwingsaddle.util.numbers import Count

# Site of all nodes that are configured by documents.
DOCUMENT_SITE = 'all'
MAX_DOCUMENT_BYTES = 4_194_304
# Below the usual limit of a fifth, because the calls of a retried run count as
# well. This is one call for upstreams of up to ten slots and two calls for
# upstreams of thirteen slots.
_AHEAD_PERCENT = 10
_RETRY_PERCENT = 15
_TEXT_START = '{"document":'


class DocumentError(ValueError):
    """A text is not a valid document; the message is one line."""


class _Header(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    omit_defaults=True,
):
    """First line of the text.

    Attributes:
        document: Version of the text format.
        number: The operator's number of this configuration.
        base_number: Number of the configuration it is based on; 0 for none.
        heading: See `Form`.
        order: See `Form`.
        limits: Limits as the operator wrote them; empty like in `Form`.
    """

    document: Literal[1]
    number: Count
    base_number: Count
    heading: str = ''
    order: tuple[tuple[str, int], ...] = ()
    limits: str = ''


class _Entry(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    """Further line of the text.

    Attributes:
        table: Table of the entry.
        name: Its name.
        entry: What it defines.
        original: The entry as the operator wrote it; empty like in `Form`.
    """

    table: str
    name: str
    entry: Any
    original: str = ''


@dataclass(frozen=True, slots=True)
class Form:
    """What a tree does not tell of the text that an operator submitted.

    A configuration is read back as it was submitted: with the same spelling
    of durations, with fields that this program does not know, and in the same
    order. What is written alike from the tree has no place here.

    Attributes:
        heading: Fields of the whole configuration, except its entries; empty
            if they are written alike.
        order: Tables in the order of their entries, each with the number of
            entries that follow one another; empty for the usual order.
        originals: Entries as written, by table and name (empty for the
            limits), if they are not written alike.
    """

    heading: str = ''
    order: tuple[tuple[str, int], ...] = ()
    originals: Mapping[tuple[str, str], str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Document:
    """A full configuration.

    Attributes:
        number: The operator's number of this configuration.
        base_number: Number of the configuration it is based on; 0 for none.
        tree: Tables of services and routes, and the limits.
        form: How the operator wrote it.
    """

    number: int
    base_number: int
    tree: Tree
    form: Form = field(default_factory=Form)


def service_entry(health_path: str, connections: int) -> Tree:
    """Returns the entry of a service with the tuning used for documents.

    Documents contain no tuning parameters. Their services use all slots that
    upstreams announce: with fewer, slow upstreams serve less without getting
    faster. No call counts as long: the routes have objectives and priorities,
    which order all calls in one queue, and reserving slots for long calls
    left slots idle while the most urgent calls were refused. Upstreams queue a
    few calls themselves, so calls are sent to them beyond their slots. Hedging
    is off, because retries serve more callers within the same limit on
    arrivals.

    Args:
        health_path: Path of the health endpoint.
        connections: Maximum number of open connections to one upstream.
    """
    return {
        'health_path': health_path,
        'connections': connections,
        'limit_floor_percent': 100,
        'ahead_percent': _AHEAD_PERCENT,
        'long_ratio': MAX_RATIO,
        'hedge_percent': 0,
        'retry_percent': _RETRY_PERCENT,
    }


_decode_header = json_decoder(_Header)
_decode_entry = json_decoder(_Entry)
_LIMITS_KEY = (LIMITS_TABLE, '')


def is_document(text: str) -> bool:
    """Returns whether a text is a document rather than a TOML file."""
    return text.startswith(_TEXT_START)


def render_document(document: Document) -> str:
    """Returns the text of a document."""
    form = document.form
    header = _Header(
        document=1,
        number=document.number,
        base_number=document.base_number,
        heading=form.heading,
        order=form.order,
        limits=form.originals.get(_LIMITS_KEY, ''),
    )
    entries = (
        (table, name, entry, *_original(form, table, name))
        for table, table_entries in document.tree.items()
        for name, entry in table_entries.items()
    )
    lines = (msgspec.json.encode(part).decode() for part in (header, *entries))
    return ''.join(f'{line}\n' for line in lines)


def _original(form: Form, table: str, name: str) -> tuple[str, ...]:
    original = form.originals.get((table, name))
    return () if original is None else (original,)


def has_form(text: str, form: Form) -> bool:
    """Returns whether a text is a document in this form."""
    return is_document(text) and parse_document(text).form == form


def parse_document(text: str) -> Document:
    """Parses the text of a document.

    Raises:
        DocumentError: The text is malformed, or names an entry twice.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f'document: {len(text)} characters, at most {MAX_DOCUMENT_BYTES}',
        )
    # Strings may hold characters that are line ends for `str.splitlines`.
    first, *entry_lines = text.removesuffix('\n').split('\n')
    try:
        header = _decode_header(first)
        entries = [_decode_entry(line) for line in entry_lines]
    except msgspec.DecodeError as error:
        raise DocumentError(f'document: {error}') from None
    tree = _read_tree(entries)
    originals = {
        (line.table, line.name): line.original
        for line in entries
        if line.original
    }
    if header.limits:
        originals[_LIMITS_KEY] = header.limits
    if header.order and _count_entries(header.order) != _entry_counts(tree):
        raise DocumentError('document: the order names other entries')
    form = Form(header.heading, header.order, originals)
    return Document(header.number, header.base_number, tree, form)


def _read_tree(entries: Iterable[_Entry]) -> Tree:
    tree: Tree = {}
    for line in entries:
        table_entries = tree.setdefault(line.table, {})
        if line.name in table_entries:
            raise DocumentError(
                f'document: {line.table}.{line.name} is defined twice'
            )
        table_entries[line.name] = line.entry
    return tree


def _count_entries(order: Iterable[tuple[str, int]]) -> Counter[str]:
    counts: Counter[str] = Counter()
    for table, count in order:
        counts[table] += count
    return counts


def _entry_counts(tree: Tree) -> Counter[str]:
    return Counter(
        {
            table: 1 if table == LIMITS_TABLE else len(entries)
            for table, entries in tree.items()
        }
    )
