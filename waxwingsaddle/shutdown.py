"""Graceful stop of a node.

The node announces that it drains, waits until other nodes have learned it, and
finishes the calls in flight.
"""

import time
from typing import Protocol

import eventlet

from waxwingsaddle import logs
from waxwingsaddle.call_server import CallServer
from waxwingsaddle.claim_service import ClaimService
from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstreams import Upstreams
from waxwingsaddle.util.clock import MS_PER_S

_POLL_S = 0.02
# Time to copy the claims that this node keeps to other nodes. Claims that are
# not copied in time are still stored by their two other keepers.
_CLAIM_HAND_OVER_TIMEOUT_S = 1


class CallerServer(Protocol):
    """Server for callers that can stop without losing a call."""

    def start(self) -> None:
        """Starts to listen and serves connections."""

    def drain(self) -> None:
        """Asks each caller, with its next answer, to close its connection."""

    def close_gracefully(self, timeout_s: float) -> int:
        """Closes the listener and waits for the calls in flight.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            The number of calls that are not answered by then.
        """


class Shutdown:
    """Stops the call path of a node without cutting calls off.

    It is registered last, so that it is stopped first, while all other
    services still work.

    Args:
        upstreams: Announces the upstreams of this node as draining.
        servers: Servers of callers.
        running_calls: Calls of callers that are not answered yet.
        call_server: Serves the calls of other nodes.
        upstream_calls: Runs calls at the upstreams of this node.
        claim_service: Stores claims of idempotency keys.
        drain_wait_ms: Time in which other nodes learn of the drain, in
            milliseconds.
        stop_limit_ms: Longest time for the calls in flight after that, in
            milliseconds.

    Attributes:
        is_draining: Whether the stop has begun.
    """

    def __init__(
        self,
        upstreams: Upstreams,
        servers: tuple[CallerServer, ...],
        running_calls: RunningCalls,
        call_server: CallServer,
        upstream_calls: UpstreamCalls,
        claim_service: ClaimService,
        drain_wait_ms: int,
        stop_limit_ms: int,
    ) -> None:
        self._upstreams = upstreams
        self._servers = servers
        self._running_calls = running_calls
        self._call_server = call_server
        self._upstream_calls = upstream_calls
        self._claim_service = claim_service
        self._drain_wait_s = drain_wait_ms / MS_PER_S
        self._stop_limit_s = stop_limit_ms / MS_PER_S
        self.is_draining = False

    def start(self) -> None:
        """Starts the servers of callers."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Drains, finishes the calls in flight and logs calls cut off."""
        self.is_draining = True
        self._running_calls.stop_schedule.begin()
        for server in self._servers:
            server.drain()
        self._upstreams.drain()
        eventlet.sleep(self._drain_wait_s)
        deadline_s = time.monotonic() + self._stop_limit_s
        cut_caller_calls = self._close_servers(deadline_s)
        while time.monotonic() < deadline_s and self._is_busy():
            eventlet.sleep(_POLL_S)
        uncopied_claims = self._claim_service.hand_over(
            _CLAIM_HAND_OVER_TIMEOUT_S
        )
        if uncopied_claims:
            logs.logger().warning(
                'claims not handed over', claims=uncopied_claims
            )
        self._running_calls.log_cut_off()
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
