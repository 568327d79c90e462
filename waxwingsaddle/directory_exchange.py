"""Exchange of directory changes between control hosts.

Each control host is the only source of the entries whose leases it holds, so
it sends a change once to each other control host and nobody relays it.
Periodic digests of these entries detect lost changes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from waxwingsaddle import metrics
from waxwingsaddle.directory import (
    Directory,
    NodeRecord,
    as_tombstone,
    convert_ages,
)
from waxwingsaddle.directory_feed import DirectoryFeed
from waxwingsaddle.odd_entries import nodes_decoder

REPAIRS = metrics.counter(
    'waxwing_directory_repairs',
    'Digests of a control host that differed and led to a pull.',
)


class DirectoryChanges(msgspec.Struct, frozen=True, array_like=True):
    """Changed entries whose leases the sender holds.

    Attributes:
        records: The entries, with ages of their upstreams.
        is_whole: Whether these are all live entries of the sender, so that
            any other entry it held has ended.
    """

    records: tuple[NodeRecord, ...]
    is_whole: bool = False


_decode_changes = nodes_decoder(DirectoryChanges, index=0)


class DirectoryDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of the entries whose leases the sender holds.

    Attributes:
        digest: The digest.
        is_settled: Whether nodes had time to reconnect since the start of
            the sender; before that, its list of entries may be incomplete.
    """

    digest: int
    is_settled: bool


class DirectoryPull(msgspec.Struct, frozen=True, array_like=True):
    """Request for the entries whose leases the receiver holds.

    Attributes:
        is_restarted: Whether the sender lost its entries in a restart and
            also wants the receiver's copy of them.
    """

    is_restarted: bool = False


