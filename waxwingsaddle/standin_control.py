"""Stand-in for a control host, for measurements of distribution.

It distributes configurations to nodes as a control host does, but its versions
are set over HTTP instead of by consensus.
"""

from collections.abc import Iterable
from types import SimpleNamespace
from typing import Any

import msgspec

from waxwingsaddle import distribution, metrics
from waxwingsaddle.config import Refused, SourceSet, check_sources
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.departure_records import (
    DepartureRecords,
    DeparturesStored,
    HostDepartures,
    encode_departures,
)
from waxwingsaddle.fleet_events import FleetTimeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.peers import Peers
from waxwingsaddle.raft_messages import Members
from waxwingsaddle.rollout_orders import RolloutOrders
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.process_usage import read_usage
from waxwingsaddle.web import (
    Environ,
    Probes,
    Server,
    StartResponse,
    reply_from_handler,
)


class StandInReplication:
    """Service `replication` without consensus.

    Attributes:
        state: Accepted configuration.
        isolated_at_s: Monotonic time since which the host counts as isolated
            from the majority; none while it is not.
    """

    def __init__(self) -> None:
        self.state: Any = SimpleNamespace(
            version=0,
            sites={},
            rollouts=RolloutOrders(),
            departures=DepartureRecords(),
        )
        self.isolated_at_s: float | None = None

    def members(self) -> Members:
        """Returns no members; nodes use the control hosts of their settings."""
        return Members()

    def majority_age_ms(self) -> float:
        """Returns the time since the isolation began; 0 when not isolated."""
        if self.isolated_at_s is None:
            return 0
        return (monotonic_s() - self.isolated_at_s) * MS_PER_S

    def newest(self) -> Any:
        """Returns the accepted configuration."""
        return self.state

    def store_departures(
        self, hosts: tuple[HostDepartures, ...]
    ) -> DeparturesStored:
        """Stores departures of upstreams in memory."""
        return self.state.departures.apply(encode_departures(hosts))


class StandInApi:
    """HTTP API that sets versions and isolation, and reports usage.

    Args:
        kernel: Kernel of the control host.
        settings: Settings of the control host.
        replication: Stand-in replication that the API controls.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: ControlSettings,
        replication: StandInReplication,
    ) -> None:
        self._kernel = kernel
        self._replication = replication
        self._server = Server(
            settings.this_host.http_address,
            Probes(self._handle, lambda: True),
        )

    def start(self) -> None:
        """Starts the HTTP server."""
        self._server.start()

    def stop(self) -> None:
        """Stops the HTTP server."""
        self._server.stop()

    def _handle(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        handlers = {
            '/v1/accept': self._accept,
            '/v1/isolate': self._isolate,
            '/v1/usage': self._usage,
            '/v1/status': self._status,
        }
        return reply_from_handler(environ, start_response, handlers)

    def _accept(self, request: dict[str, Any]) -> float:
        """Accepts an edit and returns the monotonic time before it is sent.

        Raises:
            ValueError: The edit is invalid.
        """
        checked = check_sources(msgspec.convert(request, SourceSet))
        if isinstance(checked, Refused):
            raise ValueError(checked.problems)
        started_s = monotonic_s()
        self._replication.state = SimpleNamespace(
            version=checked.version,
            sites=checked.sites,
            rollouts=RolloutOrders(),
            departures=self._replication.state.departures,
        )
        self._kernel.publish('configuration-accepted', version=checked.version)
        return started_s

    def _isolate(self, request: dict[str, bool]) -> None:
        """Starts or ends the isolation from the majority."""
        is_isolated = request['is_isolated']
        self._replication.isolated_at_s = monotonic_s() if is_isolated else None

    def _usage(self, _request: object) -> dict[str, Any]:
        """Returns processor time, memory, and transferred bytes by label."""
        usage = read_usage()
        samples = next(
            family.samples
            for family in metrics.REGISTRY.collect()
            if family.name == 'waxwing_control_bytes'
        )
        return {
            'cpu_s': usage.cpu_s,
            'rss_bytes': usage.rss_bytes,
            'bytes': [
                [*sample.labels.values(), sample.value]
                for sample in samples
                if sample.name == 'waxwing_control_bytes_total'
            ],
        }

    def _status(self, _request: object) -> Any:
        """Returns the status of the fleet."""
        return self._kernel.find('distribution').fleet_status()


def build(settings: ControlSettings) -> Kernel:
    """Returns the kernel of a stand-in control host."""
    kernel = Kernel()
    replication = StandInReplication()
    kernel.provide(
        'peers',
        Peers(settings.this_host, settings.hosts, settings.peer_limits),
    )
    kernel.provide('replication', replication)
    timeline = FleetTimeline(
        settings.host,
        settings.events_kept,
        settings.node_events_kept,
    )
    kernel.provide('events', timeline)
    distribution.attach(kernel, settings)
    kernel.provide('api', StandInApi(kernel, settings, replication))
    return kernel
