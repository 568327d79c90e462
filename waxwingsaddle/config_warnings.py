"""Warnings about a valid configuration: entries without effect, odd limits.

A configuration with warnings is accepted. Each one names an entry that can
never do what it seems to say, which an operator most likely did not intend.
"""

from collections.abc import Iterator, Mapping
from itertools import chain
from typing import Literal

import msgspec

from waxwingsaddle.config_models import Account, Route, Service, SiteDocument
from waxwingsaddle.util.codec import Tree

# Request targets are visible ASCII, and the path ends before these.
_PATH_ENDS = frozenset('?#')
_WHOLE_CALL = 1


class ConfigWarning(msgspec.Struct, frozen=True, kw_only=True):
    """One warning.

    Attributes:
        site: Name of the site.
        key: Dotted key of the entry.
        kind: `unmatched` if no call can use the entry, `contradiction` if a
            limit excludes another.
        message: What is wrong, in one line.
    """

    site: str
    key: str
    kind: Literal['unmatched', 'contradiction']
    message: str


_Finding = tuple[str, Literal['unmatched', 'contradiction'], str]


def list_warnings(sites: Mapping[str, Tree]) -> tuple[ConfigWarning, ...]:
    """Returns the warnings about the merged sites of a valid configuration.

    Args:
        sites: Merged tree by site name.
    """
    return tuple(
        ConfigWarning(site=site, key=key, kind=kind, message=message)
        for site, tree in sorted(sites.items())
        for key, kind, message in _findings(msgspec.convert(tree, SiteDocument))
    )


def format_warning(warning: ConfigWarning) -> str:
    """Formats a warning as one line of text."""
    return f'! {warning.site}: {warning.key}: {warning.message}'


def attempt_warnings(
    sites: Mapping[str, Tree], upstream_counts: Mapping[str, int]
) -> tuple[ConfigWarning, ...]:
    """Returns warnings about routes with more attempts than upstreams.

    Args:
        sites: Merged tree by site name.
        upstream_counts: Number of known upstreams by service.
    """
    return tuple(
        ConfigWarning(
            site=site,
            key=f'routes.{name}.attempts',
            kind='contradiction',
            message=(
                f'{route.attempts} upstreams may be tried, but '
                f'{route.service} has {upstream_counts[route.service]}'
            ),
        )
        for site, tree in sorted(sites.items())
        for name, route in msgspec.convert(tree, SiteDocument).routes.items()
        if not route.split
        and 0 < upstream_counts.get(route.service, 0) < route.attempts
    )


def _findings(document: SiteDocument) -> Iterator[_Finding]:
    yield from chain.from_iterable(
        _route_findings(f'routes.{name}', route, document)
        for name, route in document.routes.items()
    )
    called = frozenset(
        chain.from_iterable(
            route.services for route in document.routes.values()
        )
    )
    for name, service in document.services.items():
        key = f'services.{name}'
        if name not in called:
            yield key, 'unmatched', 'no route sends calls to it'
        yield from _service_findings(key, service)
    for name, account in document.accounts.items():
        yield from _account_findings(f'accounts.{name}', account)


def _route_findings(
    key: str, route: Route, document: SiteDocument
) -> Iterator[_Finding]:
    prefix = route.path_prefix
    if not (prefix.isascii() and prefix.isprintable()) or ' ' in prefix:
        yield (
            f'{key}.path_prefix',
            'unmatched',
            f'{prefix!r} has characters that no request path has',
        )
    elif not _PATH_ENDS.isdisjoint(prefix):
        yield (
            f'{key}.path_prefix',
            'unmatched',
            f'{prefix!r} goes beyond the path, which ends before ? and #',
        )
    yield from (
        (f'{key}.split', 'unmatched', f'{share.service} has the weight 0')
        for share in route.split
        if not share.weight
    )
    has_keys = any(account.keys for account in document.accounts.values())
    if document.accounts and route.needs_key and not has_keys:
        yield key, 'unmatched', 'it needs a key, but no account has one'
    service = document.services[route.service]
    timeout_ms = route.timeout_ms or service.timeout_ms
    if route.objective_ms > timeout_ms:
        yield (
            f'{key}.objective_ms',
            'contradiction',
            f'{route.objective_ms} ms is above the timeout of {timeout_ms} ms',
        )


def _service_findings(key: str, service: Service) -> Iterator[_Finding]:
    for low, high in (
        ('initial_run_ms', 'timeout_ms'),
        ('queue_wait_ms', 'timeout_ms'),
        ('eject_ms', 'eject_limit_ms'),
    ):
        low_ms, high_ms = getattr(service, low), getattr(service, high)
        if low_ms > high_ms:
            yield (
                f'{key}.{low}',
                'contradiction',
                f'{low_ms} ms is above {high} of {high_ms} ms',
            )


def _account_findings(key: str, account: Account) -> Iterator[_Finding]:
    if not account.keys:
        yield f'{key}.keys', 'unmatched', 'no caller can name it without a key'
    if account.rate_per_s and account.burst < _WHOLE_CALL:
        yield (
            f'{key}.burst',
            'contradiction',
            f'{account.burst:g} leaves no room for a whole call',
        )
    if account.burst and not account.rate_per_s:
        yield (
            f'{key}.burst',
            'contradiction',
            'it has no effect without rate_per_s, which means no limit',
        )
