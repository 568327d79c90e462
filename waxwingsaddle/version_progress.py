"""Tracks an accepted version until it is in force on all nodes."""

import time
from collections.abc import Callable, Iterator

import msgspec

from waxwingsaddle.api_fleet_models import NodeVersion, Status
from waxwingsaddle.api_models import Failure
from waxwingsaddle.client import Client


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a version over the nodes.

    Attributes:
        version: The version that is tracked.
        nodes: Number of known nodes.
        in_force: Number of nodes with this version or a newer one in force.
        lagging: Nodes with an older version in force.
        missing_hosts: Control hosts that did not reply; their nodes may be
            missing.
        waited_ms: Time since tracking began, in milliseconds.
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


def track_version(
    client: Client,
    version: int,
    poll_s: float,
    timeout_s: float,
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Progress | Failure]:
    """Yields the progress of a version until it is in force or time is up.

    A failed status request is yielded as well; tracking continues after it.

    Args:
        client: Client of the control hosts.
        version: The version to track.
        poll_s: Time between two status requests, in seconds.
        timeout_s: Longest time to track, in seconds.
        clock: Returns monotonic seconds.
    """
    started_s = clock()
    while True:
        status = client.status()
        elapsed_s = clock() - started_s
        if isinstance(status, Failure):
            yield status
        else:
            progress = _progress(status, version, elapsed_s)
            yield progress
            if progress.is_done and status.version >= version:
                return
        if elapsed_s >= timeout_s:
            return
        time.sleep(poll_s)


def _progress(status: Status, version: int, elapsed_s: float) -> Progress:
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
        waited_ms=round(elapsed_s * 1000),
    )
