"""Convergence between availability zones, on real processes."""

from waxwingsaddle.convergence import Plan, measure

TARGET_MS = 3000
PLAN = Plan(
    edits=2,
    delay_ms=4.5,
    jitter_ms=0,
    loss_percent=1,
    services=5,
    sites=2,
    settle_s=0,
    idle_s=1,
    seed=1,
)


def test_converges_under_delay_and_loss():
    """Guards against edits in force later than 3 s over lossy links."""
    figures = measure(PLAN, 6)
    assert figures['submit_max_ms'] < TARGET_MS, figures
    assert figures['link_bytes_per_edit'] > 0, figures
