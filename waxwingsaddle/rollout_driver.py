"""Runs the rollouts on the control host that leads the log."""

from collections.abc import Iterable, Sequence
from typing import Any

from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.edit_history import HistoryEntry
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.rollout_entries import (
    encode_serving,
    encode_step,
    services_of,
)
from waxwingsaddle.rollout_evidence import Evidence
from waxwingsaddle.rollout_messages import RolloutBatch, RolloutReport
from waxwingsaddle.rollout_models import (
    Rollout,
    RolloutAccepted,
    RolloutStep,
)
from waxwingsaddle.rollout_plan import ExposureLimit, Situation, next_step
from waxwingsaddle.rollout_progress import NodeProgress
from waxwingsaddle.serving_versions import ServingVersions
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s, wall_ms

# Rounds of the leader in the time within which a faulty version has to be out
# of service, and the longest interval.
_TICKS_PER_BACK = 50
_MAX_TICK_S = 0.1
_SERVING_INTERVAL_S = 1.0
# Time after the first configuration in which its upstreams are announced.
_FIRST_MS = 5000

STEPS = metrics.counter(
    'waxwing_rollout_steps',
    'Steps of rollouts that this host decided as the leader, by new state.',
    ('state',),
)


class RolloutDriver:
    """Decides the steps of running rollouts while this host leads.

    What nodes have reported is lost with the leader. The next one gathers it
    again, which only delays a step.

    Args:
        kernel: Provides `replication`, `peers` and `distribution`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: ControlSettings) -> None:
        self._replication = kernel.find('replication')
        self._peers = kernel.find('peers')
        self._distribution = kernel.find('distribution')
        self._limit = ExposureLimit(
            settings.rollout_exposed_percent, settings.rollout_exposed_calls
        )
        back_s = settings.rollout_back_ms / MS_PER_S
        self._tick_s = min(_MAX_TICK_S, back_s / _TICKS_PER_BACK or _MAX_TICK_S)
        self._reports: list[tuple[str, RolloutReport]] = []
        self._progress = NodeProgress()
        self._serving = ServingVersions()
        self._serving_checked_s = 0.0
        self._evidence: dict[str, Evidence] = {}
        # Number of the current step of each service, and when this leader
        # learned of it.
        self._steps: dict[str, tuple[int, float]] = {}
        self._thread: greenthread.GreenThread | None = None
        kernel.subscribe('rollout-reported', self._on_report)
        self._peers.subscribe(RolloutBatch, self._on_batch)

    def start(self) -> None:
        """Starts to drive rollouts."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops driving rollouts."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def _on_report(self, host: str, report: RolloutReport) -> None:
        self._reports.append((host, report))

    def _on_batch(self, _sender: str, batch: RolloutBatch) -> None:
        if self._replication.is_leader:
            self._reports.extend(batch.reports)

    def _run(self) -> None:
        while True:
            greenthread.sleep(self._tick_s)
            try:
                self._tick()
            except Exception:
                # An error in one round must not end the rollouts.
                logs.logger().exception('round of rollouts failed')

    def _tick(self) -> None:
        reports = tuple(self._reports)
        self._reports.clear()
        if self._replication.is_leader:
            self._lead(reports)
            return
        self._progress = NodeProgress()
        self._evidence.clear()
        self._steps.clear()
        leader = self._replication.leader
        if reports and leader is not None:
            self._peers.send(leader, RolloutBatch(reports))

    def _lead(self, reports: Iterable[tuple[str, RolloutReport]]) -> None:
        self._record_serving()
        running = self._replication.state.rollouts.running()
        services = {rollout.order.service for rollout in running}
        for ended in self._evidence.keys() - services:
            self._evidence.pop(ended)
            self._steps.pop(ended, None)
        now_s = monotonic_s()
        for rollout in running:
            self._follow_step(rollout, now_s)
        for host, report in reports:
            self._progress.record(host, report, now_s)
            for counts in report.counts:
                evidence = self._evidence.get(counts.service)
                if evidence is not None:
                    evidence.add(host, counts, now_s)
        for rollout in running:
            situation = self._situation(rollout, now_s)
            step = next_step(rollout, situation, self._limit)
            if step is not None:
                self._take(step)

    def _record_serving(self) -> None:
        """Records which versions serve, if this host can tell.

        It can if it knows all upstreams, or right after the first
        configuration: the first version of a service then serves.
        """
        feed = self._distribution.feed
        is_complete = feed.is_complete and not feed.hidden_holders
        state = self._replication.state
        is_known = is_complete or _is_new(state.history())
        now_s = monotonic_s()
        is_due = now_s - self._serving_checked_s >= _SERVING_INTERVAL_S
        if not (is_known and is_due and self._limit.percent):
            return
        self._serving_checked_s = now_s
        services = {
            name
            for name in services_of(state.sites)
            if state.rollouts.find(name) is None
        }
        versions = self._serving.find_changes(
            self._distribution.entries(),
            state.rollouts.serving,
            services,
            now_s,
            is_complete=is_complete,
        )
        if versions:
            self._replication.commit_rollout(encode_serving(versions))
            logs.logger().info('serving versions', versions=versions)

    def _follow_step(self, rollout: Rollout, now_s: float) -> None:
        service = rollout.order.service
        evidence = self._evidence.get(service)
        if evidence is None or evidence.target_version != (
            rollout.order.target_version
        ):
            self._evidence[service] = Evidence(rollout.order.target_version)
        if self._steps.get(service, (0, 0))[0] != rollout.number:
            self._steps[service] = (rollout.number, now_s)

    def _situation(self, rollout: Rollout, now_s: float) -> Situation:
        service = rollout.order.service
        feed = self._distribution.feed
        hosts = [record.host for record in feed.visible_records()]
        finding = self._evidence[service].judge(now_s)
        return Situation(
            elapsed_s=max(0, wall_ms() - rollout.started_ms) / MS_PER_S,
            step_age_s=now_s - self._steps[service][1],
            verdict=finding.verdict,
            reason=finding.reason,
            ready_targets=self._count_targets(rollout),
            is_acknowledged=feed.is_complete
            and self._progress.is_acknowledged(
                hosts, rollout.distributed_number, now_s
            ),
            old_in_flight=self._progress.in_flight(hosts, service),
            runs_per_s=finding.runs_per_s,
        )

    def _count_targets(self, rollout: Rollout) -> int:
        return sum(
            entry.service == rollout.order.service
            and entry.version == rollout.order.target_version
            and entry.state == 'ready'
            for entry in self._distribution.entries()
        )

    def _take(self, step: RolloutStep) -> None:
        outcome: Any = self._replication.commit_rollout(encode_step(step))
        logs.logger().info(
            'rollout step',
            service=step.service,
            state=step.state,
            share_permille=step.share_permille,
            turn=step.turn,
            reason=step.reason,
            is_committed=isinstance(outcome, RolloutAccepted),
        )
        STEPS.labels(step.state).inc()


def _is_new(history: Sequence[HistoryEntry]) -> bool:
    """Returns whether the first configuration was accepted a moment ago."""
    if not history or history[0].version != 1:
        return False
    return 0 <= wall_ms() - history[0].accepted_ms < _FIRST_MS
