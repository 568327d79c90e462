"""Documentation pages that must agree with the code."""

import ast
import re
from pathlib import Path

from waxwingsaddle import settings_page
from waxwingsaddle.ui import ctl
from waxwingsaddle.ui.ctl_base import ExitCode

DOCS = Path(__file__).parents[1] / 'docs'


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
