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
from waxwingsaddle.upstreams import PATH, Upstreams
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.web import Environ, Probes, StartResponse


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


def own_pages(
    kernel: Kernel,
    settings: NodeSettings,
    entry: Entry,
    is_ready: Callable[[], bool],
) -> GracefulServer:
    """Returns the server of the node's own interface.

    Args:
        kernel: Finds the services `upstreams`, `configuration` and `events`.
        settings: Settings of the node.
        entry: Takes calls.
        is_ready: Says whether the node can serve callers.
    """
    configuration = kernel.find('configuration')
    probed = Probes(
        _Paths(kernel.find('upstreams'), entry),
        is_ready,
        lambda: {'problem': configuration.problem},
        timeline=kernel.find('events'),
    )
    return GracefulServer(
        settings.http_address,
        probed,
        protocol_with_limits(settings.head_limits),
    )


def ingress_server(
    settings: NodeSettings,
    ingress: Ingress,
) -> PipelineServer:
    """Returns the server of calls that name their host."""
    own = ConnectionLimits(
        settings.head_limits,
        settings.request_body_limit_bytes,
        settings.head_timeout_ms / MS_PER_S,
        settings.idle_timeout_ms / MS_PER_S,
    )
    return PipelineServer(
        settings.ingress_address,
        ingress,
        lambda: (
            own
            if ingress.table is None
            else own.with_overrides(ingress.table.limits)
        ),
    )
