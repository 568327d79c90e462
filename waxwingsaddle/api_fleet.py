"""State of the fleet in the administration API."""

from collections import Counter
from functools import partial
from typing import TypeVar

import msgspec

from waxwingsaddle.api_endpoints import Endpoint, Parameter, Request
from waxwingsaddle.api_fleet_models import (
    NodeVersion,
    ReplicationStatus,
    Status,
    Upstream,
    Upstreams,
    VersionCount,
)
from waxwingsaddle.api_models import Failure
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.event_batches import LOST_KIND
from waxwingsaddle.events import Event, Events
from waxwingsaddle.fleet_events import filter_events
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.read_scope import is_visible_event, require_service

_Model = TypeVar('_Model', bound=msgspec.Struct)


class FleetHandlers:
    """Handlers of `/v1/status` and `/v1/upstreams`.

    Args:
        kernel: Has the services `replication`, `distribution` and
            `directory`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: ControlSettings) -> None:
        self._kernel = kernel
        self._host = settings.host

    def get_status(self, request: Request) -> Status:
        """Returns versions in force and the nodes that lag."""
        replication = self._kernel.find('replication')
        fleet = self._kernel.find('distribution').fleet_status()
        nodes = tuple(
            node for node in fleet.nodes if request.caller.has_site(node.site)
        )
        # Read after the fleet status, so that no node appears to be ahead of
        # the log.
        version = replication.state.version
        counts = Counter(node.version for node in nodes)
        return Status(
            host=self._host,
            version=version,
            digest=replication.state.digest,
            majority_age_ms=replication.majority_age_ms(),
            node_count=len(nodes),
            in_force=sum(node.version >= version for node in nodes),
            versions=tuple(
                VersionCount(version=node_version, nodes=counts[node_version])
                for node_version in sorted(counts, reverse=True)
            ),
            lagging=tuple(
                _to_model(NodeVersion, node)
                for node in sorted(nodes, key=_by_version_and_host)
                if node.version < version
            ),
            missing_hosts=tuple(fleet.missing_hosts),
            nodes=tuple(
                _to_model(NodeVersion, node)
                for node in nodes
                if request.query['nodes']
            ),
            replication=_to_model(
                ReplicationStatus,
                replication.status(),
            ),
        )

    def get_upstreams(self, request: Request) -> Upstreams | Failure:
        """Returns the upstreams in the scope, or those of one service."""
        wanted_service = request.query['service']
        failure = require_service(request.caller, wanted_service)
        if failure:
            return failure
        entries = self._kernel.find('directory').entries()
        return Upstreams(
            upstreams=tuple(
                _to_model(Upstream, entry)
                for entry in sorted(entries, key=_by_service_and_name)
                if request.caller.has_service(entry.service)
                and (not wanted_service or entry.service == wanted_service)
            ),
        )


def endpoints(
    kernel: Kernel,
    settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of the fleet."""
    handlers = FleetHandlers(kernel, settings)
    nodes = Parameter('nodes', bool, False, 'Whether to list all nodes.')
    service = Parameter('service', str, '', 'Only upstreams of this service.')
    return (
        Endpoint(
            'GET',
            '/v1/status',
            'Returns versions in force and the nodes that lag.',
            handlers.get_status,
            Status,
            query=(nodes,),
        ),
        Endpoint(
            'GET',
            '/v1/upstreams',
            'Returns the upstreams in the directory.',
            handlers.get_upstreams,
            Upstreams,
            query=(service,),
        ),
        events_endpoint(kernel),
    )


def events_endpoint(kernel: Kernel) -> Endpoint:
    """Returns the endpoint for the events of this process.

    Args:
        kernel: Has the service `events`.
    """
    since = Parameter('since', int, 0, 'Number of events to skip.')
    kind = Parameter('kind', str, '', 'Only these kinds, separated by commas.')
    host = Parameter('host', str, '', 'Only these hosts, separated by commas.')
    return Endpoint(
        'GET',
        '/v1/events',
        'Returns the events of this process; a control host has those of its '
        'nodes as well.',
        lambda request: filter_events(
            kernel.find('events').events_since(request.query['since']),
            partial(_is_requested, request),
        ),
        Events,
        query=(since, kind, host),
    )


def _is_requested(request: Request, event: Event) -> bool:
    kinds = _split_names(request.query['kind'])
    hosts = _split_names(request.query['host'])
    return (
        (not kinds or event.kind in kinds | {LOST_KIND})
        and (not hosts or event.host in hosts)
        and is_visible_event(request.caller, event)
    )


def _split_names(text: str) -> frozenset[str]:
    return frozenset(filter(None, text.split(',')))


def _by_version_and_host(node) -> tuple[int, str]:
    return node.version, node.host


def _by_service_and_name(entry) -> tuple[str, str]:
    return entry.service, entry.name


def _to_model(model: type[_Model], source: object) -> _Model:
    """Builds a model from the attributes of an object with the same names."""
    return msgspec.convert(source, model, from_attributes=True)
