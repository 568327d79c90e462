"""Answers of the administration API about edits and versions."""

from functools import singledispatch

from waxwingsaddle.api_models import Failure, VersionEntry, VersionSources
from waxwingsaddle.outcomes import (
    Accepted,
    Conflict,
    Outcome,
    Refused,
    Unavailable,
)


@singledispatch
def edit_answer(outcome: Outcome) -> VersionEntry | Failure:
    """Returns the answer for the outcome of a submitted edit."""
    raise TypeError(f'unknown outcome of an edit: {outcome!r}')


@edit_answer.register
def _accepted(outcome: Accepted) -> VersionEntry:
    return version_entry(outcome)


@edit_answer.register
def _conflict(outcome: Conflict) -> Failure:
    expected = outcome.current_version + 1
    return Failure(
        kind='conflict',
        message=f'version {outcome.version} was accepted before with other '
        f'content, from {outcome.winner_author or "an unnamed author"}; '
        'merge the edit with what was accepted, and set '
        f'version = {expected}',
        expected_version=expected,
        version=outcome.version,
        digest=outcome.winner_digest,
        author=outcome.winner_author,
    )


@edit_answer.register
def _refused_edit(outcome: Refused) -> Failure:
    return refused(outcome.problems, outcome.expected_version)


@edit_answer.register
def _unavailable(outcome: Unavailable) -> Failure:
    return Failure(
        kind='unavailable',
        message=f'{outcome.reason}; submit the same edit again',
    )


def wrong_version(expected: int, requested: int) -> Failure:
    """Returns the answer for an edit that requests a wrong version."""
    return refused(
        (
            f'base.toml: version: the edit requests {requested}, '
            f'expected {expected}; set version = {expected}',
        ),
        expected,
    )


def version_entry(entry) -> VersionEntry:
    """Converts an entry of the history to its API model."""
    return VersionEntry(
        version=entry.version,
        digest=entry.digest,
        author=entry.author,
        accepted_ms=entry.accepted_ms,
    )


def find_version(state, version: int):
    """Returns the history entry of a version, or None if it is not stored."""
    return next(
        (entry for entry in state.history() if entry.version == version),
        None,
    )


def version_sources(state, version: int) -> VersionSources | Failure:
    """Returns an accepted version with its source files."""
    entry = find_version(state, version)
    stored = state.stored_version(version) if entry else None
    if stored is None:
        return version_not_stored(state, version)
    return VersionSources(
        version=version,
        digest=entry.digest,
        author=entry.author,
        accepted_ms=entry.accepted_ms,
        base=stored.sources.base,
        overlays=stored.sources.overlays,
    )


def version_not_stored(state, version: int) -> Failure:
    """Returns the answer for a version whose files are not stored."""
    return Failure(
        kind='not-found',
        message=f'version {version} is not stored; the accepted version is '
        f'{state.version}',
    )


def refused(
    problems: tuple[str, ...],
    expected_version: int | None = None,
) -> Failure:
    """Returns the answer for an edit with problems."""
    more = f' (and {len(problems) - 1} more)' if len(problems) > 1 else ''
    return Failure(
        kind='refused',
        message=f'{problems[0]}{more}',
        problems=problems,
        expected_version=expected_version,
    )
