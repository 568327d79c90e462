"""What it costs to send a call to another availability zone."""

from dataclasses import dataclass, field

# Links between zones are costly: 50 KB on the dearer deployment and 250 KB on
# the other cost as much as a call within its objective of 0.3 s earns.
_S_PER_BYTE = 0.000003
# A full guard may send a call on to another zone when its answer costs less
# than this: the usual wait for a slot of a full upstream.
_CHEAP_S = 0.03
_SMOOTHING = 0.1


@dataclass(slots=True)
class CrossZoneCost:
    """Expected cost of a crossing, by route.

    A large answer crosses only when the home zone would make its call wait
    for longer than the transfer is worth.

    Attributes:
        round_trip_s: Round trip to another zone, in seconds.
    """

    round_trip_s: float
    _answer_bytes: dict[str, float] = field(default_factory=dict)

    def observe(self, route: str, size_bytes: int) -> None:
        """Takes in the size of an answer."""
        average_bytes = self._answer_bytes.get(route, size_bytes)
        change = size_bytes - average_bytes
        self._answer_bytes[route] = average_bytes + _SMOOTHING * change

    def cost_s(self, route: str) -> float:
        """Returns the cost of a crossing as a time."""
        return self.round_trip_s + self._transfer_s(route)

    def is_cheap(self, route: str) -> bool:
        """Says whether a crossing costs less than a short wait at home."""
        return self._transfer_s(route) <= _CHEAP_S

    def _transfer_s(self, route: str) -> float:
        return self._answer_bytes.get(route, 0) * _S_PER_BYTE
