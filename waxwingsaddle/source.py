"""Submits the files that operators edit when they change."""

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

# `waiting`: no stable files yet; `in-step`: the accepted version has this
# content; `refused`: the files hold an edit that can't be accepted;
# `unreachable`: no control host answers, the edit is sent again.
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
    """What became of the files.

    Attributes:
        state: What became of them.
        version: The accepted version that was last heard of.
        problem: One readable line for the operator; empty if there is none.
    """

    state: State
    version: int = 0
    problem: str = ''


class Source:
    """Watches the files and submits each real change.

    Args:
        watch: Finds stable files.
        client: Asks the control hosts.
        author: Name for the history.
        timeline: Records what became of each edit.
        backoff: Delays between resends.
        poll_s: Time between two looks, in seconds.
        clock: Monotonic seconds.
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
        self._open: FileState | None = None
        self._next_try_s = 0.0
        self._thread: greenthread.GreenThread | None = None
        self.report = Report('waiting')

    def start(self) -> None:
        """Begins to watch."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Ends watching; an edit without an answer is compared at restart."""
        if self._thread:
            self._thread.kill()
            self._thread = None

    def is_ready(self) -> bool:
        """Says whether files were read and a control host answered."""
        return self.report.state in {'in-step', 'refused'}

    def detail(self) -> dict[str, Any]:
        """Returns what `/readyz` adds."""
        return {
            'state': self.report.state,
            'version': self.report.version,
            'problem': self.report.problem,
        }

    def step(self) -> None:
        """Looks at the files once and submits what is due."""
        reading = self._watch.poll(self._clock())
        if reading:
            self._open = reading
            self._backoff.reset()
        elif self._open is None or self._clock() < self._next_try_s:
            return
        else:
            _resends.inc()
        self._settle(self._open)

    def _run(self) -> None:
        while True:
            try:
                self.step()
            except Exception:
                # Nobody watches at night: the next look must still happen.
                logs.logger().exception('look at the files failed')
            greenthread.sleep(self._poll_s)

    def _settle(self, reading: FileState) -> None:
        report = self._submit_change(reading.sources)
        if report.state == 'unreachable':
            delay_s = self._backoff.next_delay_s()
            self._next_try_s = self._clock() + delay_s
        else:
            self._open = None
        self._announce(report)

    def _submit_change(self, sources: SourceSet | Refused) -> Report:
        """Submits the files unless they are the accepted configuration."""
        checked = (
            sources if isinstance(sources, Refused) else check_sources(sources)
        )
        if isinstance(checked, Refused):
            return self._refusal('; '.join(checked.problems))
        history = self._client.history(limit=1)
        if isinstance(history, Failure):
            return self._failure(history)
        _version.set(history.version)
        if any(entry.digest == checked.digest for entry in history.versions):
            return Report('in-step', history.version)
        answer = self._client.submit(sources, self._author)
        if isinstance(answer, Failure):
            return self._failure(answer, checked.version)
        return self._accepted(answer, history.version)

    def _accepted(self, entry: VersionEntry, before: int) -> Report:
        if entry.version < before:
            return Report(
                'refused',
                before,
                f'base.toml: version: {entry.version} was accepted before, '
                f'and {before} is accepted now; the files are out of date: '
                f'merge version {before} and set version = {before + 1}',
            )
        _version.set(entry.version)
        return Report('in-step', entry.version)

    def _failure(self, failure: Failure, wanted: int = 0) -> Report:
        if failure.kind in {'unreachable', 'unavailable', 'internal'}:
            return Report(
                'unreachable',
                self.report.version,
                failure.message,
            )
        expected = failure.expected_version
        if expected and wanted != expected:
            winner = (
                f' (version {failure.version} came from {failure.author})'
                if failure.author
                else ''
            )
            return self._refusal(
                f'base.toml: version: the files say {wanted}, expected '
                f'{expected}{winner}; merge what was accepted since, then '
                f'set version = {expected}',
            )
        problems = '; '.join(failure.problems) or failure.message
        return self._refusal(f'{failure.kind}: {problems}')

    def _refusal(self, problem: str) -> Report:
        return Report('refused', self.report.version, problem)

    def _announce(self, report: Report) -> None:
        before = self.report
        self.report = report
        _refused.set(report.state == 'refused')
        if report == before:
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
