"""Models of rollouts: orders, their state in the log, outcomes of orders."""

from typing import Annotated, Literal

import msgspec

from waxwingsaddle.config_models import Name
from waxwingsaddle.util.numbers import Count

MAX_DURATION_MS = 86_400_000
PERMILLE = 1000
# Versions are compared and shown, never parsed.
_VERSION_PATTERN = r'^[!-~]{1,128}$'

TargetVersion = Annotated[str, msgspec.Meta(pattern=_VERSION_PATTERN)]
# Operators may order fractions of a millisecond.
DurationMs = (
    Annotated[int, msgspec.Meta(ge=1, le=MAX_DURATION_MS)]
    | Annotated[float, msgspec.Meta(ge=1, le=MAX_DURATION_MS)]
)
RolloutState = Literal['running', 'completed', 'rolled_back']


class RolloutOrder(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Order to move the calls of a service to upstreams of another version.

    Attributes:
        service: Name of the service.
        target_version: Version that gets all calls in the end.
        duration_ms: Time within which that happens, in milliseconds.
    """

    service: Name
    target_version: TargetVersion
    duration_ms: DurationMs


class RolloutStart(msgspec.Struct, frozen=True, kw_only=True):
    """Request to the leader to start a rollout.

    Attributes:
        order: The order.
        base_version: Version that serves, as far as the host that received the
            order can tell; empty if it cannot.
    """

    order: RolloutOrder
    base_version: str


class RolloutStep(msgspec.Struct, frozen=True, kw_only=True):
    """Change of a running rollout.

    Attributes:
        service: Name of the service.
        number: Number of the state that the step was decided for; the step
            has no effect on a later one.
        state: State after the step.
        share_permille: Calls of the service that the target version gets from
            then on, in thousandths.
        turn: Which of its upstreams get them, if not all do.
        reason: Why, in one line, for the log lines of the control hosts.
    """

    service: str
    number: int
    state: RolloutState
    share_permille: int
    turn: int = 0
    reason: str = ''


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """The newest rollout of a service, as stored in the replicated log.

    Attributes:
        order: The order.
        base_version: Version that served before the order.
        started_ms: When the leader received the order, in milliseconds since
            the epoch.
        state: `running`, `completed` or `rolled_back`.
        share_permille: Calls of the service that the target version gets, in
            thousandths.
        number: Number of the change that led to this state; increases with
            each change of any rollout.
        version: Number of the newest configuration at that time.
        turn: Which upstreams of the target version get its calls, if not all
            do.
    """

    order: RolloutOrder
    base_version: str
    started_ms: int
    state: RolloutState
    share_permille: int
    number: Count
    version: Count = 0
    turn: int = 0

    @property
    def distributed_number(self) -> int:
        """Number of the first configuration for nodes with this state."""
        return self.version + self.number


class RolloutAccepted(
    msgspec.Struct, frozen=True, kw_only=True, tag='rollout-accepted'
):
    """The order is durably stored; its rollout may have ended since.

    Attributes:
        state: State of the rollout.
        target_version: Version that the order names.
    """

    state: RolloutState
    target_version: str


class ServingRecorded(
    msgspec.Struct, frozen=True, kw_only=True, tag='serving-recorded'
):
    """The serving versions of services are durably stored."""


class RolloutConflict(
    msgspec.Struct, frozen=True, kw_only=True, tag='rollout-conflict'
):
    """Another order of the service is running.

    Attributes:
        target_version: Version that this other order names.
    """

    target_version: str
