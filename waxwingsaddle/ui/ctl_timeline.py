"""Command that merges the events of several processes."""

from functools import partial
from pathlib import Path

from cleo.helpers import option

from waxwingsaddle.timeline import Selection, format_event, gather, parse_since
from waxwingsaddle.timeline_page import render_page
from waxwingsaddle.ui.ctl_base import CommandError, CtlCommand, ExitCode
from waxwingsaddle.util.clock import wall_ms
from waxwingsaddle.util.files import replace_file


class TimelineCommand(CtlCommand):
    """Merges the events of several processes in the order of their stamps."""

    name = 'timeline'
    description = 'Shows the events of several processes in one order.'
    own_options = [
        option('since', None, '90s, 10m, 2h, 1d or a time.', flag=False),
        option('kind', None, 'Only this kind.', flag=False, multiple=True),
        option('host', None, 'Only this host.', flag=False, multiple=True),
        option('html', None, 'Draws into this file.', flag=False),
        option(
            'process',
            None,
            'IP:PORT of a source or node to ask, too; may be repeated.',
            flag=False,
            multiple=True,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Fetches, merges and prints the events."""
        loaded = self.load_settings()
        client = self.client(loaded)
        selection = self._selection()
        merged = gather(
            partial(
                client.events,
                kinds=selection.kinds,
                hosts=selection.hosts,
            ),
            (*loaded.controls, *loaded.processes, *self.option('process')),
            selection,
        )
        for failure in merged.failures:
            self.warn(failure)
        if self.option('html'):
            self._write_page(
                Path(self.option('html')), render_page(merged.events)
            )
        else:
            self.show(merged.events, map(format_event, merged.events))
        if merged.failures and not merged.events:
            raise CommandError('no process gave events', ExitCode.unreachable)
        return ExitCode.done

    def _selection(self) -> Selection:
        since_ms = 0
        text = self.option('since')
        if text:
            parsed = parse_since(text, wall_ms())
            if parsed is None:
                raise CommandError(
                    f'--since {text!r}: give 90s, 10m, 2h, 1d or a time such '
                    'as 2026-01-31T08:00',
                    ExitCode.usage,
                )
            since_ms = parsed
        return Selection(
            since_ms,
            frozenset(self.option('kind')),
            frozenset(self.option('host')),
        )

    def _write_page(self, file: Path, html: str) -> None:
        try:
            replace_file(file, html.encode())
        except OSError as error:
            raise CommandError(
                f'--html {file}: {error.strerror}',
                ExitCode.usage,
            ) from None
        self.show({'file': str(file)}, [f'drawn into {file}'])
