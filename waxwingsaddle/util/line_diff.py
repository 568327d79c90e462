"""Line-based differences between two versions of a text."""

from collections.abc import Iterable, Iterator
from difflib import SequenceMatcher
from itertools import takewhile

import msgspec

# SequenceMatcher takes quadratic time in the worst case. If more lines differ,
# they are replaced as a whole.
MAX_COMPARED_LINES = 2000


class Splice(msgspec.Struct, frozen=True, array_like=True):
    """Replaces a range of lines.

    Attributes:
        start: Index of the first replaced line in the old text, from 0.
        end: Index of the line after the last replaced one.
        text: Replacement text.
    """

    start: int
    end: int
    text: str


class SpliceError(ValueError):
    """A splice does not fit the text to which it is applied."""


def difference(old: str, new: str) -> tuple[Splice, ...]:
    """Returns the splices that change one text into another, in order."""
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    head = _count_common(old_lines, new_lines)
    tail = min(
        _count_common(reversed(old_lines), reversed(new_lines)),
        min(len(old_lines), len(new_lines)) - head,
    )
    old_middle = old_lines[head : len(old_lines) - tail]
    new_middle = new_lines[head : len(new_lines) - tail]
    return tuple(_splices(old_middle, new_middle, head))


def apply(old: str, splices: tuple[Splice, ...]) -> str:
    """Applies splices to a text and returns the new text.

    Raises:
        SpliceError: A splice is outside the text or overlaps another.
    """
    lines = old.splitlines(keepends=True)
    parts: list[str] = []
    next_line = 0
    for splice in splices:
        if splice.start < next_line or not splice.start <= splice.end <= len(
            lines
        ):
            raise SpliceError(
                f'cannot replace lines {splice.start} to {splice.end}'
            )
        parts.extend(lines[next_line : splice.start])
        parts.append(splice.text)
        next_line = splice.end
    return ''.join((*parts, *lines[next_line:]))


def _count_common(first: Iterable[str], second: Iterable[str]) -> int:
    pairs = zip(first, second, strict=False)
    return sum(1 for _ in takewhile(_are_equal, pairs))


def _are_equal(pair: tuple[str, str]) -> bool:
    return pair[0] == pair[1]


def _splices(old: list[str], new: list[str], offset: int) -> Iterator[Splice]:
    if max(len(old), len(new)) > MAX_COMPARED_LINES:
        yield Splice(offset, offset + len(old), ''.join(new))
        return
    matcher = SequenceMatcher(None, old, new, autojunk=False)
    for tag, start, end, new_start, new_end in matcher.get_opcodes():
        if tag != 'equal':
            text = ''.join(new[new_start:new_end])
            yield Splice(offset + start, offset + end, text)
