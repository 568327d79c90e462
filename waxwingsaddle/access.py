"""Access control of the administration API: bearer tokens with a scope."""

import hashlib
import hmac
import secrets
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import chain
from typing import Annotated

import msgspec

from waxwingsaddle.addresses import HostName
from waxwingsaddle.api_models import Failure
from waxwingsaddle.route_capture import Capture, captures
from waxwingsaddle.util.codec import Tree

WILDCARD = '*'
TOKEN_BYTES = 32
SALT_BYTES = 16
_SCHEME = 'bearer'

NameOrWildcard = Annotated[
    str,
    msgspec.Meta(pattern=r'^([a-z0-9][a-z0-9._-]{0,62}|\*)$'),
]
HexDigest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
HexSalt = Annotated[str, msgspec.Meta(pattern='^([0-9a-f]{2}){8,64}$')]


class AccessToken(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One token, as stored in the settings of the control hosts.

    Tokens are long and random, so a salted SHA-256 is enough: dictionary
    attacks do not apply, and a slow hash would block the event loop.

    Attributes:
        name: Name of the holder; the author in the history.
        salt: Random bytes in hexadecimal.
        sha256: SHA-256 of salt and token, in hexadecimal.
        services: Services that edits may touch and answers show; `*` for all.
        sites: Sites that edits may touch and answers show; `*` for all.
        may_write: Whether edits and other changes are allowed at all.
    """

    name: HostName
    salt: HexSalt
    sha256: HexDigest
    services: tuple[NameOrWildcard, ...] = (WILDCARD,)
    sites: tuple[NameOrWildcard, ...] = (WILDCARD,)
    may_write: bool = False


@dataclass(frozen=True, slots=True)
class Caller:
    """Authenticated sender of a request, and its permissions.

    Attributes:
        name: Name of the token; empty when no tokens are in use.
        services: Services in the scope.
        sites: Sites in the scope.
        may_write: Whether changes are allowed.
    """

    name: str
    services: frozenset[str]
    sites: frozenset[str]
    may_write: bool

    @property
    def has_all(self) -> bool:
        """Whether the scope has all services and sites."""
        return WILDCARD in self.services and WILDCARD in self.sites

    def has_service(self, service: str) -> bool:
        """Returns whether a service is in the scope."""
        return WILDCARD in self.services or service in self.services

    def has_site(self, site: str) -> bool:
        """Returns whether a site is in the scope."""
        return WILDCARD in self.sites or site in self.sites

    @property
    def is_unlimited(self) -> bool:
        """Whether the scope has all services and sites, and may write."""
        return self.may_write and self.has_all


ANYONE = Caller(
    '', frozenset((WILDCARD,)), frozenset((WILDCARD,)), may_write=True
)


@dataclass(frozen=True, slots=True)
class NewToken:
    """A generated token and the entry for the control settings."""

    token: str
    entry: AccessToken


class Authenticator:
    """Identifies the caller of a request by its token.

    Args:
        tokens: Tokens of the settings; without any, every caller has all
            permissions.
    """

    def __init__(self, tokens: Iterable[AccessToken]) -> None:
        self._tokens = tuple(tokens)

    def identify_caller(self, authorization: str) -> Caller | Failure:
        """Returns the caller of a request.

        Args:
            authorization: Value of the `Authorization` header; empty if none.
        """
        if not self._tokens:
            return ANYONE
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != _SCHEME:
            return _not_authenticated('no bearer token; set token_file')
        matching = [
            entry
            for entry in self._tokens
            if hmac.compare_digest(
                entry.sha256, _hash(entry.salt, token.strip())
            )
        ]
        if not matching:
            return _not_authenticated(
                'the token is unknown; ask for a new one or check token_file',
            )
        entry = matching[0]
        return Caller(
            entry.name,
            frozenset(entry.services),
            frozenset(entry.sites),
            entry.may_write,
        )


def new_token(
    name: str,
    services: tuple[str, ...] = (WILDCARD,),
    sites: tuple[str, ...] = (WILDCARD,),
    may_write: bool = False,
) -> NewToken:
    """Generates a token.

    Raises:
        msgspec.ValidationError: A name of the scope is not valid.
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    entry = msgspec.convert(
        {
            'name': name,
            'salt': salt,
            'sha256': _hash(salt, token),
            'services': services,
            'sites': sites,
            'may_write': may_write,
        },
        AccessToken,
    )
    return NewToken(token, entry)


def check_names(tokens: Iterable[AccessToken]) -> None:
    """Checks that the names of tokens are unique.

    Raises:
        ValueError: Two tokens have the same name.
    """
    names = Counter(token.name for token in tokens)
    repeated = [name for name, count in names.items() if count > 1]
    if repeated:
        raise ValueError(f'two `tokens` have the name {repeated[0]!r}')


def scope_violations(
    caller: Caller,
    old_sites: Mapping[str, Tree],
    new_sites: Mapping[str, Tree],
) -> tuple[str, ...]:
    """Returns what an edit changes outside the scope of its caller.

    Args:
        caller: Who submits the edit.
        old_sites: Merged tree by site of the previous version.
        new_sites: Merged tree by site of the edit.

    Returns:
        One line of text for each site or service outside the scope.
    """
    return tuple(
        problem
        for site in sorted(old_sites.keys() | new_sites.keys())
        if old_sites.get(site) != new_sites.get(site)
        for problem in _site_problems(
            caller,
            site,
            old_sites.get(site, {}),
            new_sites.get(site, {}),
        )
    )


def _site_problems(
    caller: Caller,
    site: str,
    old: Tree,
    new: Tree,
) -> Iterator[str]:
    if not caller.has_site(site):
        yield f'site {site!r} is outside the scope of token {caller.name!r}'
        return
    if WILDCARD in caller.services:
        return
    for service in sorted(_changed_services(old, new) - caller.services):
        yield (
            f'service {service!r} (changed on site {site!r}) is outside the '
            f'scope of token {caller.name!r}'
        )
    yield from _capture_problems(caller, site, old, new)
    if old.get('accounts', {}) != new.get('accounts', {}):
        yield (
            f'accounts (changed on site {site!r}) concern all services, and '
            f'token {caller.name!r} has only some'
        )


def _capture_problems(
    caller: Caller,
    site: str,
    old: Tree,
    new: Tree,
) -> Iterator[str]:
    captured: dict[tuple[str, str], list[Capture]] = defaultdict(list)
    for capture in captures(old, new):
        services = capture.before.route.services
        if not all(map(caller.has_service, services)):
            names = (capture.after.name, capture.before.name)
            captured[names].append(capture)
    for (route, other), group in sorted(captured.items()):
        methods = ', '.join(entry.method or 'other' for entry in group)
        yield (
            f'route {route!r} (changed on site {site!r}) takes the calls '
            f'{methods} {group[0].after.route.path_prefix} away from route '
            f'{other!r} of service '
            f'{_listed(group[0].before.route.services)}, which is outside the '
            f'scope of token {caller.name!r}'
        )


def _listed(services: frozenset[str]) -> str:
    return ', '.join(map(repr, sorted(services)))


def _changed_services(old: Tree, new: Tree) -> set[str]:
    services = set(_changed_names(old, new, 'services'))
    for route in _changed_names(old, new, 'routes'):
        services.update(
            chain.from_iterable(
                _services_of(tree['routes'][route])
                for tree in (old, new)
                if route in tree.get('routes', {})
            ),
        )
    return services


def _services_of(route: Tree) -> Iterator[str]:
    yield route['service']
    yield from (share['service'] for share in route.get('split', ()))


def _changed_names(old: Tree, new: Tree, table: str) -> Iterator[str]:
    before, after = old.get(table, {}), new.get(table, {})
    for name in before.keys() | after.keys():
        if before.get(name) != after.get(name):
            yield name


def _hash(salt: str, token: str) -> str:
    salted = bytes.fromhex(salt) + token.encode('utf-8', 'surrogatepass')
    return hashlib.sha256(salted).hexdigest()


def _not_authenticated(message: str) -> Failure:
    return Failure(kind='not-authenticated', message=message)
