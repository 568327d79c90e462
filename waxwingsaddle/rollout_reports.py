"""Service `rollouts` of a node: counts and reports runs by version."""

from collections import Counter
from dataclasses import dataclass
from math import log

from eventlet import greenthread

from waxwingsaddle import logs
from waxwingsaddle.announcements import Announcement
from waxwingsaddle.call_class import Call
from waxwingsaddle.calls import Answer
from waxwingsaddle.config_models import ServiceRollout
from waxwingsaddle.directory import UpstreamEntry
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.rollout_messages import RolloutReport, RunCounts
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.outcome import Outcome

# Shortest interval of reports. A faulty version has to be taken out of service
# within seconds, and a report takes two hops and a tenth of a second there.
_MIN_INTERVAL_S = 0.25
# Longer in large fleets, so that the leader gets at most 400 reports a second.
_INTERVAL_PER_NODE_S = 0.0025
# Upstreams are up to twice as slow in their first three seconds.
_COLD_MS = 6000
_MIN_TIME_MS = 0.1
_MIN_FAILED_STATUS = 500
# The upstream refused the connection or ended it.
_FAILED_REASONS = frozenset(('upstream-refused',))

_RunKey = tuple[str, str, str]


@dataclass(slots=True)
class _Sums:
    runs: int = 0
    failures: int = 0
    timed: int = 0
    log_sum: float = 0
    log_squares: float = 0


class NodeRollouts:
    """Knows the rollouts of a node and reports on those that run.

    Args:
        kernel: Provides `configuration`, and by the time of the start
            `directory`, `upstreams` and `guarding`.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._configuration = kernel.find('configuration')
        self._sums: dict[_RunKey, _Sums] = {}
        self._sent: Counter[tuple[str, str]] = Counter()
        self._thread: greenthread.GreenThread | None = None

    def start(self) -> None:
        """Starts to report."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops reporting."""
        if self._thread is not None:
            self._thread.kill()
            self._thread = None

    def find(self, service: str) -> ServiceRollout | None:
        """Returns the newest rollout of a service, if it had any."""
        return self._rollouts().get(service)

    def start_attempt(self, upstream: UpstreamEntry) -> None:
        """Counts an attempt that this node sends to an upstream."""
        self._sent[upstream.service, upstream.version] += 1

    def finish_attempt(self, upstream: UpstreamEntry) -> None:
        """Counts the end of such an attempt."""
        self._sent[upstream.service, upstream.version] -= 1

    def record_run(
        self,
        upstream: Announcement,
        call: Call,
        answer: Answer,
        elapsed_s: float,
    ) -> None:
        """Counts a run at an upstream beside this node.

        Args:
            upstream: The upstream.
            call: The call.
            answer: Its answer, or the reason why there is none.
            elapsed_s: Time from the request to the head of the answer, in
                seconds.
        """
        rollout = self.find(upstream.service)
        if rollout is None or rollout.state != 'running':
            return
        if not _is_evidence(answer):
            return
        key = (upstream.service, call.route, upstream.version)
        sums = self._sums.setdefault(key, _Sums())
        sums.runs += 1
        if _is_failure(answer):
            sums.failures += 1
        elif upstream.started_ms_ago >= _COLD_MS:
            logarithm = log(max(_MIN_TIME_MS, elapsed_s * MS_PER_S))
            sums.timed += 1
            sums.log_sum += logarithm
            sums.log_squares += logarithm**2

    def next_report(self) -> RolloutReport | None:
        """Returns the next report; None while no rollout runs."""
        counts = tuple(
            RunCounts(
                *key,
                runs=sums.runs,
                failures=sums.failures,
                timed=sums.timed,
                log_sum=sums.log_sum,
                log_squares=sums.log_squares,
            )
            for key, sums in self._sums.items()
        )
        self._sums.clear()
        running = {
            service: rollout.target_version
            for service, rollout in self._rollouts().items()
            if rollout.state == 'running'
        }
        if not running:
            return None
        return RolloutReport(
            number=self._configuration.current.version,
            in_flight={
                service: self._count_in_flight(service, target_version)
                for service, target_version in running.items()
            },
            counts=counts,
        )

    def _rollouts(self) -> dict[str, ServiceRollout]:
        current = self._configuration.current
        return {} if current is None else current.document.rollouts

    def _count_in_flight(self, service: str, target_version: str) -> int:
        sent = sum(
            number
            for (name, version), number in self._sent.items()
            if name == service and version != target_version
        )
        guarding = self._kernel.find('guarding')
        loads = (
            guarding.load_of(upstream.name)
            for upstream in self._kernel.find('upstreams').announcements()
            if upstream.service == service
            and upstream.version != target_version
        )
        return sent + sum(
            load.in_flight + load.queued for load in loads if load
        )

    def _run(self) -> None:
        while True:
            nodes = len(self._kernel.find('directory'))
            interval_s = max(_MIN_INTERVAL_S, nodes * _INTERVAL_PER_NODE_S)
            greenthread.sleep(interval_s)
            try:
                self._send_report()
            except Exception:
                # An error in one round must not end the reports.
                logs.logger().exception('report on rollouts failed')

    def _send_report(self) -> None:
        report = self.next_report()
        if report is not None:
            self._configuration.session.send(report)


def attach(kernel: Kernel) -> NodeRollouts:
    """Provides the service `rollouts` of a node.

    Args:
        kernel: Kernel of the node; it provides `configuration` already.
    """
    rollouts = NodeRollouts(kernel)
    kernel.provide('rollouts', rollouts)
    return rollouts


def _is_evidence(answer: Answer) -> bool:
    """Returns whether a run shows something about its upstream."""
    if answer.reason == 'cancelled' or answer.outcome is Outcome.CANCELLED:
        return False
    return (
        answer.outcome is not Outcome.NOT_RUN
        or answer.reason in _FAILED_REASONS
    )


def _is_failure(answer: Answer) -> bool:
    return (
        answer.outcome is not Outcome.RAN or answer.status >= _MIN_FAILED_STATUS
    )
