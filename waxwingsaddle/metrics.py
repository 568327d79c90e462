"""Prometheus metrics of one program."""

from typing import TYPE_CHECKING

from waxwingsaddle.util import imports

if TYPE_CHECKING:
    from prometheus_client import Counter, Gauge, Histogram

# The package itself imports HTTP servers and TLS, 6 MB that a node lacks.
_metrics = imports.submodule('prometheus_client', 'metrics')
_registry = imports.submodule('prometheus_client', 'registry')
_text = imports.submodule('prometheus_client', 'openmetrics.exposition')
# Upper bounds in seconds: around the objectives of calls, tenths of a second,
# and down to the time of a hop.
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
REGISTRY = _registry.CollectorRegistry(auto_describe=True)
CONTENT_TYPE = _text.CONTENT_TYPE_LATEST


def counter(name: str, text: str, labels: tuple[str, ...] = ()) -> 'Counter':
    """Returns a new counter of the program."""
    return _metrics.Counter(name, text, labels, registry=REGISTRY)


def gauge(name: str, text: str, labels: tuple[str, ...] = ()) -> 'Gauge':
    """Returns a new gauge of the program."""
    return _metrics.Gauge(name, text, labels, registry=REGISTRY)


def histogram(
    name: str,
    text: str,
    buckets: tuple[float, ...] = LATENCY_BUCKETS_S,
    labels: tuple[str, ...] = (),
) -> 'Histogram':
    """Returns a new histogram of the program."""
    return _metrics.Histogram(
        name, text, labels, buckets=buckets, registry=REGISTRY
    )


def exposition() -> bytes:
    """Returns all metrics in the OpenMetrics text format."""
    return _text.generate_latest(REGISTRY)
