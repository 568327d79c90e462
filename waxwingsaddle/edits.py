"""Replicated state machine of the accepted configurations.

Applying the same entries in the same order gives the same state on every
control host. An entry carries the structural difference of the merged sites
and the differences of the source files; a snapshot carries the oldest stored
version in full and the entries after it.
"""

from collections import deque
from collections.abc import Mapping

import msgspec

from waxwingsaddle import departure_records, rollout_entries, rollout_orders
from waxwingsaddle.config import CheckedSources, SourceSet
from waxwingsaddle.documents import Form, has_form
from waxwingsaddle.edit_history import EditHistory, HistoryEntry
from waxwingsaddle.edit_image import (
    MAX_ENTRY_BYTES,
    EditImage,
    decode_image,
    encode_image,
)
from waxwingsaddle.outcomes import Accepted, Conflict, Edit, Outcome, Refused
from waxwingsaddle.util.codec import (
    Tree,
    compress,
    decompress,
    digest,
    msgpack_decoder,
    pack,
)
from waxwingsaddle.versions import (
    BASE_KEY,
    EMPTY_VERSION,
    EditEntry,
    StoredVersion,
    apply_entry,
    make_entry,
)

EntryOutcome = (
    Outcome | rollout_orders.RolloutOutcome | departure_records.DeparturesStored
)

_decode_entry = msgpack_decoder(EditEntry)


class EditState:
    """Accepted configurations, their history and some older versions.

    Args:
        versions_kept: Number of versions stored in full.
        history_kept: Number of versions whose digest and author are stored.

    Attributes:
        rollouts: The rollouts of services, whose entries are in the same log.
        departures: The departures of upstreams, likewise.
    """

    def __init__(self, versions_kept: int, history_kept: int) -> None:
        self._versions: deque[StoredVersion] = deque(maxlen=versions_kept)
        self._entries: deque[EditEntry] = deque(maxlen=versions_kept - 1)
        self._history = EditHistory(history_kept)
        self._versions.append(EMPTY_VERSION)
        self.rollouts = rollout_orders.RolloutOrders()
        self.departures = departure_records.DepartureRecords()

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
        """Document number of the newest version; 0 before any edit."""
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
        """Returns a version in full, or None if it is no longer stored."""
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
        """Returns the outcome of an edit if its version alone decides it.

        Args:
            version: Version that the edit requests.
            edit_digest: Digest of its merged sites.
            is_restore: Whether the edit starts a restored log. Such a log
                starts at any version, so that no node is ahead of it.

        Returns:
            None if the edit requests the next version.
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
        accepted = self._history.of_version(version)
        if accepted is None:
            return Refused(
                problems=(f'version {version} is older than the history',),
                expected_version=expected,
            )
        if accepted.digest == edit_digest:
            return accepted.as_outcome()
        return Conflict(
            version=version,
            winner_digest=accepted.digest,
            winner_author=accepted.author,
            current_version=self.version,
        )

    def decide_document(self, checked: CheckedSources) -> Outcome | None:
        """Returns the outcome of a document if its numbers alone decide it.

        Args:
            checked: The checked document.

        Returns:
            None if the document is based on the newest version.
        """
        number, newest = checked.number, self._history.newest
        accepted = self._history.of_number(number)
        is_known = accepted is not None and accepted.digest == checked.digest
        if is_known and (accepted != newest or self._has_form(checked.form)):
            return accepted.as_outcome()
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
        """Encodes an edit that creates the next version as a log entry."""
        return _encode(make_entry(self.current, edit, checked, taken_ms))

    def apply(self, command: bytes) -> EntryOutcome:
        """Applies a log entry; returns the outcome of its edit or order."""
        if departure_records.is_departure_entry(command):
            return self.departures.apply(command)
        if rollout_entries.is_rollout_entry(command):
            services = rollout_entries.services_of(self.sites)
            return self.rollouts.apply(command, services, self.version)
        entry = _decode_entry(decompress(command, MAX_ENTRY_BYTES))
        outcome = self.decide_version(
            entry.version, entry.digest, entry.is_restore
        )
        if outcome is None:
            return self._accept(entry)
        return self._race_conflict(entry) or outcome

    def dump(self) -> bytes:
        """Encodes the state as a snapshot."""
        oldest = self._versions[0]
        return encode_image(
            EditImage(
                version=oldest.version,
                sites=dict(oldest.sites),
                texts=dict(oldest.texts),
                history=self.history(),
                entries=tuple(self._entries),
                rollouts=self.rollouts.dump(),
                departures=self.departures.dump(),
            ),
        )

    def load(self, body: bytes) -> None:
        """Replaces the state by a snapshot; an empty one resets the state."""
        self._versions.clear()
        self._entries.clear()
        self._history.replace(())
        if not body:
            self._versions.append(EMPTY_VERSION)
            self.rollouts.load(rollout_orders.RolloutImage())
            self.departures.load(departure_records.DepartureImage())
            return
        image = decode_image(body)
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
        self.rollouts.load(image.rollouts)
        self.departures.load(image.departures)

    def _has_form(self, form: Form) -> bool:
        """Returns whether the newest version is a document in this form."""
        return has_form(self.current.texts[BASE_KEY], form)

    def _race_conflict(self, entry: EditEntry) -> Conflict | None:
        """Returns the conflict of a document that lost a race, if it did.

        Two documents with the same content and different numbers or forms
        are two edits; by the digest alone, the loser would look like a resend.
        """
        accepted = self._history.of_version(entry.version)
        if accepted is None or not entry.number:
            return None
        if accepted.number == entry.number and self._has_files(entry):
            return None
        return Conflict(
            version=entry.number,
            winner_digest=accepted.digest,
            winner_author=accepted.author,
            current_version=self.number,
        )

    def _has_files(self, entry: EditEntry) -> bool:
        """Returns whether the entry of its version has the same files."""
        stored = self._entries[-1] if self._entries else entry
        return stored.version != entry.version or stored.files == entry.files

    def _accept(self, entry: EditEntry) -> Accepted:
        self._add_version(entry)
        accepted = HistoryEntry(
            entry.version,
            entry.digest,
            entry.author,
            entry.taken_ms,
            entry.number or self.number + 1,
        )
        self._history.add(accepted)
        self.rollouts.end_removed(
            rollout_entries.services_of(self.sites), self.version
        )
        return accepted.as_outcome()

    def _add_version(self, entry: EditEntry) -> None:
        new_version = apply_entry(self.current, entry)
        if entry.version > self.version + 1:
            # A restored log starts here. Stored versions must have no gaps.
            self._versions.clear()
            self._versions.append(new_version)
            return
        self._versions.append(new_version)
        self._entries.append(entry)


def _encode(struct: msgspec.Struct) -> bytes:
    return compress(pack(struct))
