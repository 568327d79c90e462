"""Submits changes of the configuration files as edits."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

from eventlet import greenthread

from waxwingsaddle import logs, metrics
from waxwingsaddle.api_models import Failure, VersionEntry
from waxwingsaddle.client import Client
from waxwingsaddle.config import Refused, SourceSet, check_sources
from waxwingsaddle.edit_watcher import EditWatcher, FileState
from waxwingsaddle.events import Timeline
from waxwingsaddle.util.backoff import Backoff
from waxwingsaddle.util.clock import monotonic_s

# `waiting`: the files have not settled yet; `in-step`: the accepted version has
# this content; `refused`: the files contain an edit that can't be accepted;
# `unreachable`: no control host answers, so the edit will be sent again.
State = Literal['waiting', 'in-step', 'refused', 'unreachable']

_outcomes = metrics.counter(
    'waxwing_source_edits',
    'Edits found in the files, by what became of them.',
    ('outcome',),
)
_resends = metrics.counter(
    'waxwing_source_resends',
    'Edits sent again because no answer came.',
)
_refused = metrics.gauge(
    'waxwing_source_refused',
    'Whether the files hold an edit that can not be accepted (0 or 1).',
)
_version = metrics.gauge(
    'waxwing_source_version',
    'Accepted version that the source last heard of.',
)


@dataclass(frozen=True, slots=True)
class Report:
    """Result of submitting the files.

    Attributes:
        state: Current state.
        version: Last accepted version that a control host reported.
        problem: One line of text for the operator; empty without a problem.
    """

    state: State
    version: int = 0
    problem: str = ''


class Source:
    """Watches the files and submits each change of their content.

    Args:
        watch: Detects files that have changed and settled.
        client: Client of the control hosts.
        author: Name for the history.
        timeline: Records the outcome of each edit.
        backoff: Delays between resends.
        poll_s: Interval between polls of the files, in seconds.
        clock: Returns monotonic time, in seconds.
    """

    def __init__(
        self,
        watch: EditWatcher,
        client: Client,
        author: str,
        timeline: Timeline,
        backoff: Backoff,
        poll_s: float,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self._watch = watch
        self._client = client
        self._author = author
        self._timeline = timeline
        self._backoff = backoff
        self._poll_s = poll_s
        self._clock = clock
        self._pending: FileState | None = None
        self._next_attempt_at_s = 0.0
        self._thread: greenthread.GreenThread | None = None
        self.report = Report('waiting')

    def start(self) -> None:
        """Starts watching in a green thread."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Stops watching.

        After a restart, an edit whose answer was lost is compared with the
        accepted version.
        """
        if self._thread:
            self._thread.kill()
            self._thread = None

    def is_ready(self) -> bool:
        """Returns whether files were read and a control host answered."""
        return self.report.state in {'in-step', 'refused'}

    def detail(self) -> dict[str, Any]:
        """Returns the details that `/readyz` reports."""
        return {
            'state': self.report.state,
            'version': self.report.version,
            'problem': self.report.problem,
        }

    def step(self) -> None:
        """Polls the files once and submits or resends a pending edit."""
        file_state = self._watch.poll(self._clock())
        if file_state:
            self._pending = file_state
            self._backoff.reset()
        elif self._pending is None or self._clock() < self._next_attempt_at_s:
            return
        else:
            _resends.inc()
        self._submit_pending(self._pending)

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                # The program runs unattended, so polling must go on.
                logs.logger().exception('polling the files failed')
            greenthread.sleep(self._poll_s)

    def _submit_pending(self, file_state: FileState) -> None:
        report = self._submit_if_changed(file_state.sources)
        if report.state == 'unreachable':
            delay_s = self._backoff.next_delay_s()
            self._next_attempt_at_s = self._clock() + delay_s
        else:
            self._pending = None
        self._publish_report(report)

    def _submit_if_changed(self, sources: SourceSet | Refused) -> Report:
        """Submits the files unless their content is already accepted."""
        checked = (
            sources if isinstance(sources, Refused) else check_sources(sources)
        )
        if isinstance(checked, Refused):
            return self._report_refusal('; '.join(checked.problems))
        history = self._client.history(limit=1)
        if isinstance(history, Failure):
            return self._report_failure(history)
        _version.set(history.version)
        if any(entry.digest == checked.digest for entry in history.versions):
            return Report('in-step', history.version)
        answer = self._client.submit(sources, self._author)
        if isinstance(answer, Failure):
            return self._report_failure(answer, checked.version)
        return self._report_accepted(answer, history.version)

    def _report_accepted(self, entry: VersionEntry, newest: int) -> Report:
        if entry.version < newest:
            return Report(
                'refused',
                newest,
                f'base.toml: version: {entry.version} was accepted before, '
                f'and {newest} is accepted now; the files are out of date: '
                f'merge version {newest} and set version = {newest + 1}',
            )
        _version.set(entry.version)
        return Report('in-step', entry.version)

    def _report_failure(self, failure: Failure, requested: int = 0) -> Report:
        if failure.kind in {'unreachable', 'unavailable', 'internal'}:
            return Report(
                'unreachable',
                self.report.version,
                failure.message,
            )
        expected = failure.expected_version
        if expected and requested != expected:
            winner = (
                f' (version {failure.version} came from {failure.author})'
                if failure.author
                else ''
            )
            return self._report_refusal(
                f'base.toml: version: the files say {requested}, expected '
                f'{expected}{winner}; merge what was accepted since, then '
                f'set version = {expected}',
            )
        problems = '; '.join(failure.problems) or failure.message
        return self._report_refusal(f'{failure.kind}: {problems}')

    def _report_refusal(self, problem: str) -> Report:
        return Report('refused', self.report.version, problem)

    def _publish_report(self, report: Report) -> None:
        previous = self.report
        self.report = report
        _refused.set(report.state == 'refused')
        if report == previous:
            return
        _outcomes.labels(report.state).inc()
        self._timeline.record(
            'source',
            state=report.state,
            version=report.version,
            problem=report.problem,
        )
        if report.problem:
            logs.logger().warning(report.problem, state=report.state)
        else:
            logs.logger().info('in step', version=report.version)
