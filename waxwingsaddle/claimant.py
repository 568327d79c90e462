"""Claiming and releasing of idempotency keys by an entry node.

Before a node sends a call with an idempotency key, it claims the key from a
majority of the key's keepers, the hosts that store its claims. The protocol is
written as generators without input or output: they yield a `PeerQuery` or a
`Pause` and receive the replies. `ClaimRunner` runs them over the network, and
the tests run them over a simulated one.
"""

import random
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import Any

from waxwingsaddle.claims import (
    Absent,
    Claim,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ClaimState,
    Granted,
    InDoubt,
    Stored,
)
from waxwingsaddle.placement import majority

# Keepers remember a released claim this long, so that a delayed copy of its
# request or of the claim itself does not make it valid again.
RELEASE_RETENTION_MS = 600_000

_RETRY_AFTER_FULL_MS = 1000
_CLAIM_ID_BITS = 64
_MIN_PAUSE_FACTOR = 0.5
_MAX_PAUSE_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Peer:
    """A keeper that a claimant sends messages to.

    Attributes:
        host: Name of the host.
        address: Call address of the node on that host.
    """

    host: str
    address: str


Replies = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class PeerQuery:
    """Step that sends a message to peers and collects replies by host.

    Attributes:
        message: Message to send.
        peers: Recipients.
        timeout_s: Longest wait for replies, in seconds.
        is_enough: Returns whether the replies so far decide the query.
        grace_s: Wait for the remaining replies once `is_enough` holds, in
            seconds.
    """

    message: Any
    peers: tuple[Peer, ...]
    timeout_s: float
    is_enough: Callable[[Replies], bool]
    grace_s: float = 0


@dataclass(frozen=True, slots=True)
class Pause:
    """Step that waits before the next one.

    Attributes:
        pause_s: Length of the wait in seconds.
    """

    pause_s: float


Step = PeerQuery | Pause
KeeperLookup = Callable[[bytes, str], tuple[Peer, ...]]


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """Timing and size limits of claims.

    Attributes:
        window_s: Time after sending a claim request, in seconds, after which
            its grants are no longer valid.
        grace_s: Wait for the remaining keepers once enough of them have
            replied, in seconds.
        pause_s: Mean pause before a claim is retried, in seconds.
        max_bytes: Size of the claims on one keeper, in bytes, beyond which it
            refuses new keys.
    """

    window_s: float
    grace_s: float
    pause_s: float
    max_bytes: int


@dataclass(frozen=True, slots=True)
class ClaimTarget:
    """A key to be claimed.

    Attributes:
        key_digest: Digest of service and key.
        home_zone: Home zone of the key.
        retention_ms: Retention of the claim and its outcome, in milliseconds.
        deadline_s: Time on the claimant's clock after which it gives up, in
            seconds.
    """

    key_digest: bytes
    home_zone: str
    retention_ms: int
    deadline_s: float


