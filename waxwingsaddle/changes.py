"""Readable differences between accepted versions."""

from collections.abc import Mapping
from functools import reduce
from typing import Any

from waxwingsaddle import patch
from waxwingsaddle.api_models import Change
from waxwingsaddle.util.codec import Tree


def list_changes(
    old_sites: Mapping[str, Tree],
    new_sites: Mapping[str, Tree],
) -> tuple[Change, ...]:
    """Returns the values that differ between two versions, by site and key."""
    old, new = dict(old_sites), dict(new_sites)
    return tuple(
        Change(
            site=operation.path[0],
            key='.'.join(operation.path[1:]),
            before=_find_in_tree(old, operation.path),
            after=operation.content,
            is_delete=operation.is_delete,
        )
        for operation in patch.difference(old, new)
    )


def format_change(change: Change) -> str:
    """Formats a change as one line of text."""
    label = f'{change.site}: {change.key}' if change.key else change.site
    if change.is_delete:
        return f'- {label} = {change.before!r}'
    if change.before is None:
        return f'+ {label} = {change.after!r}'
    return f'~ {label}: {change.before!r} -> {change.after!r}'


def _find_in_tree(tree: Tree, path: patch.Path) -> Any:
    return reduce(_child_of, path, tree)


def _child_of(node: Any, key: str) -> Any:
    return node.get(key) if isinstance(node, dict) else None
