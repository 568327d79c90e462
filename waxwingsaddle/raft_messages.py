"""Data types of the Raft protocol: members, entries, snapshots, messages.

The protocol is Raft (Ongaro, "Consensus: Bridging Theory and Practice",
2014) with pre-vote, check-quorum, learners and single-step membership change.
"""

from collections.abc import Iterator

import msgspec

from waxwingsaddle.util.numbers import Count


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """A replica of the log.

    Attributes:
        identity: Created together with the data folder. A host whose data is
            lost gets a new identity and never uses the old one again.
        host: Name of its control host.
        peer_address: Address at which that host receives messages from other
            control hosts.
        availability_zone: Its availability zone; empty if unknown, as in
            entries of earlier versions.
    """

    identity: str
    host: str
    peer_address: str = ''
    availability_zone: str = ''


class Members(msgspec.Struct, frozen=True, array_like=True, tag='members'):
    """The replicas of the log; also the payload of a log entry.

    Attributes:
        voters: Replicas that count for majorities.
        learners: Replicas that receive the log but do not vote.
        removed: Identities of former members. They can only be added again
            by an operator. Absent in entries of earlier versions.
    """

    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()
    removed: tuple[str, ...] = ()

    def __iter__(self) -> Iterator[Replica]:
        yield from self.voters
        yield from self.learners

    def find(self, identity: str) -> Replica | None:
        """Returns the member with an identity, None if there is none."""
        return next(
            (member for member in self if member.identity == identity),
            None,
        )

    def is_voter(self, identity: str) -> bool:
        """Returns whether an identity counts for majorities."""
        return any(voter.identity == identity for voter in self.voters)


class Noop(msgspec.Struct, frozen=True, array_like=True, tag='noop'):
    """First entry of a new leader; commits the entries of earlier terms."""


class Command(msgspec.Struct, frozen=True, array_like=True, tag='command'):
    """A command for the state machine.

    Attributes:
        body: The encoded command.
    """

    body: bytes


Payload = Noop | Members | Command


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry; its index and term identify it and all entries before."""

    index: Count
    term: Count
    payload: Payload

    @property
    def size_bytes(self) -> int:
        """Approximate encoded size in bytes; 0 unless it is a command."""
        body = getattr(self.payload, 'body', b'')
        return len(body)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after the entry at `index`.

    Attributes:
        index: Index of the last entry it covers; 0 for the empty state.
        term: Term of that entry.
        members: Members that are valid at that entry.
        body: The encoded state.
    """

    index: Count = 0
    term: Count = 0
    members: Members = Members()
    body: bytes = b''


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote of a replica; must be durable before it replies.

    Attributes:
        term: The highest term it has seen.
        voted_for: Identity it voted for in that term, None for no vote.
    """

    term: Count = 0
    voted_for: str | None = None


class Pulse(msgspec.Struct, frozen=True, array_like=True):
    """Timestamps in the messages of a leader.

    They bound ages without synchronized clocks: a delayed message carries
    old timestamps and therefore proves only an old contact.

    Attributes:
        stamp_s: Leader's time when it sent the message.
        echo_s: Newest timestamp that the leader received from the addressed
            replica, by that replica's clock; None before any.
        majority_age_s: Seconds since the leader's last contact with a
            majority.
    """

    stamp_s: float
    echo_s: float | None
    majority_age_s: float


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Base of all messages.

    Attributes:
        source: Identity of the sender.
        target: Identity of the receiver; other identities drop the message.
        term: Term of the sender.
    """

    source: str
    target: str
    term: Count


class VoteRequest(Message, frozen=True, array_like=True, kw_only=True):
    """Requests a vote.

    Attributes:
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        is_pre: Whether it is a pre-vote, which only asks whether a vote would
            be granted in `term`.
        is_forced: Whether the old leader asked for the election.
    """

    last_index: Count
    last_term: Count
    is_pre: bool
    is_forced: bool


class VoteReply(Message, frozen=True, array_like=True, kw_only=True):
    """Replies to a vote request.

    The `term` of a granted pre-vote is that of the request.
    """

    is_pre: bool
    is_granted: bool


class Append(Message, frozen=True, array_like=True, kw_only=True):
    """Sends entries; without entries it is a heartbeat.

    Attributes:
        prev_index: Index of the entry before the first one sent.
        prev_term: Term of that entry.
        entries: The entries.
        commit: Index of the last entry that the leader knows as committed.
        pulse: Timestamps of the leader.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    pulse: Pulse


class AppendReply(Message, frozen=True, array_like=True, kw_only=True):
    """Replies to entries or a heartbeat.

    Attributes:
        is_match: Whether the log has the entry before the first one sent.
        prev_index: Index of that entry; identifies outdated replies.
        match_index: Index of the last entry known to match the leader's log;
            if `is_match` is false, the index to try next.
        stamp_s: Time of the replica that replies.
        echo_s: Leader's timestamp in the message that is answered.
    """

    is_match: bool
    prev_index: int
    match_index: int
    stamp_s: float
    echo_s: float


class SnapshotChunk(Message, frozen=True, array_like=True, kw_only=True):
    """Sends a chunk of an encoded snapshot.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        index_term: Term of that entry.
        offset: Position of the chunk in the encoded snapshot, in bytes.
        total_bytes: Size of the encoded snapshot.
        chunk: The bytes.
        pulse: Timestamps of the leader.
    """

    index: int
    index_term: int
    offset: int
    total_bytes: int
    chunk: bytes
    pulse: Pulse


class SnapshotReply(Message, frozen=True, array_like=True, kw_only=True):
    """Replies to a snapshot chunk.

    Attributes:
        index: Index of the last entry that the snapshot covers.
        next_offset: Number of bytes received without a gap.
        match_index: Index of the last entry known to match the leader's log.
        stamp_s: Time of the replica that replies.
        echo_s: Leader's timestamp in the message that is answered.
    """

    index: int
    next_offset: int
    match_index: int
    stamp_s: float
    echo_s: float


class TimeoutNow(Message, frozen=True, array_like=True, kw_only=True):
    """Transfers leadership: the receiver starts an election immediately."""


MESSAGE_TYPES: tuple[type[Message], ...] = (
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
