"""Merge, checks and snapshots of the configuration files."""

from nose2.tools import params

from waxwingsaddle import config

BASE = """
version = 3
[services.orders]
timeout_ms = 1500
[services.plans]
[routes.order]
path_prefix = "/orders"
service = "orders"
methods = ["POST"]
[routes.plan]
path_prefix = "/plans"
service = "plans"
work = "long"
"""


def _check(base=BASE, **overlays):
    return config.check_sources(
        config.SourceSet(base=base, overlays=overlays or {'north': ''}),
    )


def test_overlay_changes_only_what_differs():
    """Guards against overlays that drop values or affect other sites."""
    checked = _check(
        north='[services.orders]\ntimeout_ms = 900',
        south='remove = ["routes.plan", "services.plans"]',
    )
    assert checked.version == 3
    north, south = checked.sites['north'], checked.sites['south']
    assert north['services']['orders']['timeout_ms'] == 900
    assert south['services']['orders']['timeout_ms'] == 1500
    assert 'plan' in north['routes']
    assert 'plan' not in south['routes']


@params(
    ('version = 0', 'base.toml: version: expected an integer'),
    ('version = 1\n[services', 'base.toml: not valid TOML'),
    (f'{BASE}colour = 1', 'unknown field `colour`'),
    (BASE.replace('"orders"\nm', '"gone"\nm'), "'gone' is no service"),
    (BASE.replace('/plans', '/orders'), 'both take'),
    (BASE.replace('1500', '"soon"'), 'services.orders.timeout_ms'),
)
def test_bad_base_is_refused_with_file_and_key(base, expected):
    """Guards against accepting a bad edit or reporting it without its key."""
    refused = _check(base)
    assert isinstance(refused, config.Refused), refused
    assert expected in refused.problems[0], refused.problems


def test_overlay_with_dangling_route_is_refused():
    """Guards against routes to a service that the overlay removes."""
    refused = _check(north='remove = ["services.plans"]')
    assert 'routes.plan.service' in refused.problems[0]


def test_removal_of_unknown_entry_is_refused():
    """Guards against ignoring a removal whose name is misspelt."""
    refused = _check(north='remove = ["routes.plam"]')
    assert "no 'routes.plam'" in refused.problems[0]


def test_snapshot_checks_again():
    """Guards against a node applying a tree with a dangling route."""
    tree = _check().sites['north']
    assert config.snapshot('north', 3, tree).document.routes['plan']
    broken = {**tree, 'services': {}}
    assert isinstance(config.snapshot('north', 4, broken), config.Refused)
