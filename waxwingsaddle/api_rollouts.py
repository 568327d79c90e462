"""Rollouts of services in the administration API."""

from functools import singledispatch

from waxwingsaddle.api_answers import refused
from waxwingsaddle.api_endpoints import (
    MAX_SHOWN_LENGTH,
    Endpoint,
    Parameter,
    Request,
)
from waxwingsaddle.api_models import Failure, RolloutStatus
from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.leader_forwarding import Answer
from waxwingsaddle.outcomes import Refused, Unavailable
from waxwingsaddle.read_scope import require_service
from waxwingsaddle.rollout_models import (
    Rollout,
    RolloutAccepted,
    RolloutConflict,
    RolloutOrder,
)

PATH = '/v1/rollouts'


class RolloutHandlers:
    """Handlers of `/v1/rollouts`.

    Args:
        kernel: Has the service `rollouts` by the time of the first request.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def post_rollout(self, request: Request) -> RolloutStatus | Failure:
        """Starts a rollout."""
        order: RolloutOrder = request.body
        failure = require_service(request.caller, order.service)
        if failure:
            return failure
        outcome = self._kernel.find('rollouts').start_rollout(order)
        return _order_answer(outcome, order)

    def get_rollout(self, request: Request) -> RolloutStatus | Failure:
        """Returns the state of the newest rollout of a service."""
        service = request.query['service']
        failure = require_service(request.caller, service)
        if failure:
            return failure
        found = self._kernel.find('rollouts').find(service)
        if isinstance(found, Rollout):
            return RolloutStatus(
                service=service,
                state=found.state,
                target_version=found.order.target_version,
                share_permille=found.share_permille,
            )
        if found is None:
            return Failure(
                kind='not-found',
                message=f'{service[:MAX_SHOWN_LENGTH]!r} has no rollout',
            )
        return Failure(kind='unavailable', message=found.reason)


def endpoints(
    kernel: Kernel, _settings: ControlSettings
) -> tuple[Endpoint, ...]:
    """Returns the endpoints of `/v1/rollouts`."""
    handlers = RolloutHandlers(kernel)
    return (
        Endpoint(
            'POST',
            PATH,
            'Starts the rollout of another version of a service.',
            handlers.post_rollout,
            RolloutStatus,
            RolloutOrder,
            need='write',
        ),
        Endpoint(
            'GET',
            PATH,
            'Returns the state of the newest rollout of a service.',
            handlers.get_rollout,
            RolloutStatus,
            query=(Parameter('service', str, '', 'Name of the service.'),),
        ),
    )


@singledispatch
def _order_answer(
    outcome: Answer, order: RolloutOrder
) -> RolloutStatus | Failure:
    """Returns the answer for the outcome of an order."""
    raise TypeError(f'unknown outcome of an order: {outcome!r}')


@_order_answer.register
def _accepted(outcome: RolloutAccepted, order: RolloutOrder) -> RolloutStatus:
    return RolloutStatus(
        service=order.service,
        state=outcome.state,
        target_version=outcome.target_version,
    )


@_order_answer.register
def _conflict(outcome: RolloutConflict, order: RolloutOrder) -> Failure:
    return Failure(
        kind='conflict',
        message=f'the rollout of {outcome.target_version!r} is running for '
        f'{order.service!r}; wait until it has ended',
    )


@_order_answer.register
def _refused(outcome: Refused, _order: RolloutOrder) -> Failure:
    return refused(outcome.problems)


@_order_answer.register
def _unavailable(outcome: Unavailable, _order: RolloutOrder) -> Failure:
    return Failure(
        kind='unavailable',
        message=f'{outcome.reason}; send the same order again',
    )
