"""Models of the configuration of a site: services, routes and accounts."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any, Literal

import msgspec

from waxwingsaddle.call_class import Priority

MAX_TIMEOUT_MS = 3_600_000
MAX_RETENTION_S = 604_800
MAX_WEIGHT = 1_000_000
MAX_BODY_BYTES = 1_073_741_824
MAX_HEAD_BYTES = 1_048_576
MAX_CONNECTIONS = 1_000_000
MAX_RATE_PER_S = 1_000_000_000
_NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}$'
# Visible ASCII, with single or more spaces inside: the name is sent in a header
# field. `\Z` refuses a line feed at the end, which `$` accepts.
_ACCOUNT_PATTERN = r'^[!-~]([ -~]{0,126}[!-~])?\Z'
_HOST_PATTERN = r'^([a-z0-9]([a-z0-9.-]{0,252}[a-z0-9])?)?$'

Name = Annotated[str, msgspec.Meta(pattern=_NAME_PATTERN)]
TimeoutMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIMEOUT_MS)]
# Operators may submit fractions of a millisecond.
OptionalSpanMs = (
    Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMEOUT_MS)]
    | Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMEOUT_MS)]
)
# No route's run time reaches this multiple of the median run time.
MAX_RATIO = 1000
Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
Ratio = Annotated[float, msgspec.Meta(gt=1, le=MAX_RATIO)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100)]
KeyDigest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{32}$')]
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE_PER_S)]
AccountName = Annotated[str, msgspec.Meta(pattern=_ACCOUNT_PATTERN)]
RequestHost = Annotated[str, msgspec.Meta(pattern=_HOST_PATTERN)]


class Service(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One service of a site.

    Attributes:
        timeout_ms: Deadline of calls without one of their own, in milliseconds.
        retention_s: How long the outcome of an idempotency key is stored, in
            seconds.
        hedge_percent: Limit of hedged calls, in percent of idempotent calls.
        retry_percent: Limit of retries, in percent of calls.
        spill_percent: Limit of spillover, in percent of calls: a full guard
            refuses a call at once and its node tries another upstream.
        long_slots_percent: Limit of slots that long calls may occupy, in
            percent of the slots of an upstream.
        long_ratio: Multiple of the median run time from which the calls of a
            route with learned run times count as long.
        initial_run_ms: Run time assumed before the first answer, in
            milliseconds.
        ahead_percent: Calls sent to an upstream beyond its slots, in percent of
            the slots; the upstream must queue them itself.
        queue_wait_ms: Longest expected wait in the queue of an upstream, in
            milliseconds.
        limit_floor_percent: Lower limit of the concurrency limit of a slow
            upstream, in percent of its slots.
        slow_ratio: Multiple of the learned run time from which an upstream
            counts as slow.
        max_attempts: Maximum number of attempts of a call, including the first.
        hedge_quantile_percent: Percentage of answers expected before a hedge
            is sent.
        slow_start_ms: Time until a new upstream gets its full share of calls,
            in milliseconds.
        eject_failures: Consecutive failures or slow answers that eject an
            upstream.
        eject_slow_ratio: Multiple of the median round trip from which an
            answer counts as slow.
        eject_ms: Duration of the first ejection, in milliseconds; it doubles
            with each further one.
        eject_limit_ms: Longest duration of an ejection, in milliseconds.
        max_ejected_percent: Limit of upstreams ejected at once, in percent.
        connections: Maximum number of open connections to one upstream; 0 for
            the limit in the settings of the node.
        health_path: Path of the health endpoint; empty if there is none.
        placement: Whether calls are placed by the `announced` slots and the
            round trips of each node, or by the run times `learned` at the
            guards of all upstreams.
    """

    timeout_ms: TimeoutMs = 2000
    retention_s: Annotated[int, msgspec.Meta(ge=1, le=MAX_RETENTION_S)] = 86_400
    hedge_percent: Percent = 5
    retry_percent: Percent = 10
    spill_percent: Percent = 20
    long_slots_percent: Percent = 34
    long_ratio: Ratio = 4
    initial_run_ms: TimeoutMs = 20
    ahead_percent: Percent = 0
    queue_wait_ms: TimeoutMs = 250
    limit_floor_percent: Percent = 34
    slow_ratio: Ratio = 2
    max_attempts: Count = 3
    hedge_quantile_percent: Percent = 97
    slow_start_ms: TimeoutMs = 10_000
    eject_failures: Count = 3
    eject_slow_ratio: Ratio = 4
    eject_ms: TimeoutMs = 1000
    eject_limit_ms: TimeoutMs = 30_000
    max_ejected_percent: Percent = 40
    connections: Annotated[int, msgspec.Meta(ge=0, le=MAX_CONNECTIONS)] = 0
    health_path: Annotated[str, msgspec.Meta(pattern='^(/|$)')] = ''
    placement: Literal['announced', 'learned'] = 'announced'


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share of the calls of a route that one service receives.

    Attributes:
        service: Name of the service.
        weight: Weight, relative to the other weights of the route.
    """

    service: Name
    weight: Annotated[int, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


class Route(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One route of a site: which calls go to which service, and how.

    Attributes:
        path_prefix: Prefix of the path, which ends at a segment boundary; with
            a slash at the end it does not match the path without that slash.
        methods: HTTP methods; empty for all.
        service: Name of the service.
        split: Services that share the calls by weight, instead of `service`.
        host: Host named by the request; empty for all.
        idempotent: Whether a call may be executed more than once.
        timeout_ms: Deadline that no caller can exceed; 0 for that of the
            service, which callers may change.
        objective_ms: Latency within which an answer serves its caller best;
            0 for none.
        attempts: Maximum number of upstreams that a call is sent to; 0 for the
            limit of the service.
        answers: Expected size of answers.
        bodies: Expected size of request bodies.
        work: Expected run time: `short`, `long`, or `learned` from answers.
        priority: `lowest` calls are shed first, `highest` calls last.
        needs_key: Whether callers need the key of a client account, if the
            site has any accounts.
    """

    path_prefix: Annotated[str, msgspec.Meta(pattern='^/', max_length=1024)]
    service: Name
    methods: tuple[
        Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
        ...,
    ] = ()
    split: tuple[Share, ...] = ()
    host: RequestHost = ''
    idempotent: bool = False
    timeout_ms: OptionalSpanMs = 0
    objective_ms: OptionalSpanMs = 0
    attempts: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    answers: Literal['small', 'large'] = 'small'
    bodies: Literal['small', 'large'] = 'small'
    work: Literal['short', 'long', 'learned'] = 'learned'
    priority: Priority = 'normal'
    needs_key: bool = True

    @property
    def services(self) -> frozenset[str]:
        """Names of the services that its calls may go to."""
        if not self.split:
            return frozenset((self.service,))
        return frozenset(share.service for share in self.split)


