"""Control side of distribution: services `distribution` and `directory`."""

from collections.abc import Callable
from functools import partial
from itertools import chain
from typing import Any

from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.admission import Admission
from waxwingsaddle.directory import Directory, UpstreamEntry, upstream_entries
from waxwingsaddle.directory_exchange import DirectoryExchange
from waxwingsaddle.directory_feed import DirectoryFeed
from waxwingsaddle.fleet_status import FleetStatus, NodeStatus, StatusExchange
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.known_controls import known_controls
from waxwingsaddle.leases import LeaseTable
from waxwingsaddle.node_protocol import NodeProtocol
from waxwingsaddle.node_push import NodePush
from waxwingsaddle.node_server import NodeServer, encoded
from waxwingsaddle.site_encodings import SiteCatalogue
from waxwingsaddle.util.clock import MS_PER_S, monotonic_ms, monotonic_s

# Interval of the checks of leases and of the majority age.
TICK_MS = 100
# A longer gap between two ticks is a pause of this process.
PAUSE_MS = 500
MAX_AGE_MS = 1_000_000_000

LEASES = metrics.gauge('waxwing_leases', 'Nodes whose lease this host holds.')
EXPIRED = metrics.counter(
    'waxwing_leases_expired', 'Leases that were not renewed.'
)


class Distribution:
    """Serves the nodes that hold a lease with this control host.

    Args:
        kernel: Finds the services `replication`, `peers` and `events`.
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
        self._connect_peers(kernel.find('peers'))
        self._protocol = self._new_protocol()
        self._threads: list[greenthread.GreenThread] = []
        self._is_isolation_told = False

    def start(self) -> None:
        """Serves nodes and the other control hosts."""
        self._exchange.start()
        self._status.start()
        self._kernel.subscribe('configuration-accepted', self._on_accepted)
        self._on_accepted()
        self._server.start()
        settings = self._settings
        self._threads = [
            greenthread.spawn(_every, TICK_MS, self._tick),
            greenthread.spawn(_every, settings.directory_batch_ms, self._flush),
            greenthread.spawn(
                _every,
                settings.directory_digest_ms,
                self._exchange.tick,
            ),
        ]

    def stop(self) -> None:
        """Closes the connections; nodes move to other control hosts."""
        for thread in self._threads:
            thread.kill()
        self._threads.clear()
        self._server.stop()

    def fleet_status(self) -> FleetStatus:
        """Returns the status of all nodes; asks the other control hosts."""
        return self._status.gather(self._push.sites.version)

    def entries(self) -> tuple[UpstreamEntry, ...]:
        """Returns the upstreams of all live nodes."""
        return tuple(
            chain.from_iterable(map(upstream_entries, self.feed.visible())),
        )

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
            self._own_status,
            settings.status_wait_ms,
        )

    def _new_protocol(self) -> NodeProtocol:
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
            self._push,
            self._majority_age_ms,
            self._events,
            partial(known_controls, settings, self._replication.members),
        )

    def _receive(self, identity: bytes, message: Any, size_bytes: int) -> None:
        self._protocol.receive(identity, message, size_bytes)

    def _on_accepted(self, **_fields: Any) -> None:
        state = self._replication.state
        sites = self._push.sites
        services_before = sites.services()
        stamp = self._events.clock.last
        sites.accept(
            state.version,
            state.sites,
            (stamp.wall_ms, stamp.counter),
        )
        self._push.accepted(services_before)

    def _is_leased(self, host: str) -> bool:
        return self._leases.of_host(host) is not None

    def _on_remote_change(self, hosts: tuple[str, ...]) -> None:
        # A node that took a lease elsewhere has no lease here any more.
        for host in hosts:
            record = self.feed.directory.find(host)
            if record is not None and record.holder != self._settings.host:
                self._leases.end(host)

    def _own_status(self) -> tuple[NodeStatus, ...]:
        now_s = monotonic_s()
        return tuple(
            NodeStatus(
                host=lease.host,
                availability_zone=lease.availability_zone,
                site=lease.site,
                version=lease.version,
                age_ms=round((now_s - lease.renewed_at_s) * MS_PER_S),
                control_host=self._settings.host,
                incarnation=lease.incarnation,
                sequence=lease.sequence,
            )
            for lease in self._leases
        )

    def _tick(self, late_ms: int) -> None:
        if late_ms > PAUSE_MS:
            self._leases.extend(late_ms / MS_PER_S)
        for lease in self._leases.expire():
            EXPIRED.inc()
            self._protocol.end_entry(lease)
        LEASES.set(len(self._leases))
        self._tell_isolation()

    def _flush(self, _late_ms: int) -> None:
        self._exchange.flush()
        self._push.directory()

    def _tell_isolation(self) -> None:
        limit_ms = self._settings.majority_age_limit_ms
        is_isolated = self._majority_age_ms() > limit_ms
        if is_isolated and not self._is_isolation_told:
            # Nodes would learn it only at their next renewal.
            targets = [
                (lease.identity, lease.availability_zone)
                for lease in self._leases
            ]
            granted = self._protocol.granted(is_known=True)
            self._server.send_all(targets, encoded(granted))
        self._is_isolation_told = is_isolated

    def _majority_age_ms(self) -> int:
        # Without a majority since the start the age may be infinite.
        age_ms = self._replication.majority_age_ms()
        return round(min(age_ms, MAX_AGE_MS))


def attach(kernel: Kernel, settings: Any) -> Distribution:
    """Provides the services `distribution` and `directory`.

    Args:
        kernel: Kernel of the control host, with `replication`, `peers` and
            `events`.
        settings: Settings of the control host.
    """
    distribution = Distribution(kernel, settings)
    kernel.provide('distribution', distribution)
    kernel.provide('directory', DirectoryService(distribution.entries))
    return distribution


class DirectoryService:
    """Service `directory` of a control host.

    Args:
        entries: Returns the upstreams of all live nodes.
    """

    def __init__(
        self, entries: Callable[[], tuple[UpstreamEntry, ...]]
    ) -> None:
        self.entries = entries


def _every(interval_ms: int, work: Callable[[int], None]) -> None:
    """Repeats work, telling it by how many milliseconds it is late."""
    late_ms = 0
    while True:
        try:
            work(late_ms)
        except Exception:
            # A fault in one round must not end leases or pushes for good.
            logs.logger().exception('periodic work failed')
        due_ms = monotonic_ms() + interval_ms
        greenthread.sleep(interval_ms / MS_PER_S)
        late_ms = monotonic_ms() - due_ms
