"""Services `distribution` and `directory` of a control host."""

from collections.abc import Callable
from functools import partial
from itertools import chain
from typing import Any

from eventlet import greenthread

from waxwingsaddle import metrics
from waxwingsaddle.admission import Admission
from waxwingsaddle.departure_keeper import DepartureKeeper
from waxwingsaddle.directory import Directory, UpstreamEntry, upstream_entries
from waxwingsaddle.directory_exchange import DirectoryExchange
from waxwingsaddle.directory_feed import DirectoryFeed
from waxwingsaddle.distributed_versions import (
    DistributedVersions,
    distributed_sites,
)
from waxwingsaddle.fleet_status import FleetStatus, NodeStatus, StatusExchange
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.known_controls import known_controls
from waxwingsaddle.leases import LeaseTable
from waxwingsaddle.node_protocol import NodeProtocol
from waxwingsaddle.node_push import NodePush
from waxwingsaddle.node_server import NodeServer, encode_message
from waxwingsaddle.periodic_task import repeat_task
from waxwingsaddle.rollout_messages import RolloutReport
from waxwingsaddle.site_encodings import SiteCatalogue
from waxwingsaddle.util.clock import MS_PER_S, monotonic_ms, monotonic_s

# Interval at which leases and the majority age are checked.
TICK_MS = 100
# A tick that is late by more means that this process was paused.
PAUSE_THRESHOLD_MS = 500
# Upper limit of the majority age in messages.
MAX_AGE_MS = 1_000_000_000

LEASES = metrics.gauge('waxwing_leases', 'Nodes whose lease this host holds.')
EXPIRED = metrics.counter(
    'waxwing_leases_expired', 'Leases that were not renewed.'
)


