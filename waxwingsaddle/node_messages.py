"""Messages between nodes and control hosts.

Each message is the first frame of a zmq message, as msgpack; a second frame
holds raw bytes where the message says so.
"""

import msgspec

from waxwingsaddle.directory import NodeRecord, UpstreamRecord
from waxwingsaddle.event_batches import EventBatch
from waxwingsaddle.patch import Operation
from waxwingsaddle.util.codec import decompress

MAX_WHOLE_BYTES = 16_777_216


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hello'):
    """A node asks for a lease.

    Attributes:
        host: Unique name of the host of the node.
        availability_zone: Its availability zone.
        site: Site whose configuration it carries.
        call_address: Where it takes messages from other nodes.
        incarnation: Rises with each start of the node.
        sequence: Rises with each change of its entry and each `Hello`.
        version: Version in force; 0 when it has none.
        digest: Digest of the configuration in force.
        upstreams: Announced upstreams, with ages.
    """

    host: str
    availability_zone: str
    site: str
    call_address: str
    incarnation: int
    sequence: int
    version: int
    digest: str
    upstreams: tuple[UpstreamRecord, ...] = ()


class Renew(msgspec.Struct, frozen=True, array_like=True, tag='renew'):
    """A node renews its lease.

    Attributes:
        sequence: Sequence of its entry.
        version: Version in force.
        digest: First characters of the digest in force.
        revision: Revision of the directory it has from this control host; -1
            asks for the whole directory.
        is_whole_wanted: Whether a delta did not fit and the whole
            configuration is needed.
        upstreams: Announced upstreams when they changed.
        events: Events that no control host has confirmed.
    """

    sequence: int
    version: int
    digest: str
    revision: int
    is_whole_wanted: bool = False
    upstreams: tuple[UpstreamRecord, ...] | None = None
    events: EventBatch | None = None


class InForce(msgspec.Struct, frozen=True, array_like=True, tag='in-force'):
    """A node acknowledges a version.

    Attributes:
        version: Version in force.
    """

    version: int


class Leave(msgspec.Struct, frozen=True, array_like=True, tag='leave'):
    """A node stops and gives up its lease.

    Attributes:
        incarnation: Incarnation of the node.
    """

    incarnation: int


class FloorQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='floor-query'
):
    """A node asks a control host or a neighbour for its version.

    Attributes:
        site: Site of the node that asks.
    """

    site: str


class KnownControl(msgspec.Struct, frozen=True, array_like=True):
    """A control host, as another one knows it.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone; empty when not known.
        node_address: Where it serves nodes.
    """

    host: str
    availability_zone: str
    node_address: str


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag='welcome'):
    """A control host grants a new lease.

    Attributes:
        ttl_ms: Time until the lease ends without renewal, in milliseconds.
        majority_age_ms: Time since the last proof of contact with a majority.
        version: Accepted version.
        known_incarnation: Highest incarnation known of the node; when it is
            above that of the node, the lease is not granted and the node
            starts again from a higher one.
    """

    ttl_ms: int
    majority_age_ms: int
    version: int
    known_incarnation: int


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag='granted'):
    """A control host renews a lease, or tells of its own isolation.

    Attributes:
        ttl_ms: Time until the lease ends without renewal, in milliseconds.
        majority_age_ms: Time since the last proof of contact with a majority.
        version: Accepted version.
        is_known: Whether there is a lease; otherwise the node says `Hello`.
        events_known: How many events of the node this host knows.
    """

    ttl_ms: int
    majority_age_ms: int
    version: int
    is_known: bool = True
    events_known: int = 0


class ConfigStep(msgspec.Struct, frozen=True, array_like=True):
    """Change from one version of a site to the next.

    Attributes:
        version: Resulting version.
        operations: Changes of the tree.
    """

    version: int
    operations: tuple[Operation, ...] = ()


class ConfigDelta(msgspec.Struct, frozen=True, array_like=True, tag='delta'):
    """Changes of the configuration of a site.

    Attributes:
        base_version: Version the steps start from.
        base_digest: First characters of the digest of the base.
        digest: Digest of the result.
        steps: Changes in order; the last one gives the resulting version.
        stamp: Hybrid logical time after the version was accepted.
    """

    base_version: int
    base_digest: str
    digest: str
    steps: tuple[ConfigStep, ...]
    stamp: tuple[int, int] = (0, 0)


class ConfigWhole(msgspec.Struct, frozen=True, array_like=True, tag='whole'):
    """The configuration of a site; the second frame has the compressed tree.

    Attributes:
        site: Name of the site.
        version: Version of the tree.
        digest: Digest of the tree.
        stamp: Hybrid logical time after the version was accepted.
    """

    site: str
    version: int
    digest: str
    stamp: tuple[int, int] = (0, 0)


class DirectoryUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='directory'
):
    """Directory entries; the second frame has them, compressed or not.

    Attributes:
        base_revision: Revision the entries continue from; -1 for a whole.
        revision: Resulting revision.
        is_complete: Whether a whole lists all entries, so that others end.
        is_compressed: Whether the second frame is compressed.
    """

    base_revision: int
    revision: int
    is_complete: bool
    is_compressed: bool

    def records(self, raw: bytes) -> tuple[NodeRecord, ...]:
        """Decodes the second frame.

        Raises:
            ValueError: The frame is damaged or too large.
        """
        if self.is_compressed:
            raw = decompress(raw, MAX_WHOLE_BYTES)
        return _decode_records(raw)


class Busy(msgspec.Struct, frozen=True, array_like=True, tag='busy'):
    """A control host admits no new lease now.

    Attributes:
        retry_after_ms: Wait before the next `Hello`, in milliseconds.
    """

    retry_after_ms: int


class FloorReply(msgspec.Struct, frozen=True, array_like=True, tag='floor'):
    """Version known to a control host or a neighbour.

    Attributes:
        version: Accepted version, or the one in force on a neighbour.
        majority_age_ms: Time since the last proof of contact with a majority;
            -1 from a neighbour.
        controls: Control hosts that it knows, itself first.
    """

    version: int
    majority_age_ms: int = -1
    controls: tuple[KnownControl, ...] = ()


class WholeQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='whole-query'
):
    """A node asks a neighbour for the whole configuration.

    Attributes:
        site: Site of the node that asks.
    """

    site: str


class WholeReply(
    msgspec.Struct, frozen=True, array_like=True, tag='whole-reply'
):
    """The whole configuration of a neighbour.

    Attributes:
        version: Version of the tree; 0 when the neighbour has none.
        digest: Digest of the tree.
        tree: Compressed canonical encoding of the tree.
    """

    version: int
    digest: str
    tree: bytes


FromNode = Hello | Renew | InForce | Leave | FloorQuery
FromControl = (
    Welcome
    | LeaseGranted
    | ConfigDelta
    | ConfigWhole
    | DirectoryUpdate
    | Busy
    | FloorReply
)

# A short digest in frequent messages saves 48 bytes; a wrong match is caught
# by the full digest of the result.
SHORT_DIGEST = 16

decode_from_node = msgspec.msgpack.Decoder(FromNode).decode
decode_from_control = msgspec.msgpack.Decoder(FromControl).decode
_decode_records = msgspec.msgpack.Decoder(tuple[NodeRecord, ...]).decode
