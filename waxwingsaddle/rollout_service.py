"""Service `rollouts` of a control host: takes orders and reads their state."""

from waxwingsaddle.control_settings import ControlSettings
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.leader_forwarding import Answer
from waxwingsaddle.outcomes import Refused, Unavailable
from waxwingsaddle.polling import wait_until
from waxwingsaddle.rollout_models import Rollout, RolloutOrder, RolloutStart
from waxwingsaddle.serving_versions import find_base_version
from waxwingsaddle.util.clock import MS_PER_S

_OFF = Refused(
    problems=('rollouts are off (setting control.rollout_exposed_percent)',)
)


class RolloutService:
    """Starts rollouts through the leader and reads their confirmed state.

    Args:
        kernel: Provides the services `replication` and `distribution`.
        settings: Settings of the control host.
    """

    def __init__(self, kernel: Kernel, settings: ControlSettings) -> None:
        self._kernel = kernel
        self._is_on = settings.rollout_exposed_percent > 0
        self._wait_s = settings.read_deadline_ms / MS_PER_S

    def start_rollout(self, order: RolloutOrder) -> Answer:
        """Starts a rollout; the same order may be sent again.

        Returns:
            `RolloutAccepted`, `RolloutConflict`, `Refused`, or `Unavailable`
            if the outcome is unknown.
        """
        if not self._is_on:
            return _OFF
        wait_until(lambda: self._is_base_known(order), self._wait_s)
        return self._kernel.find('replication').start_rollout(
            RolloutStart(order=order, base_version=self._find_base(order)),
        )

    def _is_base_known(self, order: RolloutOrder) -> bool:
        rollouts = self._kernel.find('replication').state.rollouts
        is_recorded = bool(rollouts.base_version(order.service))
        return is_recorded or bool(self._find_base(order))

    def _find_base(self, order: RolloutOrder) -> str:
        """Returns the version that serves; empty if this host can't tell.

        The one in the log counts before it.
        """
        distribution = self._kernel.find('distribution')
        entries = (
            entry
            for entry in distribution.entries()
            if entry.service == order.service
        )
        return find_base_version(
            entries,
            order.target_version,
            is_complete=distribution.feed.is_complete,
        )

    def find(self, service: str) -> Rollout | Unavailable | None:
        """Returns the newest rollout of a service, confirmed by a majority.

        Returns:
            The rollout; None if there was none; `Unavailable` if no majority
            confirms in time that the state is the newest.
        """
        replication = self._kernel.find('replication')
        newest = replication.newest()
        if isinstance(newest, Unavailable):
            return newest
        return replication.state.rollouts.find(service)
