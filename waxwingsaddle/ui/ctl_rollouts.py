"""Commands for rollouts of services."""

from cleo.helpers import argument

from waxwingsaddle.api_models import RolloutStatus
from waxwingsaddle.rollout_models import RolloutOrder
from waxwingsaddle.ui.ctl_base import CtlCommand, ExitCode

_PERMILLE_PER_PERCENT = 10


class RolloutStartCommand(CtlCommand):
    """Starts the rollout of another version of a service."""

    name = 'rollout start'
    description = 'Moves the calls of a service to another version.'
    arguments = [
        argument('service', 'The service.'),
        argument('target-version', 'Version that its new upstreams announce.'),
        argument('duration-ms', 'Time for the rollout, in milliseconds.'),
    ]

    def run_command(self) -> ExitCode:
        """Sends the order and prints the state of the rollout."""
        order = RolloutOrder(
            service=self.argument('service'),
            target_version=self.argument('target-version'),
            duration_ms=self.parse_option_number(
                'duration-ms', self.argument('duration-ms')
            ),
        )
        client = self.client(self.load_settings())
        answer = self.require_success(client.start_rollout(order))
        self.show(answer, (_format_status(answer),))
        return ExitCode.done


class RolloutStatusCommand(CtlCommand):
    """Shows the state of the newest rollout of a service."""

    name = 'rollout status'
    description = 'Shows the state of the newest rollout of a service.'
    arguments = [argument('service', 'The service.')]

    def run_command(self) -> ExitCode:
        """Prints one line."""
        client = self.client(self.load_settings())
        answer = self.require_success(
            client.rollout(self.argument('service')),
        )
        self.show(answer, (_format_status(answer),))
        return ExitCode.done


def _format_status(status: RolloutStatus) -> str:
    share_percent = status.share_permille / _PERMILLE_PER_PERCENT
    return (
        f'{status.service:16} {status.state:11} {status.target_version} '
        f'({share_percent:g}% of the calls)'
    )
