"""At-most-once claims of idempotency keys: models, messages and merge rule.

The keepers of a key are the hosts that store its claims. The state of a claim
only advances, from claimed to released to done, and merging two copies keeps
the later state. Copies may therefore arrive late, twice and in any order.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Literal

import msgspec

_DIGEST_BYTES = 16
# Larger answers are not stored: a resend gets the outcome `ran` with the
# reason `answer-lost`.
MAX_ANSWER_BYTES = 65_536


class ClaimState(IntEnum):
    """State of a claim; a higher value replaces a lower one."""

    CLAIMED = 1
    RELEASED = 2
    DONE = 3


class Claim(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One claim of a key, as keepers store and exchange it.

    Attributes:
        key_digest: Digest of service and key.
        claim_id: Unique identifier of the claim.
        state: State of the claim.
        retention_ms: Remaining retention in milliseconds.
        answer: Packed answer of a done claim; None if it is lost.
    """

    key_digest: bytes
    claim_id: str
    state: ClaimState
    retention_ms: int
    answer: bytes | None = None


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks a keeper to grant a claim.

    Attributes:
        key_digest: Digest of service and key.
        claim_id: Unique identifier of the claim.
        keepers: Hosts that the claimant asks; a keeper grants only if it
            computes the same set of keepers.
        retention_ms: Retention of the claim in milliseconds.
    """

    key_digest: bytes
    claim_id: str
    keepers: tuple[str, ...]
    retention_ms: int


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Reply of a keeper to a `ClaimRequest`.

    Attributes:
        decision: `granted`; `claimed`, another claim of the key exists;
            `done`, the call ran; `syncing`, the keeper may lack claims made
            under earlier keepers; `moved`, the key has other keepers; `full`,
            no claim exists but there is no room for a new one.
        answer: Stored answer if the call ran; None if it is lost.
        keepers: Hosts and call addresses of the current keepers if `moved`.
    """

    decision: Literal[
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
    """Releases a claim whose call did not run."""

    claim: Claim


class ClaimDone(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Reports that the call of a claim ran."""

    claim: Claim


class ClaimHandOver(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Copies claims to their next keeper before the sender stops."""

    claims: tuple[Claim, ...]


class ClaimKept(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Confirms that released, done or copied claims were stored.

    Attributes:
        count: Number of claims.
    """

    count: int


class ClaimSync(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Asks a host for its claims in some buckets.

    Attributes:
        membership_digest: Digest of the membership known to the sender.
        buckets: Buckets of which the sender is a keeper and may lack claims.
        incarnation: Incarnation of the receiver that `after_sequence` belongs
            to; empty in the first request.
        after_sequence: Sequence number of the last change received; 0 in the
            first request.
    """

    membership_digest: bytes
    buckets: tuple[int, ...]
    incarnation: str = ''
    after_sequence: int = 0


class ClaimSyncReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Reply to a `ClaimSync`.

    Attributes:
        is_same_membership: Whether the replying host knows the same
            membership; if not, the reply does not advance the sync.
        claims: Claims changed after the requested number, oldest change first.
        incarnation: Incarnation of the replying host; its sequence numbers
            restart with each one.
        sequence: Sequence number of the last change considered.
        has_more: Whether more changes are left for another request.
    """

    is_same_membership: bool
    claims: tuple[Claim, ...] = ()
    incarnation: str = ''
    sequence: int = 0
    has_more: bool = False


class Granted(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The claim was granted: the call may be sent to a guard, at most once.

    Attributes:
        key_digest: Digest of service and key.
        claim_id: Unique identifier of the claim.
        home_zone: Home zone of the key.
        retention_ms: Retention of the outcome in milliseconds.
    """

    key_digest: bytes
    claim_id: str
    home_zone: str
    retention_ms: int


class Stored(msgspec.Struct, frozen=True):
    """The call with this key already ran.

    Attributes:
        answer: Answer as packed by the guard; None if it is lost because it
            was too large or was not received in full.
    """

    answer: bytes | None


class InDoubt(msgspec.Struct, frozen=True):
    """The call with this key may have run; its outcome is `unknown`.

    Attributes:
        reason: `in-progress` if another claim exists, else `unreadable`.
    """

    reason: str


class Absent(msgspec.Struct, frozen=True):
    """No claim was made and the call never ran; its outcome is `not-run`.

    Attributes:
        reason: Why no claim was made, such as `keepers-full`.
        retry_after_ms: Time after which a retry may succeed, in milliseconds.
    """

    reason: str
    retry_after_ms: int


ClaimResult = Granted | Stored | InDoubt | Absent


def hash_key(service: str, key: str) -> bytes:
    """Returns the digest under which the claims of a key are stored."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    digest.update(service.encode())
    digest.update(b'\n')
    digest.update(key.encode())
    return digest.digest()


def latest_state(current: Claim | None, incoming: Claim) -> Claim:
    """Returns the copy of a claim that has the later state.

    A done claim with its answer replaces one without.
    """
    if current is None:
        return incoming
    return max(current, incoming, key=_lateness)


def _lateness(claim: Claim) -> tuple[int, bool]:
    return claim.state, claim.answer is not None
