"""Service `keepers`: claims of idempotency keys between nodes."""

import random
from functools import singledispatchmethod
from typing import Any

import msgspec
from eventlet import greenpool, greenthread

from waxwingsaddle import metrics
from waxwingsaddle.claim_members import ClaimMembers
from waxwingsaddle.claim_outbox import ClaimOutbox
from waxwingsaddle.claim_runner import ClaimRunner
from waxwingsaddle.claim_store import ClaimStore
from waxwingsaddle.claim_table import ClaimTable
from waxwingsaddle.claimant import (
    RELEASED_KEPT_MS,
    Claimant,
    ClaimPolicy,
    Peer,
    Wanted,
)
from waxwingsaddle.claims import (
    MAX_ANSWER_BYTES,
    Claim,
    ClaimDone,
    Claimed,
    ClaimHandOver,
    ClaimKept,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimSync,
    ClaimSyncReply,
    Granted,
    InDoubt,
    place_of,
)
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.placement import home_zone
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s

_TICK_S = 0.1
_REQUEST_TIMEOUT_S = 0.5
# An outcome that no keeper confirms stays in doubt after this time.
_OUTCOME_RETRY_S = 60
_REQUESTS_AT_ONCE = 32
_HAND_OVER_CLAIMS = 500
_LIFE_BITS = 64
_SERVED = (ClaimRequest, ClaimSync, ClaimDone, ClaimRelease, ClaimHandOver)

_claims = metrics.counter(
    'waxwing_claims',
    'Claims of idempotency keys by result.',
    ('result',),
)
_held_bytes = metrics.gauge(
    'waxwing_claims_held_bytes',
    'Size of the claims kept for other nodes.',
)


