"""Shared fixtures of the tests of claims."""

from waxwingsaddle import claims

KEY_DIGEST = claims.hash_key('orders', 'k1')
HOSTS = ('a', 'b', 'c')


class Clock:
    """Clock that tests set."""

    def __init__(self):
        """Starts at zero."""
        self.now_s = 0

    def __call__(self):
        """Returns the set time."""
        return self.now_s


def claim_of(state, claim_id='x', answer=None):
    """Returns a claim of the test key with a retention of one minute."""
    return claims.Claim(KEY_DIGEST, claim_id, state, 60_000, answer)
