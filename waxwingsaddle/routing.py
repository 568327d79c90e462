"""Longest-prefix route matching on a configuration snapshot."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from waxwingsaddle.account_directory import AccountDirectory
from waxwingsaddle.call_class import CallAccount, effective_priority, rank_of
from waxwingsaddle.config import SiteSnapshot
from waxwingsaddle.config_models import Route, Service, SiteDocument


@dataclass(frozen=True, slots=True)
class Match:
    """The route that matches a call.

    Attributes:
        name: Name of the route.
        route: Settings of the route.
        service: Settings of its service.
        shares: Weight and match for each service of a split route.
    """

    name: str
    route: Route
    service: Service
    shares: tuple[tuple[int, 'Match'], ...] = ()

    def rank_for(self, account: CallAccount | None) -> int:
        """Returns the rank of a call of an account at an entry node."""
        priority = effective_priority(account, self.route.priority)
        return rank_of(priority, self.route.idempotent)


_Methods = dict[str, Match]
# Key of routes that match every method.
_ANY_METHOD = ''
_Prefixes = dict[str, _Methods]


class RouteTable:
    """Routes of one snapshot, compiled for lookup.

    A prefix matches at path segment boundaries only: `/plans` matches `/plans`
    and `/plans/7`, but not `/planschedule`. A prefix that ends with a slash
    matches the paths that begin with it: `/plans/` matches `/plans/7`, but not
    `/plans`. Paths are compared as received, without decoding. Routes that
    name the host of a call take precedence over those for any host.

    Args:
        snapshot: The configuration.
    """

    def __init__(self, snapshot: SiteSnapshot) -> None:
        self.version = snapshot.version
        self.limits = snapshot.document.limits
        self.accounts = AccountDirectory(snapshot.document.accounts)
        self.split_matches: list[Match] = []
        document = snapshot.document
        self._by_host: dict[str, _Prefixes] = {}
        for name, route in document.routes.items():
            prefixes = self._by_host.setdefault(route.host, {})
            methods = prefixes.setdefault(route.path_prefix, {})
            match = _compile_match(name, route, document)
            if match.shares:
                self.split_matches.append(match)
            for method in route.methods or (_ANY_METHOD,):
                methods[method] = match

    def match(self, method: str, path: str, host: str = '') -> Match | None:
        """Returns the route with the longest matching prefix.

        Args:
            method: HTTP method.
            path: Path without the query, as received.
            host: Host that the call names, without a port.

        Returns:
            The match, or None if no route matches.
        """
        for prefixes in self._prefixes_for_host(host):
            found = _longest_match(prefixes, method, path or '/')
            if found is not None:
                return found
        return None

    def _prefixes_for_host(self, host: str) -> tuple[_Prefixes, ...]:
        found = (self._by_host.get(name) for name in dict.fromkeys((host, '')))
        return tuple(prefixes for prefixes in found if prefixes)


def _compile_match(name: str, route: Route, document: SiteDocument) -> Match:
    shares = tuple(
        (
            share.weight,
            Match(
                name,
                msgspec.structs.replace(route, service=share.service),
                document.services[share.service],
            ),
        )
        for share in route.split
    )
    return Match(name, route, document.services[route.service], shares)


def _longest_match(prefixes: _Prefixes, method: str, path: str) -> Match | None:
    for prefix in _prefixes_of(path):
        methods = prefixes.get(prefix)
        if methods is not None:
            found = methods.get(method) or methods.get(_ANY_METHOD)
            if found is not None:
                return found
    return None


def _prefixes_of(path: str) -> Iterator[str]:
    """Yields the prefixes that match a path, longest first."""
    if not path.endswith('/'):
        yield path
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        yield path[:end]
        end = path.rfind('/', 0, end)


class RouteTableCache:
    """Caches the route table of the configuration in force.

    Args:
        configuration: Service with `current`, the snapshot in force.
    """

    def __init__(self, configuration) -> None:
        self._configuration = configuration
        self._snapshot: SiteSnapshot | None = None
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The table of the snapshot in force; None if there is none."""
        current = self._configuration.current
        if current is not self._snapshot:
            self._table = None if current is None else RouteTable(current)
            self._snapshot = current
        return self._table
