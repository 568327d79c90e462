"""Replicated state machine of the departures of upstreams.

A node acknowledges that an upstream drains or has left, and must not use it
again after a restart. Nodes have no disk, and all processes may be killed at
once, so the control hosts keep departures in the log of the configurations.
"""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from waxwingsaddle.departures import (
    Departure,
    Departures,
    merge_departures,
)
from waxwingsaddle.util.codec import msgpack_decoder, pack
from waxwingsaddle.util.numbers import Count

# Entries of configurations are compressed and begin with another byte.
ENTRY_PREFIX = b'departures:'
# Late announcements arrive within seconds. Far fewer upstreams than this leave
# in that time, and each takes about 60 bytes of a snapshot.
MAX_RECORDS = 8192


class HostDepartures(msgspec.Struct, frozen=True, array_like=True):
    """Departures of the upstreams of one host.

    Attributes:
        host: Name of the host.
        departures: The departures, with times in milliseconds since the epoch.
    """

    host: str
    departures: Departures


class DeparturesStored(
    msgspec.Struct, frozen=True, kw_only=True, tag='departures-stored'
):
    """Departures are durably stored.

    Attributes:
        changes: Number of entries with departures in the log so far.
    """

    changes: int


class DepartureImage(msgspec.Struct, frozen=True, array_like=True):
    """Content of a snapshot that concerns departures.

    Attributes:
        changes: Number of entries with departures in the log so far.
        hosts: Departures by host, those that changed last at the end.
    """

    changes: Count = 0
    hosts: tuple[HostDepartures, ...] = ()


_decode_entry = msgpack_decoder(tuple[HostDepartures, ...])


class DepartureRecords:
    """The departures of the upstreams of all hosts.

    Attributes:
        changes: Number of entries with departures in the log so far.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._hosts: OrderedDict[str, Departures] = OrderedDict()
        self._count = 0

    def find(self, host: str) -> Departures:
        """Returns the departures of a host, with times since the epoch."""
        return self._hosts.get(host, ())

    def contains(self, host: str, departures: Iterable[Departure]) -> bool:
        """Returns whether these departures, or later ones, are stored."""
        stored = {one.name: one.key for one in self.find(host)}
        return all(
            one.name in stored and stored[one.name] >= one.key
            for one in departures
        )

    def apply(self, command: bytes) -> DeparturesStored:
        """Applies an entry of the log, with its prefix."""
        for entry in _decode_entry(command.removeprefix(ENTRY_PREFIX)):
            self._store(entry)
        self.changes += 1
        return DeparturesStored(changes=self.changes)

    def dump(self) -> DepartureImage:
        """Returns the content of a snapshot."""
        hosts = (HostDepartures(*entry) for entry in self._hosts.items())
        return DepartureImage(self.changes, tuple(hosts))

    def load(self, image: DepartureImage) -> None:
        """Replaces the state by that of a snapshot."""
        self._hosts.clear()
        self._count = 0
        for entry in image.hosts:
            self._store(entry)
        self.changes = image.changes

    def _store(self, entry: HostDepartures) -> None:
        known = self._hosts.pop(entry.host, ())
        # The state depends on the entries alone, so no clock forgets any.
        merged = merge_departures((*known, *entry.departures), now_ms=0)
        self._hosts[entry.host] = merged
        self._count += len(merged) - len(known)
        while self._count > MAX_RECORDS:
            _, forgotten = self._hosts.popitem(last=False)
            self._count -= len(forgotten)


def encode_departures(hosts: Iterable[HostDepartures]) -> bytes:
    """Returns the entry of the log with departures."""
    return ENTRY_PREFIX + pack(tuple(hosts))


def is_departure_entry(command: bytes) -> bool:
    """Returns whether an entry of the log has departures."""
    return command.startswith(ENTRY_PREFIX)
