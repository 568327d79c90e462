"""Differences between document trees, and their application."""

from collections.abc import Iterator
from typing import Any

import msgspec

from waxwingsaddle.util.codec import Tree, encode_canonical

Path = tuple[str, ...]


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """Sets or deletes the value at one path.

    Attributes:
        path: Keys from the root to the value; never empty.
        is_delete: Whether to delete the key; otherwise it is set.
        content: New value of the key; unused for a deletion.
    """

    path: Path
    is_delete: bool = False
    content: Any = None


class PatchError(ValueError):
    """An operation does not fit the tree it is applied to."""


def difference(old: Tree, new: Tree) -> tuple[Operation, ...]:
    """Returns the operations that turn one tree into another."""
    return tuple(_differences(old, new, ()))


def apply(tree: Tree, operations: tuple[Operation, ...]) -> Tree:
    """Returns a patched copy of a tree, which itself is not changed.

    Raises:
        PatchError: A path is empty, leads through a missing key or a value
            that is not a table, or the key to delete does not exist.
    """
    patched = dict(tree)
    copies: dict[Path, Tree] = {(): patched}
    for operation in operations:
        _apply_operation(copies, operation)
    return patched


def _differences(old: Tree, new: Tree, path: Path) -> Iterator[Operation]:
    for removed_key in sorted(old.keys() - new.keys()):
        yield Operation((*path, removed_key), is_delete=True)
    for key in sorted(new):
        old_child, new_child = old.get(key), new[key]
        if isinstance(old_child, dict) and isinstance(new_child, dict):
            yield from _differences(old_child, new_child, (*path, key))
        elif key not in old or encode_canonical(old_child) != encode_canonical(
            new_child
        ):
            # Compares encodings, because 1, 1.0 and True are equal in Python
            # but give trees with different digests.
            yield Operation((*path, key), content=new_child)


def _apply_operation(copies: dict[Path, Tree], operation: Operation) -> None:
    if not operation.path:
        raise PatchError('an operation has an empty path')
    parent = _parent_copy(copies, operation.path)
    key = operation.path[-1]
    if not operation.is_delete:
        parent[key] = operation.content
    elif key in parent:
        parent.pop(key)
    else:
        raise PatchError(f'no key {".".join(operation.path)} to delete')


def _parent_copy(copies: dict[Path, Tree], path: Path) -> Tree:
    table = copies[()]
    for depth, key in enumerate(path[:-1], start=1):
        prefix = path[:depth]
        if prefix not in copies:
            child = table.get(key)
            if not isinstance(child, dict):
                raise PatchError(f'not a table: {".".join(prefix)}')
            table[key] = dict(child)
            copies[prefix] = table[key]
        table = copies[prefix]
    return table
