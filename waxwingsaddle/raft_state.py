"""State of a replica that is shared by its roles."""

import enum
import random
from dataclasses import dataclass, field

from waxwingsaddle.raft_log import RaftLog
from waxwingsaddle.raft_messages import Message, Pulse, Snapshot, Vote

# Shortest election timeout after a start, as a share of the usual one. Several
# round trips and syncs fit into it.
_START_SHARE = 0.2


class Role(enum.Enum):
    """Role of a replica in the current term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and limits of the protocol.

    Attributes:
        election_min_s: Shortest election timeout; also the time after which
            a leader without contact to a majority steps down.
        election_max_s: Longest election timeout.
        heartbeat_s: Interval between heartbeats.
        append_bytes: Maximum size of the entries in one message; a single
            larger entry is sent alone.
        chunk_bytes: Maximum size of a snapshot chunk in one message.
        inflight_entries: Maximum number of unacknowledged entries sent to
            one replica.
        caught_up_entries: Number of entries a learner may lack when it gets
            a vote.
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
    """State shared by elections, `LeaderRole` and `FollowerRole`.

    Times are monotonic, in seconds.

    Attributes:
        identity: Identity of this replica.
        timing: Timeouts and limits.
        rng: Random number generator for election timeouts.
        log: The log.
        vote: Term and vote; they must be synced before messages are sent.
        role: Current role.
        leader: Identity of the leader of the term, None if unknown.
        now_s: Time of the current step.
        leader_contact_s: Time of the last message from a leader of the term.
        election_deadline_s: Time of the next election unless a leader sends
            a message before.
        majority_contact_s: Time of the last proven contact with a majority,
            None before any.
        outbox: Messages to send once the state is synced.
        is_vote_synced: Whether `vote` was returned to the caller for syncing.
        received_snapshot: Snapshot from the leader that must be synced.
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
        """The highest term seen."""
        return self.vote.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for majorities."""
        return self.log.members.is_voter(self.identity)

    @property
    def has_live_leader(self) -> bool:
        """Whether this replica leads or heard a leader recently.

        Recently means within `election_min_s`.
        """
        if self.role is Role.leader:
            return True
        silence_s = self.now_s - self.leader_contact_s
        return self.leader is not None and (
            silence_s < self.timing.election_min_s
        )

    @property
    def majority_age_s(self) -> float | None:
        """Seconds since the last proven contact with a majority, or None."""
        if self.majority_contact_s is None:
            return None
        return max(0, self.now_s - self.majority_contact_s)

    def set_vote(self, vote: Vote) -> None:
        """Changes term and vote; the next output includes them for syncing."""
        if vote != self.vote:
            self.vote = vote
            self.is_vote_synced = False

    def become_follower(self, term: int, leader: str | None) -> None:
        """Becomes a follower in the current or a later term.

        Args:
            term: The term.
            leader: Identity of its leader; None if unknown or unchanged.
        """
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
        """Records a message from the leader of the current term.

        Args:
            leader: Identity of the leader.
            pulse: Timestamps of the message; they prove that the leader was
                in contact with a majority at some earlier time.
        """
        self.become_follower(self.term, leader)
        self.leader_contact_s = self.now_s
        self.reset_election_timer()
        if pulse.echo_s is not None:
            proven_s = pulse.echo_s - pulse.majority_age_s
            self.record_majority_contact(min(proven_s, self.now_s))

    def record_majority_contact(self, proven_s: float) -> None:
        """Records a proof that a majority was in contact at a time."""
        if (
            self.majority_contact_s is None
            or proven_s > self.majority_contact_s
        ):
            self.majority_contact_s = proven_s

    def reset_election_timer(self) -> None:
        """Restarts the election timer with a new random timeout.

        It is short while this replica has had no contact with a majority since
        its start: usually all replicas have lost power, and none has a leader.
        If there is one, the pre-votes of this replica are denied.
        """
        timing = self.timing
        shortest_s = timing.election_min_s
        longest_s = timing.election_max_s
        if self.majority_contact_s is None:
            longest_s = shortest_s
            shortest_s *= _START_SHARE
        self.election_deadline_s = self.now_s + self.rng.uniform(
            shortest_s, longest_s
        )
