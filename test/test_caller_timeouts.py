"""Learning the timeouts of the callers of a route."""

from waxwingsaddle.caller_timeouts import CallerTimeouts


def test_later_tries_do_not_lower_the_usual_timeout():
    """Guards against the shorter timeout of a retry being learned."""
    timeouts = CallerTimeouts()
    assert timeouts.observe('browse', 800) == 800
    for _ in range(5):
        assert timeouts.observe('browse', 500) > 780


def test_shorter_timeouts_are_learned():
    """Guards against objectives derived from a timeout no longer in use."""
    timeouts = CallerTimeouts()
    timeouts.observe('browse', 30_000)
    for _ in range(2000):
        latest = timeouts.observe('browse', 800)
    assert latest < 810
