"""One Raft replica as a state machine that does no I/O and reads no clock.

The caller passes in the time and the received messages and calls
`take_output` after each batch of inputs. It must sync the vote, the snapshot
and the entries of that `Output` to disk before it sends the messages or
applies the committed entries.
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
    """State that a replica reads from its disk at startup.

    Attributes:
        vote: Current term and vote.
        snapshot: Newest snapshot.
        entries: Log entries after the snapshot.
        commit: Index of the last entry known to be committed.
    """

    vote: Vote = field(default_factory=Vote)
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[Entry, ...] = ()
    commit: int = 0


@dataclass(frozen=True, slots=True)
class Output:
    """Work for the caller, to be done in the order of the fields.

    Attributes:
        vote: Term and vote to sync; None if unchanged.
        snapshot: Snapshot from the leader to sync, or None; it replaces the
            log and the state machine.
        entries: Entries to sync; the first one overwrites any stored entry
            with the same index and all entries after it.
        messages: Messages to send after the syncs.
        committed: Entries to apply after the syncs.
    """

    vote: Vote | None
    snapshot: Snapshot | None
    entries: tuple[Entry, ...]
    messages: tuple[Message, ...]
    committed: tuple[Entry, ...]


class Raft:
    """Raft protocol of one replica, whichever role it has.

    Args:
        identity: Identity of the replica.
        stored: State read from its disk.
        timing: Timeouts and limits of the protocol.
        rng: Random number generator for election timeouts.
        now_s: Monotonic time at the start, in seconds.
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
        """The highest term seen."""
        return self._state.term

    @property
    def leader(self) -> str | None:
        """Identity of the leader of the current term, None if unknown."""
        return self._state.leader

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its term."""
        return self._state.role is Role.leader

    @property
    def is_established_leader(self) -> bool:
        """Whether it is leader and has committed an entry of its term."""
        return self.is_leader and self._leader_role.has_committed

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        return self._state.log.members

    @property
    def log(self) -> RaftLog:
        """The log; callers must not change it."""
        return self._state.log

    @property
    def has_live_leader(self) -> bool:
        """Whether it leads or heard a leader within `election_min_s`."""
        return self._state.has_live_leader

    @property
    def majority_contact_s(self) -> float | None:
        """Time of the last proven contact with a majority, None before any."""
        return self._state.majority_contact_s

    def tick(self, now_s: float) -> None:
        """Advances the time, which starts elections or sends heartbeats."""
        self._state.now_s = max(now_s, self._state.now_s)
        if self.is_leader:
            self._leader_role.tick()
        else:
            self._elections.tick()

    def receive(self, message: Message) -> None:
        """Handles a message; drops one addressed to another identity."""
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
        """Starts a new log with these members and campaigns for election."""
        self._state.log.set_initial_members(members)
        self._elections.campaign(is_forced=False)

    def propose(self, command: bytes) -> Entry | None:
        """Appends a command to the log of the leader.

        The outcome is unknown until an entry with the returned index is
        committed. The command was accepted if that entry has the same term.

        Returns:
            The entry; None if this replica is not the leader or is
            transferring leadership.
        """
        if not self.is_leader or self._leader_role.is_transferring:
            return None
        return self._leader_role.append(Command(command))

    def change_members(self, change: membership.Change) -> Entry | None:
        """Appends a change of members to the log of the leader.

        Returns:
            The entry; None if this replica is not an established leader or
            an earlier change of members is not committed yet.

        Raises:
            MembershipError: The change does not apply to the current
                members, the replica that would gain a vote is not caught up,
                or the one that would lose its vote still responds.
        """
        log = self._state.log
        is_pending = log.members_index > log.commit
        if not self.is_established_leader or is_pending:
            return None
        members = membership.apply_change(change, log.members)
        gaining = membership.identity_gaining_vote(change)
        if gaining is not None and not self._leader_role.is_caught_up(gaining):
            raise membership.MembershipError(f'{gaining} is not caught up')
        losing = membership.identity_losing_vote(change)
        if losing is not None and self._leader_role.is_responsive(losing):
            raise membership.MembershipError(
                f'{losing} has not ended: it still responds',
            )
        return self._leader_role.append(members)

    def is_caught_up(self, identity: str) -> bool:
        """Returns whether a replica lacks few enough entries for a vote."""
        return self.is_leader and self._leader_role.is_caught_up(identity)

    def silence_s(self, identity: str) -> float:
        """Returns the seconds since a replica last replied to this leader."""
        return self._leader_role.silence_s(identity) if self.is_leader else 0

    def transfer_leadership(self, identity: str | None = None) -> bool:
        """Starts a transfer of leadership to another voter.

        Args:
            identity: The new leader; the most up-to-date voter if None.

        Returns:
            Whether this replica is the leader and there is such a voter.
        """
        return self.is_leader and self._leader_role.transfer_leadership(
            identity
        )

    def compact(self, snapshot: Snapshot, kept_entries: int) -> None:
        """Discards entries that a synced snapshot of this replica covers."""
        self._state.log.compact(snapshot, kept_entries)

    def take_output(self) -> Output:
        """Returns the work that the inputs since the last call require."""
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
