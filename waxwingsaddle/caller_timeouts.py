"""How long the callers of each route usually wait."""

from dataclasses import dataclass, field

# A route whose callers wait less than before is known to after about 200
# calls; a single long timeout is forgotten as fast.
_DECAY = 0.005


@dataclass(slots=True)
class CallerTimeouts:
    """Learns the timeout that first tries of each route bring.

    Later tries of a caller bring what is left of it, so that the largest
    recent timeout is that of a first try.
    """

    _timeouts_ms: dict[str, float] = field(default_factory=dict)

    def observe(self, route: str, timeout_ms: float) -> float:
        """Takes in the timeout of a call and returns the usual one."""
        learned_ms = self._timeouts_ms.get(route, timeout_ms)
        decayed_ms = learned_ms + _DECAY * (timeout_ms - learned_ms)
        timeout_now_ms = max(timeout_ms, decayed_ms)
        self._timeouts_ms[route] = timeout_now_ms
        return timeout_now_ms
