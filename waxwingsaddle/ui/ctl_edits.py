"""Commands for edits: check, apply, history and diff."""

from collections import Counter
from collections.abc import Iterator
from datetime import UTC, datetime

import msgspec
from cleo.helpers import argument, option

from waxwingsaddle.api_models import Failure, VersionEntry
from waxwingsaddle.changes import format_change
from waxwingsaddle.client import Client
from waxwingsaddle.config import Refused, SourceSet, check_sources
from waxwingsaddle.config_warnings import (
    ConfigWarning,
    attempt_warnings,
    format_warning,
    list_warnings,
)
from waxwingsaddle.ctl_settings import CtlSettings
from waxwingsaddle.ui.ctl_base import (
    CommandError,
    CtlCommand,
    ExitCode,
    escape_markup,
    file_options,
)
from waxwingsaddle.version_progress import Progress, track_version

MS_PER_S = 1000
# More names do not fit on a line.
MAX_NAMES_SHOWN = 5


class CheckCommand(CtlCommand):
    """Validates the files of an edit without submitting them."""

    name = 'check'
    description = 'Checks the files of an edit and submits nothing.'
    own_options = [
        *file_options(),
        option('offline', None, 'Checks the files alone, asks no host.'),
        option('strict', None, 'Exits with 7 if there are warnings.'),
    ]

    def run_command(self) -> ExitCode:
        """Validates the files locally or, unless offline, on a control host."""
        if self.option('offline'):
            return self._check_offline()
        loaded = self.load_settings()
        sources = self.read_files(loaded)
        client = self.client(loaded)
        checked = self.require_success(client.check(sources))
        warnings = self._warnings(sources, client)
        self.show(
            {**msgspec.to_builtins(checked), 'warnings': warnings},
            [
                f'version {checked.version} is valid, '
                f'{len(checked.changes)} changes',
                *map(format_change, checked.changes),
                *map(format_warning, warnings),
            ],
        )
        return self._exit_code(warnings)

    def _check_offline(self) -> ExitCode:
        sources = self.read_files(self.load_settings())
        checked = check_sources(sources)
        if isinstance(checked, Refused):
            failure = Failure(
                kind='refused',
                message=checked.problems[0],
                problems=checked.problems,
            )
            self.require_success(failure)
        warnings = list_warnings(checked.sites)
        self.show(
            {
                'version': checked.version,
                'digest': checked.digest,
                'warnings': warnings,
            },
            [
                f'version {checked.version} is valid',
                *map(format_warning, warnings),
            ],
        )
        return self._exit_code(warnings)

    def _warnings(
        self, sources: SourceSet, client: Client
    ) -> tuple[ConfigWarning, ...]:
        """Returns the warnings about files that a control host accepts."""
        checked = check_sources(sources)
        if isinstance(checked, Refused):
            return ()
        known = client.upstreams()
        if isinstance(known, Failure):
            return list_warnings(checked.sites)
        counts = Counter(upstream.service for upstream in known.upstreams)
        return (
            *list_warnings(checked.sites),
            *attempt_warnings(checked.sites, counts),
        )

    def _exit_code(self, warnings: tuple[ConfigWarning, ...]) -> ExitCode:
        is_refused = warnings and self.option('strict')
        return ExitCode.doubtful if is_refused else ExitCode.done


