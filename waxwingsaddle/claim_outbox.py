"""Queue of outcomes and releases that are resent until keepers confirm."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from waxwingsaddle.claimant import KeeperLookup, Peer
from waxwingsaddle.claims import Claim, ClaimDone, ClaimRelease, ClaimState


@dataclass(slots=True)
class _Pending:
    message: ClaimDone | ClaimRelease
    home_zone: str
    deadline_s: float
    confirmed: set[str] = field(default_factory=set)


class ClaimOutbox:
    """Messages to the keepers of keys that await confirmation.

    The keepers are looked up before each attempt, so that messages also reach
    hosts that become keepers in the meantime.

    Args:
        lookup: Returns the keepers of a key digest in its home zone, as the
            local directory lists them.
        retry_for_s: Time that an unconfirmed message is resent, in seconds.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        lookup: KeeperLookup,
        retry_for_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._lookup = lookup
        self._retry_for_s = retry_for_s
        self._clock = clock
        self._message_ids = count()
        self._pending: dict[int, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def enqueue(self, claim: Claim, home_zone: str) -> int:
        """Queues a done or released claim, and returns the message's ID."""
        is_done = claim.state is ClaimState.DONE
        message = ClaimDone(claim) if is_done else ClaimRelease(claim)
        message_id = next(self._message_ids)
        deadline_s = self._clock() + self._retry_for_s
        self._pending[message_id] = _Pending(message, home_zone, deadline_s)
        return message_id

    def due(
        self,
    ) -> tuple[tuple[int, ClaimDone | ClaimRelease, tuple[Peer, ...]], ...]:
        """Drops finished messages and returns those to send now.

        Returns:
            Message ID, message and the keepers that have not confirmed it.
        """
        now_s = self._clock()
        peers = {
            message_id: self._unconfirmed(pending)
            for message_id, pending in self._pending.items()
        }
        self._pending = {
            message_id: pending
            for message_id, pending in self._pending.items()
            if pending.deadline_s > now_s
            and (peers[message_id] or not pending.confirmed)
        }
        return tuple(
            (message_id, pending.message, peers[message_id])
            for message_id, pending in self._pending.items()
        )

    def confirm(self, message_id: int, host: str) -> None:
        """Records that a keeper has confirmed a message."""
        pending = self._pending.get(message_id)
        if pending is not None:
            pending.confirmed.add(host)

    def _unconfirmed(self, pending: _Pending) -> tuple[Peer, ...]:
        peers = self._lookup(
            pending.message.claim.key_digest, pending.home_zone
        )
        return tuple(
            peer for peer in peers if peer.host not in pending.confirmed
        )
