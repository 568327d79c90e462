"""How long the callers of a route usually wait."""

from waxwingsaddle.caller_timeouts import CallerTimeouts


def test_later_tries_do_not_lower_the_usual_timeout():
    """Guards against a second try that counts as a first one."""
    usual = CallerTimeouts()
    assert usual.observe('browse', 800) == 800
    for _ in range(5):
        assert usual.observe('browse', 500) > 780


def test_shorter_timeouts_are_learned():
    """Guards against objectives counted from a timeout nobody brings."""
    usual = CallerTimeouts()
    usual.observe('browse', 30_000)
    for _ in range(2000):
        latest = usual.observe('browse', 800)
    assert latest < 810
