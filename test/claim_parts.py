"""Shared parts of the tests of claims."""

from waxwingsaddle import claims

PLACE = claims.place_of('orders', 'k1')
HOSTS = ('a', 'b', 'c')


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        """Starts at zero."""
        self.now_s = 0

    def __call__(self):
        """Returns the time that was set."""
        return self.now_s


def claim_of(state, claim_id='x', answer=None):
    """Returns a claim on the place, kept for a minute."""
    return claims.Claim(PLACE, claim_id, state, 60_000, answer)
