"""Detection of edits that redirect calls to another service."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import get_args, get_type_hints

from waxwingsaddle.config import snapshot
from waxwingsaddle.config_models import Route
from waxwingsaddle.routing import Match, RouteTable
from waxwingsaddle.util.codec import Tree

# Represents all methods that no route names.
OTHER_METHODS = ''
METHODS = (
    *get_args(get_args(get_type_hints(Route)['methods'])[0]),
    OTHER_METHODS,
)


@dataclass(frozen=True, slots=True)
class Capture:
    """Calls that an edit redirects to another service.

    Attributes:
        method: HTTP method of the calls; empty for methods no route names.
        before: Route that matched them before the edit.
        after: Route that matches them afterwards; its prefix gives the paths.
    """

    method: str
    before: Match
    after: Match


def captures(old: Tree, new: Tree) -> Iterator[Capture]:
    """Yields the calls that new and changed routes redirect.

    It suffices to check calls at the host and prefix of each route. Other
    calls of the route had the same longest match before the edit, and calls
    below a longer prefix belong to the route of that prefix, which is checked
    itself.

    Args:
        old: Merged tree of a site before the edit.
        new: Merged tree of the site after it.
    """
    tables = [RouteTable(snapshot('', 0, tree)) for tree in (old, new)]
    before_routes = old.get('routes', {})
    changed_keys = {
        (route.get('host', ''), route['path_prefix'])
        for name, route in new.get('routes', {}).items()
        if before_routes.get(name) != route
    }
    for (host, prefix), method in product(sorted(changed_keys), METHODS):
        before, after = (table.match(method, prefix, host) for table in tables)
        if before is None or after is None:
            continue
        if before.route.services != after.route.services:
            yield Capture(method, before, after)
