"""Settings that follow from the time bounds of a deployment."""

from nose2.tools import params

from waxwingsaddle.derived_timeouts import DeploymentBounds, node_timeouts

# Latest moment after SIGTERM at which callers may still send calls that end
# with the stop.
CALLERS_TOLD_MS = 3000


@params((6000, 2400, 2700), (10_000, 2800, 5700))
def test_long_stop_does_not_take_long_calls_later(grace_ms, wait_ms, limit_ms):
    """Guards against calls taken late in a long stop and cut off at its end.

    With 10 s to stop, calls with a deadline after its end were taken for 4 s.
    """
    bounds = DeploymentBounds(
        contact_ms=3000,
        acknowledge_ms=4000,
        propagation_ms=2000,
        drain_ms=2000,
        stop_ms=grace_ms,
        announce_ms=1500,
        retry_percent=20,
        fleet_retries=64,
    )
    timeouts = node_timeouts(bounds)
    assert timeouts['drain_wait_ms'] == wait_ms
    assert wait_ms < CALLERS_TOLD_MS
    assert timeouts['stop_limit_ms'] == limit_ms
    # Calls at work in the last sixth of the grace may be cut off.
    assert wait_ms + limit_ms > grace_ms * 5 / 6
