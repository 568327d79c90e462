"""Services `configuration` and `directory` of a node."""

import random
from typing import Any

from eventlet import greenthread

from waxwingsaddle import logs, metrics, rollout_reports
from waxwingsaddle.announced_entry import AnnouncedEntry
from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.configuration_proof import ConfigurationProof
from waxwingsaddle.configuration_state import ConfigurationState
from waxwingsaddle.control_host_selection import (
    VersionReply,
    can_return_home,
    select_host,
    should_switch,
    version_floor,
)
from waxwingsaddle.kernel import Kernel, UnknownServiceError
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.neighbours import Neighbours
from waxwingsaddle.node_directory import NodeDirectory
from waxwingsaddle.node_events import NodeEvents
from waxwingsaddle.node_session import Session
from waxwingsaddle.readiness import Readiness
from waxwingsaddle.util.backoff import Backoff
from waxwingsaddle.util.clock import MS_PER_S, boot_s, monotonic_s
from waxwingsaddle.version_queries import VersionQueries

# Control hosts queried in parallel when the current one fails. Querying all of
# them would multiply the load during a change of the leader.
QUERY_LIMIT = 3
# Random delay of the queries of nodes that learn of an isolation at once.
QUERY_JITTER_S = 0.3
# Largest fraction by which intervals are shortened, so that nodes don't send in
# step. Longer ones would delay the move away from a frozen control host.
INTERVAL_JITTER = 0.2

MOVES = metrics.counter(
    'waxwing_control_host_moves',
    'Leases taken with another control host.',
    ('reason',),
)
VERSION = metrics.gauge('waxwing_configuration_version', 'Version in force.')


