"""At most once while nodes are killed."""

from test.kills import run_kills


def test_keyed_calls_run_at_most_once_under_kills():
    """Guards against a second execution, or a false not-run, after a kill."""
    result = run_kills(calls=600, seed=7)
    assert result.kills > 0
    # Arrivals are random: 600 calls are 600 +- 25.
    assert result.verdict.answers > 500
    assert not result.verdict.violations, result.verdict.violations[:5]
