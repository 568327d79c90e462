"""Outcomes of edits; stands in until the replication branch is merged."""

from dataclasses import dataclass

import msgspec

from waxwingsaddle.config import SourceSet


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """One edit."""

    sources: SourceSet
    author: str
    is_restore: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The edit is accepted."""

    version: int
    digest: str
    author: str
    accepted_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another edit won the version."""

    version: int
    digest: str
    author: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The edit can't be accepted."""

    problems: tuple[str, ...]
    expected_version: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Unavailable:
    """No majority answered in time; the edit may or may not be accepted."""

    reason: str


EditOutcome = Accepted | Conflict | Refused | Unavailable
