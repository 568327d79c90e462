"""Prometheus metrics of a program."""

from typing import TYPE_CHECKING

from waxwingsaddle.util import imports

if TYPE_CHECKING:
    from prometheus_client import Counter, Gauge, Histogram

# Only submodules are imported: the package itself imports HTTP servers and TLS,
# which would cost a node 6 MB of memory.
_metrics = imports.import_submodule('prometheus_client', 'metrics')
_registry = imports.import_submodule('prometheus_client', 'registry')
_openmetrics = imports.import_submodule(
    'prometheus_client', 'openmetrics.exposition'
)
# Upper bounds of the buckets, in seconds: finest around the latency objectives
# of calls, tenths of a second, and down to the time of one network hop.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
REGISTRY = _registry.CollectorRegistry(auto_describe=True)
CONTENT_TYPE = _openmetrics.CONTENT_TYPE_LATEST


def counter(
    name: str, description: str, labels: tuple[str, ...] = ()
) -> 'Counter':
    """Creates and registers a counter."""
    return _metrics.Counter(name, description, labels, registry=REGISTRY)


def gauge(name: str, description: str, labels: tuple[str, ...] = ()) -> 'Gauge':
    """Creates and registers a gauge."""
    return _metrics.Gauge(name, description, labels, registry=REGISTRY)


def histogram(
    name: str,
    description: str,
    buckets: tuple[float, ...] = LATENCY_BUCKETS_S,
    labels: tuple[str, ...] = (),
) -> 'Histogram':
    """Creates and registers a histogram."""
    return _metrics.Histogram(
        name, description, labels, buckets=buckets, registry=REGISTRY
    )


def exposition() -> bytes:
    """Returns all metrics in the OpenMetrics text format."""
    return _openmetrics.generate_latest(REGISTRY)
