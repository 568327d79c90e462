"""Questions of a node to control hosts and neighbours about versions."""

import random
from dataclasses import dataclass
from typing import Any

from eventlet import Timeout, greenthread

from waxwingsaddle.addresses import NodeControl
from waxwingsaddle.control_host_selection import VersionReply, order_by_zone
from waxwingsaddle.control_link import ask_versions
from waxwingsaddle.known_controls import ControlList
from waxwingsaddle.neighbours import Neighbours
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.util.wake import Wake


@dataclass(slots=True)
class Inquiry:
    """Asks control hosts and neighbours for their versions.

    Attributes:
        settings: Settings of the node.
        neighbours: Neighbours of the node.
        rng: Source of random numbers.
        controls: Control hosts that the node knows.
    """

    settings: Any
    neighbours: Neighbours
    rng: random.Random
    controls: ControlList

    def home(self) -> tuple[VersionReply, ...]:
        """Asks the control hosts of the own availability zone."""
        zone = self.settings.availability_zone
        controls = [
            control
            for control in self.controls.all()
            if control.availability_zone == zone
        ]
        return self._ask(controls, self.settings.answer_wait_ms)

    def others(
        self,
        passed_over: NodeControl | None,
        limit: int,
    ) -> tuple[VersionReply, ...]:
        """Asks control hosts, those of the own zone first.

        Args:
            passed_over: Control host that is not asked.
            limit: Most control hosts asked.
        """
        controls = order_by_zone(
            self.controls.all(),
            self.settings.availability_zone,
            self.rng,
        )
        passed_host = passed_over.host if passed_over else ''
        others = [one for one in controls if one.host != passed_host]
        return self._ask(others[:limit], self.settings.answer_wait_ms)

    def everyone(self) -> tuple[VersionReply, ...]:
        """Asks all control hosts and, where none is fresh, the neighbours.

        Once a fresh control host has answered, the others get the usual time
        of an answer only: a fresh one that answers later would not be much
        newer, and unreachable ones would hold up a node that cannot serve.
        """
        wait_ms = self.settings.floor_wait_ms
        asked = greenthread.spawn(self.neighbours.ask_versions, wait_ms)
        settled = Wake()
        answers: list[VersionReply] = []
        threads = [
            greenthread.spawn(self._take_answer, control, answers, settled)
            for control in self.controls.all()
        ]
        settled.wait(wait_ms / MS_PER_S)
        if settled.is_set():
            with Timeout(self.settings.answer_wait_ms / MS_PER_S, False):
                _join(threads)
            for thread in (asked, *threads):
                thread.kill()
            return tuple(answers)
        _join(threads)
        return (*answers, *asked.wait())

    def whole(self, answers: tuple[VersionReply, ...]) -> Any:
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

    def _take_answer(
        self,
        control: NodeControl,
        answers: list[VersionReply],
        settled: Wake,
    ) -> None:
        """Asks a control host and wakes the inquiry if it is fresh."""
        taken = self._ask((control,), self.settings.floor_wait_ms)
        answers.extend(taken)
        limit_ms = self.settings.majority_age_limit_ms
        if any(answer.is_fresh(limit_ms) for answer in taken):
            settled.set()

    def _ask(self, controls: Any, wait_ms: int) -> tuple[VersionReply, ...]:
        return ask_versions(
            tuple(controls),
            self.controls,
            self.settings.site,
            wait_ms,
        )


def _join(threads: list[greenthread.GreenThread]) -> None:
    for thread in threads:
        thread.wait()


def _newest_neighbour_last(answer: VersionReply) -> tuple[int, bool]:
    return answer.version, answer.control is None
