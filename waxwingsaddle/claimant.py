"""Claimant: the node that asks keepers for a key before it sends a call.

The steps are generators without sockets: they yield what to do and get back
the replies. `keepers` runs them over green threads.
"""

import random
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import Any

from waxwingsaddle.claims import (
    Absent,
    Claim,
    Claimed,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    Granted,
    InDoubt,
    Stored,
)
from waxwingsaddle.placement import needed

# Released claims are remembered so long, so that a late copy of the request
# or of the claim does not bring them back.
RELEASED_KEPT_MS = 600_000

_FULL_RETRY_MS = 1000
_CLAIM_ID_BITS = 64
_LEAST_SPREAD = 0.5
_MOST_SPREAD = 1.5


@dataclass(frozen=True, slots=True)
class Peer:
    """A keeper to ask.

    Attributes:
        host: Its host.
        address: Its call address.
    """

    host: str
    address: str


Replies = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Ask:
    """Send a message to each peer and collect the replies by host.

    Attributes:
        message: The message.
        peers: Whom to ask.
        timeout_s: Longest wait.
        is_enough: Whether the replies so far decide; then further ones are
            awaited only for `grace_s`.
        grace_s: See above.
    """

    message: Any
    peers: tuple[Peer, ...]
    timeout_s: float
    is_enough: Callable[[Replies], bool]
    grace_s: float = 0


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait before the next step.

    Attributes:
        pause_s: How long, in seconds.
    """

    pause_s: float


Step = Ask | Pause
Lookup = Callable[[bytes, str], tuple[Peer, ...]]


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Tunables of claims.

    Attributes:
        window_s: Grants are void this long after the request was sent.
        grace_s: Wait for the last keeper once enough have granted.
        pause_s: Mean pause before a claim is tried again.
        max_bytes: Size of the claims held by one keeper from which new keys
            are refused.
    """

    window_s: float
    grace_s: float
    pause_s: float
    max_bytes: int


@dataclass(frozen=True, slots=True)
class Wanted:
    """A key to claim.

    Attributes:
        place: Digest of service and key.
        home: Home zone of the key.
        kept_ms: How long claim and outcome are kept.
        deadline_s: When to give up, on the clock of the claimant.
    """

    place: bytes
    home: str
    kept_ms: int
    deadline_s: float


class Claimant:
    """Claims keys, one round of requests after the other.

    Args:
        policy: Tunables.
        lookup: Returns the keepers of a place in a zone, as known here.
        clock: Monotonic seconds.
        rng: Source of claim identifiers and of the spread of pauses.
    """

    def __init__(
        self,
        policy: ClaimPolicy,
        lookup: Lookup,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._lookup = lookup
        self._clock = clock
        self._rng = rng

    def claim(self, wanted: Wanted) -> Generator[Step, Replies, Claimed]:
        """Claims a key: the steps, and in the end the result."""
        reason = 'unreadable'
        moved: tuple[Peer, ...] = ()
        while self._left_s(wanted) > 0:
            peers = moved or self._lookup(wanted.place, wanted.home)
            if peers:
                claim_id = f'{self._rng.getrandbits(_CLAIM_ID_BITS):016x}'
                replies, result = yield from self._round(
                    wanted,
                    claim_id,
                    peers,
                )
                if result is not None:
                    return result
                if _verdicts(replies, 'claimed'):
                    reason = 'in-progress'
                moved = _moved(replies)
            spread = self._rng.uniform(_LEAST_SPREAD, _MOST_SPREAD)
            pause_s = self._policy.pause_s * spread
            yield Pause(min(pause_s, max(0, self._left_s(wanted))))
        return InDoubt(reason)

    def release(
        self,
        granted: Granted,
        timeout_s: float,
    ) -> Generator[Step, Replies, bool]:
        """Takes back a claim whose call certainly did not run.

        Returns:
            Whether the keepers took it in, so that a resend can run.
        """
        peers = self._lookup(granted.place, granted.home)
        if not peers:
            return False
        message = _release(granted.place, granted.claim_id)
        replies = yield Ask(
            message,
            peers,
            timeout_s,
            lambda got: len(got) >= needed(peers),
            self._policy.grace_s,
        )
        return len(replies) >= needed(peers)

    def _round(
        self,
        wanted: Wanted,
        claim_id: str,
        peers: tuple[Peer, ...],
    ) -> Generator[Step, Replies, tuple[Replies, Claimed | None]]:
        hosts = tuple(peer.host for peer in peers)
        started_s = self._clock()
        replies = yield Ask(
            ClaimRequest(wanted.place, claim_id, hosts, wanted.kept_ms),
            peers,
            min(self._policy.window_s, self._left_s(wanted)),
            lambda got: _decides(got, needed(peers)),
            self._policy.grace_s,
        )
        done = _verdicts(replies, 'done')
        if done:
            kept = [reply.answer for reply in done if reply.answer is not None]
            return replies, Stored(kept[0] if kept else None)
        is_in_time = self._clock() - started_s <= self._policy.window_s
        if is_in_time and _stands(replies, needed(peers)):
            granted = Granted(
                wanted.place,
                claim_id,
                wanted.home,
                wanted.kept_ms,
            )
            return replies, granted
        if not _is_refused_by_all(replies, peers):
            yield Ask(
                _release(wanted.place, claim_id),
                peers,
                self._policy.window_s,
                lambda got: len(got) >= needed(peers),
                self._policy.grace_s,
            )
        return replies, _absent(replies, needed(peers))

    def _left_s(self, wanted: Wanted) -> float:
        return wanted.deadline_s - self._clock()


def _release(place: bytes, claim_id: str) -> ClaimRelease:
    return ClaimRelease(
        Claim(place, claim_id, ClaimState.RELEASED, RELEASED_KEPT_MS),
    )


def _verdicts(replies: Replies, verdict: str) -> list[ClaimReply]:
    return [reply for reply in replies.values() if reply.verdict == verdict]


def _stands(replies: Replies, enough: int) -> bool:
    is_vetoed = bool(_verdicts(replies, 'claimed'))
    return not is_vetoed and len(_verdicts(replies, 'granted')) >= enough


def _decides(replies: Replies, enough: int) -> bool:
    is_vetoed = _verdicts(replies, 'claimed') or _verdicts(replies, 'done')
    return bool(is_vetoed) or _stands(replies, enough)


def _is_refused_by_all(replies: Replies, peers: tuple[Peer, ...]) -> bool:
    is_complete = len(replies) == len(peers)
    return is_complete and not _verdicts(replies, 'granted')


def _absent(replies: Replies, enough: int) -> Absent | None:
    """Returns `Absent` if so many keepers know no claim but have no room."""
    full = _verdicts(replies, 'full')
    knowing = len(full) + len(_verdicts(replies, 'granted'))
    is_vetoed = bool(_verdicts(replies, 'claimed'))
    if not full or is_vetoed or knowing < enough:
        return None
    return Absent('keepers-full', _FULL_RETRY_MS)


def _moved(replies: Replies) -> tuple[Peer, ...]:
    """Returns the keepers that a keeper named, if it knows their addresses."""
    named = [reply.keepers for reply in _verdicts(replies, 'moved')]
    if not named or not all(address for _, address in named[0]):
        return ()
    return tuple(Peer(host, address) for host, address in named[0])