class Account(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """One client account of a site.

    Attributes:
        keys: Digests of the keys by which callers name the account.
        priority: Goes before the priority of the route; empty for none.
        rate_per_s: Calls per second over all nodes; 0 for no limit.
        burst: Calls beyond the rate that may come at once.
    """

    keys: tuple[KeyDigest, ...] = ()
    priority: Priority | Literal[''] = ''
    rate_per_s: Rate = 0
    burst: Rate = 0


class ServiceRollout(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """State of the newest rollout of a service.

    The control hosts add it to the configuration of a site; the files and
    documents of operators can't contain it.

    Attributes:
        target_version: Version that the order names.
        base_version: Version that served before the order.
        state: State of the rollout.
        share_permille: Calls that the target version gets while the rollout
            runs, in thousandths.
        turn: Which upstreams of the target version get them, if not all do.
    """

    target_version: str
    base_version: str
    state: Literal['running', 'completed', 'rolled_back']
    share_permille: Annotated[int, msgspec.Meta(ge=0, le=1000)]
    turn: Annotated[int, msgspec.Meta(ge=0)] = 0


class Limits(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Limits on requests of callers; 0 for the limit in the node settings.

    Attributes:
        head_bytes: Largest head of a request, in bytes.
        body_bytes: Largest body of a request, in bytes.
        head_timeout_ms: Longest time for receiving a head, in milliseconds.
        idle_timeout_ms: Longest time that a connection stays open without a
            call, in milliseconds.
    """

    head_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_HEAD_BYTES)] = 0
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)] = 0
    head_timeout_ms: OptionalSpanMs = 0
    idle_timeout_ms: OptionalSpanMs = 0


class SiteDocument(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """The merged configuration of one site."""

    services: dict[Name, Service] = {}
    routes: dict[Name, Route] = {}
    accounts: dict[AccountName, Account] = {}
    limits: Limits = Limits()
    rollouts: dict[Name, ServiceRollout] = {}


# Model of the entries of each table of a site document.
ENTRY_MODELS: Mapping[str, type[msgspec.Struct]] = MappingProxyType(
    {'services': Service, 'routes': Route, 'accounts': Account},
)
# Type of the names of the entries, where it is not `Name`.
NAME_TYPES: Mapping[str, Any] = MappingProxyType({'accounts': AccountName})
LIMITS_TABLE = 'limits'
# Table that the control hosts add, with the rollouts of services.
ROLLOUTS_TABLE = 'rollouts'
