"""State machine of the accepted configurations.

The same entries in the same order give the same state on every control host.
An entry carries the structural difference of the merged sites and the
differences of the source files; a snapshot carries the oldest version kept as
a whole and the entries since.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from waxwingsaddle.config import CheckedSources, SourceSet
from waxwingsaddle.edit_history import EditHistory, HistoryEntry
from waxwingsaddle.outcomes import Accepted, Conflict, Edit, Outcome, Refused
from waxwingsaddle.util.codec import Tree, compress, decompress, digest, pack
from waxwingsaddle.versions import (
    EMPTY_VERSION,
    EditEntry,
    StoredVersion,
    apply_entry,
    make_entry,
)

# Bounds what damaged compressed data can inflate to; edits are far smaller.
MAX_ENTRY_BYTES = 268_435_456


class _Image(msgspec.Struct, frozen=True, array_like=True):
    """Content of a snapshot."""

    version: int
    sites: dict[str, Tree]
    texts: dict[str, str]
    history: tuple[HistoryEntry, ...]
    entries: tuple[EditEntry, ...]


_entries = msgspec.msgpack.Decoder(EditEntry)
_images = msgspec.msgpack.Decoder(_Image)


class EditState:
    """Accepted configurations, their history and some older versions.

    Args:
        versions_kept: Versions that can be had as a whole.
        history_kept: Versions whose digest and author are remembered.
    """

    def __init__(self, versions_kept: int, history_kept: int) -> None:
        self._versions: deque[StoredVersion] = deque(maxlen=versions_kept)
        self._entries: deque[EditEntry] = deque(maxlen=versions_kept - 1)
        self._history = EditHistory(history_kept)
        self._versions.append(EMPTY_VERSION)

    @property
    def current(self) -> StoredVersion:
        """The newest accepted version."""
        return self._versions[-1]

    @property
    def version(self) -> int:
        """Number of the newest accepted version; 0 before any edit."""
        return self.current.version

    @property
    def number(self) -> int:
        """The operator's number of the newest version; 0 before any edit."""
        return self._history.number

    @property
    def digest(self) -> str:
        """Digest of all merged sites of the newest version."""
        return self.current.digest

    @property
    def sites(self) -> Mapping[str, Tree]:
        """Merged tree by site name of the newest version."""
        return self.current.sites

    @property
    def sources(self) -> SourceSet | None:
        """Source files of the newest version."""
        return self.current.sources

    def history(self) -> tuple[HistoryEntry, ...]:
        """Returns the accepted versions, oldest first."""
        return self._history.entries()

    def stored_version(self, version: int) -> StoredVersion | None:
        """Returns a version as a whole, None when it is no longer kept."""
        offset = version - self._versions[0].version
        if 0 <= offset < len(self._versions):
            return self._versions[offset]
        return None

    def decide_version(
        self,
        version: int,
        edit_digest: str,
        is_restore: bool = False,
    ) -> Outcome | None:
        """Returns the outcome that the version wanted alone decides.

        Args:
            version: Version that an edit wants.
            edit_digest: Digest of its merged sites.
            is_restore: Whether the edit begins a restored log, which takes
                up any version so that no node is ahead of it.

        Returns:
            None when the edit wants the next version.
        """
        expected = self.version + 1
        if is_restore and self.version == 0:
            return None
        if version > expected:
            return Refused(
                problems=(f'version {version}: expected {expected}',),
                expected_version=expected,
            )
        if version == expected:
            return None
        known = self._history.of_version(version)
        if known is None:
            return Refused(
                problems=(f'version {version} is older than the history',),
                expected_version=expected,
            )
        if known.digest == edit_digest:
            return _accepted(known)
        return Conflict(
            version=version,
            winner_digest=known.digest,
            winner_author=known.author,
            current_version=self.version,
        )

    def decide_document(self, checked: CheckedSources) -> Outcome | None:
        """Returns the outcome that the numbers of a document alone decide.

        Args:
            checked: The checked document.

        Returns:
            None when the document was made from the newest version.
        """
        number, newest = checked.number, self._history.newest
        known = self._history.of_number(number)
        if known is not None and known.digest == checked.digest:
            return _accepted(known)
        if newest is not None and checked.base_number != newest.number:
            return Conflict(
                version=number,
                winner_digest=newest.digest,
                winner_author=newest.author,
                current_version=newest.number,
            )
        if number <= self.number or checked.base_number != self.number:
            return Refused(
                problems=(
                    f'document {number} made from {checked.base_number}: '
                    f'the newest is {self.number}',
                ),
            )
        return None

    def encode_entry(
        self,
        edit: Edit,
        checked: CheckedSources,
        taken_ms: int,
    ) -> bytes:
        """Encodes an edit of the next version as an input."""
        return _encode(make_entry(self.current, edit, checked, taken_ms))

    def apply(self, command: bytes) -> Outcome:
        """Takes an input and returns its outcome."""
        entry = _entries.decode(decompress(command, MAX_ENTRY_BYTES))
        verdict = self.decide_version(
            entry.version, entry.digest, entry.is_restore
        )
        if verdict is None:
            return self._accept(entry)
        return self._raced(entry) or verdict

    def dump(self) -> bytes:
        """Encodes the state."""
        oldest = self._versions[0]
        return _encode(
            _Image(
                version=oldest.version,
                sites=dict(oldest.sites),
                texts=dict(oldest.texts),
                history=self.history(),
                entries=tuple(self._entries),
            ),
        )

    def load(self, body: bytes) -> None:
        """Replaces the state by a dumped one; empty for the first state."""
        self._versions.clear()
        self._entries.clear()
        self._history.replace(())
        if not body:
            self._versions.append(EMPTY_VERSION)
            return
        image = _images.decode(decompress(body, MAX_ENTRY_BYTES))
        self._versions.append(
            StoredVersion(
                image.version,
                digest(image.sites),
                image.sites,
                image.texts,
            ),
        )
        for entry in image.entries:
            self._add_version(entry)
        self._history.replace(image.history)

    def _raced(self, entry: EditEntry) -> Conflict | None:
        """Returns the outcome of a document that lost a race.

        Two documents with the same content and different numbers are two
        edits; the digest alone would take the loser for a resend.
        """
        known = self._history.of_version(entry.version)
        if known is None or not entry.number or known.number == entry.number:
            return None
        return Conflict(
            version=entry.number,
            winner_digest=known.digest,
            winner_author=known.author,
            current_version=self.number,
        )

    def _accept(self, entry: EditEntry) -> Accepted:
        self._add_version(entry)
        known = HistoryEntry(
            entry.version,
            entry.digest,
            entry.author,
            entry.taken_ms,
            entry.number or self.number + 1,
        )
        self._history.add(known)
        return _accepted(known)

    def _add_version(self, entry: EditEntry) -> None:
        reached = apply_entry(self.current, entry)
        if entry.version > self.version + 1:
            # A restored log begins here; versions are kept without gaps.
            self._versions.clear()
            self._versions.append(reached)
            return
        self._versions.append(reached)
        self._entries.append(entry)


def _encode(struct: msgspec.Struct) -> bytes:
    return compress(pack(struct))


def _accepted(known: HistoryEntry) -> Accepted:
    return Accepted(
        version=known.version,
        digest=known.digest,
        author=known.author,
        accepted_ms=known.accepted_ms,
    )