class Subscription:
    """Keeps the configuration of a node at the newest accepted version.

    It holds a lease with one control host, which pushes updates, and moves to
    another one when that host is silent or has lost contact with a majority.

    Args:
        kernel: Provides the services `upstreams`, `hop` and `events`.
        settings: Settings of the node.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        kernel: Kernel,
        settings: Any,
        rng: random.Random | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._rng = rng or random.Random()
        self._config = ConfigurationState(settings.site)
        self._readiness = Readiness(self._config)
        self._published_version = 0
        self._is_home_silent = False
        self._zone = settings.availability_zone
        self._age_limit_ms = settings.majority_age_limit_ms
        self.directory = NodeDirectory()
        self._events = NodeEvents(
            _find_service(kernel, 'events'),
            settings.event_bytes_per_s,
            monotonic_s,
        )
        self.entry = AnnouncedEntry(
            _find_service(kernel, 'upstreams'),
            settings.departure_wait_ms / MS_PER_S,
        )
        self._proof = ConfigurationProof(settings.revoke_ms, boot_s)
        self.session = Session(
            settings,
            self._config,
            self.directory,
            self.entry,
            self._on_configuration,
            self._on_directory,
            self._events,
            self._proof,
        )
        self._backoff = Backoff(
            settings.reconnect_ms / MS_PER_S,
            settings.reconnect_limit_ms / MS_PER_S,
            self._rng,
        )
        self._home_check_at_s = monotonic_s() + self._home_check_interval_s()
        self.controls = ControlList(settings.controls)
        self._queries: VersionQueries | None = None
        self._thread: greenthread.GreenThread | None = None

    @property
    def current(self) -> SiteSnapshot | None:
        """The configuration in force; none below the version floor."""
        return self._config.snapshot if self.is_ready else None

    @property
    def is_ready(self) -> bool:
        """Whether the node has its version floor or a later version."""
        return self._readiness.is_ready

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration was recently proven to be the newest."""
        return self._proof.is_confirmed(self._config.version)

    @property
    def problem(self) -> str:
        """Why the node is not ready, in one line; empty when it is."""
        return self._readiness.problem

    def start(self) -> None:
        """Starts the green thread that acquires and renews the lease."""
        self._kernel.subscribe('upstreams-changed', self._on_upstreams_changed)
        neighbours = Neighbours(
            _find_service(self._kernel, 'hop'),
            self._settings.site,
            self._settings.neighbours,
            lambda: self.current,
        )
        self._queries = VersionQueries(
            self._settings, neighbours, self._rng, self.controls
        )
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops renewing and gives up the lease."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        self.session.leave()

    def _run(self) -> None:
        while True:
            try:
                self._run_once()
            except Exception:
                # An error in one round must not end the subscription.
                logs.logger().exception('subscription round failed')
                self._back_off()

    def _run_once(self) -> None:
        if not self.session.is_leased:
            self._find_control()
            return
        if not self.session.renew():
            self._leave_silent_control()
            return
        if self.session.majority_age_ms > self._age_limit_ms:
            self._leave_isolated_control()
        if not self.is_ready:
            self._learn_floor(self._queries.query_home())
            self._readiness.log_change()
        self._return_to_home_zone()
        jitter_factor = self._rng.uniform(1 - INTERVAL_JITTER, 1)
        interval_s = self._settings.lease_renew_ms / MS_PER_S
        self.session.early_renewal.wait(interval_s * jitter_factor)

    def _find_control(self) -> None:
        # While the node can't serve, it doesn't wait again for a silent control
        # host of its own zone: `query_all` includes that host.
        is_home_skipped = self._is_home_silent and not self.is_ready
        replies = () if is_home_skipped else self._queries.query_home()
        self._is_home_silent = not replies
        if not self.is_ready:
            replies = self._learn_floor(replies)
        elif not replies:
            replies = self._queries.query_hosts(None, len(self.controls))
        best = select_host(replies, self._zone, self._age_limit_ms, self._rng)
        if best is None or not self._join(best, 'start'):
            self._readiness.log_change()
            self._back_off()

    def _learn_floor(
        self, initial: tuple[VersionReply, ...]
    ) -> tuple[VersionReply, ...]:
        """Sets the version floor and returns the replies it is based on."""
        replies = initial
        if not any(reply.is_fresh(self._age_limit_ms) for reply in initial):
            replies = self._queries.query_all()
        floor = version_floor(replies, self._age_limit_ms)
        if floor is None:
            return replies
        self._readiness.version_floor = floor
        full = None if self.is_ready else self._queries.fetch_full(replies)
        if full is not None:
            self._config.apply_full(full.version, full.digest, full.tree)
        # The configuration may have arrived before the version floor.
        self._on_configuration()
        return replies

    def _leave_silent_control(self) -> None:
        replies = self._queries.query_hosts(self.session.control, QUERY_LIMIT)
        if self.session.renewed.is_set():
            return
        best = select_host(replies, self._zone, self._age_limit_ms, self._rng)
        if best is None or not self._join(best, 'silent'):
            self._back_off()

    def _leave_isolated_control(self) -> None:
        greenthread.sleep(self._rng.uniform(0, QUERY_JITTER_S))
        replies = self._queries.query_hosts(self.session.control, QUERY_LIMIT)
        better = [
            reply
            for reply in replies
            if should_switch(reply, self._config.version, self._age_limit_ms)
        ]
        best = select_host(better, self._zone, self._age_limit_ms, self._rng)
        is_failed = best is not None and not self._join(best, 'isolated')
        if is_failed or not replies:
            # A full renewal interval is too long to wait before a retry.
            self._back_off()
            self.session.early_renewal.set()

    def _return_to_home_zone(self) -> None:
        if monotonic_s() < self._home_check_at_s:
            return
        self._home_check_at_s = monotonic_s() + self._home_check_interval_s()
        if self.session.link.control.availability_zone == self._zone:
            return
        for reply in self._queries.query_home():
            if can_return_home(reply, self._config.version, self._age_limit_ms):
                self._join(reply, 'home')
                return

    def _join(self, reply: VersionReply, reason: str) -> bool:
        is_joined = self.session.join(reply.control)
        if is_joined:
            self._backoff.reset()
            MOVES.labels(reason).inc()
            host = reply.control.host
            logs.logger().info('lease taken', control_host=host, reason=reason)
            self._events.record('lease', control_host=host, reason=reason)
        return is_joined

    def _home_check_interval_s(self) -> float:
        jitter_factor = self._rng.uniform(1 - INTERVAL_JITTER, 1)
        return self._settings.home_check_ms / MS_PER_S * jitter_factor

    def _back_off(self) -> None:
        greenthread.sleep(self._backoff.next_delay_s())

    def _on_upstreams_changed(self, **_fields: Any) -> None:
        self._events.record_upstreams(self.entry.upstreams())
        self.session.early_renewal.set()

    def _on_configuration(self) -> None:
        if not self.is_ready or self._published_version == self._config.version:
            return
        self._published_version = self._config.version
        VERSION.set(self._config.version)
        self._readiness.log_change()
        self.session.acknowledge()
        self._events.record('in-force', version=self._config.version)
        self._kernel.publish(
            'configuration-in-force',
            version=self._config.version,
        )

    def _on_directory(self, services: frozenset[str]) -> None:
        self._kernel.publish('directory-changed', services=services)


def attach(kernel: Kernel, settings: Any) -> Subscription:
    """Provides `configuration`, `directory` and, if set, `rollouts`.

    Args:
        kernel: Kernel of the node; it provides `hop` and `upstreams` already.
        settings: Settings of the node.
    """
    subscription = Subscription(kernel, settings)
    kernel.provide('configuration', subscription)
    kernel.provide('directory', subscription.directory)
    kernel.provide('control-session', subscription.session)
    if settings.has_rollouts:
        rollout_reports.attach(kernel)
    return subscription


def _find_service(kernel: Kernel, name: str) -> Any:
    try:
        return kernel.find(name)
    except UnknownServiceError:
        return None
