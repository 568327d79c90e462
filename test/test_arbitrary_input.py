"""Arbitrary input from files and the network: clear errors, no crashes."""

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
_thorough = hypothesis_settings(deadline=None, max_examples=150)


def _mutations(text):
    """Generates texts that differ from a valid one in one position."""
    positions = st.integers(0, len(text))
    inserts = st.text(max_size=6) | st.sampled_from(
        ('[[', '"', '=', '\x00', '[routes]', 'a.b.c = 1\n', '1e999', '{'),
    )
    return st.builds(
        lambda start, length, insert: ''.join(
            (text[:start], insert, text[start + length :]),
        ),
        positions,
        st.integers(0, 30),
        inserts,
    )


_values = st.recursive(
    st.integers() | st.floats() | st.booleans() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=5,
)


@_thorough
@given(st.text(max_size=60) | _mutations(BASE), st.text(max_size=30))
def test_any_files_are_checked(base, overlay):
    """Guards against files that crash the check of an edit.

    An accepted edit must keep its digest under the next version number; the
    problems of a refused one must be single lines of text.
    """
    edit = config.SourceSet(base=base, overlays={'north': overlay})
    checked = config.check_sources(edit)
    if isinstance(checked, config.CheckedSources):
        renumbered = with_version(edit, checked.version + 1)
        if isinstance(renumbered, config.SourceSet):
            rechecked = config.check_sources(renumbered)
            assert rechecked.digest == checked.digest
            assert rechecked.version == checked.version + 1
        return
    assert all(problem.strip() for problem in checked.problems)
    assert all('\n' not in problem for problem in checked.problems)


@_thorough
@given(st.dictionaries(st.sampled_from(('services', 'routes', 'x')), _values))
def test_any_tree_is_checked(tree):
    """Guards against configurations from the network that crash a node."""
    actual = config.snapshot('north', 1, tree)
    assert isinstance(actual, config.SiteSnapshot | config.Refused)


@_thorough
@given(st.binary(max_size=80), st.binary(max_size=80))
def test_any_bytes_on_disk_are_read(base, overlay):
    """Guards against file contents that crash the reading of sources."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        (folder / 'base.toml').write_bytes(base)
        (folder / 'north.toml').write_bytes(overlay)
        actual = read_sources(folder / 'base.toml', folder)
        assert isinstance(actual, config.SourceSet | config.Refused)


def test_odd_values_in_files_are_refused():
    """Guards against a nested value or a long number that ends a program.

    Such a number can not even be part of an error text.
    """
    deep = ''.join(('[' * 3000, ']' * 3000))
    for odd in (
        deep,
        '1' * 5000,
        f'0x{"f" * 5000}',
        str(10**30),
        str(-(2**63)),
    ):
        sources = config.SourceSet(
            base=BASE.replace('timeout_ms = 1500', f'timeout_ms = {odd}'),
            overlays={'north': ''},
        )
        assert sources.base != BASE
        versions = config.SourceSet(
            base=BASE.replace('version = 1', f'version = {odd}'),
            overlays={'north': ''},
        )
        overlay = config.SourceSet(base=BASE, overlays={'north': f'x = {odd}'})
        numbered = f'{{"document":1,"number":{odd},"base_number":0}}\n'
        document = config.SourceSet(base=numbered, overlays={})
        for refused in (sources, versions, overlay, document):
            actual = config.check_sources(refused)
            assert isinstance(actual, config.Refused), odd
        with TemporaryDirectory() as name:
            file = Path(name) / 'settings.toml'
            file.write_text(f'[node]\nlease_renew_ms = {odd}', 'utf-8')
            actual = settings.load(file, 'node', MODELS['node'])
            assert isinstance(actual, settings.SettingsError), odd
            assert str(actual).startswith(str(file))


def test_folder_and_dangling_link_as_files():
    """Guards against a folder or a dangling link that crashes the reading."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        (folder / 'base.toml').mkdir()
        (folder / 'north.toml').symlink_to(folder / 'gone')
        actual = read_sources(folder / 'base.toml', folder)
        assert len(actual.problems) >= 2, actual
        actual = read_sources(folder / 'x', folder / 'y')
        assert len(actual.problems) == 2, actual


def test_errors_escape_line_breaks_in_keys():
    """Guards against an error text that a key splits into two lines."""
    controls = [{'\n': 0}]
    actual = settings.check('f', 'node', {'controls': controls}, MODELS['node'])
    edit = config.SourceSet(
        base=''.join((BASE, r'["services"."a\nb"]')),
        overlays={'north': r'remove = ["services.a\nc"]'},
    )
    unread = config.check_sources(edit)
    unnamed = config.check_sources(
        config.SourceSet(base=edit.base, overlays={'north': ''}),
    )
    for text in (str(actual), *unread.problems, *unnamed.problems):
        assert '\n' not in text


@_thorough
@given(
    st.sampled_from(sorted(MODELS)),
    st.dictionaries(
        st.sampled_from(
            ('host', 'hosts', 'controls', 'events_kept', 'tokens', 'colour'),
        ),
        _values,
    ),
)
def test_any_settings_are_checked(table, raw_table):
    """Guards against settings that crash a program at startup."""
    actual = settings.check('f.toml', table, raw_table, MODELS[table])
    assert isinstance(actual, settings.SettingsError | msgspec.Struct)
    if isinstance(actual, settings.SettingsError):
        assert '\n' not in str(actual)
        assert str(actual).startswith('f.toml: ')


@_thorough
@given(st.binary(max_size=60))
def test_any_settings_file_is_read(raw):
    """Guards against settings files that crash a program."""
    with TemporaryDirectory() as name:
        file = Path(name) / 'settings.toml'
        file.write_bytes(raw)
        actual = settings.load(file, 'ctl', MODELS['ctl'])
        assert str(actual).startswith(str(file))
