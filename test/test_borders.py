"""Any input at the borders: a clear error, no crash, nothing changed."""

from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from test import fake_control
from waxwingsaddle import config, settings
from waxwingsaddle.settings_page import MODELS
from waxwingsaddle.sources import read_sources, with_version

BASE = fake_control.BASE
_patient = hypothesis_settings(deadline=None, max_examples=150)


def _cut_and_spliced(text):
    """Returns texts that differ from a good one in one place."""
    places = st.integers(0, len(text))
    inserts = st.text(max_size=6) | st.sampled_from(
        ('[[', '"', '=', '\x00', '[routes]', 'a.b.c = 1\n', '1e999', '{'),
    )
    return st.builds(
        lambda start, length, insert: ''.join(
            (text[:start], insert, text[start + length :]),
        ),
        places,
        st.integers(0, 30),
        inserts,
    )


_values = st.recursive(
    st.integers() | st.floats() | st.booleans() | st.text(max_size=5),
    lambda below: (
        st.lists(below, max_size=3)
        | st.dictionaries(st.text(max_size=5), below, max_size=3)
    ),
    max_leaves=5,
)


@_patient
@given(st.text(max_size=60) | _cut_and_spliced(BASE), st.text(max_size=30))
def test_any_files_are_checked(base, overlay):
    """Guards against files that crash the check of an edit."""
    edit = config.SourceSet(base=base, overlays={'north': overlay})
    checked = config.check_sources(edit)
    if isinstance(checked, config.CheckedSources):
        renumbered = with_version(edit, checked.version + 1)
        if isinstance(renumbered, config.SourceSet):
            again = config.check_sources(renumbered)
            assert again.digest == checked.digest
            assert again.version == checked.version + 1
        return
    assert all(problem.strip() for problem in checked.problems)
    assert all('\n' not in problem for problem in checked.problems)


@_patient
@given(st.dictionaries(st.sampled_from(('services', 'routes', 'x')), _values))
def test_any_tree_is_checked(tree):
    """Guards against a tree from the network that crashes a node."""
    got = config.snapshot('north', 1, tree)
    assert isinstance(got, config.SiteSnapshot | config.Refused)


@_patient
@given(st.binary(max_size=80), st.binary(max_size=80))
def test_any_bytes_on_the_disk_are_read(base, overlay):
    """Guards against a file that crashes the source."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        (folder / 'base.toml').write_bytes(base)
        (folder / 'north.toml').write_bytes(overlay)
        got = read_sources(folder / 'base.toml', folder)
        assert isinstance(got, config.SourceSet | config.Refused)


def test_files_that_are_no_files():
    """Guards against a folder or a dangling link that crashes the source."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        (folder / 'base.toml').mkdir()
        (folder / 'north.toml').symlink_to(folder / 'gone')
        got = read_sources(folder / 'base.toml', folder)
        assert len(got.problems) >= 2, got
        got = read_sources(folder / 'x', folder / 'y')
        assert len(got.problems) == 2, got


def test_key_with_a_line_break():
    """Guards against an error that a key breaks into two lines."""
    controls = [{'\n': 0}]
    got = settings.check('f', 'node', {'controls': controls}, MODELS['node'])
    edit = config.SourceSet(
        base=''.join((BASE, r'["services"."a\nb"]')),
        overlays={'north': r'remove = ["services.a\nc"]'},
    )
    unread = config.check_sources(edit)
    unnamed = config.check_sources(
        config.SourceSet(base=edit.base, overlays={'north': ''}),
    )
    for text in (str(got), *unread.problems, *unnamed.problems):
        assert '\n' not in text


@_patient
@given(
    st.sampled_from(sorted(MODELS)),
    st.dictionaries(
        st.sampled_from(
            ('host', 'hosts', 'controls', 'events_kept', 'tokens', 'colour'),
        ),
        _values,
    ),
)
def test_any_settings_are_checked(table, given_table):
    """Guards against settings that crash a program at its start."""
    got = settings.check('f.toml', table, given_table, MODELS[table])
    assert isinstance(got, settings.SettingsError | msgspec.Struct)
    if isinstance(got, settings.SettingsError):
        assert '\n' not in str(got)
        assert str(got).startswith('f.toml: ')


@_patient
@given(st.binary(max_size=60))
def test_any_settings_file_is_read(raw):
    """Guards against a settings file that crashes a program."""
    with TemporaryDirectory() as name:
        file = Path(name) / 'settings.toml'
        file.write_bytes(raw)
        got = settings.load(file, 'ctl', MODELS['ctl'])
        assert str(got).startswith(str(file))
