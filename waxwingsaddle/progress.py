"""What a leader knows about one replica, and majorities over replicas."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from waxwingsaddle.raft_messages import Snapshot


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot on its way to a replica.

    Attributes:
        snapshot: The snapshot; kept to the end even if a newer one exists.
        encoded: Its encoding.
        offset: Bytes that the replica has received.
        sent_s: When the last chunk was sent.
    """

    snapshot: Snapshot
    encoded: bytes
    offset: int = 0
    sent_s: float = float('-inf')


@dataclass(slots=True)
class Progress:
    """How far one replica has followed the leader.

    Attributes:
        next_index: Next entry to send.
        contact_s: Leader's clock in the newest message that was answered.
        match_index: Last entry known to equal the leader's.
        peer_stamp_s: Newest clock of the replica that arrived here.
        is_probing: Whether the point of agreement is still unknown; entries
            are held back until it is.
        snapshot_transfer: Snapshot on its way to the replica.
    """

    next_index: int
    contact_s: float
    match_index: int = 0
    peer_stamp_s: float | None = None
    is_probing: bool = True
    snapshot_transfer: SnapshotTransfer | None = field(default=None, repr=False)

    def record_contact(self, stamp_s: float, echo_s: float) -> None:
        """Notes the stamps of an answer."""
        self.contact_s = max(self.contact_s, echo_s)
        if self.peer_stamp_s is None or stamp_s > self.peer_stamp_s:
            self.peer_stamp_s = stamp_s

    def record_match(self, index: int) -> None:
        """Notes that the replica agrees up to an entry."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False

    def record_mismatch(self, prev_index: int, hint_index: int) -> bool:
        """Notes a refusal; false when the answer is outdated."""
        if prev_index <= self.match_index or prev_index >= self.next_index:
            return False
        self.next_index = max(self.match_index, hint_index) + 1
        self.is_probing = True
        return True

    def restart_probing(self) -> None:
        """Goes back to the last known point of agreement."""
        self.next_index = self.match_index + 1
        self.is_probing = True


def majority_size(count: int) -> int:
    """Returns how many of so many voters are a majority."""
    return count // 2 + 1


def majority_position(positions: Iterable[float]) -> float:
    """Returns the greatest position that a majority has reached.

    Args:
        positions: One position a voter; at least one.
    """
    ordered = sorted(positions, reverse=True)
    return ordered[majority_size(len(ordered)) - 1]
