"""Messages from the leader to a replica: entries, heartbeats, snapshots."""

from waxwingsaddle.progress import Progress, SnapshotTransfer
from waxwingsaddle.raft_messages import Append, Entry, Pulse, SnapshotChunk
from waxwingsaddle.raft_state import RaftState
from waxwingsaddle.util.codec import pack


class LogSender:
    """Adds messages of the leader to the outbox.

    Args:
        state: State shared by the roles of the replica.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state

    def send_missing_entries(self, identity: str, progress: Progress) -> None:
        """Sends the entries that a replica lacks, up to the limits.

        At most `inflight_entries` are sent ahead of the last acknowledged
        entry. Nothing is sent while the replica is probed or a snapshot is
        being transferred.
        """
        state, log = self._state, self._state.log
        if progress.is_probing or progress.snapshot_transfer:
            return
        window_end = progress.match_index + state.timing.inflight_entries
        while progress.next_index <= min(log.last_index, window_end):
            if log.term_at(progress.next_index - 1) is None:
                break
            entries = log.entries_from(
                progress.next_index,
                state.timing.append_bytes,
            )
            self.send_entries(identity, progress, entries)
            progress.next_index += len(entries)

    def send_entries(
        self,
        identity: str,
        progress: Progress,
        entries: tuple[Entry, ...] = (),
    ) -> None:
        """Sends entries, or a heartbeat if there are none.

        Starts a snapshot transfer instead if the entry before them has been
        compacted away.
        """
        state, log = self._state, self._state.log
        prev_index = progress.next_index - 1
        prev_term = log.term_at(prev_index)
        if prev_term is None:
            progress.snapshot_transfer = SnapshotTransfer(
                log.snapshot, pack(log.snapshot)
            )
            self.send_chunk(identity, progress)
            return
        state.outbox.append(
            Append(
                source=state.identity,
                target=identity,
                term=state.term,
                prev_index=prev_index,
                prev_term=prev_term,
                entries=entries,
                commit=log.commit,
                pulse=self._pulse(progress),
            ),
        )

    def send_heartbeat(self, identity: str, progress: Progress) -> None:
        """Sends a heartbeat, or resends a snapshot chunk without a reply."""
        state, transfer = self._state, progress.snapshot_transfer
        if transfer is None:
            self.send_entries(identity, progress)
        elif state.now_s - transfer.sent_s > state.timing.election_min_s / 2:
            # On a slow link, a chunk may take longer than the heartbeat
            # interval. Resending it at each heartbeat would add to the load.
            self.send_chunk(identity, progress)

    def send_chunk(self, identity: str, progress: Progress) -> None:
        """Sends the next chunk of the current snapshot transfer."""
        state, transfer = self._state, progress.snapshot_transfer
        transfer.sent_s = state.now_s
        end = transfer.offset + state.timing.chunk_bytes
        state.outbox.append(
            SnapshotChunk(
                source=state.identity,
                target=identity,
                term=state.term,
                index=transfer.snapshot.index,
                index_term=transfer.snapshot.term,
                offset=transfer.offset,
                total_bytes=len(transfer.encoded),
                chunk=transfer.encoded[transfer.offset : end],
                pulse=self._pulse(progress),
            ),
        )

    def _pulse(self, progress: Progress) -> Pulse:
        state = self._state
        return Pulse(
            stamp_s=state.now_s,
            echo_s=progress.peer_stamp_s,
            majority_age_s=state.majority_age_s,
        )
