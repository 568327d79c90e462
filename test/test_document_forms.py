"""Configurations that are read back as the operator sent them."""

import json
from decimal import Decimal

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from test.meshports import CONFIGURATION, HEARTBEAT, SETTINGS

from meshport.documents import (  # isort:skip
    decode_document,
    encode_document,
)
from meshport.durations import (  # isort:skip
    format_duration,
    parse_bound_ms,
    parse_duration_ms,
)
from meshport.instances import decode_heartbeat  # isort:skip
from meshport.platform_settings import parse_platform_settings  # isort:skip

from waxwingsaddle.config import CheckedSources, SourceSet, check_sources
from waxwingsaddle.documents import (
    DocumentError,
    parse_document,
    render_document,
)
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Accepted, Conflict, Edit

_TOKEN = st.text('abcxyz019', min_size=1, max_size=6)
_ODD = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**20), 10**20)
    | st.decimals(-1000, 1000, places=8)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=4,
)
# Fields that these programs do not know.
_UNKNOWN = st.dictionaries(_TOKEN.map('x-{}'.format), _ODD, max_size=2)


def _spelled(digits, places, unit, zeros):
    number = Decimal(digits).scaleb(-places)
    text = f'{number:f}'
    tail = '0' * zeros
    return f'{text}{tail if "." in text else ""}{unit}'


_DURATION = st.builds(
    _spelled,
    st.integers(1, 3_599),
    st.integers(0, 6),
    st.sampled_from(('ms', 's')),
    st.integers(0, 3),
)
_RATE = st.integers(0, 10**6) | st.decimals(0, 1000, places=6)


def _resource(table, spec, name):
    return {'resourceType': table, 'metadata': {'name': name}, 'spec': spec}


def _spec(**fields):
    return st.builds(
        lambda known, unknown: {**unknown, **known},
        st.fixed_dictionaries(fields),
        _UNKNOWN,
    )


_SERVICE = _spec(
    healthCheckPath=st.sampled_from(('/health', '/h/\u2028\u00e9"\\')),
    maxConnections=st.integers(0, 1_000_000),
    protocol=st.just('h1'),
    tls=st.just(False),
)
_ROUTE = _spec(
    host=st.just('a.example'),
    routeType=st.sampled_from(('safe', 'unsafe', 'download', 'upload')),
    timeout=_DURATION,
    targetLatency=_DURATION,
    priority=st.integers(0, 4),
    attempts=st.integers(0, 100),
    service=st.just('s'),
)
_ACCOUNT = _spec(apiKeys=st.just([]), ratePerS=_RATE, burst=_RATE)
_LIMITS = _spec(
    maxHeaderBytes=st.integers(0, 1_048_576),
    maxBodyBytes=st.integers(0, 1_073_741_824),
    headerTimeout=_DURATION,
    idleTimeout=_DURATION,
)


@st.composite
def _configurations(draw):
    resources = [_resource('services', draw(_SERVICE), 's')]
    for number, spec in enumerate(draw(st.lists(_ROUTE, max_size=3))):
        path = {'pathPrefix': f'/{number}/'}
        resources.append(_resource('routes', {**spec, **path}, f'r{number}'))
    for number, spec in enumerate(draw(st.lists(_ACCOUNT, max_size=2))):
        resources.append(_resource('tenants', spec, f'Account {number}'))
    if draw(st.booleans()):
        resources.append(_resource('limits', draw(_LIMITS), draw(_TOKEN)))
    version = draw(st.sampled_from(('0000000a', '0000000A')))
    heading = {**draw(_UNKNOWN), 'version': version}
    return {**heading, 'resources': draw(st.permutations(resources))}


_encode = msgspec.json.Encoder(decimal_format='number').encode


def _exact(raw):
    return json.loads(raw, parse_float=Decimal)


def _propose(state, raw, base):
    """Returns the outcome of a configuration, or else its entry of the log."""
    text = render_document(decode_document(raw, base))
    sources = SourceSet(base=text, overlays={})
    checked = check_sources(sources)
    assert isinstance(checked, CheckedSources), checked
    outcome = state.decide_document(checked)
    if outcome is not None:
        return outcome
    edit = Edit(sources=sources, author='operator')
    return state.encode_entry(edit, checked, 5)


def _put(state, raw, base):
    """Accepts a configuration as the control hosts do; returns the outcome."""
    decided = _propose(state, raw, base)
    return state.apply(decided) if isinstance(decided, bytes) else decided


