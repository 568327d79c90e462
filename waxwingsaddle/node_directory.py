"""Directory as one node knows it: service `directory` of a node."""

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
    """Entries of the upstreams that the routes of this node reach."""

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._upstreams: dict[str, tuple[UpstreamEntry, ...]] | None = None
        self._nodes: dict[str, tuple[NodeEntry, ...]] | None = None

    def __len__(self) -> int:
        return len(self._records)

    def upstreams_of(self, service: str) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of a service, by host and name."""
        if self._upstreams is None:
            self._upstreams = self._by_service()
        return self._upstreams.get(service, ())

    def nodes_of(self, zone: str) -> tuple[NodeEntry, ...]:
        """Returns the nodes of an availability zone, by host."""
        if self._nodes is None:
            self._nodes = self._by_zone()
        return self._nodes.get(zone, ())

    def apply(
        self,
        received: Iterable[NodeRecord],
        is_replacing: bool,
    ) -> frozenset[str]:
        """Takes over entries from the control host.

        Args:
            received: The entries, with ages.
            is_replacing: Whether all other entries have ended.

        Returns:
            The services whose upstreams changed.
        """
        now_ms = monotonic_ms()
        records = [_interned(convert_ages(part, now_ms)) for part in received]
        changed: set[str] = set()
        if is_replacing:
            listed = {record.host for record in records}
            for host in self._records.keys() - listed:
                changed |= _services(self._records.pop(host))
        for record in records:
            changed |= self._take(record)
        self._upstreams = None
        self._nodes = None
        return frozenset(changed)

    def _take(self, record: NodeRecord) -> set[str]:
        known = self._records.get(record.host)
        if known is not None and _rank(record) < _rank(known):
            return set()
        if record.is_gone:
            self._records.pop(record.host, None)
        else:
            self._records[record.host] = record
        changed = _services(record)
        return changed | _services(known) if known else changed

    def _by_service(self) -> dict[str, tuple[UpstreamEntry, ...]]:
        index: dict[str, list[UpstreamEntry]] = defaultdict(list)
        for record in self._ordered():
            for entry in upstream_entries(record):
                index[entry.service].append(entry)
        return {service: tuple(entries) for service, entries in index.items()}

    def _by_zone(self) -> dict[str, tuple[NodeEntry, ...]]:
        index: dict[str, list[NodeEntry]] = defaultdict(list)
        for record in self._ordered():
            index[record.availability_zone].append(
                NodeEntry(
                    record.host,
                    record.availability_zone,
                    record.call_address,
                    record.incarnation,
                ),
            )
        return {zone: tuple(nodes) for zone, nodes in index.items()}

    def _ordered(self) -> list[NodeRecord]:
        return [self._records[host] for host in sorted(self._records)]


def _rank(record: NodeRecord) -> tuple[int, int]:
    # A control host may send an entry again with more services, or end it.
    return record.incarnation, record.sequence


def _services(record: NodeRecord) -> set[str]:
    return {upstream.service for upstream in record.upstreams}


def _interned(record: NodeRecord) -> NodeRecord:
    # Decoding makes a new string for each repeated name.
    upstreams = tuple(
        msgspec.structs.replace(part, service=sys.intern(part.service))
        for part in record.upstreams
    )
    return msgspec.structs.replace(
        record,
        availability_zone=sys.intern(record.availability_zone),
        upstreams=upstreams,
    )
