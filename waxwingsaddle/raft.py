"""Consensus on a log of entries: one replica, without sockets or clocks.

The caller passes the time and received messages in, and after each batch of
inputs takes an `Output`. It must sync the vote, the installed snapshot and
the entries before it sends the messages or applies committed entries.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from waxwingsaddle import membership
from waxwingsaddle.elections import Elections
from waxwingsaddle.follower import FollowerRole
from waxwingsaddle.leader import LeaderRole
from waxwingsaddle.raft_log import RaftLog
from waxwingsaddle.raft_messages import (
    Append,
    AppendReply,
    Command,
    Entry,
    Members,
    Message,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    Vote,
    VoteReply,
    VoteRequest,
)
from waxwingsaddle.raft_state import RaftState, Role, Timing


@dataclass(frozen=True, slots=True)
class Stored:
    """What a replica finds on its disk at the start.

    Attributes:
        vote: Term and vote.
        snapshot: Newest snapshot.
        entries: Entries after the snapshot.
        commit: Index up to which entries are known as committed.
    """

    vote: Vote = field(default_factory=Vote)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Output:
    """What the caller has to do, in the order of the fields.

    Attributes:
        vote: To be synced, when changed.
        snapshot: Leader's snapshot to be synced; it replaces log and state.
        entries: To be synced; the first replaces its index and all after.
        messages: To be sent after the syncs.
        committed: To be applied after the syncs.
    """

    vote: Vote | None
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    messages: tuple[Message, ...]
    committed: tuple[Entry, ...]


class Raft:
    """One replica.

    Args:
        identity: Identity of the replica.
        stored: What its disk holds.
        timing: Times and limits.
        rng: Source of random numbers.
        now_s: Clock at the start.
    """

    def __init__(
        self,
        identity: str,
        stored: Stored,
        timing: Timing,
        rng: random.Random,
        now_s: float,
    ) -> None:
        self._state = RaftState(
            identity=identity,
            timing=timing,
            rng=rng,
            log=RaftLog(stored.snapshot, stored.entries, stored.commit),
            vote=stored.vote,
            now_s=now_s,
        )
        self._leader_role = LeaderRole(self._state)
        self._follower_role = FollowerRole(self._state)
        self._elections = Elections(
            self._state, self._leader_role.become_leader
        )
        self._handlers: dict[type[Message], Callable[[Any], None]] = {
            Append: self._follower_role.on_append,
            SnapshotChunk: self._follower_role.on_snapshot_chunk,
            TimeoutNow: self._on_timeout_now,
        }
        self._leader_handlers: dict[type[Message], Callable[[Any], None]] = {
            AppendReply: self._leader_role.on_append_reply,
            SnapshotReply: self._leader_role.on_snapshot_reply,
        }

    @property
    def identity(self) -> str:
        """Identity of this replica."""
        return self._state.identity

    @property
    def term(self) -> int:
        """Newest term seen."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """Identity of the leader of the term, when known."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term."""
        return self._state.role is Role.leader

    @property
    def is_established_leader(self) -> bool:
        """Whether it leads and has committed an entry of its term."""
        return self.is_leader and self._leader_role.has_committed

    @property
    def members(self) -> Members:
        """The newest members in the log."""
        return self._state.log.members

    @property
    def log(self) -> RaftLog:
        """The log; callers only read it."""
        return self._state.log

    @property
    def has_live_leader(self) -> bool:
        """Whether a leader was heard within the shortest election timeout."""
        return self._state.has_live_leader

    @property
    def majority_contact_s(self) -> float | None:
        """Clock at the last proven contact with a majority."""
        return self._state.majority_contact_s

    def tick(self, now_s: float) -> None:
        """Moves the clock and does what is due."""
        self._state.now_s = max(now_s, self._state.now_s)
        if self.is_leader:
            self._leader_role.tick()
        else:
            self._elections.tick()

    def receive(self, message: Message) -> None:
        """Takes a message; one for another identity is dropped."""
        state = self._state
        if message.target != state.identity:
            return
        if isinstance(message, VoteRequest):
            self._elections.on_vote_request(message)
        elif isinstance(message, VoteReply):
            self._elections.on_vote_reply(message)
        elif message.term < state.term:
            if isinstance(message, Append | SnapshotChunk):
                self._follower_role.reject_stale(message)
        else:
            self._receive_current(message)

    def bootstrap(self, members: Members) -> None:
        """Begins a new log with these members and stands for election."""
        self._state.log.set_initial_members(members)
        self._elections.campaign(is_forced=False)

    def propose(self, command: bytes) -> Entry | None:
        """Adds a command to the log; None when it can not.

        The command is in doubt until an entry with its index is committed:
        the same term means that it is accepted.
        """
        if not self.is_leader or self._leader_role.is_transferring:
            return None
        return self._leader_role.append(Command(command))

    def change_members(self, change: membership.Change) -> Entry | None:
        """Adds a change of members to the log; None when it can not now.

        Raises:
            MembershipError: The change does not fit the members, the
                replica that would get a vote is not caught up, or the one
                said to have ended is still heard.
        """
        log = self._state.log
        is_pending = log.members_index > log.commit
        if not self.is_established_leader or is_pending:
            return None
        members = membership.apply_change(change, log.members)
        gaining = membership.identity_gaining_vote(change)
        if gaining is not None and not self._leader_role.is_caught_up(gaining):
            raise membership.MembershipError(f'{gaining} is not caught up')
        ended = membership.identity_losing_vote(change)
        if ended is not None and self._leader_role.is_responsive(ended):
            raise membership.MembershipError(f'{ended} has not ended')
        return self._leader_role.append(members)

    def is_caught_up(self, identity: str) -> bool:
        """Says whether a replica lacks few enough entries for a vote."""
        return self.is_leader and self._leader_role.is_caught_up(identity)

    def silence_s(self, identity: str) -> float:
        """Returns the time since a replica answered this leader."""
        return self._leader_role.silence_s(identity) if self.is_leader else 0

    def transfer_leadership(self, identity: str | None = None) -> bool:
        """Starts to hand leadership to a voter; the best one by default."""
        return self.is_leader and self._leader_role.transfer_leadership(
            identity
        )

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Drops entries covered by a synced snapshot of this replica."""
        self._state.log.compact(snapshot, kept_entries)

    def take_output(self) -> Output:
        """Returns what is to be done for the inputs so far."""
        state = self._state
        vote = None if state.is_vote_synced else state.vote
        snapshot = state.received_snapshot
        messages = tuple(state.outbox)
        state.received_snapshot = None
        state.outbox.clear()
        state.is_vote_synced = True
        return Output(
            vote=vote,
            snapshot=snapshot,
            entries=state.log.take_unsynced(),
            messages=messages,
            committed=state.log.take_committed(),
        )

    def _receive_current(self, message: Message) -> None:
        state = self._state
        if message.term > state.term:
            state.become_follower(message.term, leader=None)
        handler = self._handlers.get(type(message))
        if handler is None and self.is_leader:
            handler = self._leader_handlers[type(message)]
        if handler is not None:
            handler(message)

    def _on_timeout_now(self, _message: TimeoutNow) -> None:
        self._elections.campaign(is_forced=True)
