"""Metrics in the OpenMetrics text format."""

from prometheus_client.openmetrics.parser import text_string_to_metric_families

from waxwingsaddle import metrics

TIMES = metrics.histogram('waxwing_test_seconds', 'Times of a test')
SAMPLE = metrics.counter('waxwing_test_calls', 'Calls of a test', ('zone',))


def test_exposition_is_openmetrics():
    """Guards against a text that a Prometheus server can't read."""
    SAMPLE.labels('a "b"\n').inc(2)
    text = metrics.exposition().decode()
    families = {
        family.name: family for family in text_string_to_metric_families(text)
    }
    total = families['waxwing_test_calls'].samples[0]
    assert total.name == 'waxwing_test_calls_total'
    assert total.labels == {'zone': 'a "b"\n'}
    assert total.value == 2


def test_latency_histograms_have_cumulative_buckets():
    """Guards against latencies of which only a mean is known."""
    for took_s in (0.004, 0.2, 9):
        TIMES.observe(took_s)
    text = metrics.exposition().decode()
    family = next(
        one
        for one in text_string_to_metric_families(text)
        if one.name == 'waxwing_test_seconds'
    )
    buckets = {
        sample.labels['le']: sample.value
        for sample in family.samples
        if sample.name.endswith('_bucket')
    }
    assert (buckets['0.005'], buckets['0.25'], buckets['+Inf']) == (1, 2, 3)
