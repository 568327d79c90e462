"""Routes that take calls away from routes of other services."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product
from typing import get_args, get_type_hints

from waxwingsaddle.config import snapshot
from waxwingsaddle.config_models import Route
from waxwingsaddle.routing import Match, RouteTable
from waxwingsaddle.util.codec import Tree

# Stands for methods that no route names.
OTHER_METHODS = ''
METHODS = (
    *get_args(get_args(get_type_hints(Route)['methods'])[0]),
    OTHER_METHODS,
)


@dataclass(frozen=True, slots=True)
class Capture:
    """Calls that go to another service after an edit.

    Attributes:
        method: HTTP method of the calls; empty for methods no route names.
        before: Route that took them.
        after: Route that takes them now; its prefix names the paths.
    """

    method: str
    before: Match
    after: Match


def captures(old: Tree, new: Tree) -> Iterator[Capture]:
    """Yields the calls that new and changed routes take away.

    Calls at the prefix of a route stand for all calls that the route takes:
    for these the longest match before the edit is the same, and calls below a
    longer prefix go to the route of that prefix, which is looked at itself.

    Args:
        old: Merged tree of a site before the edit.
        new: Merged tree of the site after it.
    """
    tables = [RouteTable(snapshot('', 0, tree)) for tree in (old, new)]
    before_routes = old.get('routes', {})
    changed = [
        route['path_prefix']
        for name, route in new.get('routes', {}).items()
        if before_routes.get(name) != route
    ]
    for prefix, method in product(sorted(set(changed)), METHODS):
        before, after = (table.match(method, prefix) for table in tables)
        if before is None or after is None:
            continue
        if before.route.services != after.route.services:
            yield Capture(method, before, after)
