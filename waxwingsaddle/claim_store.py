"""Keeper: one of the hosts that hold the claims of a key."""

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

_SYNC_PAGE = 500


@dataclass(slots=True)
class _Exchange:
    """Progress with one other host; `after` is its last sequence number."""

    life: str = ''
    after: int = 0
    is_done: bool = False


class ClaimStore:
    """Decides on claims and learns those of other keepers.

    A bucket is settled when this host knows every claim that could have been
    made under other keepers. After a change of its keepers it is settled again
    once every member of the zone, seeing the same membership, has handed over
    its claims. From then on that member grants only under the same keepers,
    until it has asked this host in turn. So of two different sets of keepers
    that both grant, one knows the claims of the other, even while nodes see
    different memberships.

    Args:
        host: This host.
        table: Claims held.
        window_s: Longest time between a claim request and the use of its
            grants. A host that starts waits that long before it asks: a grant
            given before it lost its memory is by then used or void.
        clock: Monotonic seconds.
        life: Unique identifier of this run of the process.
    """

    def __init__(
        self,
        host: str,
        table: ClaimTable,
        window_s: float,
        clock: Callable[[], float],
        life: str,
    ) -> None:
        self.host = host
        self._life = life
        self._is_leaving = False
        self._table = table
        self._clock = clock
        self._ready_s = clock() + window_s
        self._placement = Placement(())
        self._unsettled = set(range(BUCKETS))
        self._own_unsettled: tuple[int, ...] = ()
        self._exchanges: dict[str, _Exchange] = {}
        self._epoch = 0

    @property
    def is_settled(self) -> bool:
        """Whether this host may grant in all its buckets."""
        return not self._unsettled

    def set_members(self, hosts: Iterable[str]) -> None:
        """Adopts the membership of the zone from the directory."""
        placement = self._placement.changed_to(hosts)
        if placement.hosts == self._placement.hosts:
            return
        self._unsettled.update(
            bucket
            for bucket in range(BUCKETS)
            if placement.keepers(bucket) != self._placement.keepers(bucket)
        )
        self._placement = placement
        self._own_unsettled = tuple(
            bucket
            for bucket in sorted(self._unsettled)
            if self.host in placement.keepers(bucket)
        )
        self._epoch += 1
        others = sorted(placement.hosts - {self.host})
        self._exchanges = {other: _Exchange() for other in others}
        self._settle()

    def keepers(self, place: bytes) -> tuple[str, ...]:
        """Returns the hosts that keep a place, as this host sees it."""
        return self._placement.keepers(bucket_of(place))

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Decides on a claim."""
        held = self._table.status(request.place, request.claim_id)
        if held is not None and held.state is ClaimState.DONE:
            return ClaimReply('done', held.answer)
        if held is not None and held.claim_id != request.claim_id:
            return ClaimReply('claimed')
        keepers = self.keepers(request.place)
        if self.host not in keepers or set(keepers) != set(request.keepers):
            return ClaimReply(
                'moved', keepers=tuple((one, '') for one in keepers)
            )
        is_settled = bucket_of(request.place) not in self._unsettled
        if self._is_leaving or not is_settled:
            return ClaimReply('syncing')
        return self._grant(request, held)

    def keep(self, claims: Iterable[Claim]) -> None:
        """Takes in outcomes, releases and copies of claims."""
        for claim in claims:
            self._table.merge(claim)

    def due_exchanges(self) -> tuple[tuple[str, int, ClaimSync], ...]:
        """Returns whom to ask now: host, epoch of the question, question."""
        self._settle()
        if self.is_settled or not self._may_ask:
            return ()
        return tuple(
            (
                host,
                self._epoch,
                ClaimSync(
                    self._placement.digest,
                    self._own_unsettled,
                    exchange.life,
                    exchange.after,
                ),
            )
            for host, exchange in self._exchanges.items()
            if not exchange.is_done
        )

    def answer_sync(self, sync: ClaimSync) -> ClaimSyncReply:
        """Hands over claims to another keeper."""
        if sync.view != self._placement.digest:
            return ClaimSyncReply(is_same_view=False)
        claims, sequence, has_more = self._table.changes(
            frozenset(sync.buckets),
            sync.after if sync.life == self._life else 0,
            _SYNC_PAGE,
        )
        return ClaimSyncReply(True, claims, self._life, sequence, has_more)

    def take_exchange(
        self,
        host: str,
        epoch: int,
        reply: ClaimSyncReply,
    ) -> None:
        """Takes in the reply of another host to `due_exchanges`.

        Replies from before the last change of membership do not count: the
        other host may have granted under other keepers since.
        """
        self.keep(reply.claims)
        if epoch != self._epoch or not reply.is_same_view:
            return
        exchange = self._exchanges[host]
        exchange.life = reply.life
        exchange.after = reply.sequence
        exchange.is_done = exchange.is_done or not reply.has_more
        self._settle()

    def leave(self) -> tuple[tuple[str, tuple[Claim, ...]], ...]:
        """Ends granting, before a stop.

        Returns:
            The claims to copy first, by next keeper.
        """
        self._is_leaving = True
        following = Placement(self._placement.hosts - {self.host})
        copies: dict[str, list[Claim]] = {}
        for claim in self._table:
            for keeper in following.keepers(bucket_of(claim.place)):
                copies.setdefault(keeper, []).append(claim)
        return tuple((host, tuple(part)) for host, part in copies.items())

    def expire(self) -> None:
        """Forgets claims whose retention is over."""
        self._table.expire()

    @property
    def _may_ask(self) -> bool:
        # A directory without this host is not complete yet.
        is_listed = self.host in self._placement.hosts
        return is_listed and self._clock() >= self._ready_s

    def _grant(self, request: ClaimRequest, held: Claim | None) -> ClaimReply:
        if held is not None:
            is_claimed = held.state is ClaimState.CLAIMED
            return ClaimReply('granted' if is_claimed else 'claimed')
        if self._table.is_full:
            return ClaimReply('full')
        self._table.merge(
            Claim(
                place=request.place,
                claim_id=request.claim_id,
                state=ClaimState.CLAIMED,
                kept_ms=request.kept_ms,
            ),
        )
        return ClaimReply('granted')

    def _settle(self) -> None:
        if not self._may_ask:
            return
        asked = self._exchanges.values()
        if self._own_unsettled and not all(one.is_done for one in asked):
            return
        self._unsettled.clear()
        self._own_unsettled = ()
