"""Directory of one node; its kernel service `directory`."""

import sys
from collections import defaultdict
from collections.abc import Iterable

import msgspec

from waxwingsaddle.directory import (
    NodeEntry,
    NodeRecord,
    UpstreamEntry,
    convert_ages,
    upstream_entries,
)
from waxwingsaddle.util.clock import monotonic_ms


class NodeDirectory:
    """Nodes of the fleet, with the upstreams that the routes of a node reach.

    The indexes by service and by zone are built on first use after a change.
    """

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._upstreams: dict[str, tuple[UpstreamEntry, ...]] | None = None
        self._nodes: dict[str, tuple[NodeEntry, ...]] | None = None

    def __len__(self) -> int:
        return len(self._records)

    def upstreams_of(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of a service, ordered by host."""
        if self._upstreams is None:
            self._upstreams = self._index_by_service()
        return self._upstreams.get(service, ())

    def nodes_of(self, zone: str) -> tuple[NodeEntry, ...]:
        """Returns the nodes of an availability zone, ordered by host."""
        if self._nodes is None:
            self._nodes = self._index_by_zone()
        return self._nodes.get(zone, ())

    def apply(
        self,
        received: Iterable[NodeRecord],
        is_replacing: bool,
    ) -> frozenset[str]:
        """Applies entries from the control host.

        Args:
            received: The entries, with ages of their upstreams.
            is_replacing: Whether the entries are the full directory, so that
                all other entries are removed.

        Returns:
            The services whose upstreams changed.
        """
        now_ms = monotonic_ms()
        records = [_interned(convert_ages(entry, now_ms)) for entry in received]
        changed: set[str] = set()
        if is_replacing:
            listed = {record.host for record in records}
            for host in self._records.keys() - listed:
                changed |= _services(self._records.pop(host))
        for record in records:
            changed |= self._apply_record(record)
        self._upstreams = None
        self._nodes = None
        return frozenset(changed)

    def _apply_record(self, record: NodeRecord) -> set[str]:
        current = self._records.get(record.host)
        if current is not None and _rank(record) < _rank(current):
            return set()
        if record.is_gone:
            self._records.pop(record.host, None)
        else:
            self._records[record.host] = record
        changed = _services(record)
        return changed | _services(current) if current else changed

    def _index_by_service(self) -> dict[str, tuple[UpstreamEntry, ...]]:
        index: dict[str, list[UpstreamEntry]] = defaultdict(list)
        for record in self._sorted_records():
            for entry in upstream_entries(record):
                index[entry.service].append(entry)
        return {service: tuple(entries) for service, entries in index.items()}

    def _index_by_zone(self) -> dict[str, tuple[NodeEntry, ...]]:
        index: dict[str, list[NodeEntry]] = defaultdict(list)
        for record in self._sorted_records():
            index[record.availability_zone].append(
                NodeEntry(
                    record.host,
                    record.availability_zone,
                    record.call_address,
                    record.incarnation,
                ),
            )
        return {zone: tuple(nodes) for zone, nodes in index.items()}

    def _sorted_records(self) -> list[NodeRecord]:
        return [self._records[host] for host in sorted(self._records)]


def _rank(record: NodeRecord) -> tuple[int, int]:
    # An entry of equal rank is applied: a control host may send it again with
    # more services or as a tombstone.
    return record.incarnation, record.sequence


def _services(record: NodeRecord) -> set[str]:
    return {upstream.service for upstream in record.upstreams}


def _interned(record: NodeRecord) -> NodeRecord:
    # Decoding creates a new string for each occurrence of a name; interning
    # saves memory.
    upstreams = tuple(
        msgspec.structs.replace(upstream, service=sys.intern(upstream.service))
        for upstream in record.upstreams
    )
    return msgspec.structs.replace(
        record,
        availability_zone=sys.intern(record.availability_zone),
        upstreams=upstreams,
    )
