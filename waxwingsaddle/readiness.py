"""Readiness of a node and its version floor."""

from dataclasses import dataclass

from waxwingsaddle import logs
from waxwingsaddle.configuration_state import ConfigurationState


@dataclass(slots=True)
class Readiness:
    """Decides whether a node may serve with its current configuration.

    Attributes:
        config: Configuration of the node.
        version_floor: Lowest version with which the node may serve; none until
            a control host or a neighbour has answered.
    """

    config: ConfigurationState
    version_floor: int | None = None
    _logged_problem: str = ''

    @property
    def is_ready(self) -> bool:
        """Whether the node has its version floor or a later version."""
        return (
            self.version_floor is not None
            and self.config.snapshot is not None
            and self.config.version >= self.version_floor
        )

    @property
    def problem(self) -> str:
        """Why the node is not ready, in one line; empty when it is."""
        if self.is_ready:
            return ''
        if self.version_floor is None:
            return 'no control host and no neighbour has told a version yet'
        if self.version_floor == 0:
            return f'no configuration is accepted for site {self.config.site}'
        return (
            f'holds version {self.config.version}, needs {self.version_floor}'
        )

    def log_change(self) -> None:
        """Logs the readiness if it changed since the last call."""
        problem = self.problem
        if problem == self._logged_problem:
            return
        self._logged_problem = problem
        if problem:
            logs.logger().warning('not ready', problem=problem)
        else:
            logs.logger().info('ready', version=self.config.version)
