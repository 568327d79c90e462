"""Documentation pages that must agree with the code."""

import ast
import re
from functools import cache
from importlib.util import find_spec
from pathlib import Path

from waxwingsaddle import settings_page
from waxwingsaddle.ui import ctl
from waxwingsaddle.ui.ctl_base import ExitCode

ROOT = Path(__file__).parents[1]
DOCS = ROOT / 'docs'
PAGES = (*sorted(DOCS.glob('*.md')), ROOT / 'README.md')

# Folders whose modules the pages name without a path.
MODULE_FOLDERS = (
    'waxwingsaddle',
    'waxwingsaddle/ui',
    'waxwingsaddle/util',
    'platform/meshport',
    'test',
)
FILE_SUFFIXES = frozenset(('key_secret', 'md', 'toml'))
# Names of libraries and of an installation of the users.
FOREIGN_WORDS = frozenset(('get_environ', 'tdgw', 'with_setup'))

QUOTED = re.compile('`([^`\n]+)`')
WORD = re.compile(r'[a-z][a-z\d]*(?:_[a-z\d]+)*')
MEMBER = re.compile(r'([a-z]\w*)\.([a-z]\w*)')
MODULE_PATH = re.compile(r'\b(?:waxwingsaddle|test)(?:\.[a-z]\w*)+')
FILE_PATH = re.compile(r'\b(?:waxwingsaddle|platform|test)/[\w/.]*\w')
TEST = re.compile(r'\btest_\w+')
TESTS_OF_MODULE = re.compile(r'`(test_\w+)`: (`test_\w+`(?:,\s`test_\w+`)*)')


def test_settings_page_is_current():
    """Guards against a page that lacks a setting or shows an old default."""
    committed = (DOCS / 'settings.md').read_text()
    hint = 'run python -m waxwingsaddle.settings_page'
    assert committed == settings_page.page(), hint


def test_operations_page_names_existing_commands():
    """Guards against a page that names a command that does not exist."""
    text = (DOCS / 'OPERATIONS.md').read_text()
    existing = {command.name for command in ctl.application().all().values()}
    for line in re.findall('`waxwingctl ([^`]+)`', text):
        words = line.split()
        names = {words[0], ' '.join(words[:2])}
        assert names & existing, line


def test_operations_page_lists_exit_codes():
    """Guards against an exit code that the page does not explain."""
    text = (DOCS / 'OPERATIONS.md').read_text()
    documented = {int(code) for code in re.findall(r'^\| (\d+) \|', text, re.M)}
    assert documented == {int(code) for code in ExitCode}


def _metric_names():
    """Yields the name in each call such as `metrics.counter('name', ...)`."""
    for file in (DOCS.parent / 'waxwingsaddle').rglob('*.py'):
        for node in ast.walk(ast.parse(file.read_text())):
            is_metric = (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in {'counter', 'gauge', 'histogram'}
                and ast.unparse(node.func.value) == 'metrics'
            )
            if is_metric:
                yield ast.literal_eval(node.args[0])


def test_metrics_page_and_code_name_the_same():
    """Guards against a metric that the page does not list, and vice versa."""
    text = (DOCS / 'metrics.md').read_text()
    rows = re.findall(r'^\| `(\w+)` \| (.+) \| (.+) \|$', text, re.M)
    assert sorted(name for name, _, _ in rows) == sorted(_metric_names())


def test_metrics_have_prefix_and_unit():
    """Guards against metric names without the common prefix or their unit."""
    units = {'bytes': '_bytes', 'seconds': '_seconds', 'ratio': '_ratio'}
    text = (DOCS / 'metrics.md').read_text()
    for name, kind in re.findall(r'^\| `(\w+)` \| (\w+)', text, re.M):
        assert name.startswith('waxwing_'), name
        assert not name.endswith('_total'), name
        assert name.endswith(units.get(kind, '')), name


def _module_files(name):
    """Returns the files of the modules with a name, a path or a pattern."""
    files = []
    for folder in MODULE_FOLDERS:
        files.extend((ROOT / folder).glob(name))
        files.extend((ROOT / folder).glob(f'{name}.py'))
    return files


@cache
def _names_in(file):
    """Returns the names that a module defines, at any depth."""
    if file.is_dir():
        return frozenset()
    names = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, (ast.FunctionDef, ast.ClassDef)):
            names.add(node.name)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store):
            names.add(node.id)
    return frozenset(names)


@cache
def _words_of_code():
    """Returns identifiers and texts of the code, and words of its settings."""
    words = set(FOREIGN_WORDS)
    for settings in ('pyproject.toml', 'waxwingsaddle/default_settings.toml'):
        words.update(re.findall(r'\w+', (ROOT / settings).read_text()))
    fields = ('id', 'attr', 'arg', 'name', 'value')
    for folder in ('waxwingsaddle', 'platform'):
        for file in (ROOT / folder).rglob('*.py'):
            for node in ast.walk(ast.parse(file.read_text())):
                found = (getattr(node, field, None) for field in fields)
                words.update(word for word in found if isinstance(word, str))
    return frozenset(words)


def _is_defined(module, name):
    """Returns whether a module of this project has a name."""
    return any(name in _names_in(file) for file in _module_files(module))


def _is_known_word(word):
    """Returns whether a quoted word is a module, a test or a word of code."""
    return bool(
        word in _words_of_code()
        or _module_files(word)
        or _is_test(word)
        or find_spec(word)
    )


def _is_test(name):
    """Returns whether a test module or a test function has a name."""
    return bool(_module_files(name)) or _is_defined('test_*', name)


def _is_module_path(path):
    """Returns whether `package.module` or `package.module.name` exists."""
    file = ROOT / path.replace('.', '/')
    if file.is_dir() or file.with_suffix('.py').exists():
        return True
    module = file.parent.with_suffix('.py')
    return module.exists() and file.name in _names_in(module)


def _is_member(owner, name):
    """Returns whether `owner.name` is a file, a library or in a module."""
    if name in FILE_SUFFIXES or owner in {'test', 'waxwingsaddle'}:
        return True
    if _module_files(owner):
        return _is_defined(owner, name)
    return bool(find_spec(owner))


def _cells_of_modules(text):
    """Yields the cells of all table columns with the head `module`."""
    column = None
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().split('|')]
        if len(cells) < 3:
            column = None
        elif 'module' in cells:
            column = cells.index('module')
        elif column is not None:
            yield cells[column]


def _missing(text):
    """Yields the names of a page that nothing in the tree has."""
    quoted = QUOTED.findall(text)
    for cell in _cells_of_modules(text):
        yield from (
            name for name in QUOTED.findall(cell) if not _module_files(name)
        )
    for module, tests in TESTS_OF_MODULE.findall(text):
        yield from (
            f'{module}.{name}'
            for name in TEST.findall(tests)
            if not _is_defined(module, name)
        )
    for phrase in quoted:
        member = MEMBER.match(phrase)
        if member and not _is_member(*member.groups()):
            yield phrase
        if WORD.fullmatch(phrase) and not _is_known_word(phrase):
            yield phrase
    yield from (name for name in TEST.findall(text) if not _is_test(name))
    paths = MODULE_PATH.findall(text)
    yield from (path for path in paths if not _is_module_path(path))
    files = FILE_PATH.findall(text)
    yield from (file for file in files if not (ROOT / file).exists())


def test_pages_name_existing_modules_and_tests():
    """Guards against a page that names a module or a test that is gone."""
    missing = {
        page.name: sorted(set(_missing(page.read_text()))) for page in PAGES
    }
    assert not any(missing.values()), missing
