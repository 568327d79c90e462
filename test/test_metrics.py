"""Tests of the metrics in the OpenMetrics text format."""

from prometheus_client.openmetrics.parser import text_string_to_metric_families

from waxwingsaddle import metrics

LATENCIES = metrics.histogram('waxwing_test_seconds', 'Times of a test')
CALLS = metrics.counter('waxwing_test_calls', 'Calls of a test', ('zone',))


def test_exposition_is_openmetrics():
    """Guards against metrics that a Prometheus server cannot parse."""
    CALLS.labels('a "b"\n').inc(2)
    text = metrics.exposition().decode()
    families = {
        family.name: family for family in text_string_to_metric_families(text)
    }
    sample = families['waxwing_test_calls'].samples[0]
    assert sample.name == 'waxwing_test_calls_total'
    assert sample.labels == {'zone': 'a "b"\n'}
    assert sample.value == 2


def test_latency_histograms_have_cumulative_buckets():
    """Guards against latencies without buckets, which allow only a mean."""
    for elapsed_s in (0.004, 0.2, 9):
        LATENCIES.observe(elapsed_s)
    text = metrics.exposition().decode()
    family = next(
        parsed
        for parsed in text_string_to_metric_families(text)
        if parsed.name == 'waxwing_test_seconds'
    )
    buckets = {
        sample.labels['le']: sample.value
        for sample in family.samples
        if sample.name.endswith('_bucket')
    }
    assert (buckets['0.005'], buckets['0.25'], buckets['+Inf']) == (1, 2, 3)
