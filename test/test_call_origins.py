"""Which calls the upstreams themselves make."""

from waxwingsaddle.call_origins import CallOrigins


def test_calls_from_hosts_of_one_service_are_those_of_upstreams():
    """Guards against calls of callers that go before all others."""
    origins = CallOrigins()
    for number in range(100):
        origins.observe('browse', ('gallery', 'orders')[number % 2])
        is_inner = origins.observe('stock', 'gallery')
    assert is_inner
    assert not origins.observe('browse', 'gallery')


def test_few_calls_and_unknown_origins_say_nothing():
    """Guards against a first call that passes for one of an upstream."""
    origins = CallOrigins()
    assert not origins.observe('browse', 'gallery')
    assert not any(origins.observe('order', '') for _ in range(100))


def test_one_call_from_elsewhere_is_enough():
    """Guards against a route that was called from one host at first."""
    origins = CallOrigins()
    for _ in range(50):
        origins.observe('browse', 'gallery')
    assert not origins.observe('browse', 'orders')
    assert not origins.observe('browse', 'gallery')
