"""State machine of accepted configurations."""

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
    verdict = state.decide_version(
        checked.version, checked.digest, edit.is_restore
    )
    if verdict is not None:
        return verdict
    return state.apply(state.encode_entry(edit, checked, taken_ms))


def test_versions_rise_by_one():
    """Guards against gaps and repeated numbers."""
    state = _state()
    assert isinstance(_apply(state, _edit(1)), Accepted)
    early = _apply(state, _edit(3))
    assert isinstance(early, Refused)
    assert early.expected_version == 2
    assert isinstance(_apply(state, _edit(2)), Accepted)
    assert state.version == 2
    assert state.sources == _edit(2).sources


def test_resend_gets_the_first_answer():
    """Guards against a second answer when the first one was lost."""
    state = _state()
    first = _apply(state, _edit(1, author='ann'), taken_ms=7)
    _apply(state, _edit(2))
    assert _apply(state, _edit(1, author='bob'), taken_ms=9) == first


def test_race_has_one_winner():
    """Guards against two accepted edits of one version."""
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
    """Guards against entries that carry the whole configuration."""
    state = _state()
    many = ''.join(
        f'[services.service-{number}]\ntimeout_ms = {number + 1}\n'
        for number in range(400)
    )
    _apply(state, _edit(1, north=many))
    whole = len(state.dump())
    edit = _edit(2, north=many.replace('timeout_ms = 200\n', ''))
    entry = state.encode_entry(edit, check_sources(edit.sources), 5)
    assert len(entry) < whole / 10
    state.apply(entry)
    assert state.sources == edit.sources


def test_snapshot_gives_back_everything():
    """Guards against a restored host that answers otherwise."""
    state, other = _state(), _state()
    for version in range(1, 8):
        _apply(state, _edit(version, 1000 + version))
    _apply(state, _edit(8, west=''))
    other.load(state.dump())
    assert other.history() == state.history()
    assert other.digest == state.digest
    for version in range(1, 9):
        assert other.stored_version(version) == state.stored_version(version)
    assert state.stored_version(5) is None
    assert state.stored_version(6).sources == _edit(6, 1006).sources
    assert set(other.sites) == {'west'}
    for one in (state, other):
        assert isinstance(_apply(one, _edit(9)), Accepted)
    assert other.dump() == state.dump()
    other.load(b'')
    assert other.version == 0


def test_history_is_bounded():
    """Guards against a false answer about a version that is forgotten."""
    state = _state(history_kept=2)
    for version in range(1, 5):
        _apply(state, _edit(version, 1000 + version))
    assert [known.version for known in state.history()] == [3, 4]
    assert isinstance(_apply(state, _edit(3, 1003)), Accepted)
    assert isinstance(_apply(state, _edit(2, 1002)), Refused)


_lines = st.lists(st.sampled_from(['a\n', 'b\n', 'c\r\n', 'd'])).map(''.join)


@given(_lines, _lines)
def test_splices_turn_old_text_into_new(old, new):
    """Guards against source files that are given back changed."""
    assert line_diff.apply(old, line_diff.difference(old, new)) == new


def test_restored_log_begins_at_any_version():
    """Guards against nodes that are ahead of a log restored from a backup."""
    state = _state()
    begin = structs.replace(_edit(412), is_restore=True)
    assert isinstance(_apply(state, begin), Accepted)
    assert isinstance(_apply(state, _edit(413, 1200)), Accepted)
    again = structs.replace(_edit(500), is_restore=True)
    assert isinstance(_apply(state, again), Refused)
    copy = _state()
    copy.load(state.dump())
    for one in (state, copy):
        assert one.version == 413
        assert one.stored_version(412).sources == begin.sources
        assert one.stored_version(411) is None
        assert [entry.version for entry in one.history()] == [412, 413]
