"""Structural differences between two document trees."""

from collections.abc import Iterator
from typing import Any

import msgspec

from waxwingsaddle.util.codec import Tree, canonical

Path = tuple[str, ...]


class Operation(msgspec.Struct, frozen=True, array_like=True):
    """Sets or deletes the value at one path.

    Attributes:
        path: Keys from the root to the value; never empty.
        is_delete: Whether the key is deleted; otherwise it is set.
        content: The new value of a set operation.
    """

    path: Path
    is_delete: bool = False
    content: Any = None


class PatchError(ValueError):
    """A patch that does not fit the tree it is applied to."""


def difference(old: Tree, new: Tree) -> tuple[Operation, ...]:
    """Returns the operations that turn one tree into another."""
    return tuple(_walk(old, new, ()))


def apply(tree: Tree, operations: tuple[Operation, ...]) -> Tree:
    """Returns a patched copy of a tree; the tree itself is unchanged.

    Raises:
        PatchError: A path runs through a missing key or a value that is no
            table, or a key to delete is missing.
    """
    patched = dict(tree)
    copied: dict[Path, Tree] = {(): patched}
    for operation in operations:
        _apply_one(copied, operation)
    return patched


def _walk(old: Tree, new: Tree, path: Path) -> Iterator[Operation]:
    for removed in sorted(old.keys() - new.keys()):
        yield Operation((*path, removed), is_delete=True)
    for key in sorted(new):
        before, after = old.get(key), new[key]
        if isinstance(before, dict) and isinstance(after, dict):
            yield from _walk(before, after, (*path, key))
        elif key not in old or canonical(before) != canonical(after):
            # Equal encodings, because Python takes 1, 1.0 and True as equal
            # while the digests of the trees differ.
            yield Operation((*path, key), content=after)


def _apply_one(copied: dict[Path, Tree], operation: Operation) -> None:
    if not operation.path:
        raise PatchError('an operation has an empty path')
    parent = _copied_parent(copied, operation.path)
    key = operation.path[-1]
    if not operation.is_delete:
        parent[key] = operation.content
    elif key in parent:
        parent.pop(key)
    else:
        raise PatchError(f'no {".".join(operation.path)} to delete')


def _copied_parent(copied: dict[Path, Tree], path: Path) -> Tree:
    table = copied[()]
    for depth, key in enumerate(path[:-1], start=1):
        prefix = path[:depth]
        if prefix not in copied:
            below = table.get(key)
            if not isinstance(below, dict):
                raise PatchError(f'no table {".".join(prefix)}')
            table[key] = dict(below)
            copied[prefix] = table[key]
        table = copied[prefix]
    return table
