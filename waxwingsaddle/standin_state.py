"""Execution journal and speed of the stand-in upstream."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from waxwingsaddle.standin_settings import StandinSettings
from waxwingsaddle.util.clock import monotonic_s, wall_ms
from waxwingsaddle.util.jsonlines import JsonLinesWriter


class Slowdown(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request to multiply execution times for some time.

    Attributes:
        factor: Factor of the execution times.
        duration_s: Duration in seconds.
    """

    factor: Annotated[float, msgspec.Meta(ge=1)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class SimulatedCall:
    """Parameters of one call to the stand-in upstream.

    Attributes:
        call_id: Id of the call; the answer depends on it.
        key: Idempotency key; empty for none.
        path: Path of the request.
        work_s: Execution time without slowdown, in seconds.
        size_bytes: Size of the answer.
    """

    call_id: str
    key: str
    path: str
    work_s: float
    size_bytes: int


class Journal:
    """Journal of the executions of one upstream, as JSON lines.

    Args:
        settings: Settings of the upstream.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._upstream = settings.host
        self._lines = JsonLinesWriter(settings.journal_file)

    def write(self, event: str, call: SimulatedCall) -> None:
        """Appends an event of a call: `start`, `end` or `cancelled`."""
        self._lines.write(
            {
                'event': event,
                'upstream': self._upstream,
                'call_id': call.call_id,
                'key': call.key,
                'path': call.path,
                'wall_ms': wall_ms(),
            },
        )


class Speed:
    """Current factor of the execution times.

    Args:
        settings: Settings of the upstream, with the cold start.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._cold_until_s = monotonic_s() + settings.cold_start_s
        self._cold_factor = settings.cold_factor
        self._slow_until_s = 0.0
        self._slow_factor = 1.0

    def slow_down(self, slowdown: Slowdown) -> None:
        """Multiplies the execution times for some time."""
        self._slow_factor = slowdown.factor
        self._slow_until_s = monotonic_s() + slowdown.duration_s

    @property
    def factor(self) -> float:
        """Product of the factors of the cold start and of a slowdown."""
        now_s = monotonic_s()
        cold = self._cold_factor if now_s < self._cold_until_s else 1
        slow = self._slow_factor if now_s < self._slow_until_s else 1
        return cold * slow
