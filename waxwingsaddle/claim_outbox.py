"""Outcomes and releases on their way to the keepers, sent until confirmed."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from waxwingsaddle.claimant import Lookup, Peer
from waxwingsaddle.claims import Claim, ClaimDone, ClaimRelease, ClaimState


@dataclass(slots=True)
class _Pending:
    message: ClaimDone | ClaimRelease
    home: str
    give_up_s: float
    confirmed: set[str] = field(default_factory=set)


class ClaimOutbox:
    """Messages to the keepers of places, for later keepers as well.

    Args:
        lookup: Returns the keepers of a place in a zone, as known here.
        give_up_s: How long an unconfirmed message is sent again, in seconds.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        lookup: Lookup,
        give_up_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._lookup = lookup
        self._give_up_s = give_up_s
        self._clock = clock
        self._numbers = count()
        self._pending: dict[int, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def put(self, claim: Claim, home: str) -> int:
        """Queues an outcome or a release, and returns its number."""
        is_done = claim.state is ClaimState.DONE
        message = ClaimDone(claim) if is_done else ClaimRelease(claim)
        number = next(self._numbers)
        give_up_s = self._clock() + self._give_up_s
        self._pending[number] = _Pending(message, home, give_up_s)
        return number

    def due(
        self,
    ) -> tuple[tuple[int, ClaimDone | ClaimRelease, tuple[Peer, ...]], ...]:
        """Returns what to send now: number, message and unconfirmed peers."""
        now_s = self._clock()
        peers = {
            number: self._unconfirmed(pending)
            for number, pending in self._pending.items()
        }
        self._pending = {
            number: pending
            for number, pending in self._pending.items()
            if pending.give_up_s > now_s
            and (peers[number] or not pending.confirmed)
        }
        return tuple(
            (number, pending.message, peers[number])
            for number, pending in self._pending.items()
        )

    def confirm(self, number: int, host: str) -> None:
        """Takes in that a keeper has kept a message."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.confirmed.add(host)

    def _unconfirmed(self, pending: _Pending) -> tuple[Peer, ...]:
        peers = self._lookup(pending.message.claim.place, pending.home)
        return tuple(
            peer for peer in peers if peer.host not in pending.confirmed
        )
