"""Leader side of Raft: replication, commits, leadership transfer."""

from waxwingsaddle.log_sender import LogSender
from waxwingsaddle.progress import Progress, majority_position
from waxwingsaddle.raft_messages import (
    AppendReply,
    Entry,
    Noop,
    Payload,
    SnapshotReply,
    TimeoutNow,
)
from waxwingsaddle.raft_state import RaftState, Role


class LeaderRole:
    """Replicates the log while this replica is the leader.

    Args:
        state: State shared by the roles of the replica.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._sender = LogSender(state)
        self._progress: dict[str, Progress] = {}
        self._next_heartbeat_s: float = 0
        self._first_index = 0
        self._transfer_target: str | None = None
        self._transfer_deadline_s: float = 0

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this leader's term is committed."""
        return self._state.log.commit >= self._first_index

    @property
    def is_transferring(self) -> bool:
        """Whether leadership is being transferred; blocks new commands."""
        return self._transfer_target is not None

    def progress_of(self, identity: str) -> Progress | None:
        """Returns the replication progress of another member, or None."""
        return self._progress.get(identity)

    def become_leader(self) -> None:
        """Starts to lead the current term."""
        state, log = self._state, self._state.log
        state.role = Role.leader
        state.leader = state.identity
        state.record_majority_contact(state.now_s)
        self._progress = {}
        self._transfer_target = None
        initial_members = log.members if log.last_index == 0 else None
        self._first_index = log.last_index + 1
        # The initial members that the control hosts agreed on become durable
        # as the first entry of the log.
        self.append(Noop() if initial_members is None else initial_members)
        self.send_heartbeats()

    def append(self, payload: Payload) -> Entry:
        """Appends an entry to the log and sends it to the other members."""
        entry = self._state.log.append(self._state.term, payload)
        self._update_progress()
        for identity, progress in self._progress.items():
            self._sender.send_missing_entries(identity, progress)
        self._advance_commit()
        return entry

    def tick(self) -> None:
        """Sends heartbeats when due; steps down if the majority is lost."""
        state = self._state
        self._update_majority_contact()
        if state.majority_age_s > state.timing.election_min_s:
            state.become_follower(state.term, leader=None)
            return
        if self._transfer_target and state.now_s >= self._transfer_deadline_s:
            self._transfer_target = None
        if state.now_s >= self._next_heartbeat_s:
            self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to every other member."""
        state = self._state
        self._next_heartbeat_s = state.now_s + state.timing.heartbeat_s
        for identity, progress in self._progress.items():
            silence_s = state.now_s - progress.contact_s
            if silence_s > state.timing.election_min_s:
                progress.restart_probing()
            self._sender.send_heartbeat(identity, progress)

    def on_append_reply(self, reply: AppendReply) -> None:
        """Handles the reply to entries or a heartbeat."""
        progress = self._record_reply(reply)
        if progress is None:
            return
        if not reply.is_match:
            if progress.record_mismatch(reply.prev_index, reply.match_index):
                self._sender.send_entries(reply.source, progress)
            return
        if (
            progress.snapshot_transfer
            and reply.match_index < progress.snapshot_transfer.snapshot.index
        ):
            return
        progress.snapshot_transfer = None
        self._record_match(reply.source, progress, reply.match_index)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Handles the reply to a snapshot chunk."""
        progress = self._record_reply(reply)
        transfer = progress.snapshot_transfer if progress else None
        if transfer is None or transfer.snapshot.index != reply.index:
            return
        if reply.match_index >= transfer.snapshot.index:
            progress.snapshot_transfer = None
            self._record_match(reply.source, progress, reply.match_index)
        elif reply.next_offset != transfer.offset:
            transfer.offset = reply.next_offset
            self._sender.send_chunk(reply.source, progress)

    def transfer_leadership(self, identity: str | None) -> bool:
        """Starts a transfer of leadership to another voter.

        Args:
            identity: The new leader; the most up-to-date voter if None.

        Returns:
            Whether there is such a voter.
        """
        state = self._state
        candidates = {
            voter.identity: self._progress[voter.identity]
            for voter in state.log.members.voters
            if voter.identity in self._progress
            and identity in {None, voter.identity}
        }
        if not candidates:
            return False
        self._transfer_target = max(
            candidates,
            key=lambda candidate: (
                candidates[candidate].match_index,
                candidates[candidate].contact_s,
            ),
        )
        timeout_s = state.timing.election_max_s
        self._transfer_deadline_s = state.now_s + timeout_s
        self._try_transfer()
        return True

    def is_caught_up(self, identity: str) -> bool:
        """Returns whether a replica lacks few enough entries for a vote."""
        state = self._state
        progress = self._progress.get(identity)
        if progress is None or not self.is_responsive(identity):
            return False
        lag = state.log.last_index - progress.match_index
        return lag <= state.timing.caught_up_entries

    def is_responsive(self, identity: str) -> bool:
        """Returns whether a replica replied within `election_min_s`."""
        state = self._state
        progress = self._progress.get(identity)
        if progress is None:
            return identity == state.identity
        silence_s = state.now_s - progress.contact_s
        return silence_s <= state.timing.election_min_s

    def silence_s(self, identity: str) -> float:
        """Returns the seconds since a replica replied; 0 if not tracked."""
        progress = self._progress.get(identity)
        if progress is None:
            return 0
        return self._state.now_s - progress.contact_s

    def _record_reply(
        self, reply: AppendReply | SnapshotReply
    ) -> Progress | None:
        progress = self._progress.get(reply.source)
        if progress is not None:
            progress.record_contact(reply.stamp_s, reply.echo_s)
            self._update_majority_contact()
        return progress

    def _record_match(
        self, identity: str, progress: Progress, index: int
    ) -> None:
        progress.record_match(index)
        self._advance_commit()
        self._sender.send_missing_entries(identity, progress)
        self._try_transfer()

    def _update_progress(self) -> None:
        state = self._state
        peers = {member.identity for member in state.log.members}
        peers.discard(state.identity)
        self._progress = {
            identity: self._progress.get(identity)
            or Progress(state.log.last_index, state.now_s)
            for identity in sorted(peers)
        }

    def _advance_commit(self) -> None:
        state, log = self._state, self._state.log
        index = majority_position(
            self._position_of(voter.identity, 'match_index', log.last_index)
            for voter in log.members.voters
        )
        # A majority commits only entries of the leader's own term: a newer
        # leader could still overwrite entries of earlier terms. Those become
        # committed together with the first entry of this term.
        if index <= log.commit or log.term_at(index) != state.term:
            return
        log.commit = index
        for identity, progress in self._progress.items():
            if not progress.is_probing and progress.snapshot_transfer is None:
                self._sender.send_entries(identity, progress)
        if log.members_index <= index and not state.is_voter:
            state.become_follower(state.term, leader=None)

    def _update_majority_contact(self) -> None:
        state = self._state
        state.record_majority_contact(
            majority_position(
                self._position_of(voter.identity, 'contact_s', state.now_s)
                for voter in state.log.members.voters
            ),
        )

    def _position_of(self, identity: str, attribute: str, own: float) -> float:
        if identity == self._state.identity:
            return own
        return getattr(self._progress[identity], attribute)

    def _try_transfer(self) -> None:
        state = self._state
        progress = self._progress.get(self._transfer_target or '')
        if progress and progress.match_index == state.log.last_index:
            state.outbox.append(
                TimeoutNow(
                    source=state.identity,
                    target=self._transfer_target,
                    term=state.term,
                ),
            )
