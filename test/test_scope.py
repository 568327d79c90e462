"""Reading with a scoped token, and routes that capture other calls."""

from types import SimpleNamespace

from nose2.tools import params

from test.fake_control import BASE, Edit, sources
from test.test_access import _control_with_token, _edit_with
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
    """Guards against a team reading services and sites of another team."""
    control, token = _control_with_token(**TEAM)
    control.nodes.extend((node('n0', 'north'), node('n1', 'south')))
    control.upstreams.extend(map(upstream, ('orders', 'plans')))
    events = control.kernel.find('events')
    events.record('upstream', service='plans')
    events.record('leader', leader='c1')
    _, status = ask(control, 'GET', '/v1/status?nodes=true', token=token)
    assert [shown['host'] for shown in status['nodes']] == ['n0']
    assert [shown['host'] for shown in status['lagging']] == ['n0']
    assert (status['node_count'], status['in_force']) == (1, 0)
    _, response = ask(control, 'GET', '/v1/upstreams', token=token)
    assert [shown['service'] for shown in response['upstreams']] == ['orders']
    _, response = ask(control, 'GET', '/v1/events', token=token)
    assert [shown['kind'] for shown in response['events']] == ['leader']
    _, response = ask(control, 'GET', '/v1/edits/1/difference', token=token)
    assert {shown['site'] for shown in response['changes']} == {'north'}
    assert 'plan' not in str(response['changes'])
    assert response['is_partial']


@params(
    ('/v1/upstreams?service=plans', "service 'plans'"),
    ('/v1/edits/1', 'may not read full files'),
)
def test_reading_outside_the_scope_is_refused(path, reason):
    """Guards against an empty answer where access is denied."""
    control, token = _control_with_token(**TEAM)
    status, failure = ask(control, 'GET', path, token=token)
    assert status == 403
    assert reason in failure['message'], failure
    control, token = _control_with_token()
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
    """Guards against a longer prefix that captures another team's calls."""
    control, token = _control_with_token(services=('orders',), may_write=True)
    body = _edit_with('[routes.plan]', f'{route(prefix, methods)}[routes.plan]')
    status, failure = ask(control, 'POST', '/v1/edits', body, token)
    if expected is None:
        assert status == 200, failure
        return
    assert status == 403
    assert expected in failure['message'], failure
    assert "away from route 'plan' of service 'plans'" in failure['message']
    assert control.replication.state.version == 1


def test_route_of_a_host_takes_no_calls_of_another_team():
    """Guards against a capture check that compares calls without a host."""
    control, token = _control_with_token(services=('orders',), may_write=True)
    named = route('/plans/7').replace('service', 'host = "a.example"\nservice')
    body = _edit_with('[routes.plan]', f'{named}[routes.plan]')
    status, failure = ask(control, 'POST', '/v1/edits', body, token)
    assert status == 403, failure
    assert "away from route 'plan' of service 'plans'" in failure['message']


@params(('"POST"', 403), ('"GET"', 200))
def test_changed_methods_take_no_calls(methods, expected):
    """Guards against a route that captures calls of another team's route."""
    own = BASE + route('/plans/7', '"GET"')
    control, token = _control_with_token(services=('orders',), may_write=True)
    second = Edit(sources=sources(2, own), author='owner')
    assert control.replication.submit(second).version == 2
    wanted = own + route('/plans/7/8', methods, 'deeper')
    status, failure = ask(control, 'POST', '/v1/edits', edit(3, wanted), token)
    assert status == expected, failure
