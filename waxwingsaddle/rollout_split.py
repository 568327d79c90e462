"""Decides which version of a service a call goes to.

Answers a load pattern of rollouts: a version that may turn out to be faulty
gets a small share of the calls, exactly and evenly over all entry nodes, and a
version that may not get any calls gets none. The share goes to a few of its
upstreams, so that each of these has the load that it would have later.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from waxwingsaddle.config_models import ServiceRollout
from waxwingsaddle.rollout_models import PERMILLE
from waxwingsaddle.upstream_keys import UpstreamKey, key_of

# Range of the factor on the share of a route, and calls from which it is known
# which routes are rare.
_MIN_FACTOR = 0.5
_MAX_FACTOR = 3
_KNOWN_CALLS = 50


class VersionedUpstream(Protocol):
    """Fields of a directory entry that decide which calls it gets."""

    name: str
    host: str
    service: str
    state: str
    version: str
    started_at_ms: int


@dataclass(slots=True)
class RolloutSplit:
    """Splits the calls of one service between two versions.

    Attributes:
        rng: Draws the start of each route, so that the entry nodes of a fleet
            don't send their calls to the version under test at the same time.
        barred: Keys of the upstreams that get no calls except those that test
            the target version. A call that failed at the target version goes
            back to the others.
    """

    rng: random.Random
    barred: frozenset[UpstreamKey] = frozenset()
    _entries: Sequence[VersionedUpstream] = ()
    _rollout: ServiceRollout | None = None
    _barred_in_test: frozenset[UpstreamKey] = frozenset()
    _test_share: float = 0
    _credits: dict[str, float] = field(default_factory=dict)
    _counts: Counter[str] = field(default_factory=Counter)

    def update(
        self,
        entries: Sequence[VersionedUpstream],
        rollout: ServiceRollout | None,
    ) -> None:
        """Applies the directory and the newest rollout of the service.

        Args:
            entries: All upstreams of the service.
            rollout: The newest rollout; None if there was none.
        """
        if entries is self._entries and rollout == self._rollout:
            return
        self._entries = entries
        self._rollout = rollout
        serving = serving_version(entries, rollout)
        self.barred = _keys(
            entry for entry in entries if entry.version != serving
        )
        targets, exposed = (), ()
        if rollout is not None and serving != rollout.target_version:
            targets = _ready_targets(entries, rollout)
            exposed = exposed_upstreams(targets, rollout)
        self._barred_in_test = _keys(entries) - _keys(exposed)
        self._test_share = 0
        if rollout is not None and exposed:
            # More would be a load that these upstreams never get later.
            self._test_share = min(
                rollout.share_permille / PERMILLE, len(exposed) / len(targets)
            )

    def barred_for_next(self, route: str) -> frozenset[UpstreamKey]:
        """Returns the upstreams that the next call of a route must not get."""
        if not self._test_share:
            return self.barred
        self._counts[route] += 1
        if route not in self._credits:
            self._credits[route] = self.rng.random()
        self._credits[route] += self._test_share * route_factor(
            self._counts, route
        )
        if self._credits[route] < 1:
            return self.barred
        self._credits[route] -= 1
        return self._barred_in_test


def route_factor(counts: Mapping[str, int], route: str) -> float:
    """Returns the factor on the share of a route in a test.

    A fault may be on one route only, and a few runs of it must show that. Rare
    routes therefore get a larger share of the same test.

    Args:
        counts: Calls by route so far.
        route: The route, which has calls.
    """
    total = sum(counts.values())
    if total < _KNOWN_CALLS:
        return 1
    usual = total / len(counts)
    return min(_MAX_FACTOR, max(_MIN_FACTOR, usual / counts[route]))


def serving_version(
    entries: Iterable[VersionedUpstream], rollout: ServiceRollout | None
) -> str | None:
    """Returns the version that gets the calls that are not part of a test.

    Args:
        entries: The upstreams of a service.
        rollout: Its newest rollout; None if there was none.

    Returns:
        The version; None if no upstream may get calls.
    """
    ready = [entry for entry in entries if entry.state == 'ready']
    if rollout is None:
        return most_common_version(ready)
    if rollout.share_permille == PERMILLE:
        # Also before the end, so that no call is left at old upstreams.
        return rollout.target_version
    base_version = rollout.base_version
    is_ended = rollout.state == 'rolled_back'
    may_serve = not is_ended or base_version != rollout.target_version
    if may_serve and any(entry.version == base_version for entry in ready):
        return base_version
    return most_common_version(ready, {rollout.target_version})


def most_common_version(
    ready: Iterable[VersionedUpstream], excluded: Collection[str] = ()
) -> str | None:
    """Returns the version of most upstreams.

    Of two versions with as many upstreams it is the one that started first,
    because a new version is started beside all upstreams of the old one.

    Args:
        ready: The upstreams that are ready.
        excluded: Versions to ignore.
    """
    starts: dict[str, list[int]] = defaultdict(list)
    for entry in ready:
        if entry.version not in excluded:
            starts[entry.version].append(entry.started_at_ms)
    return max(
        starts,
        key=lambda version: (
            len(starts[version]),
            -min(starts[version]),
            version,
        ),
        default=None,
    )


def exposed_upstreams(
    targets: Sequence[VersionedUpstream], rollout: ServiceRollout
) -> Sequence[VersionedUpstream]:
    """Returns the upstreams of the target version that share its calls.

    With a share of a tenth, these are a tenth of them and at least one, the
    same at all nodes: each has the load that it would have after the rollout.
    The next turn takes the upstreams that follow them.

    Args:
        targets: The upstreams of the target version that are ready, in order.
        rollout: The rollout.
    """
    if not rollout.share_permille or not targets:
        return ()
    count = max(1, len(targets) * rollout.share_permille // PERMILLE)
    start = rollout.turn * count % len(targets)
    return [*targets[start:], *targets[:start]][:count]


def _ready_targets(
    entries: Iterable[VersionedUpstream], rollout: ServiceRollout
) -> Sequence[VersionedUpstream]:
    return sorted(
        (
            entry
            for entry in entries
            if entry.version == rollout.target_version
            and entry.state == 'ready'
        ),
        key=key_of,
    )


def _keys(entries: Iterable[VersionedUpstream]) -> frozenset[UpstreamKey]:
    return frozenset(map(key_of, entries))
