"""Learns which calls the upstreams themselves make while they work.

A refused call of an upstream fails the call that the upstream works on, which
holds a slot elsewhere, so these calls go first. They come from the hosts of
one service only, while the calls of callers come from hosts of all services.
"""

from dataclasses import dataclass, field

# With three services or more, calls of callers that all came from hosts of
# one service are less likely than one in a billion.
_LEAST_CALLS = 20


@dataclass(slots=True)
class _Route:
    origin: str
    calls: int = 0
    is_mixed: bool = False


@dataclass(slots=True)
class CallOrigins:
    """Services whose hosts the calls of each route come from."""

    _routes: dict[str, _Route] = field(default_factory=dict)

    def observe(self, route: str, origin: str) -> bool:
        """Takes in a call, and says whether an upstream made it.

        Args:
            route: Name of the route.
            origin: Service of the host at which the call began; empty when it
                is not known.
        """
        if not origin:
            return False
        learned = self._routes.setdefault(route, _Route(origin))
        learned.calls += 1
        learned.is_mixed = learned.is_mixed or learned.origin != origin
        return not learned.is_mixed and learned.calls > _LEAST_CALLS
