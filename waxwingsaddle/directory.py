"""Directory of nodes and their upstreams: entries and pure merge rules.

Merging is commutative, associative and idempotent, so control hosts may
exchange entries in any order, more than once, and over crossing paths.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from typing import Any, Literal

import msgspec

from waxwingsaddle.util.clock import monotonic_ms
from waxwingsaddle.util.codec import canonical

DIGEST_BYTES = 8

State = Literal['ready', 'draining']


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """One upstream within the entry of its node.

    Attributes:
        name: Unique name of the upstream on its node.
        service: Service it serves.
        slots: Calls it runs at once.
        state: `ready` or `draining`.
        started_ms: On the wire, milliseconds since its start; in a table,
            the local monotonic time of its start.
    """

    name: str
    service: str
    slots: int
    state: State = 'ready'
    started_ms: int = 0


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Directory entry of one node.

    Attributes:
        host: Unique name of the host of the node.
        availability_zone: Its availability zone.
        call_address: Where it takes messages from other nodes.
        incarnation: Rises with each start of the node.
        sequence: Rises with each change of the entry in an incarnation.
        holder: Control host that holds the lease.
        is_gone: Whether the node left or its lease ended.
        upstreams: Upstreams it announced.
    """

    host: str
    availability_zone: str
    call_address: str
    incarnation: int
    sequence: int
    holder: str
    is_gone: bool = False
    upstreams: tuple[UpstreamRecord, ...] = ()


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One upstream, as nodes choose it.

    Attributes:
        name: Unique name of the upstream on its host.
        service: Service it serves.
        host: Host of its node.
        availability_zone: Its availability zone.
        call_address: Where its node takes messages from other nodes.
        slots: Calls it runs at once.
        state: `ready` or `draining`.
        started_at_ms: Local monotonic time of its start, in milliseconds.
    """

    name: str
    service: str
    host: str
    availability_zone: str
    call_address: str
    slots: int
    state: State
    started_at_ms: int

    @property
    def started_ms_ago(self) -> int:
        """Milliseconds since the start of the upstream."""
        return monotonic_ms() - self.started_at_ms


class NodeEntry(msgspec.Struct, frozen=True):
    """One node, as other nodes reach it.

    Attributes:
        host: Host of the node.
        availability_zone: Its availability zone.
        call_address: Where it takes messages from other nodes.
        incarnation: Rises with each start of the node.
    """

    host: str
    availability_zone: str
    call_address: str
    incarnation: int


def merge_rank(record: NodeRecord) -> tuple[int, int, bool, bytes]:
    """Returns the rank of an entry; the higher of two entries is kept.

    The content takes part only when two processes wrongly share a host name:
    hosts that merge in different orders still end with the same entry.
    """
    return (
        record.incarnation,
        record.sequence,
        record.is_gone,
        _content(record),
    )


def convert_ages(record: NodeRecord, now_ms: int) -> NodeRecord:
    """Turns ages of upstreams into local start times, and back.

    Ages cross between hosts because their clocks differ.
    """
    upstreams = tuple(
        msgspec.structs.replace(
            upstream,
            started_ms=now_ms - upstream.started_ms,
        )
        for upstream in record.upstreams
    )
    return msgspec.structs.replace(record, upstreams=upstreams)


def as_tombstone(record: NodeRecord) -> NodeRecord:
    """Returns the entry that says that this one ended."""
    return msgspec.structs.replace(record, is_gone=True, upstreams=())


def upstream_entries(record: NodeRecord) -> tuple[UpstreamEntry, ...]:
    """Returns the upstreams of an entry of a table."""
    return tuple(
        UpstreamEntry(
            name=upstream.name,
            service=upstream.service,
            host=record.host,
            availability_zone=record.availability_zone,
            call_address=record.call_address,
            slots=upstream.slots,
            state=upstream.state,
            started_at_ms=upstream.started_ms,
        )
        for upstream in record.upstreams
    )


class Directory:
    """Table of the newest entry of each host.

    Entries that are gone stay as tombstones, so that late copies of an ended
    entry lose, until `forget` removes them.
    """

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._groups: dict[str, set[str]] = defaultdict(set)
        self._digests: dict[str, int] = defaultdict(int)

    def __len__(self) -> int:
        return len(self._records)

    def find(self, host: str) -> NodeRecord | None:
        """Returns the entry of a host, tombstones included."""
        return self._records.get(host)

    def live(self) -> tuple[NodeRecord, ...]:
        """Returns the entries that are not gone."""
        return tuple(
            record for record in self._records.values() if not record.is_gone
        )

    def tombstones(self) -> tuple[NodeRecord, ...]:
        """Returns the entries that are gone."""
        return tuple(
            record for record in self._records.values() if record.is_gone
        )

    def merge(self, record: NodeRecord) -> bool:
        """Keeps an entry if it is newer, and says whether it was."""
        known = self._records.get(record.host)
        if known is not None and merge_rank(record) <= merge_rank(known):
            return False
        self.forget(record.host)
        self._records[record.host] = record
        if not record.is_gone:
            self._groups[record.holder].add(record.host)
            self._digests[record.holder] ^= _hash(record)
        return True

    def merge_all(self, records: Iterable[NodeRecord]) -> tuple[str, ...]:
        """Merges entries and returns the hosts that changed."""
        return tuple(record.host for record in records if self.merge(record))

    def forget(self, host: str) -> None:
        """Removes the entry or tombstone of a host."""
        record = self._records.pop(host, None)
        if record is None or record.is_gone:
            return
        self._groups[record.holder].discard(host)
        self._digests[record.holder] ^= _hash(record)

    def records_of_holder(self, holder: str) -> tuple[NodeRecord, ...]:
        """Returns the live entries whose lease a control host holds."""
        return tuple(
            self._records[host] for host in sorted(self._groups[holder])
        )

    def digest(self, holder: str) -> int:
        """Returns a digest of the live entries of a control host."""
        return self._digests[holder]

    def holders(self) -> tuple[str, ...]:
        """Returns the control hosts that hold live entries."""
        return tuple(holder for holder, hosts in self._groups.items() if hosts)


def _content(record: NodeRecord) -> bytes:
    # Ages differ by the path an entry took and take no part.
    upstreams = [
        (upstream.name, upstream.service, upstream.slots, upstream.state)
        for upstream in record.upstreams
    ]
    return canonical(
        (
            record.holder,
            record.availability_zone,
            record.call_address,
            upstreams,
        ),
    )


def _hash(record: NodeRecord) -> int:
    identity = canonical(
        (record.host, record.incarnation, record.sequence, _content(record)),
    )
    packed = hashlib.blake2b(identity, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(packed)


def without_ages(upstreams: Iterable[UpstreamRecord]) -> tuple[Any, ...]:
    """Returns what tells a change of upstreams; their age is none."""
    return tuple(
        (part.name, part.service, part.slots, part.state) for part in upstreams
    )