def _get(state):
    return encode_document(parse_document(state.sources.base))


@given(_configurations())
def test_configuration_is_read_back_as_it_was_sent(configuration):
    """Guards against a value that is changed on its way in: review case 15."""
    raw = _encode(configuration)
    state = EditState(3, 10)
    _put(state, CONFIGURATION, '00000000')
    assert isinstance(_put(state, raw, '00000007'), Accepted)
    restored = EditState(3, 10)
    restored.load(state.dump())
    assert _exact(_get(restored)) == _exact(raw)


def test_fractions_of_a_millisecond_are_in_force():
    """Guards against a time that is read back and not acted on: case 15."""
    raw = CONFIGURATION.replace(b'"800ms"', b'"0.2505s"')
    raw = raw.replace(b'"idleTimeout":"15000ms"', b'"idleTimeout":"1500.5ms"')
    state = EditState(3, 10)
    _put(state, raw, '00000000')
    tree = state.sites['all']
    assert tree['routes']['r-n2ctnfz']['timeout_ms'] == Decimal('250.5')
    assert tree['limits']['idle_timeout_ms'] == Decimal('1500.5')


def test_usual_configuration_is_stored_once():
    """Guards against a second copy of each entry in the log."""
    assert not decode_document(CONFIGURATION, '00000005').form.originals


def test_other_spelling_under_the_same_number_is_another_change():
    """Guards against an acknowledgement of what is not read back: case 15."""
    state = EditState(3, 10)
    other = CONFIGURATION.replace(b'"800ms"', b'"0.80s"')
    assert isinstance(_put(state, CONFIGURATION, '00000000'), Accepted)
    assert isinstance(_put(state, CONFIGURATION, '00000000'), Accepted)
    assert isinstance(_put(state, other, '00000000'), Conflict)


def test_other_spelling_that_lost_a_race_is_told_so():
    """Guards against two acknowledgements of one number: case 15.

    Both are checked against the same state; the order in the log decides.
    """
    state = EditState(3, 10)
    spellings = (b'"800ms"', b'"0.80s"', b'"800ms"')
    entries = [
        _propose(state, CONFIGURATION.replace(b'"800ms"', text), '00000000')
        for text in spellings
    ]
    outcomes = [type(state.apply(entry)) for entry in entries]
    assert outcomes == [Accepted, Conflict, Accepted]


@params(
    (b'"ratePerS":296', b'"ratePerS":0.1000000000000000055'),
    (b'"ratePerS":296', b'"ratePerS":1e-400'),
    (b'"800ms"', b'"123456.000000000001ms"'),
    (b'"800ms"', b'"1e3ms"'),
    (b'"800ms"', b'"0.0000000000001s"'),
)
def test_what_cannot_be_kept_is_refused(old, new):
    """Guards against rounding: review case 15."""
    assert old in CONFIGURATION
    try:
        decode_document(CONFIGURATION.replace(old, new), '00000000')
    except DocumentError as error:
        assert str(error)
    else:
        raise AssertionError(new)


@params(
    ('1500ms', 1500, '1500ms'),
    ('1.50s', 1500, '1500ms'),
    ('1.2345s', 1234.5, '1234.5ms'),
    ('0.0005s', 0.5, '0.5ms'),
    ('0.000000001ms', 1e-9, '0.000000001ms'),
)
def test_durations_are_exact(text, span_ms, written):
    """Guards against a duration that is rounded: review case 15."""
    assert parse_duration_ms(text) == span_ms
    assert format_duration(span_ms) == written


def test_bounds_are_never_exceeded():
    """Guards against a bound that is rounded up, or to none: case 15."""
    assert parse_bound_ms('2999.9ms') == 2999
    assert parse_bound_ms('0.4ms') == 1
    assert parse_bound_ms('0ms') == 0
    bounds = 'exposeShare = 0.005\nquotaOverage = 0.015\n'
    settings = parse_platform_settings('boot.toml', SETTINGS + bounds)
    assert settings.bounds.rollout_exposed_percent == Decimal('0.5')
    assert settings.bounds.quota_overage_percent == Decimal('1.5')


def test_rest_of_a_slow_start_is_not_rounded_to_none():
    """Guards against a cold upstream that counts as warm: review case 15."""
    raw = HEARTBEAT.replace(b'"1.5s"', b'"0.4ms"')
    assert decode_heartbeat(raw).cold_ms == 1
