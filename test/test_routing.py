"""Routes and announcements of a node."""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from test.nodes import BASE, call, node_environment
from waxwingsaddle import config
from waxwingsaddle.config_models import Route, Service, SiteDocument
from waxwingsaddle.http_heads import parse_request
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
    ('PUT', '/orders/items/', 'order-items'),
    ('PUT', '/orders/items', None),
    ('POST', '/orders/items', 'order'),
    ('GET', '/orders//', 'look'),
    ('PUT', '/orders//items/7', None),
    ('PUT', '/orders/items//7', 'order-items'),
    ('PUT', '/orders%2Fitems/7', None),
    ('PUT', '/Orders/items/7', None),
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


def _table(prefixes):
    """Returns a table with one route per prefix, named after it."""
    routes = {
        f'r{number}': Route(path_prefix=prefix, service='s')
        for number, prefix in enumerate(prefixes)
    }
    document = SiteDocument(services={'s': Service()}, routes=routes)
    return RouteTable(SimpleNamespace(version=1, document=document))


_paths = st.lists(st.sampled_from(('a', 'b', '/', '%2F', '.'))).map(
    lambda parts: ''.join(('/', *parts))
)


@given(st.lists(_paths, unique=True), _paths)
def test_route_has_the_longest_prefix_that_begins_the_path(starts, path):
    """Guards against a path that takes a prefix it does not begin with.

    A request was run by another service in that way: review case 2.
    """
    prefixes = {f'{start.rstrip("/")}/' for start in starts}
    match = _table(prefixes).match('POST', path)
    longest = max(filter(path.startswith, prefixes), key=len, default=None)
    assert (match and match.route.path_prefix) == longest


@given(st.lists(_paths, unique=True), _paths)
def test_prefix_without_a_slash_matches_whole_segments(starts, path):
    """Guards against `/plans` that matches `/planschedule`."""
    prefixes = {start for start in starts if not start.endswith('/')}
    match = _table(prefixes).match('POST', path)
    matching = (
        prefix for prefix in prefixes if f'{path}/'.startswith(f'{prefix}/')
    )
    longest = max(matching, key=len, default=None)
    assert (match and match.route.path_prefix) == longest


@params(
    ('a.example', 'named'),
    ('A.Example', 'named'),
    ('a.example:8300', 'named'),
    ('b.example', 'any'),
    ('a.example.evil', 'any'),
    ('', 'any'),
)
def test_host_is_compared_without_case_and_port(host, expected):
    """Guards against a request that takes the route of another host."""
    head = parse_request(
        f'GET /plans/7?to=/a HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()
    )
    routes = {
        'named': Route(path_prefix='/plans/', service='s', host='a.example'),
        'any': Route(path_prefix='/', service='s'),
    }
    document = SiteDocument(services={'s': Service()}, routes=routes)
    table = RouteTable(SimpleNamespace(version=1, document=document))
    assert table.match(head.method, head.path, head.host).name == expected


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
