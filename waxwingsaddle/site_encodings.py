"""Encoded configuration messages, shared by all nodes of a site."""

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
from waxwingsaddle.util.codec import (
    Tree,
    compress,
    digest,
    encode_canonical,
    pack,
)


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Encoded frames of a message.

    Attributes:
        kind: Class name of the message, used as a label of byte counters.
        frames: The frames, without the routing id.
    """

    kind: str
    frames: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class _Step:
    """A change and the version that it applies to.

    Attributes:
        base_version: Version before the change.
        base_digest: First characters of the digest of that version.
        step: The change.
    """

    base_version: int
    base_digest: str
    step: ConfigStep


@dataclass(slots=True)
class SiteEncodings:
    """Deltas and the full configuration of a site.

    Attributes:
        site: Name of the site.
        steps_kept: Number of changes kept for nodes that are behind.
        version: Newest version.
        digest: Digest of the newest configuration tree.
        services: Services that the routes of the site lead to.
        tree: Newest configuration tree.
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
    _full_message: EncodedMessage | None = None
    _deltas: dict[tuple[int, str], EncodedMessage | None] = field(
        default_factory=dict,
    )

    def accept(
        self,
        version: int,
        tree: Tree,
        stamp: tuple[int, int] = (0, 0),
    ) -> None:
        """Sets a newer version of the site; ignores an older one.

        Args:
            version: The version.
            tree: Configuration tree of the site.
            stamp: Hybrid logical time after the version was accepted.
        """
        if version <= self.version:
            return
        if self.version:
            self._append_step(version, tree)
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
        self._full_message = None
        self._deltas.clear()

    def message_for(self, version: int, node_digest: str) -> EncodedMessage:
        """Returns a message that updates a node to the newest version.

        It is a delta if all changes since the version of the node are kept,
        unless several changes are together longer than the full configuration.

        Args:
            version: Version in force on the node; 0 when it has none.
            node_digest: Digest of that version, or its first characters.
        """
        key = (version, node_digest[:SHORT_DIGEST])
        if key not in self._deltas:
            self._deltas[key] = self._delta(*key)
        return self._deltas[key] or self.full_message()

    def digest_of(self, version: int) -> str:
        """Returns the short digest of a recent version; empty if unknown."""
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

    def full_message(self) -> EncodedMessage:
        """Returns the message with the compressed full configuration."""
        if self._full_message is None:
            header = ConfigWhole(
                self.site,
                self.version,
                self.digest,
                self.stamp,
            )
            self._full_message = EncodedMessage(
                'ConfigWhole',
                (pack(header), compress(encode_canonical(self.tree))),
            )
        return self._full_message

    def _append_step(self, version: int, tree: Tree) -> None:
        operations = patch.difference(self.tree, tree)
        step = ConfigStep(version, operations)
        self._steps.append(
            _Step(self.version, self.digest[:SHORT_DIGEST], step),
        )
        if len(self._steps) > self.steps_kept:
            self._steps.popleft()

    def _delta(self, version: int, node_digest: str) -> EncodedMessage | None:
        steps = [step for step in self._steps if step.base_version >= version]
        if not steps or steps[0].base_version != version:
            return None
        if steps[0].base_digest != node_digest:
            return None
        delta = ConfigDelta(
            base_version=version,
            base_digest=node_digest,
            digest=self.digest,
            steps=tuple(step.step for step in steps),
            stamp=self.stamp,
        )
        packed = pack(delta)
        if len(steps) > 1 and len(packed) > sum(
            map(len, self.full_message().frames)
        ):
            return None
        return EncodedMessage('ConfigDelta', (packed,))


class SiteCatalogue:
    """Encodings of all sites of the accepted configuration.

    Args:
        steps_kept: Number of changes kept for each site.
    """

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
        """Sets a newer accepted version; ignores an older one.

        Args:
            version: The version.
            sites: Configuration tree of each site.
            stamp: Hybrid logical time after the version was accepted.
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
        """Returns the services that the routes of each site lead to."""
        return {name: site.services for name, site in self._sites.items()}

    def find(self, site: str) -> SiteEncodings | None:
        """Returns the encodings of a site; none if it has no configuration."""
        return self._sites.get(site)
