"""Differences between two versions of a text, by lines."""

from collections.abc import Iterable, Iterator
from difflib import SequenceMatcher
from itertools import takewhile

import msgspec

# SequenceMatcher takes quadratic time at worst; longer stretches are sent
# whole.
MAX_COMPARED_LINES = 2000


class Splice(msgspec.Struct, frozen=True, array_like=True):
    """Replaces a stretch of lines.

    Attributes:
        start: First line replaced, counted from 0 in the old text.
        end: Line after the last one replaced.
        text: What stands there in the new text.
    """

    start: int
    end: int
    text: str


class SpliceError(ValueError):
    """A difference that does not fit the text it is applied to."""


def difference(old: str, new: str) -> tuple[Splice, ...]:
    """Returns the splices that turn one text into another, in order."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    head = _common(old_lines, new_lines)
    tail = min(
        _common(reversed(old_lines), reversed(new_lines)),
        min(len(old_lines), len(new_lines)) - head,
    )
    old_middle = old_lines[head : len(old_lines) - tail]
    new_middle = new_lines[head : len(new_lines) - tail]
    return tuple(_splices(old_middle, new_middle, head))


def apply(old: str, splices: tuple[Splice, ...]) -> str:
    """Returns the new text.

    Raises:
        SpliceError: A splice lies outside the text or overlaps another.
    """
    lines = old.splitlines(keepends=True)
    parts: list[str] = []
    done = 0
    for splice in splices:
        if splice.start < done or not splice.start <= splice.end <= len(lines):
            raise SpliceError(f'no lines {splice.start} to {splice.end}')
        parts.extend(lines[done : splice.start])
        parts.append(splice.text)
        done = splice.end
    return ''.join((*parts, *lines[done:]))


def _common(first: Iterable[str], second: Iterable[str]) -> int:
    pairs = zip(first, second, strict=False)
    return sum(1 for _ in takewhile(_are_equal, pairs))


def _are_equal(pair: tuple[str, str]) -> bool:
    return pair[0] == pair[1]


def _splices(old: list[str], new: list[str], shift: int) -> Iterator[Splice]:
    if max(len(old), len(new)) > MAX_COMPARED_LINES:
        yield Splice(shift, shift + len(old), ''.join(new))
        return
    matcher = SequenceMatcher(None, old, new, autojunk=False)
    for tag, start, end, new_start, new_end in matcher.get_opcodes():
        if tag != 'equal':
            text = ''.join(new[new_start:new_end])
            yield Splice(shift + start, shift + end, text)
