"""HTTP servers of a node."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from waxwingsaddle.entry import Entry
from waxwingsaddle.graceful_server import GracefulServer
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.lean_http import protocol_with_limits
from waxwingsaddle.node_settings import NodeSettings
from waxwingsaddle.pipeline_server import PipelineServer
from waxwingsaddle.request_reader import ConnectionLimits
from waxwingsaddle.upstream_pages import PATH, serve_upstream
from waxwingsaddle.upstreams import Upstreams
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.web import Environ, Probes, StartResponse


@dataclass(frozen=True, slots=True)
class _PathRouter:
    """Passes announcements of upstreams to their service, the rest to calls."""

    upstreams: Upstreams
    entry: Entry

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if environ['PATH_INFO'].startswith(PATH):
            return serve_upstream(self.upstreams, environ, start_response)
        return self.entry(environ, start_response)


def node_api_server(
    kernel: Kernel,
    settings: NodeSettings,
    entry: Entry,
    is_ready: Callable[[], bool],
) -> GracefulServer:
    """Returns the server of calls, announcements, probes and metrics.

    Args:
        kernel: Kernel with the services `upstreams`, `configuration` and
            `events`.
        settings: Settings of the node.
        entry: Handles calls.
        is_ready: Returns whether the node can serve callers.
    """
    configuration = kernel.find('configuration')
    application = Probes(
        _PathRouter(kernel.find('upstreams'), entry),
        is_ready,
        lambda: {'problem': configuration.problem},
        timeline=kernel.find('events'),
    )
    return GracefulServer(
        settings.http_address,
        application,
        protocol_with_limits(settings.head_limits),
    )


def ingress_server(
    settings: NodeSettings,
    ingress: Ingress,
) -> PipelineServer:
    """Returns the server of calls that are routed by their Host field."""
    node_limits = ConnectionLimits(
        settings.head_limits,
        settings.request_body_limit_bytes,
        settings.head_timeout_ms / MS_PER_S,
        settings.idle_timeout_ms / MS_PER_S,
    )
    return PipelineServer(
        settings.ingress_address,
        ingress,
        lambda: (
            node_limits
            if ingress.table is None
            else node_limits.with_overrides(ingress.table.limits)
        ),
    )
