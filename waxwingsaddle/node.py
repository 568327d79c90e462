"""Assembles the services of a node."""

import random
from collections.abc import Callable
from functools import partial

from waxwingsaddle import (
    account_access,
    announcement_checks,
    body_budget,
    caller_fields,
    claim_service,
    claims,
    entry_bound,
    metrics,
    quota_service,
    retry_allowance,
    running_calls,
    service_policies,
    stop_schedule,
)
from waxwingsaddle.call_server import CallServer
from waxwingsaddle.disconnect_watch import DisconnectWatch
from waxwingsaddle.dispatch import Dispatcher
from waxwingsaddle.entry import CallLimits, Entry
from waxwingsaddle.events import Timeline
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.idempotent_calls import IdempotentCalls, record_execution
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_servers import ingress_server, node_api_server
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.node_transport import NodeTransport
from waxwingsaddle.remote_upstreams import RemoteCallPolicy, RemoteCalls
from waxwingsaddle.routing import RouteTableCache
from waxwingsaddle.shutdown import CallerServer, Shutdown
from waxwingsaddle.upstream_calls import UpstreamCalls
from waxwingsaddle.upstream_client import UpstreamClientPolicy
from waxwingsaddle.upstreams import Upstreams
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s

Subscribe = Callable[[Kernel, NodeSettings], object]
AddServices = Callable[[Kernel], None]
_OWN_NAMES = HeaderNames()


def _add_none(_kernel: Kernel) -> None:
    """Adds no further services."""


def build(
    settings: NodeSettings,
    subscribe: Subscribe,
    names: HeaderNames = _OWN_NAMES,
    add_services: AddServices = _add_none,
) -> Kernel:
    """Creates the services of a node.

    Args:
        settings: Settings of the node.
        subscribe: Registers the services `configuration` and `directory`.
        names: Names of the header fields exchanged with callers and
            upstreams.
        add_services: Registers further services, which run until the calls
            in flight are finished.

    Returns:
        The kernel, not yet started.
    """
    kernel = Kernel()
    kernel.provide(
        'events',
        Timeline('node', settings.host, settings.events_kept),
    )
    kernel.provide(
        'hop', NodeTransport(settings.call_address, _link_policy(settings))
    )
    kernel.provide(
        'upstreams',
        Upstreams(
            kernel,
            settings.upstream_ttl_ms,
            monotonic_s,
            announcement_checks.node_checks(kernel, settings.service),
        ),
    )
    subscribe(kernel, settings)
    upstream_calls = _provide_upstream_calls(kernel, settings, names)
    dispatcher = _provide_dispatcher(kernel, settings, upstream_calls)
    kernel.provide('presence', DisconnectWatch(settings.caller_check_ms))
    routing = RouteTableCache(kernel.find('configuration'))
    entry_limit = entry_bound.EntryBound(
        settings.entry_calls,
        settings.entry_body_bytes,
    )
    idempotent_calls = IdempotentCalls(dispatcher, kernel.find('keepers'))
    calls = running_calls.RunningCalls(
        stop_schedule.StopSchedule(
            settings.drain_wait_ms / MS_PER_S,
            settings.stop_limit_ms / MS_PER_S,
            monotonic_s,
        ),
        idempotent_calls.cancel,
        monotonic_s,
    )
    access = account_access.AccountAccess(
        names.account, partial(_is_confirmed, kernel)
    )
    entry = Entry(
        routing,
        idempotent_calls,
        calls,
        kernel.find('presence'),
        entry_limit,
        CallLimits(
            settings.request_body_limit_bytes,
            settings.idempotency_key_characters,
            settings.configuration_wait_ms / MS_PER_S,
        ),
        access,
        monotonic_s,
    )
    node_api = node_api_server(
        kernel, settings, entry, lambda: is_ready(kernel)
    )
    quota_service.attach(kernel, settings)
    entry.quotas = kernel.find('quotas')
    add_services(kernel)
    servers: list[CallerServer] = [node_api]
    if settings.ingress_address:
        ingress = Ingress(
            routing,
            dispatcher,
            entry_limit,
            calls,
            caller_fields.CallerFields(names, settings.service, access),
            monotonic_s,
            random.Random(),
        )
        ingress.quotas = kernel.find('quotas')
        servers.append(ingress_server(settings, ingress))
    _provide_shutdown(kernel, tuple(servers), calls)
    return kernel


