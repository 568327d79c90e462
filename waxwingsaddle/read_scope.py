"""Limits of what a caller may read through the administration API.

Files can't be shown in part, because they contain overlays and comments of all
teams. Everything else is filtered by the scope of the caller.
"""

from collections.abc import Mapping

from waxwingsaddle.access import WILDCARD, Caller
from waxwingsaddle.api_models import Failure
from waxwingsaddle.events import Event
from waxwingsaddle.util.codec import Tree


def visible_sites(
    caller: Caller,
    sites: Mapping[str, Tree],
) -> dict[str, Tree]:
    """Returns the sites, services and routes in the scope of a caller.

    Accounts and limits concern all services, so a caller with only some of
    them does not see these.

    Args:
        caller: Caller of the request.
        sites: Merged tree by site.
    """
    return {
        site: _visible_tree(caller, tree)
        for site, tree in sites.items()
        if caller.has_site(site)
    }


def is_visible_event(caller: Caller, event: Event) -> bool:
    """Returns whether an event concerns no service outside the scope."""
    service = event.details.get('service')
    return service is None or caller.has_service(service)


def require_full_scope(caller: Caller) -> Failure | None:
    """Returns a failure if the scope lacks some services or sites."""
    if caller.has_all:
        return None
    return Failure(
        kind='forbidden',
        message=f'token {caller.name!r} may not read full files, which contain '
        'services and sites outside its scope; read the difference of the '
        'version, or use a token with all services and sites',
    )


def require_service(caller: Caller, service: str) -> Failure | None:
    """Returns a failure if the scope lacks a service."""
    if not service or caller.has_service(service):
        return None
    return Failure(
        kind='forbidden',
        message=f'service {service!r} is outside the scope of token '
        f'{caller.name!r}; ask for a token with this service',
    )


def _visible_tree(caller: Caller, tree: Tree) -> Tree:
    if WILDCARD in caller.services:
        return tree
    return {
        'services': {
            name: service
            for name, service in tree.get('services', {}).items()
            if caller.has_service(name)
        },
        'routes': {
            name: route
            for name, route in tree.get('routes', {}).items()
            if caller.has_service(route['service'])
        },
    }
