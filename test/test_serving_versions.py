"""Which version of a service serves, where no rollout has told it."""

from types import SimpleNamespace

from nose2.tools import params

from waxwingsaddle.config_models import ServiceRollout
from waxwingsaddle.rollout_entries import encode_serving, encode_start
from waxwingsaddle.rollout_models import RolloutOrder
from waxwingsaddle.rollout_orders import RolloutOrders
from waxwingsaddle.rollout_split import serving_version
from waxwingsaddle.serving_versions import (
    GONE_S,
    ServingVersions,
    find_base_version,
)

ORDER = RolloutOrder(service='desk', target_version='v2', duration_ms=12_000)
SERVICES = frozenset(('desk',))


def _entries(*versions, state='ready'):
    return [
        SimpleNamespace(
            name=f'u-{number}',
            host='h',
            service='desk',
            state=state,
            version=version,
            started_at_ms=number,
        )
        for number, version in enumerate(versions)
    ]


@params(
    # Without any upstream, a host that has just started knows nothing.
    ((), False, ''),
    (('v2', 'v2'), False, ''),
    (('v0', 'v1', 'v2'), False, ''),
    (('v2', 'v1'), False, 'v1'),
    (('v2', 'v2'), True, 'v2'),
    ((), True, 'v2'),
    (('v1', 'v0', 'v1', 'v2', 'v2', 'v2'), True, 'v1'),
)
def test_none_is_no_answer_until_the_directory_is_complete(
    versions, is_complete, expected
):
    """Guards against an order that moves all calls at once: review case 12."""
    found = find_base_version(
        _entries(*versions), 'v2', is_complete=is_complete
    )
    assert found == expected


def test_first_version_is_recorded_once():
    """Guards against a serving version that the number of upstreams turns."""
    serving = ServingVersions()
    first = _entries('v1', 'v1')
    both = _entries('v1', 'v2', 'v2')
    found = serving.find_changes(first, {}, SERVICES, 0, is_complete=False)
    assert found == {'desk': 'v1'}
    assert not serving.find_changes(both, {}, SERVICES, 0, is_complete=False)
    assert serving.find_changes(both, {}, SERVICES, 0) == {'desk': 'v2'}
    assert not serving.find_changes(both, found, SERVICES, 0)
    assert not serving.find_changes(first, {}, (), 0)


def test_version_without_upstreams_is_replaced_after_a_while():
    """Guards against a version that is gone and moves calls when it returns."""
    serving, recorded = ServingVersions(), {'desk': 'v1'}
    newer = _entries('v3')
    drained = _entries('v1', state='draining')
    assert not serving.find_changes(newer, recorded, SERVICES, 0)
    assert not serving.find_changes([*newer, *drained], recorded, SERVICES, 5)
    assert not serving.find_changes(newer, recorded, SERVICES, 6)
    assert not serving.find_changes((), recorded, SERVICES, 6 + GONE_S)
    found = serving.find_changes(newer, recorded, SERVICES, 6 + GONE_S)
    assert found == {'desk': 'v3'}


def test_recorded_version_goes_before_that_of_an_order():
    """Guards against a base that a host with few upstreams has guessed."""
    orders = RolloutOrders()
    orders.apply(encode_serving({'desk': 'v1', 'gone': 'v1'}), SERVICES, 1)
    assert orders.base_version('desk') == 'v1'
    assert not orders.base_version('gone')
    restored = RolloutOrders()
    restored.load(orders.dump())
    restored.apply(encode_start(ORDER, 'v2', 1000), SERVICES, 1)
    assert restored.find('desk').base_version == 'v1'
    # A rollout tells it from then on.
    changes = restored.changes
    restored.apply(encode_serving({'desk': 'v2'}), SERVICES, 1)
    assert (restored.changes, restored.base_version('desk')) == (changes, 'v1')
    orders.end_removed((), 2)
    assert not orders.serving


def test_drain_of_an_old_upstream_moves_no_call_to_another_version():
    """Guards against calls to a version without an order: review case 11."""
    orders = RolloutOrders()
    orders.apply(encode_serving({'desk': 'v1'}), SERVICES, 1)
    told = ServiceRollout(**orders.table(SERVICES)['desk'])
    entries = _entries('v1', 'v2', 'v2')
    assert serving_version(entries, told) == 'v1'
    # Without any upstream of it, calls go to another version.
    assert serving_version(entries[1:], told) == 'v2'
