"""Graceful stop of a node: announce, wait, finish the calls, exit."""

import time
from typing import Protocol

import eventlet

from waxwingsaddle import logs
from waxwingsaddle.call_server import CallServer
from waxwingsaddle.claim_service import ClaimService
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstreams import Upstreams
from waxwingsaddle.util.clock import MS_PER_S

_POLL_S = 0.02
# Claims not copied by then are still with their two other keepers.
_CLAIM_HAND_OVER_TIMEOUT_S = 1


class CallerServer(Protocol):
    """Server of callers that can stop without losing a call."""

    def start(self) -> None:
        """Listens and serves."""

    def drain(self) -> None:
        """Tells each caller to close its connection."""

    def close_gracefully(self, timeout_s: float) -> int:
        """Waits for the calls in flight and returns how many were cut."""


class Shutdown:
    """Stops the data path of a node without cutting a call off.

    It is the last service, so that it stops first, while all others work.

    Args:
        upstreams: Announces the upstreams of this node as draining.
        servers: Serve callers.
        call_server: Serves other nodes.
        upstream_calls: Runs calls at the upstreams.
        keepers: Keeps claims of idempotency keys.
        drain_wait_ms: Time in which other nodes learn of the drain.
        stop_limit_ms: Longest time for calls in flight afterwards.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        servers: tuple[CallerServer, ...],
        call_server: CallServer,
        upstream_calls: UpstreamCalls,
        keepers: ClaimService,
        drain_wait_ms: int,
        stop_limit_ms: int,
    ) -> None:
        self._upstreams = upstreams
        self._servers = servers
        self._call_server = call_server
        self._upstream_calls = upstream_calls
        self._keepers = keepers
        self._drain_wait_s = drain_wait_ms / MS_PER_S
        self._stop_limit_s = stop_limit_ms / MS_PER_S
        self.is_draining = False

    def start(self) -> None:
        """Serves callers."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Drains, finishes the calls in flight and says what was cut."""
        self.is_draining = True
        for server in self._servers:
            server.drain()
        self._upstreams.drain()
        eventlet.sleep(self._drain_wait_s)
        deadline_s = time.monotonic() + self._stop_limit_s
        cut_caller_calls = self._close_servers(deadline_s)
        while time.monotonic() < deadline_s and self._is_busy():
            eventlet.sleep(_POLL_S)
        uncopied_claims = self._keepers.hand_over(_CLAIM_HAND_OVER_TIMEOUT_S)
        if uncopied_claims:
            logs.logger().warning(
                'claims not handed over', claims=uncopied_claims
            )
        cut_node_calls = self._call_server.pending
        if cut_caller_calls or cut_node_calls:
            logs.logger().warning(
                'stop limit passed, calls were cut off',
                callers=cut_caller_calls,
                nodes=cut_node_calls,
                at_upstreams=self._upstream_calls.pending,
            )

    def _close_servers(self, deadline_s: float) -> int:
        closing_threads = [
            eventlet.spawn(
                server.close_gracefully, max(0, deadline_s - time.monotonic())
            )
            for server in self._servers
        ]
        return sum(thread.wait() for thread in closing_threads)

    def _is_busy(self) -> bool:
        return bool(self._call_server.pending or self._upstream_calls.pending)
