"""Directory entries of upstreams as the placement of calls sees them."""

from typing import Protocol

UpstreamKey = tuple[str, str]


class Upstream(Protocol):
    """The fields of a directory entry that matter here."""

    name: str
    service: str
    host: str
    availability_zone: str
    slots: int
    state: str
    started_ms_ago: int


def key_of(entry: Upstream) -> UpstreamKey:
    """Returns what identifies an upstream across directory updates."""
    return entry.host, entry.name
