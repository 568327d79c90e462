"""Detects routes whose calls are made by upstreams while they serve a call.

Refusing such a nested call also fails the outer call, which holds a slot at
another upstream, so nested calls have priority. They come from the hosts of
one service only, while calls of other callers come from hosts of all services.
"""

from dataclasses import dataclass, field

# With three services or more, the probability that this many calls of ordinary
# callers all come from the hosts of one service is below one in a billion.
_MIN_CALLS = 20


@dataclass(slots=True)
class _Route:
    origin: str
    calls: int = 0
    is_mixed: bool = False


@dataclass(slots=True)
class CallOrigins:
    """Learns for each route from the hosts of which services calls come."""

    _routes: dict[str, _Route] = field(default_factory=dict)

    def observe(self, route: str, origin: str) -> bool:
        """Records a call and returns whether an upstream made it.

        Args:
            route: Name of the route.
            origin: Service of the host at which the call began; empty if not
                known.

        Returns:
            Whether enough calls of the route came from one service only.
        """
        if not origin:
            return False
        learned = self._routes.setdefault(route, _Route(origin))
        learned.calls += 1
        learned.is_mixed = learned.is_mixed or learned.origin != origin
        return not learned.is_mixed and learned.calls > _MIN_CALLS
