"""Claims that one host stores as a keeper, and their sync between keepers.

The keepers of a bucket of keys are the hosts that store the claims of these
keys.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from waxwingsaddle.claim_table import ClaimTable
from waxwingsaddle.claims import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimSync,
    ClaimSyncReply,
)
from waxwingsaddle.placement import BUCKETS, Placement, bucket_of

_SYNC_PAGE_CLAIMS = 500


@dataclass(slots=True)
class _SyncProgress:
    """Progress of the sync with one other host.

    Attributes:
        incarnation: Incarnation of that host as of its last reply.
        after_sequence: Sequence number of the last change received from it.
        is_done: Whether it has sent all its claims since the last change of
            membership.
    """

    incarnation: str = ''
    after_sequence: int = 0
    is_done: bool = False


class ClaimStore:
    """Grants or refuses claims, and syncs claims from other hosts.

    A bucket is settled when this host knows every claim that may have been
    granted under other keepers; only then does it grant claims in the bucket.
    When the keepers of a bucket change, it is settled again after every member
    of the zone, knowing the same membership, has sent its claims. From then on
    that member grants only under the same keepers, until it has synced with
    this host in turn. If two different sets of keepers both grant, one of them
    therefore knows the claims of the other, even while nodes know different
    memberships.

    Args:
        host: Name of this host.
        table: Stored claims.
        window_s: Longest time between a claim request and the use of its
            grants, in seconds. A host waits this long after its start before
            it syncs: a grant that it gave before it lost its memory has by
            then been used or has become invalid.
        clock: Returns monotonic seconds.
        incarnation: Unique identifier of this run of the process.
    """

    def __init__(
        self,
        host: str,
        table: ClaimTable,
        window_s: float,
        clock: Callable[[], float],
        incarnation: str,
    ) -> None:
        self.host = host
        self._incarnation = incarnation
        self._is_leaving = False
        self._table = table
        self._clock = clock
        self._window_over_s = clock() + window_s
        self._placement = Placement(())
        self._unsettled_buckets = set(range(BUCKETS))
        self._own_unsettled_buckets: tuple[int, ...] = ()
        self._sync_progress: dict[str, _SyncProgress] = {}
        self._epoch = 0

    @property
    def is_settled(self) -> bool:
        """Whether this host may grant claims in all its buckets."""
        return not self._unsettled_buckets

    def set_members(self, hosts: Iterable[str]) -> None:
        """Applies the membership of the zone from the directory.

        Buckets whose keepers change become unsettled, and the sync with all
        other members starts over.

        Args:
            hosts: Hosts of the zone.
        """
        placement = self._placement.with_hosts(hosts)
        if placement.hosts == self._placement.hosts:
            return
        self._unsettled_buckets.update(
            bucket
            for bucket in range(BUCKETS)
            if placement.keepers(bucket) != self._placement.keepers(bucket)
        )
        self._placement = placement
        self._own_unsettled_buckets = tuple(
            bucket
            for bucket in sorted(self._unsettled_buckets)
            if self.host in placement.keepers(bucket)
        )
        self._epoch += 1
        peers = sorted(placement.hosts - {self.host})
        self._sync_progress = {peer: _SyncProgress() for peer in peers}
        self._settle()

    def keepers(self, key_digest: bytes) -> tuple[str, ...]:
        """Returns the keepers of a key under the current membership."""
        return self._placement.keepers(bucket_of(key_digest))

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Returns the decision on a claim; stores the claim if granted."""
        stored = self._table.find_deciding(request.key_digest, request.claim_id)
        if stored is not None and stored.state is ClaimState.DONE:
            return ClaimReply('done', stored.answer)
        if stored is not None and stored.claim_id != request.claim_id:
            return ClaimReply('claimed')
        keepers = self.keepers(request.key_digest)
        if self.host not in keepers or set(keepers) != set(request.keepers):
            return ClaimReply(
                'moved', keepers=tuple((host, '') for host in keepers)
            )
        is_settled = (
            bucket_of(request.key_digest) not in self._unsettled_buckets
        )
        if self._is_leaving or not is_settled:
            return ClaimReply('syncing')
        return self._grant(request, stored)

    def merge(self, claims: Iterable[Claim]) -> None:
        """Merges outcomes, releases and copies of claims into the table."""
        for claim in claims:
            self._table.merge(claim)

    def due_sync_requests(self) -> tuple[tuple[str, int, ClaimSync], ...]:
        """Returns the requests to send now.

        Returns:
            Host, membership epoch and request for each host whose claims are
            still missing. The epoch goes back to `apply_sync_reply`.
        """
        self._settle()
        if self.is_settled or not self._may_sync:
            return ()
        return tuple(
            (
                host,
                self._epoch,
                ClaimSync(
                    self._placement.digest,
                    self._own_unsettled_buckets,
                    progress.incarnation,
                    progress.after_sequence,
                ),
            )
            for host, progress in self._sync_progress.items()
            if not progress.is_done
        )

    def serve_sync(self, sync: ClaimSync) -> ClaimSyncReply:
        """Returns claims that another host asks for, one page at a time."""
        if sync.membership_digest != self._placement.digest:
            return ClaimSyncReply(is_same_membership=False)
        claims, sequence, has_more = self._table.changes(
            frozenset(sync.buckets),
            sync.after_sequence if sync.incarnation == self._incarnation else 0,
            _SYNC_PAGE_CLAIMS,
        )
        return ClaimSyncReply(
            True, claims, self._incarnation, sequence, has_more
        )

    def apply_sync_reply(
        self,
        host: str,
        epoch: int,
        reply: ClaimSyncReply,
    ) -> None:
        """Merges the reply to a request from `due_sync_requests`.

        The claims are always merged, but a reply to a request from before the
        last change of membership does not advance the sync: the other host may
        have granted claims under other keepers since.

        Args:
            host: Host that replied.
            epoch: Membership epoch of the request.
            reply: The reply.
        """
        self.merge(reply.claims)
        if epoch != self._epoch or not reply.is_same_membership:
            return
        progress = self._sync_progress[host]
        progress.incarnation = reply.incarnation
        progress.after_sequence = reply.sequence
        progress.is_done = progress.is_done or not reply.has_more
        self._settle()

    def stop_granting(self) -> tuple[tuple[str, tuple[Claim, ...]], ...]:
        """Stops granting claims, in preparation for a planned stop.

        Returns:
            For each keeper after this host has left, the claims to copy to it
            before the stop.
        """
        self._is_leaving = True
        next_placement = Placement(self._placement.hosts - {self.host})
        copies: dict[str, list[Claim]] = {}
        for claim in self._table:
            for keeper in next_placement.keepers(bucket_of(claim.key_digest)):
                copies.setdefault(keeper, []).append(claim)
        return tuple((host, tuple(claims)) for host, claims in copies.items())

    def expire(self) -> None:
        """Removes claims whose retention is over from part of the table."""
        self._table.expire()

    @property
    def _may_sync(self) -> bool:
        # A directory that lacks this host is still incomplete.
        is_listed = self.host in self._placement.hosts
        return is_listed and self._clock() >= self._window_over_s

    def _grant(self, request: ClaimRequest, stored: Claim | None) -> ClaimReply:
        if stored is not None:
            is_claimed = stored.state is ClaimState.CLAIMED
            return ClaimReply('granted' if is_claimed else 'claimed')
        if self._table.is_full:
            return ClaimReply('full')
        self._table.merge(
            Claim(
                key_digest=request.key_digest,
                claim_id=request.claim_id,
                state=ClaimState.CLAIMED,
                retention_ms=request.retention_ms,
            ),
        )
        return ClaimReply('granted')

    def _settle(self) -> None:
        if not self._may_sync:
            return
        syncs = self._sync_progress.values()
        if self._own_unsettled_buckets and not all(
            sync.is_done for sync in syncs
        ):
            return
        self._unsettled_buckets.clear()
        self._own_unsettled_buckets = ()
