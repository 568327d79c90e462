"""Short run of the measurement of control hosts and of the source."""

import dataclasses

from test.test_convergence import PLAN
from waxwingsaddle.control_bench import OperatingPoint, measure


def test_every_figure_is_measured():
    """Guards against a measurement that no longer starts its programs."""
    plan = dataclasses.replace(PLAN, idle_s=2)
    row = measure(
        plan, OperatingPoint(nodes=2, edits_per_minute=60, services=3)
    )
    assert row['edits_per_minute'] > 0
    for name in ('control_rss_mb', 'source_rss_mb', 'busiest_cpu_ms_per_s'):
        assert row[name] > 0, row
