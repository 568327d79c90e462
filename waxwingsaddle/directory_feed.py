"""Directory as a control host sends it to its nodes, encoded once a site."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

import msgspec

from waxwingsaddle.directory import (
    Directory,
    NodeRecord,
    as_tombstone,
    convert_ages,
)
from waxwingsaddle.node_messages import DirectoryUpdate
from waxwingsaddle.site_encodings import EncodedMessage, SiteEncodings
from waxwingsaddle.util.codec import compress, pack

# Smaller updates hardly shrink.
COMPRESSED_FROM_BYTES = 400
# A whole is encoded again once this many changes follow it; until then nodes
# get the older whole and the changes after it.
CHANGES_PER_WHOLE = 64


@dataclass(frozen=True, slots=True)
class _Whole:
    revision: int
    is_complete: bool
    services: frozenset[str]
    encoded: EncodedMessage


@dataclass(slots=True)
class DirectoryFeed:
    """Numbers the changes of a directory and encodes them for nodes.

    Attributes:
        directory: The table of entries.
        log_kept: Changes kept for nodes that missed some.
        clock_ms: Monotonic milliseconds.
        revision: Number of the newest change.
        is_complete: Whether the table lists all live nodes.
        hidden_holders: Control hosts whose entries are hidden.
    """

    directory: Directory
    log_kept: int
    clock_ms: Callable[[], int]
    revision: int = 0
    is_complete: bool = False
    hidden_holders: frozenset[str] = frozenset()
    _log: deque[str] = field(default_factory=deque)
    _wholes: dict[str, _Whole] = field(default_factory=dict)
    _changes: dict[tuple[str, int], EncodedMessage] = field(
        default_factory=dict
    )

    def record_changes(self, hosts: Iterable[str]) -> None:
        """Numbers changes of the entries of hosts."""
        for host in hosts:
            self.revision += 1
            self._log.append(host)
            if len(self._log) > self.log_kept:
                self._log.popleft()
        self._changes.clear()

    def visible_records(self) -> tuple[NodeRecord, ...]:
        """Returns the live entries, without those of hidden control hosts."""
        return tuple(
            record
            for record in self.directory.live()
            if record.holder not in self.hidden_holders
        )

    def updates_since(
        self,
        site: SiteEncodings,
        since_revision: int,
    ) -> tuple[EncodedMessage, ...]:
        """Returns what brings a node of a site up to date.

        Args:
            site: The site; its routes say which services matter.
            since_revision: Revision the node has; -1 when it has none.
        """
        if self._is_logged(since_revision):
            return (self._changes_since(site, since_revision),)
        whole = self._whole(site)
        if whole.revision == self.revision:
            return (whole.encoded,)
        return (whole.encoded, self._changes_since(site, whole.revision))

    def updates_for_services(
        self,
        site: SiteEncodings,
        services: frozenset[str],
    ) -> EncodedMessage | None:
        """Returns the entries with newly reached services, if any."""
        records = [
            record
            for record in self.visible_records()
            if any(part.service in services for part in record.upstreams)
        ]
        if not records:
            return None
        return self._encode(site, records, self.revision)

    def _is_logged(self, since_revision: int) -> bool:
        oldest = self.revision - len(self._log)
        return since_revision >= max(oldest, 0)

    def _whole(self, site: SiteEncodings) -> _Whole:
        whole = self._wholes.get(site.site)
        if whole is None or not self._is_usable(whole, site):
            encoded = self._encode(site, self.visible_records(), -1)
            whole = _Whole(
                self.revision,
                self.is_complete,
                site.services,
                encoded,
            )
            self._wholes[site.site] = whole
        return whole

    def _is_usable(self, whole: _Whole, site: SiteEncodings) -> bool:
        return (
            whole.is_complete == self.is_complete
            and whole.services == site.services
            and self.revision - whole.revision <= CHANGES_PER_WHOLE
            and self._is_logged(whole.revision)
        )

    def _changes_since(self, site: SiteEncodings, since: int) -> EncodedMessage:
        key = (site.site, since)
        if key not in self._changes:
            first = len(self._log) - (self.revision - since)
            hosts = dict.fromkeys(islice(self._log, first, None))
            records = [self._shown(host) for host in hosts]
            self._changes[key] = self._encode(site, records, since)
        return self._changes[key]

    def _shown(self, host: str) -> NodeRecord:
        record = self.directory.find(host)
        if record is None:
            return NodeRecord(host, '', '', 0, 0, '', is_gone=True)
        if record.holder in self.hidden_holders:
            return as_tombstone(record)
        return record

    def _encode(
        self,
        site: SiteEncodings,
        records: Iterable[NodeRecord],
        base_revision: int,
    ) -> EncodedMessage:
        now_ms = self.clock_ms()
        raw = pack(
            [
                convert_ages(_reached(record, site.services), now_ms)
                for record in records
            ]
        )
        is_compressed = len(raw) > COMPRESSED_FROM_BYTES
        header = DirectoryUpdate(
            base_revision,
            self.revision,
            self.is_complete,
            is_compressed,
        )
        body = compress(raw) if is_compressed else raw
        return EncodedMessage('DirectoryUpdate', (pack(header), body))


def _reached(record: NodeRecord, services: frozenset[str]) -> NodeRecord:
    upstreams = tuple(
        part for part in record.upstreams if part.service in services
    )
    # Nodes do not care which control host holds a lease.
    return msgspec.structs.replace(record, holder='', upstreams=upstreams)
