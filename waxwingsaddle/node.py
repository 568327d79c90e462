"""Program wiring of a node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

from waxwingsaddle import entry_bound, keepers, metrics
from waxwingsaddle.dispatch import Dispatch
from waxwingsaddle.entry import CallLimits, Entry
from waxwingsaddle.events import Timeline
from waxwingsaddle.graceful import GracefulServer
from waxwingsaddle.guarding import Guarding
from waxwingsaddle.hop import Hop
from waxwingsaddle.http_leg import LegPolicy
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.keyed import KeyedCalls, report_done
from waxwingsaddle.lean_http import limited
from waxwingsaddle.link import LinkPolicy
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.presence import Presence
from waxwingsaddle.remote import RemoteCalls, RemotePolicy
from waxwingsaddle.routing import Routing
from waxwingsaddle.serving import Serving
from waxwingsaddle.shutdown import Shutdown
from waxwingsaddle.upstreams import PATH, Upstreams
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.web import (
    Environ,
    Probes,
    StartResponse,
)

Subscribe = Callable[[Kernel, NodeSettings], object]


def build(settings: NodeSettings, subscribe: Subscribe) -> Kernel:
    """Makes the services of a node.

    Args:
        settings: Settings of the node.
        subscribe: Provides the services `configuration` and `directory`.

    Returns:
        The kernel, not started.
    """
    kernel = Kernel()
    kernel.provide(
        'events',
        Timeline('node', settings.host, settings.events_kept),
    )
    kernel.provide('hop', Hop(settings.call_address, _link_policy(settings)))
    kernel.provide(
        'upstreams',
        Upstreams(kernel, settings.upstream_ttl_ms, monotonic_s),
    )
    subscribe(kernel, settings)
    guarding = _provide_guarding(kernel, settings)
    dispatch = _provide_dispatch(kernel, settings, guarding)
    presence = Presence(settings.caller_check_ms)
    kernel.provide('presence', presence)
    entry = Entry(
        Routing(kernel.find('configuration')),
        KeyedCalls(dispatch, kernel.find('keepers')),
        presence,
        entry_bound.EntryBound(
            settings.entry_calls,
            settings.entry_body_bytes,
        ),
        CallLimits(
            settings.request_body_limit_bytes,
            settings.idempotency_key_characters,
            settings.configuration_wait_ms / MS_PER_S,
        ),
        monotonic_s,
    )
    _provide_server(kernel, settings, entry)
    return kernel


@dataclass(frozen=True, slots=True)
class _Paths:
    """Serves announcements on their path, and calls on all others."""

    upstreams: Upstreams
    entry: Entry

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'].startswith(PATH):
            return self.upstreams.serve(environ, start_response)
        return self.entry(environ, start_response)


def _provide_keepers(kernel: Kernel, settings: NodeSettings) -> keepers.Keepers:
    kept = keepers.attach(kernel, settings)
    # Not a condition of readiness: a node that can't settle, because a dead
    # node is still listed, serves all calls but the claims it keeps.
    metrics.gauge(
        'waxwing_claims_settled',
        'Whether this node knows all claims that it has to keep.',
    ).set_function(lambda: kept.is_settled)
    return kept


def _provide_guarding(kernel: Kernel, settings: NodeSettings) -> Guarding:
    guarding = Guarding(
        kernel.find('upstreams'),
        kernel.find('configuration'),
        LegPolicy(
            connections=settings.upstream_connections,
            connect_timeout_s=settings.connect_timeout_ms / MS_PER_S,
            idle_limit_s=settings.upstream_idle_limit_ms / MS_PER_S,
            inline_bytes=settings.inline_answer_bytes,
            chunk_bytes=settings.chunk_bytes,
            stall_timeout_s=settings.stall_timeout_ms / MS_PER_S,
            head_limits=settings.head_limits,
        ),
        partial(report_done, _provide_keepers(kernel, settings)),
        settings.call_ids_kept_s,
        settings.drain_wait_ms / MS_PER_S,
        monotonic_s,
    )
    kernel.subscribe('upstreams-changed', guarding.refresh)
    kernel.subscribe('configuration-in-force', guarding.refresh)
    kernel.provide('guarding', guarding)
    serving = Serving(
        kernel.find('hop'),
        guarding,
        settings.stall_timeout_ms / MS_PER_S,
        monotonic_s,
    )
    kernel.provide('serving', serving)
    return guarding


def _provide_dispatch(
    kernel: Kernel,
    settings: NodeSettings,
    guarding: Guarding,
) -> Dispatch:
    remote = RemoteCalls(
        kernel.find('hop'),
        RemotePolicy(
            bulk_bytes=settings.inline_answer_bytes,
            window_bytes=settings.credit_window_bytes,
            stall_timeout_s=settings.stall_timeout_ms / MS_PER_S,
            answer_grace_s=settings.answer_grace_ms / MS_PER_S,
        ),
        monotonic_s,
    )
    dispatch = Dispatch(
        settings.host,
        settings.availability_zone,
        settings.crossing_ms,
        kernel.find('directory'),
        guarding,
        remote,
        monotonic_s,
    )
    kernel.provide('dispatch', dispatch)
    return dispatch


def _provide_server(
    kernel: Kernel,
    settings: NodeSettings,
    entry: Entry,
) -> None:
    configuration = kernel.find('configuration')
    upstreams = kernel.find('upstreams')
    probed = Probes(
        _Paths(upstreams, entry),
        lambda: configuration.current is not None and not shutdown.is_draining,
        lambda: {'problem': configuration.problem},
        timeline=kernel.find('events'),
    )
    shutdown = Shutdown(
        upstreams,
        GracefulServer(
            settings.http_address,
            probed,
            limited(settings.head_limits),
        ),
        kernel.find('serving'),
        kernel.find('guarding'),
        kernel.find('keepers'),
        settings.drain_wait_ms,
        settings.stop_limit_ms,
    )
    kernel.provide('shutdown', shutdown)


def _link_policy(settings: NodeSettings) -> LinkPolicy:
    return LinkPolicy(
        connect_timeout_s=settings.connect_timeout_ms / MS_PER_S,
        heartbeat_ms=settings.hop_heartbeat_ms,
        queued_messages=settings.hop_queue_messages,
        message_limit_bytes=settings.hop_message_bytes,
    )
