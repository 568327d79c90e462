"""Journal and speed of the stand-in upstream."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from waxwingsaddle.standin_settings import StandinSettings
from waxwingsaddle.util.clock import monotonic_s, wall_ms
from waxwingsaddle.util.jsonlines import JsonLinesWriter


class Slowdown(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Order to run slower for a while."""

    factor: Annotated[float, msgspec.Meta(ge=1)]
    duration_s: Annotated[float, msgspec.Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class SimulatedCall:
    """What one call asks of the upstream."""

    call_id: str
    key: str
    path: str
    work_s: float
    size_bytes: int


class Journal:
    """Executions of one upstream, a JSON line each."""

    def __init__(self, settings: StandinSettings) -> None:
        self._upstream = settings.host
        self._lines = JsonLinesWriter(settings.journal_file)

    def write(self, event: str, call: SimulatedCall) -> None:
        """Appends one event of a call: `start`, `end` or `cancelled`."""
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
    """How many times longer a call takes now."""

    def __init__(self, settings: StandinSettings) -> None:
        self._cold_until_s = monotonic_s() + settings.cold_start_s
        self._cold_factor = settings.cold_factor
        self._slow_until_s = 0.0
        self._slow_factor = 1.0

    def slow_down(self, slowdown: Slowdown) -> None:
        """Makes calls slower for a while."""
        self._slow_factor = slowdown.factor
        self._slow_until_s = monotonic_s() + slowdown.duration_s

    @property
    def factor(self) -> float:
        """The product of cold start and slowdown."""
        now_s = monotonic_s()
        cold = self._cold_factor if now_s < self._cold_until_s else 1
        slow = self._slow_factor if now_s < self._slow_until_s else 1
        return cold * slow
