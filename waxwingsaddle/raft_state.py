"""State of a replica that its roles share."""

import enum
import random
from dataclasses import dataclass, field

from waxwingsaddle.raft_log import RaftLog
from waxwingsaddle.raft_messages import Message, Pulse, Snapshot, Vote


class Role(enum.Enum):
    """What a replica does in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True, slots=True)
class Timing:
    """Times and limits of the protocol.

    Attributes:
        election_min_s: Shortest election timeout; also how long a leader
            stays without a majority.
        election_max_s: Longest election timeout.
        heartbeat_s: Interval of heartbeats.
        append_bytes: Most bytes of entries in one message.
        chunk_bytes: Bytes of a snapshot in one message.
        inflight_entries: Entries sent to one replica and not yet answered.
        caught_up_entries: Entries a learner may lack when it gets a vote.
    """

    election_min_s: float = 1
    election_max_s: float = 2
    heartbeat_s: float = 0.2
    append_bytes: int = 1_048_576
    chunk_bytes: int = 262_144
    inflight_entries: int = 256
    caught_up_entries: int = 1


@dataclass(slots=True)
class RaftState:
    """What elections, leading and following share.

    Attributes:
        identity: Identity of this replica.
        timing: Times and limits.
        rng: Source of random numbers, for election timeouts.
        log: The log.
        vote: Term and vote, to be synced before messages leave.
        role: Present role.
        leader: Identity of the leader of the term, when known.
        now_s: Clock at the present step.
        leader_contact_s: When a leader of the term was last heard.
        election_deadline_s: When to start an election without a leader.
        majority_contact_s: Last proven contact with a majority, or None.
        outbox: Messages to send once the state is synced.
        is_vote_synced: Whether `vote` was handed out for syncing.
        received_snapshot: Snapshot of a leader that is to be synced.
    """

    identity: str
    timing: Timing
    rng: random.Random
    log: RaftLog
    vote: Vote
    now_s: float
    role: Role = Role.follower
    leader: str | None = None
    leader_contact_s: float = float('-inf')
    election_deadline_s: float = 0
    majority_contact_s: float | None = None
    outbox: list[Message] = field(default_factory=list)
    is_vote_synced: bool = True
    received_snapshot: Snapshot | None = None

    def __post_init__(self) -> None:
        self.reset_election_timer()

    @property
    def term(self) -> int:
        """Newest term seen."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for majorities."""
        return self.log.members.is_voter(self.identity)

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader was heard too recently for an election."""
        if self.role is Role.leader:
            return True
        silence_s = self.now_s - self.leader_contact_s
        return self.leader is not None and (
            silence_s < self.timing.election_min_s
        )

    @property
    def majority_age_s(self) -> float | None:
        """Time since the last proven contact with a majority."""
        if self.majority_contact_s is None:
            return None
        return max(0, self.now_s - self.majority_contact_s)

    def set_vote(self, vote: Vote) -> None:
        """Changes term and vote; they are synced before messages leave."""
        if vote != self.vote:
            self.vote = vote
            self.is_vote_synced = False

    def become_follower(self, term: int, leader: str | None) -> None:
        """Becomes a follower in a term that is at least the present one."""
        if term > self.term:
            self.set_vote(Vote(term))
            self.leader = None
        if self.role is not Role.follower:
            self.reset_election_timer()
        self.role = Role.follower
        self.leader = leader or self.leader
        if self.leader == self.identity:
            self.leader = None

    def record_leader_contact(self, leader: str, pulse: Pulse) -> None:
        """Notes a message of the leader of the term."""
        self.become_follower(self.term, leader)
        self.leader_contact_s = self.now_s
        self.reset_election_timer()
        if pulse.echo_s is not None:
            proven_s = pulse.echo_s - pulse.majority_age_s
            self.record_majority_contact(min(proven_s, self.now_s))

    def record_majority_contact(self, proven_s: float) -> None:
        """Notes a proof of contact with a majority at some time."""
        if (
            self.majority_contact_s is None
            or proven_s > self.majority_contact_s
        ):
            self.majority_contact_s = proven_s

    def reset_election_timer(self) -> None:
        """Draws a new election timeout."""
        timing = self.timing
        self.election_deadline_s = self.now_s + self.rng.uniform(
            timing.election_min_s,
            timing.election_max_s,
        )
