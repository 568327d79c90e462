"""Configurations submitted as documents with operators' numbers."""

from hypothesis import given
from hypothesis import strategies as st

from waxwingsaddle.config import CheckedSources, SourceSet, check_sources
from waxwingsaddle.documents import (
    DOCUMENT_SITE,
    Document,
    DocumentError,
    is_document,
    parse_document,
    render_document,
)
from waxwingsaddle.edits import EditState
from waxwingsaddle.outcomes import Accepted, Conflict, Edit, Refused

LIMITS = {'head_bytes': 16_384, 'idle_timeout_ms': 15_000}


def _tree(timeout_ms=800, **route):
    return {
        'services': {'gallery': {}, 'orders': {}},
        'routes': {
            'browse': {
                'host': 'shop.example',
                'path_prefix': '/designs/',
                'service': 'gallery',
                'timeout_ms': timeout_ms,
                **route,
            },
        },
        'limits': LIMITS,
    }


def _edit(number, base_number, tree=None):
    document = Document(number, base_number, tree or _tree())
    text = render_document(document)
    return Edit(sources=SourceSet(base=text, overlays={}), author='ops')


def _submit(state, edit):
    checked = check_sources(edit.sources)
    assert isinstance(checked, CheckedSources), checked
    outcome = state.decide_document(checked)
    if outcome is not None:
        return outcome
    return state.apply(state.encode_entry(edit, checked, 5))


def _state():
    return EditState(versions_kept=3, history_kept=10)


def test_text_gives_back_the_document():
    """Guards against a parsed document that differs from the accepted one."""
    document = Document(12, 7, _tree())
    text = render_document(document)
    assert is_document(text)
    assert parse_document(text) == document


@given(st.text(max_size=40))
def test_any_text_is_parsed_or_refused(text):
    """Guards against a document that crashes a control host."""
    try:
        parse_document(f'{{"document":{text}')
    except DocumentError as error:
        assert str(error)


def test_numbers_rise_in_uneven_steps():
    """Guards against requiring document numbers without gaps."""
    state = _state()
    assert isinstance(_submit(state, _edit(4, 0)), Accepted)
    later = _submit(state, _edit(9, 4, _tree(700)))
    assert isinstance(later, Accepted)
    assert (state.version, state.number) == (2, 9)
    assert state.sites[DOCUMENT_SITE]['routes']['browse']['timeout_ms'] == 700


def test_one_of_two_edits_of_the_same_document_wins():
    """Guards against an edit that silently overwrites a concurrent one."""
    state = _state()
    _submit(state, _edit(4, 0))
    assert isinstance(_submit(state, _edit(5, 4, _tree(700))), Accepted)
    for number in (5, 6):
        loser = _submit(state, _edit(number, 4, _tree(600)))
        assert isinstance(loser, Conflict)
        assert loser.current_version == 5


def test_equal_content_under_two_numbers_is_two_edits():
    """Guards against reporting the loser of a race as accepted.

    Both edits were checked against the same state, so only the order of the
    log entries decides between them.
    """
    state = _state()
    _submit(state, _edit(4, 0))
    entries = [
        state.encode_entry(edit, check_sources(edit.sources), 5)
        for edit in (_edit(5, 4, _tree(700)), _edit(6, 4, _tree(700)))
    ]
    assert isinstance(state.apply(entries[0]), Accepted)
    assert isinstance(state.apply(entries[1]), Conflict)


def test_resend_is_accepted_again_after_later_edits():
    """Guards against refusing a resend of an accepted edit."""
    state = _state()
    first = _submit(state, _edit(4, 0))
    _submit(state, _edit(6, 4, _tree(700)))
    assert _submit(state, _edit(4, 0)) == first


def test_number_must_rise():
    """Guards against a document whose number does not exceed the newest."""
    state = _state()
    _submit(state, _edit(4, 0))
    for number in (3, 4):
        refused = _submit(state, _edit(number, 4, _tree(700)))
        assert isinstance(refused, Refused)


def test_numbers_survive_a_snapshot():
    """Guards against refusing resends after a restart."""
    state, restored = _state(), _state()
    first = _submit(state, _edit(4, 0))
    _submit(state, _edit(6, 4, _tree(700)))
    restored.load(state.dump())
    assert restored.number == 6
    assert _submit(restored, _edit(4, 0)) == first
    assert isinstance(_submit(restored, _edit(7, 4)), Conflict)


def test_references_are_checked():
    """Guards against invalid routes and routes to unknown services."""
    for route in (
        {'service': 'gone'},
        {'split': [{'service': 'gone', 'weight': 1}]},
        {'split': [{'service': 'gallery', 'weight': 0}]},
        {'path_prefix': 'designs/'},
        {'timeout_ms': -1},
    ):
        text = render_document(Document(1, 0, _tree(**route)))
        checked = check_sources(SourceSet(base=text, overlays={}))
        assert not isinstance(checked, CheckedSources), route


def test_two_routes_with_equal_match_are_refused():
    """Guards against two routes that match the same calls."""
    tree = _tree()
    tree['routes']['again'] = dict(tree['routes']['browse'])
    text = render_document(Document(1, 0, tree))
    checked = check_sources(SourceSet(base=text, overlays={}))
    assert 'both take' in checked.problems[0]
    tree['routes']['again']['host'] = 'other.example'
    text = render_document(Document(1, 0, tree))
    checked = check_sources(SourceSet(base=text, overlays={}))
    assert isinstance(checked, CheckedSources)
