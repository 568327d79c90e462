"""Metrics in the OpenMetrics text format."""

from prometheus_client.openmetrics.parser import text_string_to_metric_families

from waxwingsaddle import metrics

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
