"""Models of the administration API about the fleet."""

import msgspec


class NodeVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration version that one node has in force.

    Attributes:
        host: Unique name of the host.
        availability_zone: Its availability zone.
        site: Site whose configuration it uses.
        control_host: Control host that holds its lease.
        version: Version in force; 0 if there is none yet.
        age_ms: Time since the last contact with the node, in milliseconds.
    """

    host: str
    availability_zone: str
    site: str
    control_host: str
    version: int
    age_ms: int


class ReplicationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the replicated log on one control host.

    Attributes:
        identity: Identity of its replica.
        is_leader: Whether it is the leader and can write.
        leader: Host name of the leader; none if unknown.
        term: Newest term seen.
        version: Newest accepted version that this host knows.
        problem: Why the replica is suspended; none if it is not.
    """

    identity: str
    is_leader: bool
    leader: str | None
    term: int
    version: int
    problem: str | None


class VersionCount(msgspec.Struct, frozen=True, kw_only=True):
    """Number of nodes that have a version in force."""

    version: int
    nodes: int


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of the fleet, as the answering control host knows it.

    Attributes:
        host: The control host that answers.
        version: The accepted version.
        digest: Its digest.
        majority_age_ms: Time since the last proven contact with a majority;
            above 2 s, the answer may be out of date.
        node_count: Number of known nodes.
        in_force: Number of nodes with the accepted version in force.
        versions: Number of nodes for each version, newest first.
        lagging: Nodes behind the accepted version.
        missing_hosts: Control hosts that did not answer, so that their nodes
            may be missing.
        nodes: All known nodes, if requested.
        replication: State of the log on the answering host.
    """

    host: str
    version: int
    digest: str
    majority_age_ms: float
    node_count: int
    in_force: int
    versions: tuple[VersionCount, ...]
    lagging: tuple[NodeVersion, ...]
    missing_hosts: tuple[str, ...] = ()
    nodes: tuple[NodeVersion, ...] = ()
    replication: ReplicationStatus | None = None


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream in the directory."""

    name: str
    service: str
    host: str
    availability_zone: str
    call_address: str
    slots: int
    state: str
    started_ms_ago: int


class Upstreams(msgspec.Struct, frozen=True, kw_only=True):
    """Upstreams known to the answering control host."""

    upstreams: tuple[Upstream, ...]
