"""What a replica does with the messages of a leader."""

from dataclasses import dataclass

import msgspec

from waxwingsaddle.raft_messages import (
    Append,
    AppendReply,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
)
from waxwingsaddle.raft_state import RaftState

_snapshots = msgspec.msgpack.Decoder(Snapshot)


@dataclass(slots=True)
class _Arriving:
    """A snapshot of which a part has arrived."""

    index: int
    index_term: int
    total_bytes: int
    received: bytearray


class Following:
    """Takes entries and snapshots of the leader.

    Args:
        state: Shared state.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._arriving: _Arriving | None = None

    def take_entries(self, append: Append) -> None:
        """Takes entries when the log holds the entry before them."""
        state, log = self._state, self._state.log
        state.hear_leader(append.source, append.pulse)
        if append.prev_index < log.commit:
            self._merge_above_commit(append)
            return
        if log.term_at(append.prev_index) != append.prev_term:
            hint = log.conflict_hint(append.prev_index)
            self._reply(append, is_match=False, match_index=hint)
            return
        log.merge(append.entries)
        self._agree(append, append.prev_index + len(append.entries))

    def take_chunk(self, part: SnapshotChunk) -> None:
        """Takes a part of a snapshot and installs it when it is whole."""
        state, log = self._state, self._state.log
        state.hear_leader(part.source, part.pulse)
        if log.term_at(part.index) == part.index_term:
            # The log agrees up to the snapshot, so that entries after it,
            # which may have been acknowledged, must stay.
            log.commit = max(log.commit, part.index)
        if log.commit >= part.index:
            self._arriving = None
            self._reply_to_chunk(part, part.total_bytes)
            return
        arriving = self._arriving_for(part)
        if part.offset == len(arriving.received):
            arriving.received += part.chunk
        if len(arriving.received) >= arriving.total_bytes:
            self._install(arriving)
        self._reply_to_chunk(part, len(arriving.received))

    def refuse(self, message: Append | SnapshotChunk) -> None:
        """Tells a leader of an earlier term about the present term."""
        prev_index = getattr(message, 'prev_index', 0)
        self._reply(message, is_match=False, match_index=prev_index)

    def _merge_above_commit(self, append: Append) -> None:
        # Entries up to the commit index equal the leader's by the laws of
        # the protocol, and may no longer be held here.
        log = self._state.log
        above = [one for one in append.entries if one.index > log.commit]
        log.merge(above)
        last_index = append.prev_index + len(append.entries)
        self._agree(append, max(log.commit, last_index))

    def _agree(self, append: Append, match_index: int) -> None:
        log = self._state.log
        log.commit = max(log.commit, min(append.commit, match_index))
        self._reply(append, is_match=True, match_index=match_index)

    def _arriving_for(self, part: SnapshotChunk) -> _Arriving:
        arriving = self._arriving
        if arriving is None or _identity(arriving) != _identity(part):
            arriving = _Arriving(*_identity(part), received=bytearray())
            self._arriving = arriving
        return arriving

    def _install(self, arriving: _Arriving) -> None:
        snapshot = _snapshots.decode(bytes(arriving.received))
        self._arriving = None
        self._state.log.restore(snapshot)
        self._state.installed = snapshot

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

    def _reply_to_chunk(self, part: SnapshotChunk, next_offset: int) -> None:
        state = self._state
        state.outbox.append(
            SnapshotReply(
                source=state.identity,
                target=part.source,
                term=state.term,
                index=part.index,
                next_offset=next_offset,
                match_index=state.log.commit,
                stamp_s=state.now_s,
                echo_s=part.pulse.stamp_s,
            ),
        )


def _identity(part: SnapshotChunk | _Arriving) -> tuple[int, int, int]:
    return part.index, part.index_term, part.total_bytes
