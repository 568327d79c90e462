"""What a leader does: replicate, commit, hand over, step down."""

from waxwingsaddle.log_sender import Sending
from waxwingsaddle.progress import Progress, held_by_majority
from waxwingsaddle.raft_messages import (
    AppendReply,
    Entry,
    Noop,
    Payload,
    SnapshotReply,
    TimeoutNow,
)
from waxwingsaddle.raft_state import RaftState, Role


class Leading:
    """Duties of a leader.

    Args:
        state: Shared state.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._sending = Sending(state)
        self._progress: dict[str, Progress] = {}
        self._next_heartbeat_s: float = 0
        self._first_index = 0
        self._successor: str | None = None
        self._successor_deadline_s: float = 0

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this leader's term is committed."""
        return self._state.log.commit >= self._first_index

    @property
    def is_handing_over(self) -> bool:
        """Whether a successor was chosen; entries are not taken then."""
        return self._successor is not None

    def progress_of(self, identity: str) -> Progress | None:
        """Returns how far a replica has followed."""
        return self._progress.get(identity)

    def begin(self) -> None:
        """Takes up leadership of the term."""
        state, log = self._state, self._state.log
        state.role = Role.leader
        state.leader = state.identity
        state.note_majority(state.now_s)
        self._progress = {}
        self._successor = None
        assumed = log.members if log.last_index == 0 else None
        self._first_index = log.last_index + 1
        # The members that the first control hosts agreed on become durable
        # with the first entry.
        self.append(Noop() if assumed is None else assumed)
        self.beat()

    def append(self, payload: Payload) -> Entry:
        """Adds an entry to the log and sends it."""
        entry = self._state.log.append(self._state.term, payload)
        self._sync_progress()
        for identity, progress in self._progress.items():
            self._sending.fill(identity, progress)
        self._advance_commit()
        return entry

    def tick(self) -> None:
        """Sends heartbeats in time and steps down without a majority."""
        state = self._state
        self._note_contacts()
        if state.majority_age_s > state.timing.election_min_s:
            state.follow(state.term, leader=None)
            return
        if self._successor and state.now_s >= self._successor_deadline_s:
            self._successor = None
        if state.now_s >= self._next_heartbeat_s:
            self.beat()

    def beat(self) -> None:
        """Sends a heartbeat to every other member."""
        state = self._state
        self._next_heartbeat_s = state.now_s + state.timing.heartbeat_s
        for identity, progress in self._progress.items():
            silence_s = state.now_s - progress.contact_s
            if silence_s > state.timing.election_min_s:
                progress.probe_again()
            self._sending.beat(identity, progress)

    def on_append_reply(self, reply: AppendReply) -> None:
        """Takes the answer to entries or a heartbeat."""
        progress = self._heard(reply)
        if progress is None:
            return
        if not reply.is_match:
            if progress.mismatched(reply.prev_index, reply.match_index):
                self._sending.entries(reply.source, progress)
            return
        if (
            progress.transfer
            and reply.match_index < progress.transfer.snapshot.index
        ):
            return
        progress.transfer = None
        self._matched(reply.source, progress, reply.match_index)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Takes the answer to a part of a snapshot."""
        progress = self._heard(reply)
        transfer = progress.transfer if progress else None
        if transfer is None or transfer.snapshot.index != reply.index:
            return
        if reply.match_index >= transfer.snapshot.index:
            progress.transfer = None
            self._matched(reply.source, progress, reply.match_index)
        elif reply.next_offset != transfer.offset:
            transfer.offset = reply.next_offset
            self._sending.chunk(reply.source, progress)

    def hand_over(self, identity: str | None) -> bool:
        """Starts to hand leadership over.

        Args:
            identity: The successor; the most advanced voter when absent.

        Returns:
            Whether there is a successor.
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
        self._successor = max(
            candidates,
            key=lambda name: (
                candidates[name].match_index,
                candidates[name].contact_s,
            ),
        )
        limit_s = state.timing.election_max_s
        self._successor_deadline_s = state.now_s + limit_s
        self._conclude_hand_over()
        return True

    def is_caught_up(self, identity: str) -> bool:
        """Says whether a replica lacks few enough entries for a vote."""
        state = self._state
        progress = self._progress.get(identity)
        if progress is None or not self.is_heard(identity):
            return False
        lag = state.log.last_index - progress.match_index
        return lag <= state.timing.caught_up_entries

    def is_heard(self, identity: str) -> bool:
        """Says whether a replica answered within an election timeout."""
        state = self._state
        progress = self._progress.get(identity)
        if progress is None:
            return identity == state.identity
        silence_s = state.now_s - progress.contact_s
        return silence_s <= state.timing.election_min_s

    def silence_s(self, identity: str) -> float:
        """Returns the time since a replica answered; 0 for this one."""
        progress = self._progress.get(identity)
        if progress is None:
            return 0
        return self._state.now_s - progress.contact_s

    def _heard(self, reply: AppendReply | SnapshotReply) -> Progress | None:
        progress = self._progress.get(reply.source)
        if progress is not None:
            progress.hear(reply.stamp_s, reply.echo_s)
            self._note_contacts()
        return progress

    def _matched(self, identity: str, progress: Progress, index: int) -> None:
        progress.matched(index)
        self._advance_commit()
        self._sending.fill(identity, progress)
        self._conclude_hand_over()

    def _sync_progress(self) -> None:
        state = self._state
        others = {one.identity for one in state.log.members}
        others.discard(state.identity)
        self._progress = {
            identity: self._progress.get(identity)
            or Progress(state.log.last_index, state.now_s)
            for identity in sorted(others)
        }

    def _advance_commit(self) -> None:
        state, log = self._state, self._state.log
        index = held_by_majority(
            self._position(voter.identity, 'match_index', log.last_index)
            for voter in log.members.voters
        )
        # Only entries of the own term are committed by counting; a newer
        # leader could still replace entries of earlier terms.
        if index <= log.commit or log.term_at(index) != state.term:
            return
        log.commit = index
        for identity, progress in self._progress.items():
            if not progress.is_probing and progress.transfer is None:
                self._sending.entries(identity, progress)
        if log.members_index <= index and not state.is_voter:
            state.follow(state.term, leader=None)

    def _note_contacts(self) -> None:
        state = self._state
        state.note_majority(
            held_by_majority(
                self._position(voter.identity, 'contact_s', state.now_s)
                for voter in state.log.members.voters
            ),
        )

    def _position(self, identity: str, attribute: str, own: float) -> float:
        if identity == self._state.identity:
            return own
        return getattr(self._progress[identity], attribute)

    def _conclude_hand_over(self) -> None:
        state = self._state
        progress = self._progress.get(self._successor or '')
        if progress and progress.match_index == state.log.last_index:
            state.outbox.append(
                TimeoutNow(
                    source=state.identity,
                    target=self._successor,
                    term=state.term,
                ),
            )
