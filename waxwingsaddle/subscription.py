"""Node side of distribution: services `configuration` and `directory`."""

import random
from typing import Any

from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.configuration_state import HeldConfiguration
from waxwingsaddle.control_host_selection import (
    VersionReply,
    can_return_home,
    select_host,
    should_switch,
    version_floor,
)
from waxwingsaddle.directory import UpstreamRecord
from waxwingsaddle.kernel import Kernel, UnknownServiceError
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.neighbours import Neighbours
from waxwingsaddle.node_directory import NodeDirectory
from waxwingsaddle.node_events import NodeEvents
from waxwingsaddle.node_session import Session
from waxwingsaddle.readiness import Readiness
from waxwingsaddle.util.backoff import Backoff
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.version_queries import Inquiry

# Control hosts asked at once when the own one fails; asking all of them would
# multiply the load while the leader changes.
HOSTS_ASKED = 3
# Spread of the questions of nodes that learn of an isolation together.
ASK_SPREAD_S = 0.3
# Variation of intervals, so that nodes do not ask together. Intervals only
# shrink, because the interval bounds the time until a frozen host is left.
INTERVAL_SPREAD = 0.2

MOVES = metrics.counter(
    'waxwing_control_host_moves',
    'Leases taken with another control host.',
    ('reason',),
)
VERSION = metrics.gauge('waxwing_configuration_version', 'Version in force.')