class ApplyCommand(CtlCommand):
    """Submits the files, or the content of an older version, as an edit."""

    name = 'apply'
    description = 'Submits the files as an edit.'
    own_options = [
        *file_options(),
        option(
            'content-of',
            None,
            'Submits the content of this older version, not the files.',
            flag=False,
        ),
        option('wait', None, 'Waits until it is in force on every node.'),
        option('timeout-s', None, 'Longest wait, in seconds.', flag=False),
    ]

    def run_command(self) -> ExitCode:
        """Submits the edit and, with `--wait`, tracks its version."""
        loaded = self.load_settings()
        client = self.client(loaded)
        entry = self._submit(client, loaded)
        if not self.option('wait'):
            self.show(entry, [_format_accepted(entry)])
            return ExitCode.done
        if not self.option('json'):
            self.line(_format_accepted(entry))
        timeout_s = loaded.wait_limit_s
        if self.option('timeout-s'):
            timeout_s = self.parse_option_number(
                'timeout-s', self.option('timeout-s')
            )
        return self._wait(client, entry, loaded.poll_ms / MS_PER_S, timeout_s)

    def _submit(self, client: Client, loaded: CtlSettings) -> VersionEntry:
        if self.option('content-of') is None:
            sources = self.read_files(loaded)
            return self.require_success(client.submit(sources, loaded.author))
        older = self.parse_option_number(
            'content-of', self.option('content-of')
        )
        history = self.require_success(client.history(1))
        return self.require_success(
            client.roll_forward(older, history.version + 1, loaded.author),
        )

    def _wait(
        self,
        client: Client,
        entry: VersionEntry,
        poll_s: float,
        timeout_s: float,
    ) -> ExitCode:
        reports = track_version(client, entry.version, poll_s, timeout_s)
        last = self._print_progress(reports)
        if isinstance(last, Failure):
            self.require_success(last)
        document = {'accepted': entry, 'progress': last}
        if last.is_done:
            self.show(document, [])
            return ExitCode.done
        raise CommandError(
            f'version {entry.version} is accepted, and after {timeout_s:g} s '
            f'in force on {last.in_force} of {last.nodes} nodes; look at '
            '`waxwingctl status`',
            ExitCode.not_in_force,
            document,
        )

    def _print_progress(
        self,
        reports: Iterator[Progress | Failure],
    ) -> Progress | Failure:
        """Prints the reports that differ from the previous one.

        Returns:
            The last report.
        """
        printed: list[str] = []
        for progress in reports:
            line = progress_line(progress)
            if line not in printed[-1:] and not self.option('json'):
                self.line(escape_markup(line))
            printed.append(line)
            latest = progress
        return latest


class HistoryCommand(CtlCommand):
    """Lists accepted versions."""

    name = 'history'
    description = 'Lists accepted versions, newest first.'
    own_options = [
        option('limit', None, 'Most versions shown.', flag=False, default=20),
    ]

    def run_command(self) -> ExitCode:
        """Prints one line per version."""
        client = self.client(self.load_settings())
        limit = self.parse_option_number('limit', self.option('limit'))
        history = self.require_success(client.history(limit))
        self.show(history, map(_format_entry, history.versions))
        return ExitCode.done


class DiffCommand(CtlCommand):
    """Shows the changes between two versions."""

    name = 'diff'
    description = (
        'Shows what changed between two versions, or between the accepted '
        'version and the files.'
    )
    arguments = [
        argument('old', 'Older version.', optional=True),
        argument(
            'new', 'Newer version; by default the accepted one.', optional=True
        ),
    ]
    own_options = file_options()

    def run_command(self) -> ExitCode:
        """Prints one line per changed value."""
        loaded = self.load_settings()
        client = self.client(loaded)
        if self.argument('old') is None:
            answer = self.require_success(client.check(self.read_files(loaded)))
        else:
            old = self.parse_option_number('old', self.argument('old'))
            answer = self.require_success(
                client.difference(old, self._newer_version(client))
            )
        lines = [format_change(change) for change in answer.changes]
        if getattr(answer, 'is_partial', False):
            lines.append('there are changes outside the scope of the token')
        self.show(answer, lines or ['equal'])
        return ExitCode.done

    def _newer_version(self, client: Client) -> int:
        new = self.argument('new')
        if new is None:
            return self.require_success(client.history(1)).version
        return self.parse_option_number('new', new)


def progress_line(progress: Progress | Failure) -> str:
    """Formats a progress report of a version as one line."""
    if isinstance(progress, Failure):
        return f'{progress.kind}: {progress.message}'
    return ''.join(_progress_parts(progress))


def _progress_parts(progress: Progress) -> Iterator[str]:
    yield (
        f'version {progress.version} in force on {progress.in_force} of '
        f'{progress.nodes} nodes'
    )
    if progress.lagging:
        names = ', '.join(
            f'{node.host} ({node.version})'
            for node in progress.lagging[:MAX_NAMES_SHOWN]
        )
        more = len(progress.lagging) - MAX_NAMES_SHOWN
        yield f'; lagging: {names}'
        yield f' and {more} more' if more > 0 else ''
    if progress.missing_hosts:
        yield f'; no answer from {", ".join(progress.missing_hosts)}'


def _format_accepted(entry: VersionEntry) -> str:
    return f'version {entry.version} accepted, digest {entry.digest[:12]}'


def _format_entry(entry: VersionEntry) -> str:
    accepted = datetime.fromtimestamp(entry.accepted_ms / MS_PER_S, UTC)
    return (
        f'{entry.version:6}  {accepted:%Y-%m-%d %H:%M:%S}  '
        f'{entry.digest[:12]}  {entry.author or "-"}'
    )
