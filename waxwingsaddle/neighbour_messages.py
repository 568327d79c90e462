"""Messages between neighbouring nodes; they share `FloorQuery` with others."""

import msgspec


class WholeQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='whole-query'
):
    """A node requests the full configuration of a neighbour.

    Attributes:
        site: Site of the requesting node.
    """

    site: str


class WholeReply(
    msgspec.Struct, frozen=True, array_like=True, tag='whole-reply'
):
    """Full configuration of a neighbour.

    Attributes:
        version: Version of the tree; 0 if the neighbour has none for the site.
        digest: Digest of the tree.
        tree: Compressed canonical encoding of the tree.
    """

    version: int
    digest: str
    tree: bytes
