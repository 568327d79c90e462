"""Graceful stop of a node.

The node announces that it drains, waits until other nodes have learned it, and
finishes the calls in flight.
"""

import time
from collections.abc import Callable
from typing import Protocol

import eventlet

from waxwingsaddle import logs
from waxwingsaddle.call_server import CallServer
from waxwingsaddle.claim_service import ClaimService
from waxwingsaddle.running_calls import RunningCalls
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstreams import Upstreams

_POLL_S = 0.02
# Time to write the answers of calls that end with the stop.
_ANSWER_WAIT_S = 0.2
# Time to copy the claims that this node keeps to other nodes. Claims that are
# not copied in time are still stored by their two other keepers.
_CLAIM_HAND_OVER_TIMEOUT_S = 1


class CallerServer(Protocol):
    """Server for callers that can stop without losing a call."""

    @property
    def pending(self) -> int:
        """Number of calls whose answer is not written yet."""

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
        running_calls: Calls of callers that are not answered yet, with the
            times of the stop.
        call_server: Serves the calls of other nodes.
        upstream_calls: Runs calls at the upstreams of this node.
        claim_service: Stores claims of idempotency keys.

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
    ) -> None:
        self._upstreams = upstreams
        self._servers = servers
        self._running_calls = running_calls
        self._call_server = call_server
        self._upstream_calls = upstream_calls
        self._claim_service = claim_service
        self.is_draining = False

    def start(self) -> None:
        """Starts the servers of callers."""
        for server in self._servers:
            server.start()

    def stop(self) -> None:
        """Drains, finishes the calls in flight and logs calls cut off."""
        self.is_draining = True
        schedule = self._running_calls.stop_schedule
        schedule.begin()
        for server in self._servers:
            server.drain()
        self._upstreams.drain()
        eventlet.sleep(schedule.drain_wait_s)
        # Upstreams call through this node for the calls that they still run.
        _wait_while(self._has_calls_at_upstreams, schedule.remaining_s())
        self._close_servers(schedule.remaining_s())
        schedule.end()
        _wait_while(self._is_busy, schedule.remaining_s())
        # Calls whose deadline is the end of the stop are answered then, and a
        # link that closes at once drops the last answers to other nodes.
        eventlet.sleep(_ANSWER_WAIT_S)
        cut_caller_calls = self._running_calls.cut_off()
        _wait_while(self._has_unanswered_callers, _ANSWER_WAIT_S)
        uncopied_claims = self._claim_service.hand_over(
            _CLAIM_HAND_OVER_TIMEOUT_S
        )
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

    def _close_servers(self, timeout_s: float) -> None:
        closing_threads = [
            eventlet.spawn(server.close_gracefully, timeout_s)
            for server in self._servers
        ]
        for thread in closing_threads:
            thread.wait()

    def _is_busy(self) -> bool:
        # A call can start while the servers close their connections.
        return self._has_unanswered_callers() or self._has_calls_at_upstreams()

    def _has_calls_at_upstreams(self) -> bool:
        return bool(self._call_server.pending or self._upstream_calls.pending)

    def _has_unanswered_callers(self) -> bool:
        return any(server.pending for server in self._servers)


def _wait_while(is_busy: Callable[[], bool], timeout_s: float) -> None:
    deadline_s = time.monotonic() + timeout_s
    while is_busy() and time.monotonic() < deadline_s:
        eventlet.sleep(_POLL_S)
