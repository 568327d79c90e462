"""What a token with a scope may read, and calls it may not take."""

from types import SimpleNamespace

from nose2.tools import params

from test.fake_control import BASE, Edit, sources
from test.test_access import _changed, _guarded
from test.test_api import ask, edit

TEAM = {'services': ('orders',), 'sites': ('north',)}


def node(host, site):
    """Returns the status of a node."""
    return SimpleNamespace(
        host=host,
        availability_zone='a',
        site=site,
        control_host='c1',
        version=0,
        age_ms=1,
    )


def upstream(service):
    """Returns a directory entry."""
    return SimpleNamespace(
        name=f'{service}-1',
        service=service,
        host='h',
        availability_zone='a',
        call_address='127.0.0.1:9',
        slots=1,
        state='ready',
        started_ms_ago=1,
    )


def test_reading_stays_within_the_scope():
    """Guards against a team that reads the services and sites of another."""
    control, token = _guarded(**TEAM)
    control.nodes.extend((node('n0', 'north'), node('n1', 'south')))
    control.upstreams.extend(map(upstream, ('orders', 'plans')))
    events = control.kernel.find('events')
    events.record('upstream', service='plans')
    events.record('leader', leader='c1')
    _, status = ask(control, 'GET', '/v1/status?nodes=true', token=token)
    assert [one['host'] for one in status['nodes']] == ['n0']
    assert [one['host'] for one in status['lagging']] == ['n0']
    assert (status['node_count'], status['in_force']) == (1, 0)
    _, got = ask(control, 'GET', '/v1/upstreams', token=token)
    assert [one['service'] for one in got['upstreams']] == ['orders']
    _, got = ask(control, 'GET', '/v1/events', token=token)
    assert [one['kind'] for one in got['events']] == ['leader']
    _, got = ask(control, 'GET', '/v1/edits/1/difference', token=token)
    assert {one['site'] for one in got['changes']} == {'north'}
    assert 'plan' not in str(got['changes'])
    assert got['is_partial']


@params(
    ('/v1/upstreams?service=plans', "service 'plans'"),
    ('/v1/edits/1', 'whole files'),
)
def test_reading_outside_the_scope_is_refused(path, reason):
    """Guards against an empty answer that looks like the truth."""
    control, token = _guarded(**TEAM)
    status, failure = ask(control, 'GET', path, token=token)
    assert status == 403
    assert reason in failure['message'], failure
    control, token = _guarded()
    assert ask(control, 'GET', path, token=token)[0] == 200


def route(prefix, methods='', name='mine', service='orders'):
    """Returns the text of a route."""
    return (
        f'[routes.{name}]\npath_prefix = "{prefix}"\n'
        f'service = "{service}"\nmethods = [{methods}]\n'
    )


@params(
    ('/plans/7', '"GET"', 'GET /plans/7'),
    ('/plans/7/', '', 'GET, HEAD'),
    ('/', '', None),
    ('/planschedule', '', None),
    ('/orders/7', '', None),
)
def test_calls_of_another_team_are_not_taken(prefix, methods, expected):
    """Guards against a longer prefix that takes calls of another team."""
    control, token = _guarded(services=('orders',), may_write=True)
    body = _changed('[routes.plan]', f'{route(prefix, methods)}[routes.plan]')
    status, failure = ask(control, 'POST', '/v1/edits', body, token)
    if expected is None:
        assert status == 200, failure
        return
    assert status == 403
    assert expected in failure['message'], failure
    assert "away from route 'plan' of service 'plans'" in failure['message']
    assert control.replication.state.version == 1


@params(('"POST"', 403), ('"GET"', 200))
def test_changed_methods_take_no_calls(methods, expected):
    """Guards against an old route that is widened over another team's."""
    own = BASE + route('/plans/7', '"GET"')
    control, token = _guarded(services=('orders',), may_write=True)
    second = Edit(sources=sources(2, own), author='owner')
    assert control.replication.submit(second).version == 2
    wanted = own + route('/plans/7/8', methods, 'deeper')
    status, failure = ask(control, 'POST', '/v1/edits', edit(3, wanted), token)
    assert status == expected, failure
