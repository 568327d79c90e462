"""At-most-once execution of keyed calls while nodes are killed."""

from test.kills import run_kills


def test_keyed_calls_run_at_most_once_under_kills():
    """Guards against calls that run twice or are falsely reported as not run.

    Nodes are killed at random while calls with an idempotency key are sent.
    """
    result = run_kills(calls=600, seed=7)
    assert result.kills > 0
    # Arrivals are random: the number of calls is 600 +- 25.
    assert result.check.answers > 500
    assert not result.check.violations, result.check.violations[:5]
