"""Longest-prefix route match on a configuration snapshot."""

from collections import defaultdict
from dataclasses import dataclass

from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.config_models import Route, Service


@dataclass(frozen=True, slots=True)
class Match:
    """The route of a call.

    Attributes:
        name: Name of the route.
        route: The route.
        service: Its service.
    """

    name: str
    route: Route
    service: Service


_Methods = dict[str, Match]
# Key of routes that take every method.
_ANY = ''


class RouteTable:
    """Routes of one snapshot, compiled for look-up.

    A prefix matches at segment borders only: `/plans` takes `/plans` and
    `/plans/7`, not `/planschedule`.

    Args:
        snapshot: The configuration.
    """

    def __init__(self, snapshot: SiteSnapshot) -> None:
        self.version = snapshot.version
        document = snapshot.document
        self._by_prefix: dict[str, _Methods] = defaultdict(dict)
        for name, route in document.routes.items():
            match = Match(name, route, document.services[route.service])
            methods = self._by_prefix[route.path_prefix.rstrip('/')]
            for method in route.methods or (_ANY,):
                methods[method] = match
        self._by_prefix = dict(self._by_prefix)

    def match(self, method: str, path: str) -> Match | None:
        """Returns the route with the longest matching prefix.

        Args:
            method: HTTP method.
            path: Decoded path without the query.
        """
        prefix = path.rstrip('/')
        while True:
            methods = self._by_prefix.get(prefix)
            if methods is not None:
                found = methods.get(method) or methods.get(_ANY)
                if found is not None:
                    return found
            if not prefix:
                return None
            prefix = prefix[: prefix.rfind('/')] if '/' in prefix else ''


class Routing:
    """Keeps the route table of the configuration in force.

    Args:
        configuration: Service with `current`.
    """

    def __init__(self, configuration) -> None:
        self._configuration = configuration
        self._snapshot: SiteSnapshot | None = None
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The table of the snapshot in force; None without one."""
        current = self._configuration.current
        if current is not self._snapshot:
            self._table = None if current is None else RouteTable(current)
            self._snapshot = current
        return self._table
