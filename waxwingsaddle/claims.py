"""At-most-once claims of idempotency keys: models, messages and merge rule.

A keeper holds, for each key, the claims made of it. A claim only moves from
claimed over released to done, and merging takes the later state, so copies
may arrive late, twice and in any order.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Literal

import msgspec

_PLACE_BYTES = 16
# Larger answers are not kept: a resend gets "ran, answer lost".
MAX_ANSWER_BYTES = 65_536


class ClaimState(IntEnum):
    """State of one claim; a later state replaces an earlier one."""

    CLAIMED = 1
    RELEASED = 2
    DONE = 3


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One claim of one key, as it is kept and copied.

    Attributes:
        place: Digest of service and key.
        claim_id: Unique identifier of the claim.
        state: How far it got.
        kept_ms: How long it is to be kept from now.
        answer: The packed answer of a done claim; None when it is lost.
    """

    place: bytes
    claim_id: str
    state: ClaimState
    kept_ms: int
    answer: bytes | None = None


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks a keeper for a grant.

    Attributes:
        place: Digest of service and key.
        claim_id: Unique identifier of the claim.
        keepers: Hosts that the claimant asks; a keeper grants only if it
            counts the same ones.
        kept_ms: How long the claim is to be kept.
    """

    place: bytes
    claim_id: str
    keepers: tuple[str, ...]
    kept_ms: int


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Answer of a keeper to a claim.

    Attributes:
        verdict: `granted`; `claimed` by another claim; `done`; `syncing`, the
            keeper doesn't know all claims yet; `moved`, other keepers are in
            charge; `full`, absent but there is no room for it.
        answer: The stored answer when done, None when it is lost.
        keepers: Host and call address of those in charge when moved.
    """

    verdict: Literal[
        'granted',
        'claimed',
        'done',
        'syncing',
        'moved',
        'full',
    ]
    answer: bytes | None = None
    keepers: tuple[tuple[str, str], ...] = ()


class ClaimRelease(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Takes back a claim whose call did not run."""

    claim: Claim


class ClaimDone(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Tells that the call of a claim ran."""

    claim: Claim


class ClaimHandOver(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Copies claims to their next keeper before this host stops."""

    claims: tuple[Claim, ...]


class ClaimKept(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Confirms a release, an outcome or a hand-over."""

    count: int


class ClaimSync(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks a host for its claims in some buckets.

    Attributes:
        view: Digest of the membership that the asking host sees.
        buckets: Buckets in which it is a keeper and doesn't know all claims.
        life: Life of the asked host that `after` belongs to; empty at first.
        after: Sequence number of the last change received, 0 at first.
    """

    view: bytes
    buckets: tuple[int, ...]
    life: str = ''
    after: int = 0


class ClaimSyncReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Answer to `ClaimSync`.

    Attributes:
        is_same_view: Whether the asked host sees the same membership; if not,
            the exchange does not count.
        claims: Changes after the asked number, oldest first.
        life: Life of the answering host; its numbers start again in the next.
        sequence: Number of the last change considered.
        has_more: Whether further ones wait.
    """

    is_same_view: bool
    claims: tuple[Claim, ...] = ()
    life: str = ''
    sequence: int = 0
    has_more: bool = False


class Granted(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The claim stands: send the call to a guard, at most once.

    Attributes:
        place: Digest of service and key.
        claim_id: Unique identifier of the claim.
        home: Home zone of the key.
        kept_ms: How long the outcome is to be kept.
    """

    place: bytes
    claim_id: str
    home: str
    kept_ms: int


class Stored(msgspec.Struct, frozen=True):
    """The key was executed before.

    Attributes:
        answer: The answer as packed by the guard, or None when it is lost:
            too large, or never received.
    """

    answer: bytes | None


class InDoubt(msgspec.Struct, frozen=True):
    """The key may have been executed: answer `unknown`.

    Attributes:
        reason: `in-progress` or `unreadable`.
    """

    reason: str


class Absent(msgspec.Struct, frozen=True):
    """No claim was made and the key never ran: answer `not-run`.

    Attributes:
        reason: Why no claim was made, such as `keepers-full`.
        retry_after_ms: When an attempt may succeed.
    """

    reason: str
    retry_after_ms: int


Claimed = Granted | Stored | InDoubt | Absent


def place_of(service: str, key: str) -> bytes:
    """Returns the digest under which the claims of a key are kept."""
    digest = blake2b(digest_size=_PLACE_BYTES)
    digest.update(service.encode())
    digest.update(b'\n')
    digest.update(key.encode())
    return digest.digest()


def merged(mine: Claim | None, theirs: Claim) -> Claim:
    """Returns the later of two states of the same claim.

    Of two done states, one with the answer replaces one without.
    """
    if mine is None:
        return theirs
    return max(mine, theirs, key=_lateness)


def _lateness(claim: Claim) -> tuple[int, bool]:
    return claim.state, claim.answer is not None
