"""Connects a Raft replica to its disk, the network and the state machine."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from eventlet import greenthread, timeout
from eventlet.event import Event

from waxwingsaddle import logs
from waxwingsaddle.edits import EditState
from waxwingsaddle.membership import Change
from waxwingsaddle.outcomes import Outcome
from waxwingsaddle.raft import Output, Raft
from waxwingsaddle.raft_messages import (
    Command,
    Entry,
    Members,
    Message,
    Snapshot,
)
from waxwingsaddle.storage import DiskFullError, Storage
from waxwingsaddle.util.clock import MS_PER_S, MonotonicClock, monotonic_s

TICK_INTERVAL_S = 0.02
EXIT_REPLICA_FAILED = 3


class Sender(Protocol):
    """Sends messages to other replicas."""

    def __call__(self, message: Message) -> object:
        """Sends a message; it may get lost."""


@dataclass(frozen=True, slots=True)
class DriverLimits:
    """Limits of the driver.

    Attributes:
        compact_bytes: Size of the log on disk that triggers a snapshot.
        kept_entries: Entries before a snapshot that are kept in memory.
        disk_retry_ms: Milliseconds between write attempts on a full disk.
    """

    compact_bytes: int
    kept_entries: int
    disk_retry_ms: int


@dataclass(slots=True)
class Proposal:
    """A log entry of this leader that is not committed yet.

    Attributes:
        entry: The entry.
        outcome_event: Receives the outcome, or None if this replica cannot
            tell whether the entry is committed.
    """

    entry: Entry
    outcome_event: Event

    def wait(self, timeout_s: float) -> Outcome | Members | None:
        """Waits for the outcome; returns None if it is unknown in time."""
        with timeout.Timeout(max(0, timeout_s), False):
            return self.outcome_event.wait()
        return None


class RaftDriver:
    """Passes time and messages to a replica and processes its output.

    Args:
        raft: The replica.
        storage: Its durable state.
        state: State machine that committed commands are applied to.
        send: Sends a message to another replica.
        on_change: Called after a change of version, members, leader or
            `problem`.
        limits: Limits of the driver.
        clock: Returns the monotonic time in seconds.

    Attributes:
        raft: The replica.
        state: The state machine.
        problem: Why the replica is suspended, None if it is not.
    """

    def __init__(
        self,
        raft: Raft,
        storage: Storage,
        state: EditState,
        send: Sender,
        on_change: Callable[[], None],
        limits: DriverLimits,
        clock: MonotonicClock = monotonic_s,
    ) -> None:
        self.raft = raft
        self.state = state
        self.problem: str | None = None
        self._storage = storage
        self._send = send
        self._on_change = on_change
        self._limits = limits
        self._clock = clock
        self._proposals: dict[int, Proposal] = {}
        self._last_status: tuple[object, ...] = ()
        self._unsynced: Output | None = None
        self._retry_at_s: float = 0
        self._last_applied = raft.log.snapshot
        self._wake = Event()
        self._thread: greenthread.GreenThread | None = None
        state.load(raft.log.snapshot.body)

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader and can write."""
        return self.raft.is_leader and self.problem is None

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""
        return self._last_applied.index

    def start(self) -> None:
        """Applies the committed entries and starts the green thread."""
        self._flush()
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops the green thread and closes the files."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
            self._abandon_proposals()
            self._storage.close()

    def receive(self, message: Message) -> None:
        """Handles a message from another replica; drops it if suspended."""
        if self._unsynced is None:
            self.raft.receive(message)
            self.wake()

    def propose(self, command: bytes) -> Proposal | None:
        """Appends a command to the log; None if this replica cannot write."""
        if not self.is_leader:
            return None
        return self._track_proposal(self.raft.propose(command))

    def change_members(self, change: Change) -> Proposal | None:
        """Appends a change of members to the log; None if not possible now.

        Raises:
            MembershipError: The change does not apply to the members.
        """
        if not self.is_leader:
            return None
        return self._track_proposal(self.raft.change_members(change))

    def wake(self) -> None:
        """Makes the green thread process the output of the replica."""
        if not self._wake.ready():
            self._wake.send()

    def _track_proposal(self, entry: Entry | None) -> Proposal | None:
        if entry is None:
            return None
        proposal = Proposal(entry, Event())
        self._proposals[entry.index] = proposal
        self.wake()
        return proposal

    def _run(self) -> None:
        try:
            while True:
                self._step()
        except Exception:
            # The disk failed or an invariant is broken. The stored state is
            # correct, but this process must not take part any longer.
            logs.logger().exception('replica failed; exiting')
            os._exit(EXIT_REPLICA_FAILED)

    def _step(self) -> None:
        with timeout.Timeout(TICK_INTERVAL_S, False):
            self._wake.wait()
        self._wake = Event()
        now_s = self._clock()
        if self._unsynced is None:
            self.raft.tick(now_s)
            self._flush()
        elif now_s >= self._retry_at_s:
            self._process_output(self._unsynced)

    def _flush(self) -> None:
        self._process_output(self.raft.take_output())
        if not self.raft.is_leader:
            self._abandon_proposals()
        # The leader already changes when messages and ticks are processed,
        # before the output is taken. The comparison is therefore with the
        # last reported status.
        status = self._status()
        if status != self._last_status:
            self._last_status = status
            self._on_change()

    def _status(self) -> tuple[object, ...]:
        raft = self.raft
        state = self.state
        return (
            raft.leader,
            raft.members,
            state.version,
            state.rollouts.changes,
            self.problem,
        )

    def _process_output(self, output: Output) -> None:
        try:
            self._sync(output)
        except DiskFullError as error:
            self._suspend(output, str(error))
            return
        self._unsynced = None
        self._set_problem(None)
        for message in output.messages:
            self._send(message)
        if output.snapshot:
            self.state.load(output.snapshot.body)
            self._last_applied = output.snapshot
        for entry in output.committed:
            self._apply(entry)
        if output.committed:
            self._storage.record_commit(self._last_applied.index)
            self._compact()

    def _sync(self, output: Output) -> None:
        if output.vote:
            self._storage.save_vote(output.vote)
        if output.snapshot:
            self._storage.install_snapshot(output.snapshot)
        if output.entries:
            self._storage.append(output.entries)

    def _suspend(self, output: Output, problem: str) -> None:
        # The replica must not send messages, count acknowledgements or vote
        # based on state that is not stored, so it acts as if it were down.
        self._unsynced = output
        self._retry_at_s = self._clock() + self._limits.disk_retry_ms / MS_PER_S
        self._set_problem(problem)
        self._abandon_proposals()

    def _set_problem(self, problem: str | None) -> None:
        if problem != self.problem:
            self.problem = problem
            if problem is None:
                logs.logger().info('disk space is available, replica resumed')
            else:
                logs.logger().error('replica suspended', problem=problem)
            self._on_change()

    def _apply(self, entry: Entry) -> None:
        outcome: Outcome | Members | None = None
        if isinstance(entry.payload, Command):
            outcome = self.state.apply(entry.payload.body)
        elif isinstance(entry.payload, Members):
            outcome = entry.payload
        self._last_applied = Snapshot(entry.index, entry.term)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            # If this replica lost and regained leadership within one batch
            # of inputs, the entry at this index may be another leader's.
            is_own = proposal.entry.term == entry.term
            proposal.outcome_event.send(outcome if is_own else None)

    def _abandon_proposals(self) -> None:
        for proposal in self._proposals.values():
            proposal.outcome_event.send(None)
        self._proposals.clear()

    def _compact(self) -> None:
        if self._storage.log_bytes < self._limits.compact_bytes:
            return
        index = self._last_applied.index
        snapshot = Snapshot(
            index,
            self._last_applied.term,
            self.raft.log.members_at(index),
            self.state.dump(),
        )
        try:
            self._storage.save_snapshot(snapshot)
        except DiskFullError as error:
            logs.logger().error('snapshot not saved', problem=str(error))
            return
        self.raft.compact(snapshot, self._limits.kept_entries)
