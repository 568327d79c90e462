"""Configuration of a node, updated by deltas and full configurations."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from waxwingsaddle import config, patch
from waxwingsaddle.node_messages import (
    MAX_WHOLE_BYTES,
    SHORT_DIGEST,
    ConfigDelta,
)
from waxwingsaddle.util.codec import Tree, decompress, msgpack_decoder

_decode_tree = msgpack_decoder(Tree)


class ApplyOutcome(Enum):
    """Outcome of applying a received configuration.

    Attributes:
        IN_FORCE: It replaced the previous configuration.
        OLD: It is not newer than the current configuration.
        MISFIT: It does not fit the current configuration or is damaged;
            nothing was changed.
    """

    IN_FORCE = 'in-force'
    OLD = 'old'
    MISFIT = 'misfit'


@dataclass(slots=True)
class ConfigurationState:
    """The newest configuration a node has received.

    Each update replaces the full configuration or changes nothing, and the
    version never decreases.

    Attributes:
        site: Site of the node.
        snapshot: The current configuration; none until the first full one.
    """

    site: str
    snapshot: config.SiteSnapshot | None = None

    @property
    def version(self) -> int:
        """Current version; 0 without a configuration."""
        return self.snapshot.version if self.snapshot else 0

    @property
    def short_digest(self) -> str:
        """First `SHORT_DIGEST` characters of the current digest."""
        return self.snapshot.digest[:SHORT_DIGEST] if self.snapshot else ''

    def apply_delta(self, delta: ConfigDelta) -> ApplyOutcome:
        """Applies all steps of a delta, or none of them."""
        version = delta.steps[-1].version if delta.steps else 0
        if version <= self.version:
            return ApplyOutcome.OLD
        if self.snapshot is None or delta.base_version > self.version:
            return ApplyOutcome.MISFIT
        is_direct = delta.base_version == self.version
        if is_direct and delta.base_digest != self.short_digest:
            return ApplyOutcome.MISFIT
        try:
            tree = self._apply_steps(self.snapshot, delta)
        except patch.PatchError:
            return ApplyOutcome.MISFIT
        return self._replace(version, delta.digest, tree)

    def apply_full(self, version: int, digest: str, raw: bytes) -> ApplyOutcome:
        """Replaces the configuration by a full one.

        Args:
            version: Version of the configuration tree.
            digest: Expected digest of the tree.
            raw: Compressed canonical encoding of the tree.
        """
        if version <= self.version:
            return ApplyOutcome.OLD
        try:
            tree = _decode_tree(decompress(raw, MAX_WHOLE_BYTES))
        except (ValueError, msgspec.DecodeError):
            return ApplyOutcome.MISFIT
        return self._replace(version, digest, tree)

    def _apply_steps(
        self, base: config.SiteSnapshot, delta: ConfigDelta
    ) -> Tree:
        # A delta that was sent before the last acknowledgement arrived starts
        # with steps that are already applied.
        tree = base.tree
        for step in delta.steps:
            if step.version > base.version:
                tree = patch.apply(tree, step.operations)
        return tree

    def _replace(self, version: int, digest: str, tree: Tree) -> ApplyOutcome:
        candidate = config.snapshot(self.site, version, tree)
        if isinstance(candidate, config.Refused) or candidate.digest != digest:
            return ApplyOutcome.MISFIT
        self.snapshot = candidate
        return ApplyOutcome.IN_FORCE
