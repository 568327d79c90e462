"""Detection of calls that upstreams make while they serve a call."""

from waxwingsaddle.call_origins import CallOrigins


def test_calls_from_hosts_of_one_service_are_those_of_upstreams():
    """Guards against priority for calls that no upstream makes."""
    origins = CallOrigins()
    for number in range(100):
        origins.observe('browse', ('gallery', 'orders')[number % 2])
        is_inner = origins.observe('stock', 'gallery')
    assert is_inner
    assert not origins.observe('browse', 'gallery')


def test_few_calls_and_unknown_origins_say_nothing():
    """Guards against a first call that is taken for one of an upstream."""
    origins = CallOrigins()
    assert not origins.observe('browse', 'gallery')
    assert not any(origins.observe('order', '') for _ in range(100))


def test_one_call_from_elsewhere_is_enough():
    """Guards against priority for a route that one host was first to call."""
    origins = CallOrigins()
    for _ in range(50):
        origins.observe('browse', 'gallery')
    assert not origins.observe('browse', 'orders')
    assert not origins.observe('browse', 'gallery')
