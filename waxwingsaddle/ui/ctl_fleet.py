"""Commands for the state of the fleet: status and upstreams."""

import time

from cleo.helpers import option

from waxwingsaddle.api_fleet_models import (
    NodeVersion,
    Status,
    Upstream,
)
from waxwingsaddle.ui.ctl_base import CtlCommand, ExitCode

MS_PER_S = 1000
# Contact with a majority is confirmed at each heartbeat. Above this age nodes
# switch to another control host.
MAX_FRESH_AGE_MS = 2000


class StatusCommand(CtlCommand):
    """Shows the versions in force and the nodes that lag."""

    name = 'status'
    description = 'Shows versions in force and nodes that lag.'
    own_options = [
        option('watch', None, 'Repeats until it is interrupted.'),
        option(
            'count',
            None,
            'Number of reports with --watch.',
            flag=False,
            default=0,
        ),
    ]

    def run_command(self) -> ExitCode:
        """Prints the state of the fleet, repeatedly with `--watch`."""
        loaded = self.load_settings()
        client = self.client(loaded)
        remaining_reports = (
            self.parse_option_number('count', self.option('count')) or -1
        )
        while True:
            status = self.require_success(client.status())
            self.show(status, _format_status(status))
            remaining_reports -= 1
            if not self.option('watch') or not remaining_reports:
                return ExitCode.done
            time.sleep(loaded.poll_ms / MS_PER_S)


class UpstreamsCommand(CtlCommand):
    """Lists the upstreams in the directory."""

    name = 'upstreams'
    description = 'Lists the upstreams in the directory.'
    own_options = [
        option('service', None, 'Only this service.', flag=False, default=''),
    ]

    def run_command(self) -> ExitCode:
        """Prints one line per upstream."""
        client = self.client(self.load_settings())
        answer = self.require_success(client.upstreams(self.option('service')))
        self.show(answer, map(_format_upstream, answer.upstreams))
        return ExitCode.done


def _format_status(status: Status) -> list[str]:
    lines = [
        f'version {status.version} ({status.digest[:12]}) in force on '
        f'{status.in_force} of {status.node_count} nodes; '
        f'answer of {status.host}',
    ]
    if status.majority_age_ms > MAX_FRESH_AGE_MS:
        lines.append(
            f'{status.host} has had no majority for '
            f'{status.majority_age_ms / MS_PER_S:.1f} s; this may be old',
        )
    if status.missing_hosts:
        lines.append(f'no answer from {", ".join(status.missing_hosts)}')
    if status.replication and status.replication.problem:
        lines.append(f'{status.host}: {status.replication.problem}')
    lines.extend(map(_format_lagging, status.lagging))
    return lines


def _format_lagging(node: NodeVersion) -> str:
    return (
        f'lagging: {node.host} in {node.availability_zone} has '
        f'{node.version}, heard {node.age_ms} ms ago'
    )


def _format_upstream(upstream: Upstream) -> str:
    return (
        f'{upstream.service:20} {upstream.name:24} {upstream.state:9} '
        f'{upstream.slots:3} slots  {upstream.availability_zone} '
        f'{upstream.host} {upstream.call_address}'
    )
