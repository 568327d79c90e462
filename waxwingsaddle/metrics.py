"""Prometheus metrics of one program."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics import Counter, Gauge, Histogram

REGISTRY = CollectorRegistry(auto_describe=True)
CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


def counter(name: str, text: str, labels: tuple[str, ...] = ()) -> Counter:
    """Returns a new counter of the program."""
    return Counter(name, text, labels, registry=REGISTRY)


def gauge(name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
    """Returns a new gauge of the program."""
    return Gauge(name, text, labels, registry=REGISTRY)


def histogram(
    name: str,
    text: str,
    buckets: tuple[float, ...],
    labels: tuple[str, ...] = (),
) -> Histogram:
    """Returns a new histogram of the program."""
    return Histogram(name, text, labels, buckets=buckets, registry=REGISTRY)


def exposition() -> bytes:
    """Returns all metrics in the text format."""
    return generate_latest(REGISTRY)