class Distribution:
    """Serves the nodes that have a lease with this control host.

    Args:
        kernel: Provides the services `replication`, `peers` and `events`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: Any) -> None:
        self._kernel = kernel
        self._settings = settings
        self._replication = kernel.find('replication')
        self._leases = LeaseTable(
            settings.lease_ttl_ms / MS_PER_S,
            monotonic_s,
        )
        self.feed = DirectoryFeed(
            Directory(),
            settings.directory_log_kept,
            monotonic_ms,
        )
        self._server = NodeServer(
            settings.this_host.node_address,
            settings.node_queue_messages,
            settings.node_message_bytes,
            self._receive,
        )
        self._events = kernel.find('events')
        self._push = NodePush(
            self._leases,
            SiteCatalogue(settings.config_steps_kept),
            self.feed,
            self._server,
        )
        self._versions = DistributedVersions(settings.config_steps_kept + 1)
        self._connect_peers(kernel.find('peers'))
        self._departures = DepartureKeeper(self._replication, self._is_leased)
        self._protocol = self._create_protocol()
        self._threads: list[greenthread.GreenThread] = []
        self._is_isolation_announced = False

    def start(self) -> None:
        """Starts serving nodes and exchanging state with control hosts."""
        self._exchange.start()
        self._status.start()
        self._kernel.subscribe(
            'configuration-accepted', self._on_version_accepted
        )
        self._kernel.subscribe('rollouts-changed', self._on_version_accepted)
        self._on_version_accepted()
        self._departures.start()
        self._server.start()
        settings = self._settings
        self._threads = [
            greenthread.spawn(repeat_task, TICK_MS, self._tick),
            greenthread.spawn(
                repeat_task, settings.directory_batch_ms, self._push_directory
            ),
            greenthread.spawn(
                repeat_task,
                settings.directory_digest_ms,
                self._exchange.tick,
            ),
        ]

    def stop(self) -> None:
        """Closes the socket; nodes move to other control hosts."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()
        self._departures.stop()
        self._server.stop()

    def fleet_status(self) -> FleetStatus:
        """Returns the status of all nodes, also of other control hosts."""
        newest = self._push.sites.version
        return self._status.gather(self._versions.version_of(newest))

    def entries(self) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of all live nodes."""
        return tuple(
            chain.from_iterable(
                map(upstream_entries, self.feed.visible_records())
            ),
        )

    def serve_quotas(self, handler: Callable[[bytes, Any], None]) -> None:
        """Passes reports of spent tokens on, with the routing id of the node.

        Args:
            handler: Called with the routing id and the report.
        """
        self._protocol.on_quota_report = handler

    def send_to_node(self, identity: bytes, message: Any) -> None:
        """Queues a message for the node with a routing id."""
        lease = self._leases.find_by_identity(identity)
        zone = lease.availability_zone if lease else 'unknown'
        self._server.send(identity, zone, encode_message(message))

    def _connect_peers(self, peers: Any) -> None:
        settings = self._settings
        hosts = tuple(control.host for control in settings.hosts)
        self._exchange = DirectoryExchange(
            settings.host,
            hosts,
            peers,
            self.feed,
            settings,
            monotonic_ms,
            self._is_leased,
            self._on_remote_change,
        )
        self._status = StatusExchange(
            settings.host,
            hosts,
            peers,
            self._local_status,
            settings.status_wait_ms,
        )

    def _create_protocol(self) -> NodeProtocol:
        settings = self._settings
        return NodeProtocol(
            settings.host,
            settings.lease_ttl_ms,
            self._leases,
            Admission(
                settings.hello_rate_per_s,
                settings.hello_burst,
                monotonic_s,
            ),
            self._exchange,
            self._departures,
            self._push,
            self._majority_age_ms,
            self._events,
            self._take_report,
            partial(known_controls, settings, self._replication.members),
        )

    def _receive(self, identity: bytes, message: Any, size_bytes: int) -> None:
        self._protocol.receive(identity, message, size_bytes)

    def _take_report(self, host: str, report: RolloutReport) -> None:
        self._kernel.publish('rollout-reported', host=host, report=report)

    def _on_version_accepted(self, **_fields: Any) -> None:
        state = self._replication.state
        sites = self._push.sites
        services_before = sites.services()
        stamp = self._events.clock.last
        sites.accept(
            self._versions.record(state),
            distributed_sites(state),
            (stamp.wall_ms, stamp.counter),
        )
        self._push.send_accepted_version(services_before)

    def _is_leased(self, host: str) -> bool:
        return self._leases.find_by_host(host) is not None

    def _on_remote_change(self, hosts: tuple[str, ...]) -> None:
        # A node with a lease at another control host has none here.
        for host in hosts:
            record = self.feed.directory.find(host)
            if record is not None and record.holder != self._settings.host:
                self._leases.remove(host)

    def _local_status(self) -> tuple[NodeStatus, ...]:
        now_s = monotonic_s()
        return tuple(
            NodeStatus(
                host=lease.host,
                availability_zone=lease.availability_zone,
                site=lease.site,
                version=self._versions.version_of(lease.version),
                age_ms=round((now_s - lease.renewed_at_s) * MS_PER_S),
                control_host=self._settings.host,
                incarnation=lease.incarnation,
                sequence=lease.sequence,
            )
            for lease in self._leases
        )

    def _tick(self, late_ms: int) -> None:
        if late_ms > PAUSE_THRESHOLD_MS:
            self._leases.extend_all(late_ms / MS_PER_S)
        for lease in self._leases.remove_expired():
            EXPIRED.inc()
            self._protocol.end_entry(lease)
        LEASES.set(len(self._leases))
        self._announce_isolation()

    def _push_directory(self, _late_ms: int) -> None:
        self._exchange.flush()
        self._push.send_directory_changes()

    def _announce_isolation(self) -> None:
        limit_ms = self._settings.majority_age_limit_ms
        is_isolated = self._majority_age_ms() > limit_ms
        if is_isolated and not self._is_isolation_announced:
            # Without this, nodes would learn of it at their next renewal.
            targets = [
                (lease.identity, lease.availability_zone)
                for lease in self._leases
            ]
            reply = self._protocol.renewal_reply(has_lease=True)
            self._server.send_all(targets, encode_message(reply))
        self._is_isolation_announced = is_isolated

    def _majority_age_ms(self) -> int:
        # The age may be infinite if there was no majority since the start.
        age_ms = self._replication.majority_age_ms()
        return round(min(age_ms, MAX_AGE_MS))


def attach(kernel: Kernel, settings: Any) -> Distribution:
    """Provides the services `distribution` and `directory`.

    Args:
        kernel: Kernel of the control host; it provides `replication`, `peers`
            and `events` already.
        settings: Settings of the control host.
    """
    distribution = Distribution(kernel, settings)
    kernel.provide('distribution', distribution)
    kernel.provide('directory', DirectoryService(distribution.entries))
    return distribution


class DirectoryService:
    """Implements the service `directory` of a control host.

    Args:
        entries: Returns the upstreams of all live nodes.
    """

    def __init__(
        self, entries: Callable[[], tuple[UpstreamEntry, ...]]
    ) -> None:
        self.entries = entries
