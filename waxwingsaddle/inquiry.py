"""Questions of a node to control hosts and neighbours about versions."""

import random
from dataclasses import dataclass
from typing import Any

import eventlet

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.control_choice import Answer, in_order
from waxwingsaddle.control_link import ask_versions
from waxwingsaddle.neighbours import Neighbours


@dataclass(slots=True)
class Inquiry:
    """Asks control hosts and neighbours for their versions.

    Attributes:
        settings: Settings of the node.
        neighbours: Neighbours of the node.
        rng: Source of random numbers.
    """

    settings: Any
    neighbours: Neighbours
    rng: random.Random

    def home(self) -> tuple[Answer, ...]:
        """Asks the control hosts of the own availability zone."""
        zone = self.settings.availability_zone
        controls = [
            control
            for control in self.settings.controls
            if control.availability_zone == zone
        ]
        return self._ask(controls, self.settings.answer_wait_ms)

    def others(
        self,
        passed_over: NodeControl | None,
        limit: int,
    ) -> tuple[Answer, ...]:
        """Asks control hosts, those of the own zone first.

        Args:
            passed_over: Control host that is not asked.
            limit: Most control hosts asked.
        """
        controls = in_order(
            self.settings.controls,
            self.settings.availability_zone,
            self.rng,
        )
        others = [control for control in controls if control != passed_over]
        return self._ask(others[:limit], self.settings.answer_wait_ms)

    def everyone(self) -> tuple[Answer, ...]:
        """Asks all control hosts and, where none is fresh, the neighbours."""
        wait_ms = self.settings.floor_wait_ms
        asked = eventlet.spawn(self.neighbours.ask_versions, wait_ms)
        controls = self._ask(self.settings.controls, wait_ms)
        limit_ms = self.settings.majority_age_limit_ms
        if any(answer.is_fresh(limit_ms) for answer in controls):
            asked.kill()
            return controls
        return controls + asked.wait()

    def whole(self, answers: tuple[Answer, ...]) -> Any:
        """Takes the whole configuration of the newest neighbour, if any.

        Args:
            answers: Answers of control hosts and neighbours.

        Returns:
            The reply; none when no neighbour is as new as the newest answer.
        """
        newest = max(answers, key=_newest_neighbour_last, default=None)
        if newest is None or newest.control is not None:
            return None
        return self.neighbours.ask_whole(
            newest.address,
            self.settings.floor_wait_ms,
        )

    def _ask(self, controls: Any, wait_ms: int) -> tuple[Answer, ...]:
        return ask_versions(tuple(controls), self.settings.site, wait_ms)


def _newest_neighbour_last(answer: Answer) -> tuple[int, bool]:
    return answer.version, answer.control is None
