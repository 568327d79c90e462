"""Readiness of a node: its version floor, and why it may not serve yet."""

from dataclasses import dataclass

from waxwingsaddle import logs
from waxwingsaddle.configuration_state import HeldConfiguration


@dataclass(slots=True)
class Readiness:
    """Says whether a node may serve with the configuration it holds.

    Attributes:
        held: The configuration the node has.
        floor: Version the node must hold before it serves; absent until a
            control host or a neighbour has answered.
    """

    held: HeldConfiguration
    floor: int | None = None
    _logged: str = ''

    @property
    def is_ready(self) -> bool:
        """Whether the node holds its version floor or a later version."""
        return (
            self.floor is not None
            and self.held.snapshot is not None
            and self.held.version >= self.floor
        )

    @property
    def problem(self) -> str:
        """One line that says why the node is not ready; empty when it is."""
        if self.is_ready:
            return ''
        if self.floor is None:
            return 'no control host and no neighbour has told a version yet'
        if self.floor == 0:
            return f'no configuration is accepted for site {self.held.site}'
        return f'holds version {self.held.version}, needs {self.floor}'

    def log(self) -> None:
        """Logs the state when it differs from the state logged last."""
        problem = self.problem
        if problem == self._logged:
            return
        self._logged = problem
        if problem:
            logs.logger().warning('not ready', problem=problem)
        else:
            logs.logger().info('ready', version=self.held.version)
