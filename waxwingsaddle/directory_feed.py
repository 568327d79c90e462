"""Directory updates for nodes, encoded once per site."""

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

# Compression saves hardly anything on smaller updates.
COMPRESSED_FROM_BYTES = 400
# A full directory is encoded anew after this many changes. Until then, nodes
# get the cached full directory and the changes since.
MAX_CHANGES_AFTER_FULL = 64


@dataclass(frozen=True, slots=True)
class _FullUpdate:
    revision: int
    is_complete: bool
    services: frozenset[str]
    encoded: EncodedMessage


@dataclass(slots=True)
class DirectoryFeed:
    """Numbers the changes of a directory and encodes them for nodes.

    Attributes:
        directory: Directory with the entries of all nodes.
        log_kept: Number of changes kept for nodes that missed some.
        clock_ms: Returns monotonic milliseconds.
        revision: Number of the newest change.
        is_complete: Whether the directory lists all live nodes.
        hidden_holders: Control hosts whose entries are hidden from nodes.
    """

    directory: Directory
    log_kept: int
    clock_ms: Callable[[], int]
    revision: int = 0
    is_complete: bool = False
    hidden_holders: frozenset[str] = frozenset()
    _log: deque[str] = field(default_factory=deque)
    _full_updates: dict[str, _FullUpdate] = field(default_factory=dict)
    _updates_by_start: dict[tuple[str, int], EncodedMessage] = field(
        default_factory=dict
    )

    def record_changes(self, hosts: Iterable[str]) -> None:
        """Adds a numbered change for each host whose entry changed."""
        for host in hosts:
            self.revision += 1
            self._log.append(host)
            if len(self._log) > self.log_kept:
                self._log.popleft()
        self._updates_by_start.clear()

    def visible_records(self) -> tuple[NodeRecord, ...]:
        """Returns the live entries except those of hidden control hosts."""
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
        """Returns the messages that bring a node of a site up to date.

        Args:
            site: Site of the node; only services that its routes reach are
                included.
            since_revision: Revision that the node has; -1 if it has none.
        """
        if self._is_logged(since_revision):
            return (self._changes_since(site, since_revision),)
        full_update = self._full_update(site)
        if full_update.revision == self.revision:
            return (full_update.encoded,)
        return (
            full_update.encoded,
            self._changes_since(site, full_update.revision),
        )

    def updates_for_services(
        self,
        site: SiteEncodings,
        services: frozenset[str],
    ) -> EncodedMessage | None:
        """Returns the entries with upstreams of some services, if any.

        Args:
            site: Site of the node.
            services: Services that the routes of the site newly reach.
        """
        records = [
            record
            for record in self.visible_records()
            if any(
                upstream.service in services for upstream in record.upstreams
            )
        ]
        if not records:
            return None
        return self._encode(site, records, self.revision)

    def _is_logged(self, since_revision: int) -> bool:
        oldest = self.revision - len(self._log)
        return since_revision >= max(oldest, 0)

    def _full_update(self, site: SiteEncodings) -> _FullUpdate:
        full_update = self._full_updates.get(site.site)
        if full_update is None or not self._is_usable(full_update, site):
            encoded = self._encode(site, self.visible_records(), -1)
            full_update = _FullUpdate(
                self.revision,
                self.is_complete,
                site.services,
                encoded,
            )
            self._full_updates[site.site] = full_update
        return full_update

    def _is_usable(self, full_update: _FullUpdate, site: SiteEncodings) -> bool:
        return (
            full_update.is_complete == self.is_complete
            and full_update.services == site.services
            and self.revision - full_update.revision <= MAX_CHANGES_AFTER_FULL
            and self._is_logged(full_update.revision)
        )

    def _changes_since(self, site: SiteEncodings, since: int) -> EncodedMessage:
        key = (site.site, since)
        if key not in self._updates_by_start:
            start = len(self._log) - (self.revision - since)
            hosts = dict.fromkeys(islice(self._log, start, None))
            records = [self._current_record(host) for host in hosts]
            self._updates_by_start[key] = self._encode(site, records, since)
        return self._updates_by_start[key]

    def _current_record(self, host: str) -> NodeRecord:
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
        packed = pack(
            [
                convert_ages(_with_services(record, site.services), now_ms)
                for record in records
            ]
        )
        is_compressed = len(packed) > COMPRESSED_FROM_BYTES
        header = DirectoryUpdate(
            base_revision,
            self.revision,
            self.is_complete,
            is_compressed,
        )
        body = compress(packed) if is_compressed else packed
        return EncodedMessage('DirectoryUpdate', (pack(header), body))


def _with_services(record: NodeRecord, services: frozenset[str]) -> NodeRecord:
    upstreams = tuple(
        upstream
        for upstream in record.upstreams
        if upstream.service in services
    )
    # Nodes do not use the holder and the departures of others.
    return msgspec.structs.replace(
        record, holder='', upstreams=upstreams, departures=()
    )
