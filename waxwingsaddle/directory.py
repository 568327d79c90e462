"""Directory of nodes and their upstreams: entries and merge rules.

Merging is commutative, associative and idempotent, so control hosts may
exchange entries in any order, repeatedly, and over several paths at once.
"""

import hashlib
from collections import defaultdict
from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec

from waxwingsaddle.addresses import OptionalAddress
from waxwingsaddle.departures import Departures, convert_departures
from waxwingsaddle.util.clock import monotonic_ms
from waxwingsaddle.util.codec import encode_canonical
from waxwingsaddle.util.numbers import Count, SpanMs

DIGEST_BYTES = 8
_MAX_SLOTS = 10_000

State = Literal['ready', 'draining']
Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """One upstream in the directory entry of its node.

    Attributes:
        name: Unique name of the upstream on its node.
        service: Service it serves.
        slots: Calls it can run concurrently.
        state: `ready` or `draining`.
        started_ms: In a message, milliseconds since its start; in a
            `Directory`, the local monotonic time of its start.
        version: Version of its software; empty if not given.
    """

    name: str
    service: str
    slots: Slots
    state: State = 'ready'
    started_ms: SpanMs = 0
    version: str = ''


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Directory entry of one node.

    Attributes:
        host: Unique name of the host of the node.
        availability_zone: Its availability zone.
        call_address: Address at which it accepts messages from other nodes.
        incarnation: Increases with each start of the node.
        sequence: Increases with each change of the entry within an
            incarnation.
        holder: Control host that holds the lease of the node.
        is_gone: Whether the entry is a tombstone: the node left or its lease
            ended.
        upstreams: Upstreams that the node announced.
        departures: Upstreams that drain or have left, also after the end of
            the node; nodes do not get them.
    """

    host: str
    availability_zone: str
    call_address: OptionalAddress
    incarnation: Count
    sequence: Count
    holder: str
    is_gone: bool = False
    upstreams: tuple[UpstreamRecord, ...] = ()
    departures: Departures = ()


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One upstream, as the load balancer of a node sees it.

    Attributes:
        name: Unique name of the upstream on its host.
        service: Service it serves.
        host: Host of its node.
        availability_zone: Availability zone of its node.
        call_address: Address at which its node accepts messages from other
            nodes.
        slots: Calls it can run concurrently.
        state: `ready` or `draining`.
        started_at_ms: Local monotonic time of its start, in milliseconds.
        version: Version of its software; empty if not given.
    """

    name: str
    service: str
    host: str
    availability_zone: str
    call_address: str
    slots: int
    state: State
    started_at_ms: int
    version: str = ''

    @property
    def started_ms_ago(self) -> int:
        """Milliseconds since the start of the upstream."""
        return monotonic_ms() - self.started_at_ms


class NodeEntry(msgspec.Struct, frozen=True):
    """One node, as other nodes connect to it.

    Attributes:
        host: Host of the node.
        availability_zone: Its availability zone.
        call_address: Address at which it accepts messages from other nodes.
        incarnation: Increases with each start of the node.
    """

    host: str
    availability_zone: str
    call_address: str
    incarnation: int


def merge_rank(record: NodeRecord) -> tuple[int, int, bool, bytes]:
    """Returns the rank of an entry; merging keeps the entry of higher rank.

    The content decides between different entries of equal incarnation and
    sequence. These occur only when two processes wrongly share a host name;
    control hosts that merge them in different orders still keep the same one.
    """
    return (
        record.incarnation,
        record.sequence,
        record.is_gone,
        _content(record),
    )


def convert_ages(record: NodeRecord, now_ms: int) -> NodeRecord:
    """Converts the ages of upstreams to local start times, or back.

    Messages carry ages because the clocks of hosts differ. The conversion is
    its own inverse.

    Args:
        record: Entry with ages, or with local start times.
        now_ms: Local monotonic time, in milliseconds.
    """
    upstreams = tuple(
        msgspec.structs.replace(
            upstream,
            started_ms=now_ms - upstream.started_ms,
        )
        for upstream in record.upstreams
    )
    departures = convert_departures(record.departures, now_ms)
    return msgspec.structs.replace(
        record, upstreams=upstreams, departures=departures
    )


