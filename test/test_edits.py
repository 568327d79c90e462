"""Replicated state machine of the accepted configurations."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import structs

from waxwingsaddle.config import SourceSet, check_sources
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Accepted, Conflict, Edit, Refused
from waxwingsaddle.util import line_diff

BASE = """version = {version}
[services.orders]
timeout_ms = {timeout_ms}
[services.plans]
[routes.order]
path_prefix = "/orders"
service = "orders"
"""


def _edit(version, timeout_ms=1000, author='ann', **overlays):
    base = BASE.format(version=version, timeout_ms=timeout_ms)
    overlays = overlays or {'north': '', 'south': '# nothing differs\n'}
    return Edit(
        sources=SourceSet(base=base, overlays=overlays),
        author=author,
    )


def _state(versions_kept=3, history_kept=100):
    return EditState(versions_kept, history_kept)


def _apply(state, edit, taken_ms=5):
    checked = check_sources(edit.sources)
    outcome = state.decide_version(
        checked.version, checked.digest, edit.is_restore
    )
    if outcome is not None:
        return outcome
    return state.apply(state.encode_entry(edit, checked, taken_ms))


def test_versions_rise_by_one():
    """Guards against gaps and duplicates in the version numbers."""
    state = _state()
    assert isinstance(_apply(state, _edit(1)), Accepted)
    early = _apply(state, _edit(3))
    assert isinstance(early, Refused)
    assert early.expected_version == 2
    assert isinstance(_apply(state, _edit(2)), Accepted)
    assert state.version == 2
    assert state.sources == _edit(2).sources


def test_resend_gets_the_first_answer():
    """Guards against a different answer to a resend after a lost answer."""
    state = _state()
    first = _apply(state, _edit(1, author='ann'), taken_ms=7)
    _apply(state, _edit(2))
    assert _apply(state, _edit(1, author='bob'), taken_ms=9) == first


def test_race_has_one_winner():
    """Guards against two edits accepted under the same version."""
    state = _state()
    edits = (_edit(1, 1000, 'ann'), _edit(1, 2000, 'bob'))
    entries = [
        state.encode_entry(edit, check_sources(edit.sources), 5)
        for edit in edits
    ]
    won, lost = map(state.apply, entries)
    assert isinstance(won, Accepted)
    assert isinstance(lost, Conflict)
    assert lost.winner_digest == won.digest
    assert lost.winner_author == 'ann'


def test_only_the_difference_is_logged():
    """Guards against log entries that carry the full configuration."""
    state = _state()
    many_services = ''.join(
        f'[services.service-{number}]\ntimeout_ms = {number + 1}\n'
        for number in range(400)
    )
    _apply(state, _edit(1, north=many_services))
    full_size = len(state.dump())
    edit = _edit(2, north=many_services.replace('timeout_ms = 200\n', ''))
    entry = state.encode_entry(edit, check_sources(edit.sources), 5)
    assert len(entry) < full_size / 10
    state.apply(entry)
    assert state.sources == edit.sources


def test_snapshot_gives_back_everything():
    """Guards against a host that answers differently after a snapshot."""
    state, restored = _state(), _state()
    for version in range(1, 8):
        _apply(state, _edit(version, 1000 + version))
    _apply(state, _edit(8, west=''))
    restored.load(state.dump())
    assert restored.history() == state.history()
    assert restored.digest == state.digest
    for version in range(1, 9):
        assert restored.stored_version(version) == state.stored_version(version)
    assert state.stored_version(5) is None
    assert state.stored_version(6).sources == _edit(6, 1006).sources
    assert set(restored.sites) == {'west'}
    for host_state in (state, restored):
        assert isinstance(_apply(host_state, _edit(9)), Accepted)
    assert restored.dump() == state.dump()
    restored.load(b'')
    assert restored.version == 0


def test_history_is_bounded():
    """Guards against a wrong answer about a version that was dropped."""
    state = _state(history_kept=2)
    for version in range(1, 5):
        _apply(state, _edit(version, 1000 + version))
    assert [entry.version for entry in state.history()] == [3, 4]
    assert isinstance(_apply(state, _edit(3, 1003)), Accepted)
    assert isinstance(_apply(state, _edit(2, 1002)), Refused)


_lines = st.lists(st.sampled_from(['a\n', 'b\n', 'c\r\n', 'd'])).map(''.join)


@given(_lines, _lines)
def test_splices_turn_old_text_into_new(old, new):
    """Guards against source files that splices do not reproduce exactly."""
    assert line_diff.apply(old, line_diff.difference(old, new)) == new


def test_restored_log_begins_at_any_version():
    """Guards against a log restored from a backup being behind the nodes."""
    state = _state()
    begin = structs.replace(_edit(412), is_restore=True)
    assert isinstance(_apply(state, begin), Accepted)
    assert isinstance(_apply(state, _edit(413, 1200)), Accepted)
    again = structs.replace(_edit(500), is_restore=True)
    assert isinstance(_apply(state, again), Refused)
    copy = _state()
    copy.load(state.dump())
    for host_state in (state, copy):
        assert host_state.version == 413
        assert host_state.stored_version(412).sources == begin.sources
        assert host_state.stored_version(411) is None
        assert [entry.version for entry in host_state.history()] == [412, 413]
