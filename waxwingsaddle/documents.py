"""Configuration as one document with the operator's own number.

Operators whose tools keep the whole configuration send it as a document in
place of a base file and overlays. It names the number of the document it was
made from, so that of two edits of the same document one is refused. Its text
has one entry a line, so that the differences between two versions are small.
"""

from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from waxwingsaddle.config_models import MAX_RATIO
from waxwingsaddle.util.codec import Tree

# Site of all nodes whose operators send documents.
DOCUMENT_SITE = 'all'
MAX_DOCUMENT_BYTES = 4_194_304
# Below the usual bound of a fifth: the calls of a retried run count, too.
# One call at upstreams of up to ten slots, two at those of thirteen.
_AHEAD_PERCENT = 10
_RETRY_PERCENT = 15
_SIGN = '{"document":'


class DocumentError(ValueError):
    """A text that is no document, in one readable line."""


class _Header(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """First line of the text.

    Attributes:
        document: Form of the text.
        number: The operator's number of this configuration.
        base_number: Number of the configuration it was made from; 0 for none.
    """

    document: Literal[1]
    number: int
    base_number: int


@dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration.

    Attributes:
        number: The operator's number of this configuration.
        base_number: Number of the configuration it was made from; 0 for none.
        tree: Tables of services and routes, and the limits.
    """

    number: int
    base_number: int
    tree: Tree


def service_entry(health_path: str, connections: int) -> Tree:
    """Returns the entry of a service, with the tunables of documents.

    Documents say nothing about tunables. Their services run as many calls as
    the upstreams announce slots: with fewer, slow upstreams serve less
    without getting faster. None of their work counts as long: their routes have
    objectives and priorities, which order all calls in one queue, and a lane
    for long work kept slots empty while the most urgent calls were refused.
    Upstreams queue a few calls themselves, so that a call
    goes ahead to each. Hedges are left out, because retries serve more callers
    within the same bound on arrivals.

    Args:
        health_path: Path of the health endpoint.
        connections: Most open connections to one upstream.
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


_headers = msgspec.json.Decoder(_Header)
_entries = msgspec.json.Decoder(tuple[str, str, Any])


def is_document(text: str) -> bool:
    """Says whether a text is a document rather than a TOML file."""
    return text.startswith(_SIGN)


def render_document(document: Document) -> str:
    """Returns the text of a document."""
    header = _Header(
        document=1,
        number=document.number,
        base_number=document.base_number,
    )
    entries = (
        (table, name, entry)
        for table, named in document.tree.items()
        for name, entry in named.items()
    )
    lines = (msgspec.json.encode(part).decode() for part in (header, *entries))
    return ''.join(f'{line}\n' for line in lines)


def parse_document(text: str) -> Document:
    """Returns the document of a text.

    Raises:
        DocumentError: The text is malformed, or names an entry twice.
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f'document: {len(text)} characters, at most {MAX_DOCUMENT_BYTES}',
        )
    first, *rest = text.splitlines()
    try:
        header = _headers.decode(first)
        entries = [_entries.decode(line) for line in rest]
    except msgspec.DecodeError as error:
        raise DocumentError(f'document: {error}') from None
    tree: Tree = {}
    for table, name, entry in entries:
        named = tree.setdefault(table, {})
        if name in named:
            raise DocumentError(f'document: {table}.{name} stands there twice')
        named[name] = entry
    return Document(header.number, header.base_number, tree)