class Subscription:
    """Keeps the configuration of a node at the newest accepted version.

    Args:
        kernel: Finds the services `upstreams`, `hop` and `events`.
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
        self._held = HeldConfiguration(settings.site)
        self._readiness = Readiness(self._held)
        self._published = 0
        self._is_home_silent = False
        self._zone = settings.availability_zone
        self._limit_ms = settings.majority_age_limit_ms
        self.directory = NodeDirectory()
        self._events = NodeEvents(
            _find(kernel, 'events'),
            settings.event_bytes_per_s,
            monotonic_s,
        )
        self.session = Session(
            settings,
            self._held,
            self.directory,
            self._announced,
            self._on_configuration,
            self._on_directory,
            self._events,
        )
        self._backoff = Backoff(
            settings.reconnect_ms / MS_PER_S,
            settings.reconnect_limit_ms / MS_PER_S,
            self._rng,
        )
        self._home_due_s = monotonic_s() + self._home_interval_s()
        self.controls = ControlList(settings.controls)
        self._inquiry: Inquiry | None = None
        self._thread: greenthread.GreenThread | None = None

    @property
    def current(self) -> SiteSnapshot | None:
        """The configuration in force; none before the floor is reached."""
        return self._held.snapshot if self.is_ready else None

    @property
    def is_ready(self) -> bool:
        """Whether the node holds its version floor or a later version."""
        return self._readiness.is_ready

    @property
    def problem(self) -> str:
        """One line that says why the node is not ready; empty when it is."""
        return self._readiness.problem

    def start(self) -> None:
        """Takes a lease and holds it in a green thread."""
        self._kernel.subscribe('upstreams-changed', self._on_upstreams)
        neighbours = Neighbours(
            _find(self._kernel, 'hop'),
            self._settings.site,
            self._settings.neighbours,
            lambda: self.current,
        )
        self._inquiry = Inquiry(
            self._settings,
            neighbours,
            self._rng,
            self.controls,
        )
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Gives up the lease."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None
        self.session.leave()

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except Exception:
                # A fault in one round must not cut the node off for good.
                logs.logger().exception('subscription round failed')
                self._pause()

    def _step(self) -> None:
        if not self.session.is_leased:
            self._find_control()
            return
        if not self.session.renew():
            self._leave_silent()
            return
        if self.session.majority_age_ms > self._limit_ms:
            self._leave_isolated()
        if not self.is_ready:
            self._learn_floor(self._inquiry.home())
            self._readiness.log()
        self._return_home()
        spread = self._rng.uniform(1 - INTERVAL_SPREAD, 1)
        interval_s = self._settings.lease_renew_ms / MS_PER_S
        self.session.attention.wait(interval_s * spread)

    def _find_control(self) -> None:
        # A silent control host of the own zone is not waited for again while
        # the node cannot serve; the question to everyone includes it.
        is_skipped = self._is_home_silent and not self.is_ready
        answers = () if is_skipped else self._inquiry.home()
        self._is_home_silent = not answers
        if not self.is_ready:
            answers = self._learn_floor(answers)
        elif not answers:
            answers = self._inquiry.others(
                None,
                len(self.controls),
            )
        best = select_host(answers, self._zone, self._limit_ms, self._rng)
        if best is None or not self._join(best, 'start'):
            self._readiness.log()
            self._pause()

    def _learn_floor(
        self, home: tuple[VersionReply, ...]
    ) -> tuple[VersionReply, ...]:
        """Learns the version floor and returns the answers it came from."""
        answers = home
        if not any(part.is_fresh(self._limit_ms) for part in home):
            answers = self._inquiry.everyone()
        floor = version_floor(answers, self._limit_ms)
        if floor is None:
            return answers
        self._readiness.floor = floor
        whole = None if self.is_ready else self._inquiry.whole(answers)
        if whole is not None:
            self._held.apply_whole(whole.version, whole.digest, whole.tree)
        # The configuration may have come before the floor was known.
        self._on_configuration()
        return answers

    def _leave_silent(self) -> None:
        answers = self._inquiry.others(self.session.control, HOSTS_ASKED)
        if self.session.answered.is_set():
            return
        best = select_host(answers, self._zone, self._limit_ms, self._rng)
        if best is None or not self._join(best, 'silent'):
            self._pause()

    def _leave_isolated(self) -> None:
        greenthread.sleep(self._rng.uniform(0, ASK_SPREAD_S))
        answers = self._inquiry.others(self.session.control, HOSTS_ASKED)
        better = [
            answer
            for answer in answers
            if should_switch(answer, self._held.version, self._limit_ms)
        ]
        best = select_host(better, self._zone, self._limit_ms, self._rng)
        is_failed = best is not None and not self._join(best, 'isolated')
        if is_failed or not answers:
            # Asks again soon: a full interval would be too long here.
            self._pause()
            self.session.attention.set()

    def _return_home(self) -> None:
        if monotonic_s() < self._home_due_s:
            return
        self._home_due_s = monotonic_s() + self._home_interval_s()
        if self.session.link.control.availability_zone == self._zone:
            return
        for home in self._inquiry.home():
            if can_return_home(home, self._held.version, self._limit_ms):
                self._join(home, 'home')
                return

    def _join(self, answer: VersionReply, reason: str) -> bool:
        is_joined = self.session.join(answer.control)
        if is_joined:
            self._backoff.reset()
            MOVES.labels(reason).inc()
            host = answer.control.host
            logs.logger().info('lease taken', control_host=host, reason=reason)
            self._events.record('lease', control_host=host, reason=reason)
        return is_joined

    def _home_interval_s(self) -> float:
        spread = self._rng.uniform(1 - INTERVAL_SPREAD, 1)
        return self._settings.home_check_ms / MS_PER_S * spread

    def _pause(self) -> None:
        greenthread.sleep(self._backoff.next_delay_s())

    def _announced(self) -> tuple[UpstreamRecord, ...]:
        upstreams = _find(self._kernel, 'upstreams')
        if upstreams is None:
            return ()
        return tuple(
            UpstreamRecord(
                name=part.name,
                service=part.service,
                slots=part.slots,
                state=part.state,
                started_ms=part.started_ms_ago,
            )
            for part in upstreams.announcements()
        )

    def _on_upstreams(self, **_fields: Any) -> None:
        self._events.record_upstreams(self._announced())
        self.session.attention.set()

    def _on_configuration(self) -> None:
        if not self.is_ready or self._published == self._held.version:
            return
        self._published = self._held.version
        VERSION.set(self._held.version)
        self._readiness.log()
        self.session.acknowledge()
        self._events.record('in-force', version=self._held.version)
        self._kernel.publish(
            'configuration-in-force',
            version=self._held.version,
        )

    def _on_directory(self, services: frozenset[str]) -> None:
        self._kernel.publish('directory-changed', services=services)


def attach(kernel: Kernel, settings: Any) -> Subscription:
    """Provides the services `configuration` and `directory` of a node.

    Args:
        kernel: Kernel of the node; `hop` and `upstreams` come before this.
        settings: Settings of the node.
    """
    subscription = Subscription(kernel, settings)
    kernel.provide('configuration', subscription)
    kernel.provide('directory', subscription.directory)
    return subscription


def _find(kernel: Kernel, name: str) -> Any:
    try:
        return kernel.find(name)
    except UnknownServiceError:
        return None