class Claimant:
    """Claims keys from their keepers and releases them.

    Args:
        policy: Timing and size limits.
        lookup: Returns the keepers of a key digest in its home zone, as the
            local directory lists them.
        clock: Returns monotonic seconds.
        rng: Source of claim identifiers and of the jitter of pauses.
    """

    def __init__(
        self,
        policy: ClaimPolicy,
        lookup: KeeperLookup,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._lookup = lookup
        self._clock = clock
        self._rng = rng

    def claim(
        self, target: ClaimTarget
    ) -> Generator[Step, Replies, ClaimResult]:
        """Claims a key, in rounds of requests until one decides.

        Args:
            target: The key.

        Returns:
            The steps to run; their final value is the result of the claim.
        """
        reason = 'unreadable'
        moved: tuple[Peer, ...] = ()
        while self._remaining_s(target) > 0:
            peers = moved or self._lookup(target.key_digest, target.home_zone)
            if peers:
                claim_id = f'{self._rng.getrandbits(_CLAIM_ID_BITS):016x}'
                replies, result = yield from self._run_round(
                    target, claim_id, peers
                )
                if result is not None:
                    return result
                if _select(replies, 'claimed'):
                    reason = 'in-progress'
                moved = _new_keepers(replies)
            factor = self._rng.uniform(_MIN_PAUSE_FACTOR, _MAX_PAUSE_FACTOR)
            pause_s = self._policy.pause_s * factor
            yield Pause(min(pause_s, max(0, self._remaining_s(target))))
        return InDoubt(reason)

    def release(
        self, granted: Granted, timeout_s: float
    ) -> Generator[Step, Replies, bool]:
        """Releases a claim whose call certainly did not run.

        Args:
            granted: The claim.
            timeout_s: Longest wait for the keepers, in seconds.

        Returns:
            The steps to run; their final value is whether a majority of the
            keepers confirmed the release, so that a resend can run.
        """
        peers = self._lookup(granted.key_digest, granted.home_zone)
        if not peers:
            return False
        message = _release_message(granted.key_digest, granted.claim_id)
        replies = yield PeerQuery(
            message,
            peers,
            timeout_s,
            lambda received: len(received) >= majority(peers),
            self._policy.grace_s,
        )
        return len(replies) >= majority(peers)

    def _run_round(
        self, target: ClaimTarget, claim_id: str, peers: tuple[Peer, ...]
    ) -> Generator[Step, Replies, tuple[Replies, ClaimResult | None]]:
        host_names = tuple(peer.host for peer in peers)
        started_s = self._clock()
        replies = yield PeerQuery(
            ClaimRequest(
                target.key_digest, claim_id, host_names, target.retention_ms
            ),
            peers,
            min(self._policy.window_s, self._remaining_s(target)),
            lambda received: _is_decided(received, majority(peers)),
            self._policy.grace_s,
        )
        done = _select(replies, 'done')
        if done:
            answers = [
                reply.answer for reply in done if reply.answer is not None
            ]
            return replies, Stored(answers[0] if answers else None)
        is_in_time = self._clock() - started_s <= self._policy.window_s
        if is_in_time and _is_granted(replies, majority(peers)):
            granted = Granted(
                target.key_digest,
                claim_id,
                target.home_zone,
                target.retention_ms,
            )
            return replies, granted
        if not _is_refused_by_all(replies, peers):
            yield PeerQuery(
                _release_message(target.key_digest, claim_id),
                peers,
                self._policy.window_s,
                lambda received: len(received) >= majority(peers),
                self._policy.grace_s,
            )
        return replies, _absent_if_full(replies, majority(peers))

    def _remaining_s(self, target: ClaimTarget) -> float:
        return target.deadline_s - self._clock()


def _release_message(key_digest: bytes, claim_id: str) -> ClaimRelease:
    return ClaimRelease(
        Claim(key_digest, claim_id, ClaimState.RELEASED, RELEASE_RETENTION_MS),
    )


def _select(replies: Replies, decision: str) -> list[ClaimReply]:
    return [reply for reply in replies.values() if reply.decision == decision]


def _is_granted(replies: Replies, required: int) -> bool:
    is_contested = bool(_select(replies, 'claimed'))
    return not is_contested and len(_select(replies, 'granted')) >= required


def _is_decided(replies: Replies, required: int) -> bool:
    is_contested = _select(replies, 'claimed') or _select(replies, 'done')
    return bool(is_contested) or _is_granted(replies, required)


def _is_refused_by_all(replies: Replies, peers: tuple[Peer, ...]) -> bool:
    is_complete = len(replies) == len(peers)
    return is_complete and not _select(replies, 'granted')


def _absent_if_full(replies: Replies, required: int) -> Absent | None:
    """Returns `Absent` if no claim exists and keepers have no room for one.

    Needs replies without a claim from the required number of keepers.
    """
    full = _select(replies, 'full')
    answered_count = len(full) + len(_select(replies, 'granted'))
    is_contested = bool(_select(replies, 'claimed'))
    if not full or is_contested or answered_count < required:
        return None
    return Absent('keepers-full', _RETRY_AFTER_FULL_MS)


def _new_keepers(replies: Replies) -> tuple[Peer, ...]:
    """Returns the current keepers that a `moved` reply names.

    Returns none if an address of them is missing.
    """
    named = [reply.keepers for reply in _select(replies, 'moved')]
    if not named or not all(address for _, address in named[0]):
        return ()
    return tuple(Peer(host, address) for host, address in named[0])
