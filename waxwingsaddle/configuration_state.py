"""Configuration that a node holds: application of deltas and wholes."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from waxwingsaddle import config, patch
from waxwingsaddle.node_messages import (
    MAX_WHOLE_BYTES,
    SHORT_DIGEST,
    ConfigDelta,
)
from waxwingsaddle.util.codec import Tree, decompress


class Applied(Enum):
    """What became of a received configuration."""

    IN_FORCE = 'in-force'
    OLD = 'old'
    MISFIT = 'misfit'


@dataclass(slots=True)
class HeldConfiguration:
    """The newest configuration a node has; replaced as a whole, only upwards.

    Attributes:
        site: Site of the node.
        snapshot: The configuration; absent until the first whole.
    """

    site: str
    snapshot: config.SiteSnapshot | None = None

    @property
    def version(self) -> int:
        """Version held; 0 when there is none."""
        return self.snapshot.version if self.snapshot else 0

    @property
    def short_digest(self) -> str:
        """First characters of the digest held."""
        return self.snapshot.digest[:SHORT_DIGEST] if self.snapshot else ''

    def apply_delta(self, delta: ConfigDelta) -> Applied:
        """Applies a delta in full or not at all."""
        version = delta.steps[-1].version if delta.steps else 0
        if version <= self.version:
            return Applied.OLD
        if self.snapshot is None or delta.base_version > self.version:
            return Applied.MISFIT
        is_direct = delta.base_version == self.version
        if is_direct and delta.base_digest != self.short_digest:
            return Applied.MISFIT
        try:
            tree = self._patched(self.snapshot, delta)
        except patch.PatchError:
            return Applied.MISFIT
        return self._replace(version, delta.digest, tree)

    def apply_whole(self, version: int, digest: str, raw: bytes) -> Applied:
        """Replaces the configuration by a compressed whole.

        Args:
            version: Version of the tree.
            digest: Digest of the tree.
            raw: Compressed canonical encoding of the tree.
        """
        if version <= self.version:
            return Applied.OLD
        try:
            tree = msgspec.msgpack.decode(
                decompress(raw, MAX_WHOLE_BYTES),
                type=Tree,
            )
        except (ValueError, msgspec.DecodeError):
            return Applied.MISFIT
        return self._replace(version, digest, tree)

    def _patched(self, held: config.SiteSnapshot, delta: ConfigDelta) -> Tree:
        # A delta sent before the last acknowledgement arrived begins with
        # steps that are already in force.
        tree = held.tree
        for step in delta.steps:
            if step.version > held.version:
                tree = patch.apply(tree, step.operations)
        return tree

    def _replace(self, version: int, digest: str, tree: Tree) -> Applied:
        checked = config.snapshot(self.site, version, tree)
        if isinstance(checked, config.Refused) or checked.digest != digest:
            return Applied.MISFIT
        self.snapshot = checked
        return Applied.IN_FORCE
