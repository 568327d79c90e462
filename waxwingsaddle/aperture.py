"""Part of the upstreams of a service that a node sends its calls to.

Load pattern: hundreds of nodes with a few calls a second each, and dozens of
upstreams in each service. A node that chooses among all of them opens a
connection to each, which takes 0.1 MB of memory at either end, and has heard
nothing from most of them for seconds when it chooses. Among a few upstreams,
its estimates are fresh. Rendezvous hashing gives each node its own part, so
that the calls of all nodes are spread evenly, and few connections move when an
upstream joins or leaves.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from waxwingsaddle.upstream_keys import Upstream, UpstreamKey, key_of
from waxwingsaddle.util.rendezvous import hash_of, mix_hashes

# Size of the part in the availability zone of the node, and in all others.
# Smaller ones spread the calls less evenly.
LOCAL_SIZE = 12
REMOTE_SIZE = 8
_SAMPLE_SIZE = 2


class Aperture:
    """Selects the upstreams that a node prefers.

    Args:
        host: Name of the host of the node.
    """

    def __init__(self, host: str) -> None:
        self._host_hash = hash_of(host)
        self._keys: frozenset[UpstreamKey] = frozenset()

    def update(
        self, local: Iterable[Upstream], remote: Iterable[Upstream]
    ) -> None:
        """Selects among the upstreams of a service.

        Args:
            local: Upstreams in the availability zone of the node.
            remote: All other upstreams.
        """
        self._keys = frozenset(
            map(
                key_of,
                (
                    *self._nearest(local, LOCAL_SIZE),
                    *self._nearest(remote, REMOTE_SIZE),
                ),
            ),
        )

    def split(
        self, entries: Iterable[Upstream]
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Returns the preferred ones of some upstreams, and the others."""
        preferred: list[Upstream] = []
        others: list[Upstream] = []
        for entry in entries:
            is_preferred = key_of(entry) in self._keys
            (preferred if is_preferred else others).append(entry)
        return preferred, others

    def _nearest(
        self, entries: Iterable[Upstream], size: int
    ) -> list[Upstream]:
        return sorted(entries, key=self._rank)[:size]

    def _rank(self, entry: Upstream) -> tuple[int, UpstreamKey]:
        key = key_of(entry)
        return mix_hashes(hash_of('/'.join(key)), self._host_hash), key


def sample(
    entries: Sequence[Upstream],
    ramp: Callable[[Upstream], float],
    rng: random.Random,
    size: int = _SAMPLE_SIZE,
) -> list[Upstream]:
    """Returns some random upstreams; cold ones are sampled less often.

    Args:
        entries: Upstreams to choose from.
        ramp: Returns the share of calls that an upstream gets, 0 to 1, while
            it is cold.
        rng: Random number generator.
        size: Number of upstreams to return, if there are as many.
    """
    warm = [entry for entry in entries if rng.random() < ramp(entry)]
    candidates = warm or entries
    return rng.sample(candidates, min(size, len(candidates)))
