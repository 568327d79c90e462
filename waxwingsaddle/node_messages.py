"""Messages between nodes and control hosts.

Each message is encoded with msgpack in the first frame of a zmq message. Some
messages have a second frame of raw bytes; their docstrings describe it.
"""

import msgspec

from waxwingsaddle.departures import Departures, DeparturesKept
from waxwingsaddle.directory import NodeRecord, UpstreamRecord
from waxwingsaddle.event_batches import EventBatch
from waxwingsaddle.odd_entries import decode_nodes, upstreams_decoder
from waxwingsaddle.patch import Operation
from waxwingsaddle.quota_messages import QuotaGrant, QuotaReport
from waxwingsaddle.rollout_messages import RolloutReport
from waxwingsaddle.util.codec import decompress, msgpack_decoder
from waxwingsaddle.util.numbers import Count

# Largest full configuration or directory, also after decompression.
MAX_WHOLE_BYTES = 16_777_216


class Hello(msgspec.Struct, frozen=True, array_like=True, tag='hello'):
    """A node requests a lease.

    Attributes:
        host: Unique name of the host of the node.
        availability_zone: Availability zone of the node.
        site: Site whose configuration the node uses.
        call_address: Address for messages of other nodes.
        incarnation: Increases with each start of the node.
        sequence: Increases with each change of the node's directory entry and
            each `Hello`.
        version: Version of the node's configuration; 0 if it has none.
        digest: First characters of the digest of that configuration.
        upstreams: Announced upstreams, with ages.
        departures: Upstreams that drain or have left, with ages.
    """

    host: str
    availability_zone: str
    site: str
    call_address: str
    incarnation: Count
    sequence: Count
    version: Count
    digest: str
    upstreams: tuple[UpstreamRecord, ...] = ()
    departures: Departures = ()


class Renew(msgspec.Struct, frozen=True, array_like=True, tag='renew'):
    """A node renews its lease.

    Attributes:
        sequence: Sequence number of the directory entry of the node.
        version: Version of the node's configuration; 0 if it has none.
        digest: First characters of the digest of that configuration.
        revision: Revision of the directory that the node has from this control
            host; -1 requests the full directory.
        is_full_requested: Whether the node needs the full configuration
            because an update did not fit.
        upstreams: Announced upstreams; none if they have not changed since a
            control host confirmed them.
        events: Events that no control host has confirmed, if any.
        departures: Upstreams that drain or have left, with ages; sent together
            with `upstreams`.
        stamp_ms: Time of the message on the clock of the node; 0 from earlier
            versions.
    """

    sequence: Count
    version: Count
    digest: str
    revision: int
    is_full_requested: bool = False
    upstreams: tuple[UpstreamRecord, ...] | None = None
    events: EventBatch | None = None
    departures: Departures = ()
    stamp_ms: Count = 0


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

    incarnation: Count


class FloorQuery(
    msgspec.Struct, frozen=True, array_like=True, tag='floor-query'
):
    """A node queries the version of a control host or a neighbour.

    Attributes:
        site: Site of the querying node.
    """

    site: str


class KnownControl(msgspec.Struct, frozen=True, array_like=True):
    """Entry of a control host in a reply to a node.

    Attributes:
        host: Unique name of the host.
        availability_zone: Availability zone; empty or `unknown` if not known.
        node_address: Address at which the host serves nodes.
    """

    host: str
    availability_zone: str
    node_address: str


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag='welcome'):
    """A control host grants a new lease.

    Attributes:
        ttl_ms: Lifetime of the lease without renewal, in milliseconds.
        majority_age_ms: Milliseconds since confirmed contact with a majority.
        version: Newest accepted version.
        known_incarnation: Highest known incarnation of the node. If it is
            above that of the node, the lease is not granted and the node
            retries with a higher one.
        departures: Upstreams of the node that drain or have left, also those
            of its earlier incarnations, with ages.
        are_departures_kept: Whether these are all and are stored; otherwise
            `DeparturesKept` follows.
    """

    ttl_ms: int
    majority_age_ms: int
    version: int
    known_incarnation: int
    departures: Departures = ()
    # True from earlier versions, which send no `DeparturesKept`.
    are_departures_kept: bool = True


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag='granted'):
    """A control host answers a renewal, or reports its own isolation.

    Attributes:
        ttl_ms: Lifetime of the lease without renewal, in milliseconds.
        majority_age_ms: Milliseconds since confirmed contact with a majority.
        version: Newest accepted version.
        has_lease: Whether the node has a lease; otherwise it needs a new one.
        events_known: Number of events of the node that the host knows.
        sequence: Sequence number of the directory entry of the node that the
            control hosts have, with its departures in the replicated log; 0 if
            not told, -1 from earlier versions.
        stamp_ms: That of the renewal; 0 if this answers none.
    """

    ttl_ms: int
    majority_age_ms: int
    version: int
    has_lease: bool = True
    events_known: int = 0
    sequence: int = -1
    stamp_ms: int = 0