class ClaimService:
    """Claims keys for this node, and keeps claims for others.

    Args:
        kernel: Has `hop`, `directory` and `configuration`.
        settings: Settings of the node.
    """

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        policy = ClaimPolicy(
            window_s=settings.claim_window_ms / MS_PER_S,
            grace_s=settings.claim_grace_ms / MS_PER_S,
            pause_s=settings.claim_pause_ms / MS_PER_S,
            max_bytes=settings.claims_max_bytes,
        )
        rng = random.Random()
        life = f'{rng.getrandbits(_LIFE_BITS):016x}'
        self._kernel = kernel
        self._zone = settings.availability_zone
        self._members = ClaimMembers(kernel, settings)
        self._table = ClaimTable(policy.max_bytes, monotonic_s)
        self._keeper = ClaimStore(
            settings.host,
            self._table,
            policy.window_s,
            monotonic_s,
            life,
        )
        lookup = self._members.lookup
        self._claimant = Claimant(policy, lookup, monotonic_s, rng)
        self._outbox = ClaimOutbox(lookup, _OUTCOME_RETRY_S, monotonic_s)
        self._runner = ClaimRunner(kernel, settings.host, self._handle)
        self._pool = greenpool.GreenPool(_REQUESTS_AT_ONCE)
        self._asked: set[tuple[str, int]] = set()
        self._thread: greenthread.GreenThread | None = None

    @property
    def is_settled(self) -> bool:
        """Whether this node knows all claims that it has to keep."""
        return self._keeper.is_settled

    def start(self) -> None:
        """Serves other nodes and begins to learn their claims."""
        hop = self._kernel.find('hop')
        for message_type in _SERVED:
            hop.subscribe(message_type, self._handle)
        self._thread = greenthread.spawn(self._run_timers)

    def stop(self) -> None:
        """Ends the timers."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def claim(self, service: str, key: str, deadline_s: float) -> Claimed:
        """Claims a key before its call is sent; blocks the green thread.

        Args:
            service: Name of the service; keys of services are apart.
            key: Idempotency key of the caller.
            deadline_s: Deadline of the call, on the monotonic clock.
        """
        current = self._kernel.find('configuration').current
        known = current.document.services.get(service) if current else None
        if known is None:
            return InDoubt('unreadable')
        wanted = Wanted(
            place=place_of(service, key),
            home=home_zone(key, self._members.zones),
            kept_ms=known.retention_s * MS_PER_S,
            deadline_s=deadline_s,
        )
        outcome = self._runner.run(self._claimant.claim(wanted))
        _claims.labels(type(outcome).__name__).inc()
        return outcome

    def done(self, granted: Granted, answer: bytes | None) -> None:
        """Stores that the call ran, with its answer; does not block.

        Args:
            granted: The claim, as carried on the call.
            answer: The packed answer, or None when it was not received whole;
                one over 64 KiB is not kept either.
        """
        is_kept = answer is not None and len(answer) <= MAX_ANSWER_BYTES
        claim = Claim(
            place=granted.place,
            claim_id=granted.claim_id,
            state=ClaimState.DONE,
            kept_ms=granted.kept_ms,
            answer=answer if is_kept else None,
        )
        self._outbox.put(claim, granted.home)
        self._send_outbox()

    def release(self, granted: Granted) -> bool:
        """Takes back a claim whose call certainly did not run; blocks.

        Returns:
            Whether the release is certain: only then answer `not-run`.
        """
        steps = self._claimant.release(granted, _REQUEST_TIMEOUT_S)
        is_certain = self._runner.run(steps)
        claim = Claim(
            place=granted.place,
            claim_id=granted.claim_id,
            state=ClaimState.RELEASED,
            kept_ms=RELEASED_KEPT_MS,
        )
        # Also after a majority confirmed: one that missed the release would
        # veto the next claim.
        self._outbox.put(claim, granted.home)
        return is_certain

    def hand_over(self, timeout_s: float) -> int:
        """Copies the claims to their next keepers before a planned stop.

        Outcomes of calls that ran here go out first.

        Returns:
            The number of copies and outcomes not confirmed in time.
        """
        limit_s = monotonic_s() + timeout_s
        while self._send_outbox() and monotonic_s() < limit_s:
            greenthread.sleep(_TICK_S)
        parts = [
            (host, claims[first : first + _HAND_OVER_CLAIMS])
            for host, claims in self._keeper.leave()
            for first in range(0, len(claims), _HAND_OVER_CLAIMS)
        ]
        while parts and monotonic_s() < limit_s:
            parts = [part for part in parts if not self._copy(*part)]
            if parts:
                greenthread.sleep(_TICK_S)
        return len(self._outbox) + sum(len(claims) for _, claims in parts)

    def _copy(self, host: str, claims: tuple[Claim, ...]) -> bool:
        reply = self._runner.request(
            self._members.neighbour(host),
            ClaimHandOver(claims),
            _REQUEST_TIMEOUT_S,
        )
        return reply is not None

    @singledispatchmethod
    def _handle(self, message: ClaimDone | ClaimRelease) -> Any:
        self._keeper.keep((message.claim,))
        return ClaimKept(1)

    @_handle.register
    def _handle_request(self, message: ClaimRequest) -> ClaimReply:
        self._update_members()
        reply = self._keeper.claim(message)
        if not reply.keepers:
            return reply
        named = [self._members.neighbour(host) for host, _ in reply.keepers]
        keepers = tuple((peer.host, peer.address) for peer in named)
        return msgspec.structs.replace(reply, keepers=keepers)

    @_handle.register
    def _handle_sync(self, message: ClaimSync) -> ClaimSyncReply:
        self._update_members()
        return self._keeper.answer_sync(message)

    @_handle.register
    def _handle_hand_over(self, message: ClaimHandOver) -> ClaimKept:
        self._keeper.keep(message.claims)
        return ClaimKept(len(message.claims))

    def _update_members(self) -> None:
        self._keeper.set_members(self._members.placement(self._zone).hosts)

    def _run_timers(self) -> None:
        while True:
            self._update_members()
            for exchange in self._keeper.due_exchanges():
                self._spawn(exchange[:2], self._exchange, *exchange)
            self._send_outbox()
            self._keeper.expire()
            _held_bytes.set(self._table.size_bytes)
            greenthread.sleep(_TICK_S)

    def _exchange(self, host: str, epoch: int, sync: ClaimSync) -> None:
        peer = self._members.neighbour(host)
        reply = self._runner.request(peer, sync, _REQUEST_TIMEOUT_S)
        if isinstance(reply, ClaimSyncReply):
            self._keeper.take_exchange(host, epoch, reply)

    def _send_outbox(self) -> bool:
        due = self._outbox.due()
        for number, message, peers in due:
            for peer in peers:
                self._spawn(
                    (peer.host, -number - 1),
                    self._deliver,
                    number,
                    message,
                    peer,
                )

        return bool(due)

    def _deliver(
        self,
        number: int,
        message: ClaimDone | ClaimRelease,
        peer: Peer,
    ) -> None:
        reply = self._runner.request(peer, message, _REQUEST_TIMEOUT_S)
        if reply is not None:
            self._outbox.confirm(number, peer.host)

    def _spawn(
        self, tag: tuple[str, int], action: Any, *arguments: Any
    ) -> None:
        """Runs a request unless the same one is under way, or many are."""
        if tag in self._asked or not self._pool.free():
            return
        self._asked.add(tag)
        self._pool.spawn_n(self._untagged, tag, action, *arguments)

    def _untagged(
        self, tag: tuple[str, int], action: Any, *arguments: Any
    ) -> None:
        try:
            action(*arguments)
        finally:
            self._asked.discard(tag)


def attach(kernel: Kernel, settings: NodeSettings) -> ClaimService:
    """Provides the service `keepers` of a node."""
    keepers = ClaimService(kernel, settings)
    kernel.provide('keepers', keepers)
    return keepers
