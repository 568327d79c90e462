"""Follower side of log replication: entries and snapshots from a leader."""

from dataclasses import dataclass

from waxwingsaddle.raft_messages import (
    Append,
    AppendReply,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from waxwingsaddle.raft_state import RaftState
from waxwingsaddle.util.codec import msgpack_decoder

_decode_snapshot = msgpack_decoder(Snapshot)


@dataclass(slots=True)
class _PartialSnapshot:
    """A snapshot that has been received in part.

    Attributes:
        index: Last entry that the snapshot covers.
        index_term: Term of that entry.
        total_bytes: Size of the encoded snapshot.
        received: The bytes received so far, without gaps.
    """

    index: int
    index_term: int
    total_bytes: int
    received: bytearray


class FollowerRole:
    """Stores the entries and snapshots that a leader sends.

    Args:
        state: State shared by the roles of the replica.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._partial: _PartialSnapshot | None = None

    def on_append(self, append: Append) -> None:
        """Appends entries if the log contains the entry before them."""
        state, log = self._state, self._state.log
        state.record_leader_contact(append.source, append.pulse)
        if append.prev_index < log.commit:
            self._merge_above_commit(append)
            return
        if log.term_at(append.prev_index) != append.prev_term:
            hint = log.conflict_hint(append.prev_index)
            self._reply(append, is_match=False, match_index=hint)
            return
        log.merge(append.entries)
        self._acknowledge(append, append.prev_index + len(append.entries))

    def on_snapshot_chunk(self, chunk: SnapshotChunk) -> None:
        """Stores a chunk of a snapshot; installs the complete snapshot."""
        state, log = self._state, self._state.log
        state.record_leader_contact(chunk.source, chunk.pulse)
        if log.term_at(chunk.index) == chunk.index_term:
            # The log matches the leader's up to the snapshot. Entries after
            # it may have been acknowledged and must not be discarded.
            log.commit = max(log.commit, chunk.index)
        if log.commit >= chunk.index:
            self._partial = None
            self._reply_to_chunk(chunk, chunk.total_bytes)
            return
        partial = self._partial_for(chunk)
        if chunk.offset == len(partial.received):
            partial.received += chunk.chunk
        if len(partial.received) >= partial.total_bytes:
            self._install(partial)
        self._reply_to_chunk(chunk, len(partial.received))

    def reject_stale(self, message: Append | SnapshotChunk) -> None:
        """Replies to a leader of an earlier term with the current term."""
        prev_index = getattr(message, 'prev_index', 0)
        self._reply(message, is_match=False, match_index=prev_index)

    def _merge_above_commit(self, append: Append) -> None:
        # Entries up to the commit index equal the leader's by the safety
        # rules of Raft, and may have been compacted away here.
        log = self._state.log
        uncommitted = [
            entry for entry in append.entries if entry.index > log.commit
        ]
        log.merge(uncommitted)
        last_index = append.prev_index + len(append.entries)
        self._acknowledge(append, max(log.commit, last_index))

    def _acknowledge(self, append: Append, match_index: int) -> None:
        log = self._state.log
        log.commit = max(log.commit, min(append.commit, match_index))
        self._reply(append, is_match=True, match_index=match_index)

    def _partial_for(self, chunk: SnapshotChunk) -> _PartialSnapshot:
        partial = self._partial
        if partial is None or _snapshot_key(partial) != _snapshot_key(chunk):
            partial = _PartialSnapshot(
                *_snapshot_key(chunk), received=bytearray()
            )
            self._partial = partial
        return partial

    def _install(self, partial: _PartialSnapshot) -> None:
        snapshot = _decode_snapshot(bytes(partial.received))
        self._partial = None
        self._state.log.restore(snapshot)
        self._state.received_snapshot = snapshot

    def _reply(
        self,
        message: Append | SnapshotChunk,
        *,
        is_match: bool,
        match_index: int,
    ) -> None:
        state = self._state
        state.outbox.append(
            AppendReply(
                source=state.identity,
                target=message.source,
                term=state.term,
                is_match=is_match,
                prev_index=getattr(message, 'prev_index', 0),
                match_index=match_index,
                stamp_s=state.now_s,
                echo_s=message.pulse.stamp_s,
            ),
        )

    def _reply_to_chunk(self, chunk: SnapshotChunk, next_offset: int) -> None:
        state = self._state
        state.outbox.append(
            SnapshotReply(
                source=state.identity,
                target=chunk.source,
                term=state.term,
                index=chunk.index,
                next_offset=next_offset,
                match_index=state.log.commit,
                stamp_s=state.now_s,
                echo_s=chunk.pulse.stamp_s,
            ),
        )


def _snapshot_key(
    chunk: SnapshotChunk | _PartialSnapshot,
) -> tuple[int, int, int]:
    return chunk.index, chunk.index_term, chunk.total_bytes