class ConfigStep(msgspec.Struct, frozen=True, array_like=True):
    """Change from one version of a site to the next.

    Attributes:
        version: Resulting version.
        operations: Changes of the configuration tree.
    """

    version: int
    operations: tuple[Operation, ...] = ()


class ConfigDelta(msgspec.Struct, frozen=True, array_like=True, tag='delta'):
    """Changes of the configuration of a site.

    Attributes:
        base_version: Version that the first step applies to.
        base_digest: First characters of the digest of that version.
        digest: Digest of the resulting configuration tree.
        steps: Changes in order; the last one has the resulting version.
        stamp: Hybrid logical time after the version was accepted.
    """

    base_version: int
    base_digest: str
    digest: str
    steps: tuple[ConfigStep, ...]
    stamp: tuple[int, int] = (0, 0)


class ConfigWhole(msgspec.Struct, frozen=True, array_like=True, tag='whole'):
    """Full configuration of a site; the second frame is the compressed tree.

    Attributes:
        site: Name of the site.
        version: Version of the configuration tree.
        digest: Digest of the configuration tree.
        stamp: Hybrid logical time after the version was accepted.
    """

    site: str
    version: int
    digest: str
    stamp: tuple[int, int] = (0, 0)


class DirectoryUpdate(
    msgspec.Struct, frozen=True, array_like=True, tag='directory'
):
    """Directory entries, which are in the second frame.

    Attributes:
        base_revision: Revision that the entries follow; -1 for the full
            directory.
        revision: Resulting revision.
        is_complete: Whether the full directory lists all entries, so that the
            node drops those that it does not list.
        is_compressed: Whether the second frame is compressed.
    """

    base_revision: int
    revision: int
    is_complete: bool
    is_compressed: bool

    def records(self, raw: bytes) -> tuple[NodeRecord, ...]:
        """Decodes the entries in the second frame.

        Raises:
            ValueError: The frame is damaged or too large.
        """
        if self.is_compressed:
            raw = decompress(raw, MAX_WHOLE_BYTES)
        return decode_nodes(raw)


class Busy(msgspec.Struct, frozen=True, array_like=True, tag='busy'):
    """A control host refuses a lease to limit the rate of new leases.

    Attributes:
        retry_after_ms: Milliseconds to wait before the next `Hello`.
    """

    retry_after_ms: int


class FloorReply(msgspec.Struct, frozen=True, array_like=True, tag='floor'):
    """Version of a control host or a neighbour.

    Attributes:
        version: Newest accepted version of a control host, or the version in
            force on a neighbour; 0 if a neighbour has none for the site.
        majority_age_ms: Milliseconds since confirmed contact with a majority;
            -1 from a neighbour.
        controls: Known control hosts, sender first; empty from a neighbour.
    """

    version: int
    majority_age_ms: int = -1
    controls: tuple[KnownControl, ...] = ()


FromNode = (
    Hello | Renew | InForce | Leave | FloorQuery | QuotaReport | RolloutReport
)
FromControl = (
    Welcome
    | DeparturesKept
    | LeaseGranted
    | ConfigDelta
    | ConfigWhole
    | DirectoryUpdate
    | Busy
    | FloorReply
    | QuotaGrant
)

# Characters of a digest in frequent messages; the cut saves 48 bytes. A wrong
# match is detected by the full digest of the resulting tree.
SHORT_DIGEST = 16

decode_from_node = upstreams_decoder(FromNode, (Hello, Renew))
decode_from_control = msgpack_decoder(FromControl)
