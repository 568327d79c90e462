"""Cost of sending a call to another availability zone."""

from dataclasses import dataclass, field

# Price of traffic between zones, as a time: on the more expensive deployment
# 50 KB, on the other one 250 KB, cost as much as a call earns that meets its
# objective of 0.3 s.
_S_PER_BYTE = 0.000003
# A call may spill over to another zone if its transfer costs no more
# than this, the usual wait for a slot of a full upstream.
_CHEAP_S = 0.03
_SMOOTHING = 0.1


@dataclass(slots=True)
class CrossZoneCost:
    """Expected cost of a call to another zone, by route.

    A call with a large body or answer leaves its zone only if it would wait
    there for longer than the transfer is worth.

    Attributes:
        round_trip_s: Round trip to another zone, in seconds.
    """

    round_trip_s: float
    _transfer_bytes: dict[str, float] = field(default_factory=dict)

    def observe(self, route: str, size_bytes: int) -> None:
        """Updates the average transfer of a call of a route, in bytes."""
        average_bytes = self._transfer_bytes.get(route, size_bytes)
        change = size_bytes - average_bytes
        self._transfer_bytes[route] = average_bytes + _SMOOTHING * change

    def cost_s(self, route: str) -> float:
        """Returns the cost of a call to another zone, in seconds."""
        return self.round_trip_s + self._transfer_s(route)

    def is_cheap(self, route: str) -> bool:
        """Returns whether a transfer costs at most a short wait in the zone."""
        return self._transfer_s(route) <= _CHEAP_S

    def _transfer_s(self, route: str) -> float:
        return self._transfer_bytes.get(route, 0) * _S_PER_BYTE
