"""State of the fleet in the administration API."""

from collections import Counter

from waxwingsaddle.api_endpoints import Endpoint, Parameter, Request
from waxwingsaddle.api_fleet_models import (
    NodeVersion,
    ReplicationStatus,
    Status,
    Upstream,
    Upstreams,
    VersionCount,
)
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.events import Events
from waxwingsaddle.fleet_events import selected
from waxwingsaddle.kernel import Kernel


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
        # Read after the fleet, so that no node seems ahead of the log.
        version = replication.state.version
        counts = Counter(node.version for node in fleet.nodes)
        return Status(
            host=self._host,
            version=version,
            digest=replication.state.digest,
            majority_age_ms=replication.majority_age_ms(),
            node_count=len(fleet.nodes),
            in_force=sum(node.version >= version for node in fleet.nodes),
            versions=tuple(
                VersionCount(version=known, nodes=counts[known])
                for known in sorted(counts, reverse=True)
            ),
            lagging=tuple(
                _node_version(node)
                for node in sorted(fleet.nodes, key=_by_version_and_host)
                if node.version < version
            ),
            missing_hosts=tuple(fleet.missing_hosts),
            nodes=tuple(
                _node_version(node)
                for node in fleet.nodes
                if request.query['nodes']
            ),
            replication=_replication_status(replication.status()),
        )

    def get_upstreams(self, request: Request) -> Upstreams:
        """Returns the upstreams, or those of one service."""
        wanted = request.query['service']
        entries = self._kernel.find('directory').entries()
        return Upstreams(
            upstreams=tuple(
                _upstream(entry)
                for entry in sorted(entries, key=_by_service_and_name)
                if not wanted or entry.service == wanted
            ),
        )


def endpoints(
    kernel: Kernel,
    settings: ControlSettings,
) -> tuple[Endpoint, ...]:
    """Returns the endpoints about the fleet."""
    handlers = FleetHandlers(kernel, settings)
    nodes = Parameter('nodes', bool, False, 'Lists all nodes, too.')
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
    since = Parameter('since', int, 0, 'Only events after the first so many.')
    kind = Parameter('kind', str, '', 'Only these kinds, with commas between.')
    host = Parameter('host', str, '', 'Only these hosts, with commas between.')
    return Endpoint(
        'GET',
        '/v1/events',
        'Returns the events of this process; a control host has those of its '
        'nodes, too.',
        lambda request: selected(
            kernel.find('events').document(request.query['since']),
            _listed(request.query['kind']),
            _listed(request.query['host']),
        ),
        Events,
        query=(since, kind, host),
    )


def _listed(text: str) -> frozenset[str]:
    return frozenset(filter(None, text.split(',')))


def _replication_status(status) -> ReplicationStatus:
    return ReplicationStatus(
        identity=status.identity,
        is_leader=status.is_leader,
        leader=status.leader,
        term=status.term,
        version=status.version,
        problem=status.problem,
    )


def _node_version(node) -> NodeVersion:
    return NodeVersion(
        host=node.host,
        availability_zone=node.availability_zone,
        site=node.site,
        control_host=node.control_host,
        version=node.version,
        age_ms=int(node.age_ms),
    )


def _by_version_and_host(node) -> tuple[int, str]:
    return node.version, node.host


def _by_service_and_name(entry) -> tuple[str, str]:
    return entry.service, entry.name


def _upstream(entry) -> Upstream:
    return Upstream(
        name=entry.name,
        service=entry.service,
        host=entry.host,
        availability_zone=entry.availability_zone,
        call_address=entry.call_address,
        slots=entry.slots,
        state=entry.state,
        started_ms_ago=int(entry.started_ms_ago),
    )
