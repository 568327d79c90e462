"""Stores the departures of upstreams before nodes acknowledge them.

Answers two load patterns: many upstreams of a service drain at once, and all
nodes start at once. Each round takes all requests that have arrived during the
one before, so the log gets one entry or one query a round.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.departure_records import DepartureRecords, HostDepartures
from waxwingsaddle.departures import Departures, convert_departures
from waxwingsaddle.outcomes import Unavailable
from waxwingsaddle.util.clock import wall_ms
from waxwingsaddle.util.wake_flag import WakeFlag

# Pause after a round without a leader or without a majority.
_RETRY_S = 0.05
_IDLE_S = 60

WAITING = metrics.gauge(
    'waxwing_departures_waiting',
    'Nodes that wait until the log has or confirms their departures.',
)

OnKept = Callable[[Departures], None]


@dataclass(frozen=True, slots=True)
class _Request:
    """Request of a node.

    Attributes:
        departures: Its departures, with times in milliseconds since the epoch.
        on_kept: Called with all departures of its host, with ages.
    """

    departures: Departures
    on_kept: OnKept


class DepartureKeeper:
    """Stores departures in the log and returns those of earlier incarnations.

    Args:
        replication: Service of the replicated log.
        is_leased: Returns whether a node still has a lease here.
    """

    def __init__(
        self, replication: Any, is_leased: Callable[[str], bool]
    ) -> None:
        self._replication = replication
        self._is_leased = is_leased
        self._requests: dict[str, _Request] = {}
        self._is_requested = WakeFlag()
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to store departures."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops; requests without an answer are dropped."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def is_kept(self, host: str, departures: Departures) -> bool:
        """Returns whether the log of this host has the departures."""
        return self._records.contains(host, departures)

    def keep(self, host: str, departures: Departures, on_kept: OnKept) -> None:
        """Stores departures; replaces an earlier request of the same node.

        Args:
            host: Host of the node.
            departures: All its recent departures, with ages.
            on_kept: Called once they are stored, with all departures that the
                host had at the time of the request, with ages.
        """
        self._requests[host] = _Request(
            convert_departures(departures, wall_ms()), on_kept
        )
        self._is_requested.set()

    @property
    def _records(self) -> DepartureRecords:
        return self._replication.state.departures

    def _run(self) -> None:
        while True:
            self._is_requested.wait(_IDLE_S)
            self._is_requested.clear()
            try:
                self._run_round()
            except Exception:
                # An error in one round must not end the acknowledgements.
                logs.logger().exception('departures were not stored')

    def _run_round(self) -> None:
        requests = self._requests
        self._requests = {}
        WAITING.set(len(requests))
        if not requests:
            return
        if self._settle(requests):
            self._answer(requests)
            WAITING.set(len(self._requests))
            return
        self._requests = {
            host: request
            for host, request in (requests | self._requests).items()
            if self._is_leased(host)
        }
        greenthread.sleep(_RETRY_S)
        self._is_requested.set()

    def _answer(self, requests: dict[str, _Request]) -> None:
        for host, request in requests.items():
            kept = self._records.find(host)
            request.on_kept(convert_departures(kept, wall_ms()))

    def _settle(self, requests: dict[str, _Request]) -> bool:
        """Returns whether the log here has all departures up to now."""
        missing = tuple(self._missing(requests))
        if missing:
            outcome = self._replication.store_departures(missing)
        else:
            outcome = self._replication.newest()
        return not isinstance(outcome, Unavailable)

    def _missing(
        self, requests: dict[str, _Request]
    ) -> Iterable[HostDepartures]:
        return (
            HostDepartures(host, request.departures)
            for host, request in requests.items()
            if not self.is_kept(host, request.departures)
        )