@dataclass(slots=True)
class DirectoryExchange:
    """Synchronizes the directory of a control host with its peers.

    Attributes:
        host: Name of this control host.
        hosts: Names of all control hosts.
        peers: Service that sends messages to other control hosts.
        feed: Feed that numbers the changes for the nodes.
        settings: Settings of the control host.
        clock_ms: Returns monotonic milliseconds.
        is_leased: Returns whether this host holds the lease of a node.
        on_change: Called with the hosts whose entries another control host
            changed.
    """

    host: str
    hosts: tuple[str, ...]
    peers: Any
    feed: DirectoryFeed
    settings: Any
    clock_ms: Callable[[], int]
    is_leased: Callable[[str], bool]
    on_change: Callable[[tuple[str, ...]], None]
    _started_ms: int = 0
    _is_recovered: bool = False
    _pending: dict[str, None] = field(default_factory=dict)
    _contacts_ms: dict[str, int] = field(default_factory=dict)
    _ended_ms: dict[str, int] = field(default_factory=dict)
    _differing: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Subscribes to the messages of other control hosts."""
        self._started_ms = self.clock_ms()
        self.peers.subscribe(
            DirectoryChanges, self._on_changes, _decode_changes
        )
        self.peers.subscribe(DirectoryDigest, self._on_digest)
        self.peers.subscribe(DirectoryPull, self._on_pull)

    @property
    def directory(self) -> Directory:
        """Directory with the entries of all nodes."""
        return self.feed.directory

    @property
    def is_settled(self) -> bool:
        """Whether nodes had time to reconnect since the start."""
        running_ms = self.clock_ms() - self._started_ms
        return running_ms >= self.settings.directory_settle_ms

    def update_record(self, record: NodeRecord) -> None:
        """Merges a changed entry of a node that this host leases.

        `flush` sends it to the other control hosts.
        """
        if not self.directory.merge(record):
            return
        self._pending[record.host] = None
        self.feed.record_changes((record.host,))

    def flush(self) -> None:
        """Sends the pending changes to all other control hosts."""
        if not self._pending:
            return
        hosts = tuple(self._pending)
        self._pending.clear()
        records = filter(None, map(self.directory.find, hosts))
        self.peers.broadcast(DirectoryChanges(self._with_ages(records)))

    def tick(self, _late_ms: int = 0) -> None:
        """Ends, hides and forgets entries, then broadcasts the digest.

        Entries without a lease end, entries of unreachable control hosts are
        hidden from nodes, and old tombstones are forgotten.
        """
        self._end_unleased()
        self._hide_orphans()
        self._forget_tombstones()
        self.feed.is_complete = self._is_complete()
        self.flush()
        digest = self.directory.digest(self.host)
        self.peers.broadcast(DirectoryDigest(digest, self.is_settled))

    def _on_changes(self, sender: str, message: DirectoryChanges) -> None:
        now_ms = self.clock_ms()
        received = tuple(
            convert_ages(record, now_ms) for record in message.records
        )
        changed = self.directory.merge_all(received)
        if message.is_whole:
            changed += self._end_missing(sender, received)
        self.feed.record_changes(changed)
        if changed:
            self.on_change(changed)

    def _on_digest(self, sender: str, message: DirectoryDigest) -> None:
        self._contacts_ms[sender] = self.clock_ms()
        # After a start, recover the entries from the first peer in contact.
        if not self._is_recovered and not self.is_settled:
            self._is_recovered = True
            self.peers.send(sender, DirectoryPull(is_restarted=True))
            return
        if message.digest == self.directory.digest(sender):
            self._differing.discard(sender)
        elif sender in self._differing:
            REPAIRS.inc()
            self.peers.send(sender, DirectoryPull())
        else:
            # Pull only if the next digest differs too: while a node moves,
            # digests differ until the changes of its old and its new control
            # host have arrived.
            self._differing.add(sender)

    def _on_pull(self, sender: str, message: DirectoryPull) -> None:
        # Until this host has settled, nodes may still reconnect to it, so the
        # receiver must not end entries that are missing from the reply.
        own_changes = DirectoryChanges(
            self._with_ages(self.directory.records_of_holder(self.host)),
            is_whole=self.is_settled,
        )
        self.peers.send(sender, own_changes)
        if message.is_restarted:
            copies = self._with_ages(self._records_kept_for(sender))
            self.peers.send(sender, DirectoryChanges(copies))

    def _records_kept_for(self, holder: str) -> tuple[NodeRecord, ...]:
        """Returns its live entries, and ended ones that have departures."""
        return (
            *self.directory.records_of_holder(holder),
            *(
                record
                for record in self.directory.tombstones()
                if record.holder == holder and record.departures
            ),
        )

    def _end_missing(
        self,
        holder: str,
        received: Iterable[NodeRecord],
    ) -> tuple[str, ...]:
        listed = {record.host for record in received}
        return self.directory.merge_all(
            as_tombstone(record)
            for record in self.directory.records_of_holder(holder)
            if record.host not in listed
        )

    def _end_unleased(self) -> None:
        if not self.is_settled:
            return
        for record in self.directory.records_of_holder(self.host):
            if not self.is_leased(record.host):
                self.update_record(as_tombstone(record))

    def _hide_orphans(self) -> None:
        hidden_holders = frozenset(
            holder
            for holder in self.directory.holders()
            if self._is_orphaned(holder)
        )
        changed = hidden_holders ^ self.feed.hidden_holders
        self.feed.hidden_holders = hidden_holders
        for holder in changed:
            records = self.directory.records_of_holder(holder)
            self.feed.record_changes(tuple(record.host for record in records))

    def _is_orphaned(self, holder: str) -> bool:
        if holder == self.host:
            return False
        last_contact_ms = self._contacts_ms.get(holder, self._started_ms)
        return self.clock_ms() - last_contact_ms > self.settings.orphan_limit_ms

    def _is_complete(self) -> bool:
        peers = set(self.hosts) - {self.host}
        running_ms = self.clock_ms() - self._started_ms
        is_wait_over = running_ms >= self.settings.orphan_limit_ms
        return self.is_settled and (
            is_wait_over or peers <= self._contacts_ms.keys()
        )

    def _forget_tombstones(self) -> None:
        now_ms = self.clock_ms()
        hosts = {record.host for record in self.directory.tombstones()}
        self._ended_ms = {
            host: self._ended_ms.get(host, now_ms) for host in hosts
        }
        oldest_ms = now_ms - self.settings.tombstone_ms
        for host, ended_ms in self._ended_ms.items():
            if ended_ms < oldest_ms:
                self.directory.forget(host)

    def _with_ages(
        self, records: Iterable[NodeRecord]
    ) -> tuple[NodeRecord, ...]:
        now_ms = self.clock_ms()
        return tuple(convert_ages(record, now_ms) for record in records)
