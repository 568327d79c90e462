"""Replicated state machine of rollouts, beside that of the configurations."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.distributed_versions import (
    DistributedVersions,
    distributed_sites,
    number_of,
)
from waxwingsaddle.documents import Document, render_document, service_entry
from waxwingsaddle.edit_image import MAX_ENTRY_BYTES
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Accepted, Edit, Refused
from waxwingsaddle.rollout_entries import encode_start, encode_step
from waxwingsaddle.rollout_models import (
    RolloutAccepted,
    RolloutConflict,
    RolloutOrder,
    RolloutStep,
)
from waxwingsaddle.util.codec import compress, decompress, pack

ORDER = RolloutOrder(service='desk', target_version='v2', duration_ms=12_000)
OTHER_ORDER = msgspec.structs.replace(ORDER, target_version='v3')


def _edit(number, base_number, services=('desk',)):
    tree = {
        'services': {name: service_entry('', number) for name in services},
        'routes': {},
    }
    text = render_document(Document(number, base_number, tree))
    return Edit(sources=SourceSet(base=text, overlays={}), author='ann')


def _propose(state, edit):
    checked = check_sources(edit.sources)
    outcome = state.decide_document(checked)
    return outcome or state.encode_entry(edit, checked, 5)


def _submit(state, edit):
    decided = _propose(state, edit)
    return state.apply(decided) if isinstance(decided, bytes) else decided


def _state(services=('desk',)):
    state = EditState(3, 100)
    assert isinstance(_submit(state, _edit(1, 0, services)), Accepted)
    return state


def _start(state, order=ORDER, base='v1'):
    return state.apply(encode_start(order, base, 1000))


def _step(state, share_permille, rollout_state='running'):
    number = state.rollouts.find('desk').number
    step = RolloutStep(
        service='desk',
        number=number,
        state=rollout_state,
        share_permille=share_permille,
    )
    state.apply(encode_step(step))
    return step


def test_order_is_acknowledged_again_and_others_conflict():
    """Guards against a resent order that starts again, and two at a time."""
    state = _state()
    assert isinstance(_start(state), RolloutAccepted)
    _step(state, 50)
    before = state.rollouts.find('desk')
    assert _start(state) == RolloutAccepted(
        state='running', target_version='v2'
    )
    assert state.rollouts.find('desk') == before
    assert _start(state, OTHER_ORDER) == RolloutConflict(target_version='v2')
    unknown = msgspec.structs.replace(ORDER, service='hub')
    assert isinstance(_start(state, unknown), Refused)
    _step(state, 1000, 'completed')
    assert _start(state).state == 'completed'
    assert isinstance(_start(state, OTHER_ORDER, 'v9'), RolloutAccepted)
    assert state.rollouts.find('desk').base_version == 'v2'


def test_late_step_has_no_effect():
    """Guards against a step of a replaced leader that undoes a later one."""
    state = _state()
    _start(state)
    late = _step(state, 50)
    _step(state, 0, 'rolled_back')
    changes = state.rollouts.changes
    assert state.apply(encode_step(late)).state == 'rolled_back'
    assert state.rollouts.changes == changes


def test_removal_of_the_service_ends_its_rollout():
    """Guards against a rollout that runs on without its service."""
    state = _state(('desk', 'hub'))
    _start(state)
    _submit(state, _edit(2, 1, ('hub',)))
    assert state.rollouts.find('desk').state == 'rolled_back'
    assert 'rollouts' not in distributed_sites(state)['all']


@given(st.lists(st.sampled_from(('edit', 'resend', 'race', 'start', 'step'))))
def test_edits_have_the_same_outcome_beside_a_rollout(actions):
    """Guards against rollouts that change numbers or outcomes of edits."""
    with_rollout, without = _state(), _state()
    number_before = number_of(with_rollout)
    for action in actions:
        _ACTIONS[action](with_rollout, without, without.number)
        assert with_rollout.version == without.version
        assert with_rollout.history() == without.history()
        assert number_of(with_rollout) >= number_before
        number_before = number_of(with_rollout)


def _apply_start(with_rollout, _without, _newest):
    _start(with_rollout)


def _apply_step(with_rollout, _without, _newest):
    if with_rollout.rollouts.find('desk'):
        _step(with_rollout, 50)


def _apply_edit(with_rollout, without, newest):
    edit = _edit(newest + 1, newest)
    assert _submit(with_rollout, edit) == _submit(without, edit)


def _resend(with_rollout, without, newest):
    _apply_edit(with_rollout, without, newest - 1)


def _race(with_rollout, without, newest):
    rivals = (_edit(newest + 1, newest), _edit(newest + 2, newest))
    entries = [_propose(without, edit) for edit in rivals]
    assert [_propose(with_rollout, edit) for edit in rivals] == entries
    for entry in entries:
        _start(with_rollout, OTHER_ORDER)
        assert with_rollout.apply(entry) == without.apply(entry)


_ACTIONS = {
    'edit': _apply_edit,
    'resend': _resend,
    'race': _race,
    'start': _apply_start,
    'step': _apply_step,
}


def test_snapshots_keep_rollouts_and_older_ones_have_none():
    """Guards against a lost order, and an unreadable older snapshot."""
    state = _state()
    older = state.dump()
    fields = msgspec.msgpack.decode(decompress(older, MAX_ENTRY_BYTES))
    written_before = compress(pack(fields[:5]))
    _start(state)
    _step(state, 50)
    restored = EditState(3, 100)
    restored.load(state.dump())
    assert restored.rollouts.find('desk') == state.rollouts.find('desk')
    assert number_of(restored) == number_of(state) == 3
    restored.load(written_before)
    assert restored.version == 1
    assert restored.rollouts.find('desk') is None


def test_operators_see_the_versions_of_their_edits():
    """Guards against a rollout that makes an edit look as if in force."""
    state, versions = _state(), DistributedVersions(10)
    numbers = [versions.record(state)]
    _start(state)
    numbers.append(versions.record(state))
    _step(state, 50)
    numbers.append(versions.record(state))
    _submit(state, _edit(2, 1))
    numbers.append(versions.record(state))
    assert numbers == [1, 2, 3, 4]
    assert list(map(versions.version_of, numbers)) == [1, 1, 1, 2]
    after_restart = DistributedVersions(10)
    after_restart.record(state)
    assert list(map(after_restart.version_of, numbers)) == [0, 0, 1, 2]


def test_operators_can_not_set_rollouts():
    """Guards against a document that moves calls to another version."""
    tree = {'services': {}, 'routes': {}, 'rollouts': {'desk': {}}}
    text = render_document(Document(1, 0, tree))
    checked = check_sources(SourceSet(base=text, overlays={}))
    assert 'rollouts: no such key' in checked.problems[0]