def as_tombstone(record: NodeRecord) -> NodeRecord:
    """Returns the tombstone that replaces an entry."""
    return msgspec.structs.replace(record, is_gone=True, upstreams=())


def upstream_entries(record: NodeRecord) -> tuple[UpstreamEntry, ...]:
    """Returns the upstreams of an entry that has local start times."""
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
            version=upstream.version,
        )
        for upstream in record.upstreams
    )


class Directory:
    """Table of the newest entry of each host.

    An ended entry stays as a tombstone until `forget` removes it, so that a
    late copy of the entry does not restore it.
    """

    def __init__(self) -> None:
        self._records: dict[str, NodeRecord] = {}
        self._hosts_by_holder: dict[str, set[str]] = defaultdict(set)
        self._digests: dict[str, int] = defaultdict(int)

    def __len__(self) -> int:
        return len(self._records)

    def find(self, host: str) -> NodeRecord | None:
        """Returns the entry or the tombstone of a host."""
        return self._records.get(host)

    def live(self) -> tuple[NodeRecord, ...]:
        """Returns all entries except tombstones."""
        return tuple(
            record for record in self._records.values() if not record.is_gone
        )

    def tombstones(self) -> tuple[NodeRecord, ...]:
        """Returns the tombstones."""
        return tuple(
            record for record in self._records.values() if record.is_gone
        )

    def merge(self, record: NodeRecord) -> bool:
        """Stores an entry if it is newer; returns whether it was stored."""
        current = self._records.get(record.host)
        if current is not None and merge_rank(record) <= merge_rank(current):
            return False
        self.forget(record.host)
        self._records[record.host] = record
        if not record.is_gone:
            self._hosts_by_holder[record.holder].add(record.host)
            self._digests[record.holder] ^= _hash(record)
        return True

    def merge_all(self, records: Iterable[NodeRecord]) -> tuple[str, ...]:
        """Merges entries; returns the hosts whose entries changed."""
        return tuple(record.host for record in records if self.merge(record))

    def forget(self, host: str) -> None:
        """Removes the entry or tombstone of a host."""
        record = self._records.pop(host, None)
        if record is None or record.is_gone:
            return
        self._hosts_by_holder[record.holder].discard(host)
        self._digests[record.holder] ^= _hash(record)

    def records_of_holder(self, holder: str) -> tuple[NodeRecord, ...]:
        """Returns the live entries whose leases a control host holds."""
        return tuple(
            self._records[host]
            for host in sorted(self._hosts_by_holder[holder])
        )

    def digest(self, holder: str) -> int:
        """Returns the digest of the live entries that a control host holds."""
        return self._digests[holder]

    def holders(self) -> tuple[str, ...]:
        """Returns the control hosts that hold the lease of any live entry."""
        return tuple(
            holder for holder, hosts in self._hosts_by_holder.items() if hosts
        )


def _content(record: NodeRecord) -> bytes:
    # Ages are left out: they depend on the path and the delay of the message
    # that brought the entry.
    upstreams = without_ages(record.upstreams)
    return encode_canonical(
        (
            record.holder,
            record.availability_zone,
            record.call_address,
            upstreams,
        ),
    )


def _hash(record: NodeRecord) -> int:
    identity = encode_canonical(
        (record.host, record.incarnation, record.sequence, _content(record)),
    )
    packed = hashlib.blake2b(identity, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(packed)


def without_ages(upstreams: Iterable[UpstreamRecord]) -> tuple[Any, ...]:
    """Returns upstreams without their ages, to compare announcements."""
    return tuple(
        (
            upstream.name,
            upstream.service,
            upstream.slots,
            upstream.state,
            # Control hosts of earlier versions don't know it and have to get
            # the same digest of entries without it.
            *((upstream.version,) if upstream.version else ()),
        )
        for upstream in upstreams
    )
