"""Decides which version of a service serves, where no rollout has told it.

Answers a load pattern of rollouts: an order comes right after control hosts
have started, when a directory has no or few upstreams. "None" is then no
answer, and a decision that goes into the log would last.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from waxwingsaddle.rollout_split import VersionedUpstream, most_common_version

# Time for which all upstreams of the serving version must be gone until another
# version is the serving one.
GONE_S = 10.0


def find_base_version(
    entries: Iterable[VersionedUpstream],
    target_version: str,
    *,
    is_complete: bool,
) -> str:
    """Returns the version that serves before a rollout.

    Args:
        entries: Known upstreams of the service.
        target_version: Version that the order names.
        is_complete: Whether all upstreams are known.

    Returns:
        The version; empty if that cannot be told yet. If the target is the
        only version, it goes on to serve.
    """
    ready = [
        entry
        for entry in entries
        if entry.state == 'ready' and entry.version != target_version
    ]
    if is_complete:
        return most_common_version(ready) or target_version
    versions = {entry.version for entry in ready}
    return versions.pop() if len(versions) == 1 else ''


@dataclass(slots=True)
class ServingVersions:
    """Finds services whose serving version has to be recorded.

    Of a complete directory, the version of most upstreams is recorded once. It
    is replaced when none of its upstreams is left for a while, as nodes use
    another version from then on.
    """

    _gone_since_s: dict[str, float] = field(default_factory=dict)

    def find_changes(
        self,
        entries: Iterable[VersionedUpstream],
        recorded: Mapping[str, str],
        services: Collection[str],
        now_s: float,
        *,
        is_complete: bool = True,
    ) -> dict[str, str]:
        """Returns the versions to record, by service.

        Args:
            entries: Upstreams of all services.
            recorded: The recorded versions.
            services: Services that have had no rollout.
            now_s: Current time, in monotonic seconds.
            is_complete: Whether these are all upstreams; otherwise only the
                first version of a service is found.
        """
        by_service: dict[str, list[VersionedUpstream]] = {}
        for entry in entries:
            by_service.setdefault(entry.service, []).append(entry)
        return {
            name: version
            for name, listed in by_service.items()
            if name in services
            and (is_complete or (name not in recorded and _is_one(listed)))
            and self._is_due(name, recorded.get(name, ''), listed, now_s)
            and (version := _ready_version(listed))
        }

    def _is_due(
        self,
        service: str,
        recorded: str,
        listed: Iterable[VersionedUpstream],
        now_s: float,
    ) -> bool:
        if not recorded:
            return True
        if any(entry.version == recorded for entry in listed):
            self._gone_since_s.pop(service, None)
            return False
        since_s = self._gone_since_s.setdefault(service, now_s)
        return now_s - since_s >= GONE_S


def _is_one(listed: Iterable[VersionedUpstream]) -> bool:
    return len({entry.version for entry in listed}) == 1


def _ready_version(listed: Iterable[VersionedUpstream]) -> str | None:
    return most_common_version(one for one in listed if one.state == 'ready')
