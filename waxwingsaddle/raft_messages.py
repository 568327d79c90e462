"""Data of the consensus protocol: members, entries, snapshots and messages.

The protocol is Raft (Ongaro, "Consensus: Bridging Theory and Practice",
2014) with pre-vote, check-quorum, learners and single-step membership change.
"""

from collections.abc import Iterator

import msgspec


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One copy of the log.

    Attributes:
        identity: Made with an empty data folder; a lost disk ends it.
        host: Name of its control host.
        peer_address: Where the host receives messages from control hosts.
    """

    identity: str
    host: str
    peer_address: str = ''


class Members(msgspec.Struct, frozen=True, array_like=True, tag='members'):
    """Who has a copy of the log, and who votes; also a log entry's payload.

    Attributes:
        voters: Replicas that count for majorities.
        learners: Replicas that only receive the log.
        removed: Identities that were members; they join only when an
            operator adds them. Absent in entries of earlier versions.
    """

    voters: tuple[Replica, ...] = ()
    learners: tuple[Replica, ...] = ()
    removed: tuple[str, ...] = ()

    def __iter__(self) -> Iterator[Replica]:
        yield from self.voters
        yield from self.learners

    def find(self, identity: str) -> Replica | None:
        """Returns the member with this identity."""
        return next((one for one in self if one.identity == identity), None)

    def is_voter(self, identity: str) -> bool:
        """Says whether the identity counts for majorities."""
        return any(one.identity == identity for one in self.voters)


class Noop(msgspec.Struct, frozen=True, array_like=True, tag='noop'):
    """First entry of each leader; commits the entries of earlier terms."""


class Command(msgspec.Struct, frozen=True, array_like=True, tag='command'):
    """An input of the state machine.

    Attributes:
        body: The encoded input.
    """

    body: bytes


Payload = Noop | Members | Command


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; index and term identify it and all before it."""

    index: int
    term: int
    payload: Payload

    @property
    def size_bytes(self) -> int:
        """About how many bytes the payload takes on a link."""
        body = getattr(self.payload, 'body', b'')
        return len(body)


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine after the entry at `index`.

    Attributes:
        index: Last entry it covers; 0 for the empty state.
        term: Term of that entry.
        members: Members as of that entry.
        body: The encoded state.
    """

    index: int = 0
    term: int = 0
    members: Members = Members()
    body: bytes = b''


class Vote(msgspec.Struct, frozen=True, array_like=True):
    """What a replica must remember before it answers.

    Attributes:
        term: Newest term it has seen.
        voted_for: Identity it voted for in that term.
    """

    term: int = 0
    voted_for: str | None = None


class Pulse(msgspec.Struct, frozen=True, array_like=True):
    """Time stamps that a leader sends along.

    They bound ages without common clocks: a delayed message carries old
    stamps and therefore proves only old contact.

    Attributes:
        stamp_s: Clock of the leader when it sent.
        echo_s: Newest clock of the receiver that reached the leader.
        majority_age_s: Time since the leader's last contact with a majority.
    """

    stamp_s: float
    echo_s: float | None
    majority_age_s: float


class Message(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """What every message carries.

    Attributes:
        source: Identity of the sending replica.
        target: Identity it is meant for; other identities drop it.
        term: Term of the sender.
    """

    source: str
    target: str
    term: int


class VoteRequest(Message, frozen=True, array_like=True, kw_only=True):
    """Asks for a vote.

    Attributes:
        last_index: Index of the candidate's last entry.
        last_term: Term of that entry.
        is_pre: Whether it only asks if a vote would be given in `term`.
        is_forced: Whether the old leader asked for the election.
    """

    last_index: int
    last_term: int
    is_pre: bool
    is_forced: bool


class VoteReply(Message, frozen=True, array_like=True, kw_only=True):
    """Answers a request for a vote; a granted pre-vote names its term."""

    is_pre: bool
    is_granted: bool


class Append(Message, frozen=True, array_like=True, kw_only=True):
    """Sends entries, or none as a heartbeat.

    Attributes:
        prev_index: Index of the entry before the first one sent.
        prev_term: Term of that entry.
        entries: The entries.
        commit: Index up to which the leader knows entries as committed.
        pulse: Time stamps.
    """

    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    pulse: Pulse


class AppendReply(Message, frozen=True, array_like=True, kw_only=True):
    """Answers entries or a heartbeat.

    Attributes:
        is_match: Whether the log holds the entry before the first one sent.
        prev_index: That entry's index, which tells late answers apart.
        match_index: Last entry known to equal the leader's; otherwise the
            last index worth trying.
        stamp_s: Clock of the sender of the reply.
        echo_s: Leader's stamp that is answered.
    """

    is_match: bool
    prev_index: int
    match_index: int
    stamp_s: float
    echo_s: float


class SnapshotChunk(Message, frozen=True, array_like=True, kw_only=True):
    """Sends a part of a snapshot's encoding.

    Attributes:
        index: Last entry that the snapshot covers.
        index_term: Term of that entry.
        offset: Place of the chunk, in bytes.
        total_bytes: Size of the whole encoding.
        chunk: The bytes.
        pulse: Time stamps.
    """

    index: int
    index_term: int
    offset: int
    total_bytes: int
    chunk: bytes
    pulse: Pulse


class SnapshotReply(Message, frozen=True, array_like=True, kw_only=True):
    """Answers a chunk.

    Attributes:
        index: Last entry that the snapshot covers.
        next_offset: Bytes received without a gap.
        match_index: Last entry known to equal the leader's.
        stamp_s: Clock of the sender of the reply.
        echo_s: Leader's stamp that is answered.
    """

    index: int
    next_offset: int
    match_index: int
    stamp_s: float
    echo_s: float


class TimeoutNow(Message, frozen=True, array_like=True, kw_only=True):
    """Hands leadership over: the receiver starts an election at once."""


MESSAGE_TYPES: tuple[type[Message], ...] = (
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
)
