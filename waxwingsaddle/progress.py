"""A leader's view of the other replicas, and majority calculations."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from waxwingsaddle.raft_messages import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot that is being sent to a replica in chunks.

    Attributes:
        snapshot: The snapshot; the transfer continues with it even if a newer
            one is saved meanwhile.
        encoded: The encoded snapshot.
        offset: Number of bytes that the replica has received.
        sent_s: Time at which the last chunk was sent.
    """

    snapshot: Snapshot
    encoded: bytes
    offset: int = 0
    sent_s: float = float('-inf')


@dataclass(slots=True)
class Progress:
    """Replication progress of one replica, as the leader knows it.

    Attributes:
        next_index: Index of the next entry to send.
        contact_s: Leader's time at which it sent the newest message that the
            replica has answered.
        match_index: Index of the last entry known to match the leader's log.
        peer_stamp_s: Newest timestamp received from the replica, by its own
            clock.
        is_probing: Whether the last matching entry is still unknown; no
            entries are sent until it is found.
        snapshot_transfer: Snapshot that is being sent to the replica.
    """

    next_index: int
    contact_s: float
    match_index: int = 0
    peer_stamp_s: float | None = None
    is_probing: bool = True
    snapshot_transfer: SnapshotTransfer | None = field(default=None, repr=False)

    def record_contact(self, stamp_s: float, echo_s: float) -> None:
        """Records the timestamps of a reply.

        Args:
            stamp_s: Replica's time at which it replied.
            echo_s: Leader's time in the message that was answered.
        """
        self.contact_s = max(self.contact_s, echo_s)
        if self.peer_stamp_s is None or stamp_s > self.peer_stamp_s:
            self.peer_stamp_s = stamp_s

    def record_match(self, index: int) -> None:
        """Records that the replica's log matches up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False

    def record_mismatch(self, prev_index: int, hint_index: int) -> bool:
        """Moves `next_index` back after a log mismatch.

        Args:
            prev_index: Index that did not match.
            hint_index: Last index that the replica suggests to try.

        Returns:
            Whether the reply was current; an outdated one has no effect.
        """
        if prev_index <= self.match_index or prev_index >= self.next_index:
            return False
        self.next_index = max(self.match_index, hint_index) + 1
        self.is_probing = True
        return True

    def restart_probing(self) -> None:
        """Probes again from the last entry known to match."""
        self.next_index = self.match_index + 1
        self.is_probing = True


def majority_size(count: int) -> int:
    """Returns how many voters out of `count` form a majority."""
    return count // 2 + 1


def majority_position(positions: Iterable[float]) -> float:
    """Returns the highest position that a majority of voters has reached.

    Args:
        positions: One log index or time per voter; must not be empty.
    """
    ordered = sorted(positions, reverse=True)
    return ordered[majority_size(len(ordered)) - 1]