def is_ready(kernel: Kernel) -> bool:
    """Returns whether a node can serve callers."""
    is_draining = kernel.find('shutdown').is_draining
    return kernel.find('configuration').current is not None and not is_draining


def _is_confirmed(kernel: Kernel) -> bool:
    return kernel.find('configuration').is_confirmed


def _provide_claim_service(
    kernel: Kernel, settings: NodeSettings
) -> claim_service.ClaimService:
    service = claim_service.attach(kernel, settings)
    # Not a condition of readiness: while a dead node is still listed, this node
    # can't settle, yet it serves everything except the claims that it stores.
    metrics.gauge(
        'waxwing_claims_settled',
        'Whether this node knows all claims that it has to keep.',
    ).set_function(lambda: service.is_settled)
    return service


def _provide_upstream_calls(
    kernel: Kernel,
    settings: NodeSettings,
    names: HeaderNames,
) -> UpstreamCalls:
    upstream_calls = UpstreamCalls(
        kernel.find('upstreams'),
        kernel.find('configuration'),
        UpstreamClientPolicy(
            connections=settings.upstream_connections,
            connect_timeout_s=settings.connect_timeout_ms / MS_PER_S,
            idle_limit_s=settings.upstream_idle_limit_ms / MS_PER_S,
            inline_bytes=settings.inline_answer_bytes,
            stored_bytes=claims.MAX_ANSWER_BYTES,
            chunk_bytes=settings.chunk_bytes,
            read_ahead_bytes=settings.read_ahead_bytes,
            stall_timeout_s=settings.stall_timeout_ms / MS_PER_S,
            head_limits=settings.head_limits,
            names=names,
        ),
        partial(record_execution, _provide_claim_service(kernel, settings)),
        settings.call_ids_kept_s,
        settings.upstream_drain_ms / MS_PER_S,
        monotonic_s,
    )
    if settings.has_rollouts:
        upstream_calls.on_run = kernel.find('rollouts').record_run
    kernel.subscribe('upstreams-changed', upstream_calls.refresh)
    kernel.subscribe('configuration-in-force', upstream_calls.refresh)
    kernel.provide('guarding', upstream_calls)
    call_server = CallServer(
        kernel.find('hop'),
        upstream_calls,
        body_budget.BodyBudget(settings.guard_body_bytes),
        settings.stall_timeout_ms / MS_PER_S,
        monotonic_s,
    )
    kernel.provide('serving', call_server)
    return upstream_calls


def _provide_dispatcher(
    kernel: Kernel,
    settings: NodeSettings,
    upstream_calls: UpstreamCalls,
) -> Dispatcher:
    remote = RemoteCalls(
        kernel.find('hop'),
        RemoteCallPolicy(
            bulk_threshold_bytes=settings.bulk_request_bytes,
            credit_window_bytes=settings.credit_window_bytes,
            stall_timeout_s=settings.stall_timeout_ms / MS_PER_S,
            answer_grace_s=settings.answer_grace_ms / MS_PER_S,
        ),
        monotonic_s,
    )
    directory = kernel.find('directory')
    policies = service_policies.PolicyTable(
        settings.host,
        settings.availability_zone,
        settings.crossing_ms,
        monotonic_s,
        retry_allowance.RetryAllowance(
            settings.fleet_retries, lambda: len(directory)
        ),
        kernel.find('rollouts') if settings.has_rollouts else None,
    )
    dispatcher = Dispatcher(
        settings.host,
        policies,
        directory,
        upstream_calls,
        remote,
        monotonic_s,
    )
    kernel.provide('dispatch', dispatcher)
    return dispatcher


def _provide_shutdown(
    kernel: Kernel,
    servers: tuple[CallerServer, ...],
    calls: running_calls.RunningCalls,
) -> None:
    # Registered last, so that it is stopped first.
    shutdown = Shutdown(
        kernel.find('upstreams'),
        servers,
        calls,
        kernel.find('serving'),
        kernel.find('guarding'),
        kernel.find('keepers'),
    )
    kernel.provide('shutdown', shutdown)


def _link_policy(settings: NodeSettings) -> LinkPolicy:
    return LinkPolicy(
        connect_timeout_s=settings.connect_timeout_ms / MS_PER_S,
        heartbeat_ms=settings.hop_heartbeat_ms,
        max_queued_messages=settings.hop_queue_messages,
        max_message_bytes=settings.hop_message_bytes,
    )
