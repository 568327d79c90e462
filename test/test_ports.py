"""Free loopback ports."""

from waxwingsaddle.util.ports import free_address

COUNT = 2000


def test_no_address_twice():
    """Guards against two programs of one deployment on the same port."""
    addresses = [free_address() for _ in range(COUNT)]
    assert len(set(addresses)) == COUNT
