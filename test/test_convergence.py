"""Convergence between availability zones, with real processes."""

from waxwingsaddle.convergence import compare
from waxwingsaddle.convergence_links import Plan

MAX_CONVERGENCE_MS = 3000
PLAN = Plan(
    edits=2,
    delay_ms=4.5,
    jitter_ms=0,
    loss_percent=1,
    node_delay_ms=0.5,
    node_loss_percent=1,
    services=62,
    sites=2,
    settle_s=0,
    idle_s=2,
    seed=1,
)


def test_converges_under_delay_and_loss():
    """Guards against slow convergence and oversized deltas.

    Over links with delay and loss an edit must be in force on all nodes within
    3 s, and a delta must take less than half the bytes of a full configuration.
    """
    figures = compare(PLAN, 6)
    assert max(figures['submit_max_ms']) < MAX_CONVERGENCE_MS, figures
    assert min(figures['edit_bytes_per_link']) > 0, figures
    delta_bytes, full_bytes = figures['edit_bytes_per_node']
    assert 0 < 2 * delta_bytes < full_bytes, figures
