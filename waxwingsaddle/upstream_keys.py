"""Directory entries of upstreams, as used to place calls, and their keys."""

from typing import Protocol

UpstreamKey = tuple[str, str]


class Upstream(Protocol):
    """Fields of a directory entry that the placement of calls reads."""

    name: str
    service: str
    host: str
    availability_zone: str
    slots: int
    state: str
    started_ms_ago: int


def key_of(entry: Upstream) -> UpstreamKey:
    """Returns the key of an upstream, stable across directory updates."""
    return entry.host, entry.name
