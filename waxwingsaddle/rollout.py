"""Follows an accepted version until it is in force on the whole fleet."""

import time
from collections.abc import Callable, Iterator

import msgspec

from waxwingsaddle.api_fleet_models import NodeVersion, Status
from waxwingsaddle.api_models import Failure
from waxwingsaddle.client import Client


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """How far a version has come.

    Attributes:
        version: The version that is followed.
        nodes: Number of known nodes.
        in_force: Nodes that have this version or a newer one in force.
        lagging: The other nodes.
        missing_hosts: Control hosts whose nodes may be missing.
        waited_ms: Time since the wait began, in milliseconds.
    """

    version: int
    nodes: int
    in_force: int
    lagging: tuple[NodeVersion, ...]
    missing_hosts: tuple[str, ...]
    waited_ms: int

    @property
    def is_done(self) -> bool:
        """Whether every known node has the version in force."""
        return self.in_force == self.nodes


def track_rollout(
    client: Client,
    version: int,
    poll_s: float,
    limit_s: float,
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Progress | Failure]:
    """Yields the progress of a version until it is done or time is up.

    A failed look at the fleet is yielded too and does not end the wait.

    Args:
        client: Asks the control hosts.
        version: The version to follow.
        poll_s: Time between two looks, in seconds.
        limit_s: Longest wait, in seconds.
        clock: Monotonic seconds.
    """
    began_s = clock()
    while True:
        status = client.status()
        waited_s = clock() - began_s
        if isinstance(status, Failure):
            yield status
        else:
            progress = _progress(status, version, waited_s)
            yield progress
            if progress.is_done and status.version >= version:
                return
        if waited_s >= limit_s:
            return
        time.sleep(poll_s)


def _progress(status: Status, version: int, waited_s: float) -> Progress:
    return Progress(
        version=version,
        nodes=status.node_count,
        in_force=sum(
            count.nodes for count in status.versions if count.version >= version
        ),
        lagging=tuple(
            node for node in status.lagging if node.version < version
        ),
        missing_hosts=status.missing_hosts,
        waited_ms=round(waited_s * 1000),
    )
