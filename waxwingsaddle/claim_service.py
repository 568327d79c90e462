"""Service `keepers`: claims of idempotency keys, shared between nodes."""

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
    RELEASE_RETENTION_MS,
    Claimant,
    ClaimPolicy,
    ClaimTarget,
    Peer,
)
from waxwingsaddle.claims import (
    MAX_ANSWER_BYTES,
    Claim,
    ClaimDone,
    ClaimHandOver,
    ClaimKept,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    ClaimState,
    ClaimSync,
    ClaimSyncReply,
    Granted,
    InDoubt,
    hash_key,
)
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.placement import home_zone
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s

_TIMER_INTERVAL_S = 0.1
_REQUEST_TIMEOUT_S = 0.5
# An outcome that no keeper confirms within this time stays in doubt.
_OUTCOME_RETRY_S = 60
_MAX_CONCURRENT_REQUESTS = 32
_HAND_OVER_BATCH_CLAIMS = 500
_INCARNATION_BITS = 64
_HANDLED = (ClaimRequest, ClaimSync, ClaimDone, ClaimRelease, ClaimHandOver)

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
    """Claims keys for calls of this node, and stores claims as a keeper.

    Args:
        kernel: Provides `hop`, `directory` and `configuration`.
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
        incarnation = f'{rng.getrandbits(_INCARNATION_BITS):016x}'
        self._kernel = kernel
        self._zone = settings.availability_zone
        self._members = ClaimMembers(kernel, settings)
        self._table = ClaimTable(policy.max_bytes, monotonic_s)
        self._store = ClaimStore(
            settings.host,
            self._table,
            policy.window_s,
            monotonic_s,
            incarnation,
        )
        lookup = self._members.lookup
        self._claimant = Claimant(policy, lookup, monotonic_s, rng)
        self._outbox = ClaimOutbox(lookup, _OUTCOME_RETRY_S, monotonic_s)
        self._runner = ClaimRunner(kernel, settings.host, self._handle)
        self._pool = greenpool.GreenPool(_MAX_CONCURRENT_REQUESTS)
        self._active_tags: set[tuple[str, int]] = set()
        self._thread: greenthread.GreenThread | None = None

    @property
    def is_settled(self) -> bool:
        """Whether this node has synced all claims that it must store."""
        return self._store.is_settled

    def start(self) -> None:
        """Serves other nodes and starts to sync their claims."""
        transport = self._kernel.find('hop')
        for message_type in _HANDLED:
            transport.subscribe(message_type, self._handle)
        self._thread = greenthread.spawn(self._run_timers)

    def stop(self) -> None:
        """Stops the timers."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def claim(self, service: str, key: str, deadline_s: float) -> ClaimResult:
        """Claims a key before its call is sent; blocks the green thread.

        Args:
            service: Name of the service; each has its own space of keys.
            key: Idempotency key of the caller.
            deadline_s: Deadline of the call in monotonic seconds.
        """
        config = self._kernel.find('configuration').current
        entry = config.document.services.get(service) if config else None
        if entry is None:
            return InDoubt('unreadable')
        target = ClaimTarget(
            key_digest=hash_key(service, key),
            home_zone=home_zone(key, self._members.zones),
            retention_ms=entry.retention_s * MS_PER_S,
            deadline_s=deadline_s,
        )
        outcome = self._runner.run(self._claimant.claim(target))
        _claims.labels(type(outcome).__name__).inc()
        return outcome

    def store_outcome(self, granted: Granted, answer: bytes | None) -> None:
        """Records at the keepers that a call ran; does not block.

        Args:
            granted: Claim that the call carried.
            answer: Packed answer; None if it was not received in full. An
                answer over 64 KiB is not stored.
        """
        is_storable = answer is not None and len(answer) <= MAX_ANSWER_BYTES
        claim = Claim(
            key_digest=granted.key_digest,
            claim_id=granted.claim_id,
            state=ClaimState.DONE,
            retention_ms=granted.retention_ms,
            answer=answer if is_storable else None,
        )
        self._outbox.enqueue(claim, granted.home_zone)
        self._send_outbox()

    def release(self, granted: Granted) -> bool:
        """Releases a claim whose call certainly did not run; blocks.

        Returns:
            Whether a majority confirmed; only then is the outcome `not-run`.
        """
        steps = self._claimant.release(granted, _REQUEST_TIMEOUT_S)
        is_certain = self._runner.run(steps)
        claim = Claim(
            key_digest=granted.key_digest,
            claim_id=granted.claim_id,
            state=ClaimState.RELEASED,
            retention_ms=RELEASE_RETENTION_MS,
        )
        # Sent to all keepers even after a majority confirmed: a keeper that
        # missed the release would refuse the next claim of the key.
        self._outbox.enqueue(claim, granted.home_zone)
        return is_certain

    def hand_over(self, timeout_s: float) -> int:
        """Copies stored claims to their next keepers before a planned stop.

        Pending outcomes and releases are sent first.

        Args:
            timeout_s: Longest time to spend, in seconds.

        Returns:
            Number of claim copies, outcomes and releases left unconfirmed.
        """
        deadline_s = monotonic_s() + timeout_s
        while self._send_outbox() and monotonic_s() < deadline_s:
            greenthread.sleep(_TIMER_INTERVAL_S)
        batches = [
            (host, claims[first : first + _HAND_OVER_BATCH_CLAIMS])
            for host, claims in self._store.stop_granting()
            for first in range(0, len(claims), _HAND_OVER_BATCH_CLAIMS)
        ]
        while batches and monotonic_s() < deadline_s:
            batches = [batch for batch in batches if not self._copy(*batch)]
            if batches:
                greenthread.sleep(_TIMER_INTERVAL_S)
        return len(self._outbox) + sum(len(claims) for _, claims in batches)

    def _copy(self, host: str, claims: tuple[Claim, ...]) -> bool:
        reply = self._runner.request(
            self._members.zone_peer(host),
            ClaimHandOver(claims),
            _REQUEST_TIMEOUT_S,
        )
        return reply is not None

    @singledispatchmethod
    def _handle(self, message: ClaimDone | ClaimRelease) -> Any:
        self._store.merge((message.claim,))
        return ClaimKept(1)

    @_handle.register
    def _handle_request(self, message: ClaimRequest) -> ClaimReply:
        self._update_members()
        reply = self._store.claim(message)
        if not reply.keepers:
            return reply
        peers = [self._members.zone_peer(host) for host, _ in reply.keepers]
        keepers = tuple((peer.host, peer.address) for peer in peers)
        return msgspec.structs.replace(reply, keepers=keepers)

    @_handle.register
    def _handle_sync(self, message: ClaimSync) -> ClaimSyncReply:
        self._update_members()
        return self._store.serve_sync(message)

    @_handle.register
    def _handle_hand_over(self, message: ClaimHandOver) -> ClaimKept:
        self._store.merge(message.claims)
        return ClaimKept(len(message.claims))

    def _update_members(self) -> None:
        self._store.set_members(self._members.placement(self._zone).hosts)

    def _run_timers(self) -> None:
        while True:
            self._update_members()
            for request in self._store.due_sync_requests():
                self._spawn(request[:2], self._sync, *request)
            self._send_outbox()
            self._store.expire()
            _held_bytes.set(self._table.size_bytes)
            greenthread.sleep(_TIMER_INTERVAL_S)

    def _sync(self, host: str, epoch: int, sync: ClaimSync) -> None:
        peer = self._members.zone_peer(host)
        reply = self._runner.request(peer, sync, _REQUEST_TIMEOUT_S)
        if isinstance(reply, ClaimSyncReply):
            self._store.apply_sync_reply(host, epoch, reply)

    def _send_outbox(self) -> bool:
        due = self._outbox.due()
        for number, message, peers in due:
            for peer in peers:
                self._spawn(
                    # Negative to differ from the epochs of syncs.
                    (peer.host, -number - 1),
                    self._deliver,
                    number,
                    message,
                    peer,
                )
        return bool(due)

    def _deliver(
        self, number: int, message: ClaimDone | ClaimRelease, peer: Peer
    ) -> None:
        reply = self._runner.request(peer, message, _REQUEST_TIMEOUT_S)
        if reply is not None:
            self._outbox.confirm(number, peer.host)

    def _spawn(
        self, tag: tuple[str, int], action: Any, *arguments: Any
    ) -> None:
        """Runs an action unless its tag is active or the pool is full."""
        if tag in self._active_tags or not self._pool.free():
            return
        self._active_tags.add(tag)
        self._pool.spawn_n(self._run_tagged, tag, action, *arguments)

    def _run_tagged(
        self, tag: tuple[str, int], action: Any, *arguments: Any
    ) -> None:
        try:
            action(*arguments)
        finally:
            self._active_tags.discard(tag)


def attach(kernel: Kernel, settings: NodeSettings) -> ClaimService:
    """Creates the claim service and provides it as `keepers`."""
    service = ClaimService(kernel, settings)
    kernel.provide('keepers', service)
    return service
