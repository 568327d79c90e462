"""Routes and announcements of a node."""

from types import SimpleNamespace

from nose2.tools import params

from test.nodes import BASE, call, node_environment
from waxwingsaddle import config
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.routing import RouteTable
from waxwingsaddle.upstreams import AnnouncementBody, Upstreams

ROUTES = f"""{BASE}
[routes.order-items]
path_prefix = "/orders/items/"
service = "plans"
[routes.rest]
path_prefix = "/"
methods = ["GET"]
service = "plans"
"""
UPSTREAM = AnnouncementBody(
    service='orders', address='127.0.0.1:9', slots=6, state='ready'
)


@params(
    ('POST', '/orders', 'order'),
    ('POST', '/orders/7', 'order'),
    ('GET', '/orders/', 'look'),
    ('PUT', '/orders/items/7', 'order-items'),
    ('PUT', '/orders/items', 'order-items'),
    ('POST', '/orders/itemsets', 'order'),
    ('GET', '/ordersheet', 'rest'),
    ('GET', '/', 'rest'),
    ('GET', '', 'rest'),
    ('PUT', '/orders', None),
    ('POST', '/ordersheet', None),
)
def test_longest_prefix_at_a_segment_border(method, path, expected):
    """Guards against a call that is sent to the route of another prefix."""
    sources = config.SourceSet(base=ROUTES, overlays={'north': ''})
    tree = config.check_sources(sources).sites['north']
    match = RouteTable(config.snapshot('north', 1, tree)).match(method, path)
    assert (match and match.name) == expected


def test_silent_upstream_is_forgotten():
    """Guards against calls to an upstream that died without deregistering."""
    clock = SimpleNamespace(now_s=0)
    kernel = Kernel()
    changes = []
    kernel.subscribe('upstreams-changed', lambda: changes.append(clock.now_s))
    upstreams = Upstreams(kernel, 10_000, lambda: clock.now_s)
    for beat_s in (1, 9, 18):
        clock.now_s = beat_s
        upstreams.record_announcement('up-1', UPSTREAM)
        upstreams.expire()
    assert [upstream.name for upstream in upstreams.announcements()] == ['up-1']
    clock.now_s = 28.5
    upstreams.expire()
    assert upstreams.announcements() == ()
    # A heartbeat that repeats an announcement is not a change.
    assert changes == [1, 28.5]


def test_drain_covers_later_announcements():
    """Guards against upstreams announced as ready on a node that stops."""
    upstreams = Upstreams(Kernel(), 10_000, lambda: 1)
    upstreams.drain()
    upstreams.record_announcement('up-1', UPSTREAM)
    assert upstreams.announcements()[0].state == 'draining'


@params(
    ('PUT', '/v1/upstreams/up-1', b'{}', 400),
    ('PUT', '/v1/upstreams/Up 1', b'', 400),
    ('DELETE', '/v1/upstreams/none', None, 404),
    ('POST', '/v1/upstreams/up-1', b'', 405),
    ('GET', '/nowhere', None, 404),
    ('POST', '/orders', b'', 503),
)
def test_refused_requests(method, target, body, expected):
    """Guards against malformed requests that crash a node or are accepted."""
    with node_environment() as started:
        node = started.node()
        target = target.replace(' ', '%20')
        status, headers, _ = call(node.http_address, method, target, body)
        assert status == expected
        if not target.startswith('/v1/'):
            assert headers['Waxwing-Outcome'] == 'not-run'
