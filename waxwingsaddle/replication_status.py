"""State of the replicated log, as one control host sees it."""

import msgspec


class ReplicationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of the replicated log as seen by one control host.

    Attributes:
        host: Name of the host.
        identity: Identity of its replica.
        is_leader: Whether it is the leader and can write.
        leader: Name of the host that leads, None if unknown.
        term: The highest term seen.
        committed_index: Index of the last entry known to be committed.
        version: Newest accepted version known to this host.
        digest: Digest of that version.
        majority_age_ms: Milliseconds since the last proven contact with a
            majority.
        problem: Why the replica is suspended, None if it is not.
    """

    host: str
    identity: str
    is_leader: bool
    leader: str | None
    term: int
    committed_index: int
    version: int
    digest: str
    majority_age_ms: float
    problem: str | None
