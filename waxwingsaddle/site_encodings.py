"""Encoded configuration of each site, shared by all nodes of the site."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain

import msgspec

from waxwingsaddle import patch
from waxwingsaddle.config_models import SiteDocument
from waxwingsaddle.node_messages import (
    SHORT_DIGEST,
    ConfigDelta,
    ConfigStep,
    ConfigWhole,
)
from waxwingsaddle.util.codec import Tree, canonical, compress, digest, pack


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Frames of one message.

    Attributes:
        kind: Name of the message, for counting.
        frames: The frames, without routing id.
    """

    kind: str
    frames: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class _Step:
    base_version: int
    base_digest: str
    step: ConfigStep


@dataclass(slots=True)
class SiteEncodings:
    """Deltas and the whole configuration of one site.

    Attributes:
        site: Name of the site.
        steps_kept: Changes kept for nodes that are behind.
        version: Newest version.
        digest: Digest of the newest tree.
        services: Services that the routes of the site reach.
        tree: Newest tree.
        stamp: Hybrid logical time after the newest version was accepted.
    """

    site: str
    steps_kept: int
    version: int = 0
    digest: str = ''
    services: frozenset[str] = frozenset()
    tree: Tree = field(default_factory=dict)
    stamp: tuple[int, int] = (0, 0)
    _steps: deque[_Step] = field(default_factory=deque)
    _whole: EncodedMessage | None = None
    _deltas: dict[tuple[int, str], EncodedMessage | None] = field(
        default_factory=dict,
    )

    def accept(
        self,
        version: int,
        tree: Tree,
        stamp: tuple[int, int] = (0, 0),
    ) -> None:
        """Takes over a newer version of the site."""
        if version <= self.version:
            return
        if self.version:
            self._remember(version, tree)
        self.version = version
        self.digest = digest(tree)
        self.tree = tree
        self.stamp = stamp
        document = msgspec.convert(tree, SiteDocument)
        self.services = frozenset(
            chain.from_iterable(
                route.services for route in document.routes.values()
            ),
        )
        self._whole = None
        self._deltas.clear()

    def message_for(self, version: int, known_digest: str) -> EncodedMessage:
        """Returns the shortest message that brings a node up to date.

        Args:
            version: Version in force on the node; 0 when it has none.
            known_digest: Digest of that version, first characters at least.
        """
        key = (version, known_digest[:SHORT_DIGEST])
        if key not in self._deltas:
            self._deltas[key] = self._delta(*key)
        return self._deltas[key] or self.whole()

    def digest_of(self, version: int) -> str:
        """Returns the first characters of the digest of a recent version."""
        if version == self.version:
            return self.digest[:SHORT_DIGEST]
        return next(
            (
                step.base_digest
                for step in reversed(self._steps)
                if step.base_version == version
            ),
            '',
        )

    def whole(self) -> EncodedMessage:
        """Returns the compressed whole configuration."""
        if self._whole is None:
            header = ConfigWhole(
                self.site,
                self.version,
                self.digest,
                self.stamp,
            )
            self._whole = EncodedMessage(
                'ConfigWhole',
                (pack(header), compress(canonical(self.tree))),
            )
        return self._whole

    def _remember(self, version: int, tree: Tree) -> None:
        operations = patch.difference(self.tree, tree)
        step = ConfigStep(version, operations)
        self._steps.append(
            _Step(self.version, self.digest[:SHORT_DIGEST], step),
        )
        if len(self._steps) > self.steps_kept:
            self._steps.popleft()

    def _delta(self, version: int, known_digest: str) -> EncodedMessage | None:
        steps = [step for step in self._steps if step.base_version >= version]
        if not steps or steps[0].base_version != version:
            return None
        if steps[0].base_digest != known_digest:
            return None
        delta = ConfigDelta(
            base_version=version,
            base_digest=known_digest,
            digest=self.digest,
            steps=tuple(step.step for step in steps),
            stamp=self.stamp,
        )
        packed = pack(delta)
        if len(steps) > 1 and len(packed) > sum(map(len, self.whole().frames)):
            return None
        return EncodedMessage('ConfigDelta', (packed,))


class SiteCatalogue:
    """Encodings of all sites of the accepted configuration."""

    def __init__(self, steps_kept: int) -> None:
        self._steps_kept = steps_kept
        self._sites: dict[str, SiteEncodings] = {}
        self.version = 0

    def accept(
        self,
        version: int,
        sites: Mapping[str, Tree],
        stamp: tuple[int, int] = (0, 0),
    ) -> None:
        """Takes over a newer accepted version.

        Args:
            version: The version.
            sites: Tree of each site.
            stamp: Hybrid logical time after it was accepted.
        """
        if version <= self.version:
            return
        self.version = version
        for site, tree in sites.items():
            if site not in self._sites:
                self._sites[site] = SiteEncodings(site, self._steps_kept)
            self._sites[site].accept(version, tree, stamp)
        for removed in self._sites.keys() - sites.keys():
            self._sites.pop(removed)

    def services(self) -> dict[str, frozenset[str]]:
        """Returns the services that each site reaches."""
        return {name: site.services for name, site in self._sites.items()}

    def find(self, site: str) -> SiteEncodings | None:
        """Returns the encodings of a site; absent before the first edit."""
        return self._sites.get(site)
