"""Stand-in for many nodes in one process.

Each stand-in node runs only its subscription to the control hosts.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec
from eventlet.green import zmq

from waxwingsaddle import settings as checked_settings
from waxwingsaddle.addresses import Address, HostName, NodeControl
from waxwingsaddle.departures import Departures, WaitUntilKept
from waxwingsaddle.events import Timeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.subscription import Subscription
from waxwingsaddle.subscription_settings import SubscriptionSettings
from waxwingsaddle.util.clock import monotonic_ms, monotonic_s
from waxwingsaddle.util.process_usage import read_usage
from waxwingsaddle.web import (
    Environ,
    Probes,
    Server,
    StartResponse,
    reply_from_handler,
)

# A link to a control host has one socket; version queries open a few more for
# a short time.
SOCKETS_PER_NODE = 5
SLOTS = 6

Positive = Annotated[int, msgspec.Meta(ge=1)]


class FleetSettings(
    SubscriptionSettings,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Settings of the stand-in fleet.

    Attributes:
        host: Prefix of the host names of the nodes.
        availability_zones: Availability zones that the nodes are spread over.
        site: Site of all nodes.
        nodes: Number of nodes.
        services: Number of services `s0`, `s1`, ...; each node has one
            upstream of one of them.
        http_address: HTTP address of the reports.
        controls: Control hosts.
        log_level: Lowest level of log lines that are written.
        log_form: `json` or `text`.
    """

    host: HostName
    availability_zones: Annotated[
        tuple[HostName, ...],
        msgspec.Meta(min_length=1),
    ]
    site: str
    nodes: Positive
    services: Positive
    http_address: Address
    controls: tuple[NodeControl, ...]
    log_level: Literal['debug', 'info', 'warning', 'error']
    log_form: Literal['json', 'text']


class StandInUpstream(msgspec.Struct, frozen=True):
    """An announced upstream of a stand-in node.

    Attributes:
        name: Name of the upstream.
        service: Service of the upstream.
        slots: Calls that it runs at the same time.
        state: `ready` or `draining`.
        started_at_ms: Local monotonic time of its start.
        version: Version of its software; empty if not given.
    """

    name: str
    service: str
    slots: int
    state: str
    started_at_ms: int
    version: str = ''

    @property
    def started_ms_ago(self) -> int:
        """Time since its start, in milliseconds."""
        return monotonic_ms() - self.started_at_ms


class StandInUpstreams:
    """Service `upstreams` of a stand-in node, with one upstream.

    Args:
        service: Service of the upstream.
    """

    def __init__(self, service: str) -> None:
        self._upstream = StandInUpstream(
            'upstream',
            service,
            SLOTS,
            'ready',
            monotonic_ms(),
        )

    def announcements(self) -> tuple[StandInUpstream, ...]:
        """Returns the only upstream."""
        return (self._upstream,)

    def departures(self) -> Departures:
        """Returns no departures."""
        return ()

    def restore_departures(
        self, departures: Departures, *, are_all: bool
    ) -> None:
        """Ignores them, since the upstream never leaves."""

    def keep_departures(self, wait_until_kept: WaitUntilKept) -> None:
        """Acknowledges none, since the upstream never leaves."""

    def set_state(self, state: str) -> None:
        """Changes the state of the upstream."""
        self._upstream = msgspec.structs.replace(self._upstream, state=state)


class StandInNode:
    """Subscription of one node, with the services that it depends on.

    Args:
        settings: Settings of the node.
        service: Service of its upstream.
        in_force: Receives, by version, the monotonic time at which the version
            came into force.
    """

    def __init__(
        self,
        settings: NodeSettings,
        service: str,
        in_force: dict[int, list[float]],
    ) -> None:
        self._in_force_times_s = in_force
        self.kernel = Kernel()
        self.kernel.provide(
            'events',
            Timeline('node', settings.host, settings.events_kept),
        )
        self.upstreams = StandInUpstreams(service)
        self.kernel.provide('upstreams', self.upstreams)
        self.subscription = Subscription(self.kernel, settings)
        self.kernel.provide('configuration', self.subscription)
        self.kernel.subscribe('configuration-in-force', self._on_in_force)

    def _on_in_force(self, version: int) -> None:
        self._in_force_times_s[version].append(monotonic_s())


class Fleet:
    """Stand-in nodes, and their HTTP server for reports.

    Args:
        settings: Settings of the fleet.
    """

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        self._in_force_times_s: dict[int, list[float]] = defaultdict(list)
        context = zmq.Context.instance()
        context.max_sockets = SOCKETS_PER_NODE * settings.nodes
        self._nodes = [
            StandInNode(
                self._node_settings(number),
                f's{number % settings.services}',
                self._in_force_times_s,
            )
            for number in range(settings.nodes)
        ]
        self._server = Server(
            settings.http_address,
            Probes(self._handle, self._is_ready),
        )

    def start(self) -> None:
        """Starts all nodes at once."""
        self._server.start()
        for node in self._nodes:
            node.kernel.start()

    def stop(self) -> None:
        """Stops the server; nodes do not leave, as if they were killed."""
        self._server.stop()

    def _is_ready(self) -> bool:
        return all(node.subscription.is_ready for node in self._nodes)

    def _node_settings(self, number: int) -> NodeSettings:
        fleet = self._settings
        zones = fleet.availability_zones
        tunables = {
            name: getattr(fleet, name)
            for name in SubscriptionSettings.__struct_fields__
        }
        node_options = {
            'host': f'{fleet.host}-{number}',
            'availability_zone': zones[number % len(zones)],
            'site': fleet.site,
            'http_address': fleet.http_address,
            'call_address': fleet.http_address,
            'controls': msgspec.to_builtins(fleet.controls),
            **tunables,
        }
        node_settings = checked_settings.check(
            '', 'node', node_options, NodeSettings
        )
        if isinstance(node_settings, checked_settings.SettingsError):
            raise ValueError(str(node_settings))
        return node_settings

    def _handle(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        handlers = {
            '/v1/in-force': self._report_in_force,
            '/v1/versions': self._report_versions,
            '/v1/upstreams': self._report_upstreams,
            '/v1/state': self._set_state,
            '/v1/usage': lambda _request: read_usage().rss_bytes,
        }
        return reply_from_handler(environ, start_response, handlers)

    def _report_in_force(self, request: dict[str, int]) -> list[float]:
        """Returns the times at which nodes had a version in force."""
        return self._in_force_times_s.get(request['version'], [])

    def _report_versions(self, _request: object) -> list[int]:
        """Returns the version in force on each node; 0 for none."""
        return [
            node.subscription.current.version
            if node.subscription.current
            else 0
            for node in self._nodes
        ]

    def _report_upstreams(self, request: dict[str, str]) -> list[list[str]]:
        """Returns the states of the upstreams of a service on each node."""
        return [
            [
                entry.state
                for entry in node.subscription.directory.upstreams_of(
                    request['service'],
                )
            ]
            for node in self._nodes
        ]

    def _set_state(self, request: dict[str, str]) -> None:
        """Changes the state of the upstream of one node."""
        node = self._nodes[int(request['node'])]
        node.upstreams.set_state(request['state'])
        node.kernel.publish('upstreams-changed')


def build(settings: FleetSettings) -> Kernel:
    """Returns the kernel of the stand-in fleet."""
    kernel = Kernel()
    kernel.provide('fleet', Fleet(settings))
    return kernel
