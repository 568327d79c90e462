"""Learns the timeouts with which the callers of each route call."""

from dataclasses import dataclass, field

# A shorter timeout is learned after about 200 calls; a single long timeout is
# forgotten in the same time.
_DECAY = 0.005


@dataclass(slots=True)
class CallerTimeouts:
    """Learns the timeout that callers of each route give their first attempt.

    Retries of a caller carry only the rest of it, so the largest recent
    timeout is that of a first attempt.
    """

    _usual_ms: dict[str, float] = field(default_factory=dict)

    def observe(self, route: str, timeout_ms: float) -> float:
        """Records the timeout of a call.

        Args:
            route: Name of the route.
            timeout_ms: Timeout that the call carried, in milliseconds.

        Returns:
            The learned timeout of first attempts, in milliseconds.
        """
        learned_ms = self._usual_ms.get(route, timeout_ms)
        decayed_ms = learned_ms + _DECAY * (timeout_ms - learned_ms)
        usual_ms = max(timeout_ms, decayed_ms)
        self._usual_ms[route] = usual_ms
        return usual_ms
