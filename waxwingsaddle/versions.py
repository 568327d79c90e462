"""Full versions of the configuration and the log entries between them."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from waxwingsaddle import patch
from waxwingsaddle.config import CheckedSources, SourceSet
from waxwingsaddle.outcomes import Edit
from waxwingsaddle.util import line_diff
from waxwingsaddle.util.codec import Tree, digest

BASE_KEY = ''


class BadStepError(RuntimeError):
    """An entry would not lead to the digest that it names."""


class FileChange(msgspec.Struct, frozen=True, array_like=True):
    """Change of one source file.

    Attributes:
        site: Site of the overlay; empty for the base file.
        splices: Differences to the old text; None when the file is removed.
    """

    site: str
    splices: tuple[line_diff.Splice, ...] | None


class EditEntry(msgspec.Struct, frozen=True, array_like=True):
    """Entry of the replicated log: the step from one version to the next.

    Attributes:
        version: Requested version.
        digest: Digest of all merged sites.
        author: Who submitted it.
        taken_ms: When the leader received it, in milliseconds since the epoch.
        operations: Difference of the merged sites to the previous version.
        files: Differences of the source files to the previous
            version.
        is_restore: Whether an empty log accepts it under any version.
        number: The operator's document number; 0 for an edit of files.
    """

    version: int
    digest: str
    author: str
    taken_ms: int
    operations: tuple[patch.Operation, ...]
    files: tuple[FileChange, ...]
    is_restore: bool = False
    number: int = 0


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """One accepted version in full.

    Attributes:
        version: The version; 0 before any edit.
        digest: Digest of all merged sites.
        sites: Merged tree by site name. Versions share unchanged parts, so
            the trees must not be modified.
        texts: Text of the source files by site; the base under `BASE_KEY`.
    """

    version: int
    digest: str
    sites: Mapping[str, Tree]
    texts: Mapping[str, str]

    @property
    def sources(self) -> SourceSet | None:
        """The source files; None before any edit."""
        if not self.texts:
            return None
        overlays = {
            site: text for site, text in self.texts.items() if site != BASE_KEY
        }
        return SourceSet(base=self.texts[BASE_KEY], overlays=overlays)


EMPTY_VERSION = StoredVersion(0, digest({}), {}, {})


def make_entry(
    current: StoredVersion,
    edit: Edit,
    checked: CheckedSources,
    taken_ms: int,
) -> EditEntry:
    """Returns the log entry that leads from a version to an edit of it.

    Args:
        current: The newest version.
        edit: The edit.
        checked: Its checked sources.
        taken_ms: When the leader received the edit, in milliseconds since the
            epoch.

    Raises:
        BadStepError: Applying the differences does not reproduce the edit.
    """
    new_texts = {BASE_KEY: edit.sources.base, **edit.sources.overlays}
    entry = EditEntry(
        version=checked.version or current.version + 1,
        digest=checked.digest,
        author=edit.author,
        taken_ms=taken_ms,
        operations=patch.difference(
            dict(current.sites),
            dict(checked.sites),
        ),
        files=file_changes(current.texts, new_texts),
        is_restore=edit.is_restore,
        number=checked.number,
    )
    # An entry that can't be applied would stop every control host.
    new_version = apply_entry(current, entry)
    if (
        digest(new_version.sites) != checked.digest
        or new_version.texts != new_texts
    ):
        raise BadStepError(
            f'version {entry.version}: differences do not reproduce the edit'
        )
    return entry


def apply_entry(current: StoredVersion, entry: EditEntry) -> StoredVersion:
    """Returns the version after a log entry."""
    return StoredVersion(
        entry.version,
        entry.digest,
        patch.apply(dict(current.sites), entry.operations),
        changed_texts(current.texts, entry.files),
    )


def file_changes(
    old: Mapping[str, str],
    new: Mapping[str, str],
) -> tuple[FileChange, ...]:
    """Returns the differences between the source files of two versions."""
    removed = (FileChange(site, None) for site in sorted(old.keys() - new))
    changed = (
        FileChange(site, line_diff.difference(old.get(site, ''), text))
        for site, text in sorted(new.items())
        if old.get(site) != text
    )
    return (*removed, *changed)


def changed_texts(
    old: Mapping[str, str],
    changes: tuple[FileChange, ...],
) -> dict[str, str]:
    """Returns the source files after applying differences.

    Raises:
        line_diff.SpliceError: A difference does not fit its file.
        KeyError: A file to remove is missing.
    """
    changed = dict(old)
    for change in changes:
        if change.splices is None:
            changed.pop(change.site)
        else:
            before = changed.get(change.site, '')
            changed[change.site] = line_diff.apply(before, change.splices)
    return changed
