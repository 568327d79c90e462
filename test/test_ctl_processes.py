"""Compares a session of `waxwingctl` with real processes to a golden file.

`python -m test.test_ctl_processes` rewrites the golden file.
"""

import os
import re
import subprocess
import sys
from pathlib import Path

from test.fake_control import BASE, SourceSet, write_files
from test.meshes import mesh
from test.processes import ROOT, get_json

GOLDEN = Path(__file__).parent / 'golden' / 'ctl_session.txt'
COMMANDS = (
    'history',
    'check',
    'apply --wait',
    'apply',
    'status',
    'diff 1 2',
    'apply --content-of 1 --wait',
    'history --limit 2',
    'diff 1 3',
    'members',
    'upstreams --service plans',
    'backup FOLDER/backup.json',
    'restore FOLDER/backup.json',
    'history --limit many',
    'status --settings FOLDER/none.toml',
)
# Patterns of output that differs between runs, and their replacements.
MASKS = (
    (r'127\.0\.0\.1:\d+', 'ADDRESS'),
    (r'\d{4}-\d\d-\d\d \d\d:\d\d:\d\d', 'TIME'),
    (r'\b[0-9a-f]{12}\b', 'DIGEST'),
    (r'(z\d-control|c\d|control-\w+)\.[0-9a-f]+', r'\1.IDENTITY'),
    (r'answer of \S+', 'answer of HOST'),
    (r' \(leader\)', ''),
    # Progress lines before the last one depend on timing.
    (r'version \d+ in force on \d of \d nodes; lagging.*\n', ''),
)


def _session():
    """Returns the commands, outputs and exit codes of a session."""
    with mesh(zones=1, upstreams={'orders': 1}) as running:
        overlays = {path.stem: '' for path in _overlays(running.folder)}
        base = BASE.replace('version = 1', 'version = 2')
        write_files(running.folder, SourceSet(base=base, overlays=overlays))
        parts = [_run(running.folder, command) for command in COMMANDS]
        node = running.deployment.http_addresses('node')[0]
        # A node serves its timeline on this path and does not route it.
        assert 'events' in get_json(node, '/v1/events?since=0')
    text = ''.join(parts)
    for pattern, mask in MASKS:
        text = re.sub(pattern, mask, text)
    return text


def _overlays(folder):
    return (folder / 'overlays').glob('*.toml')


def _run(folder, command):
    settings = [] if '--settings' in command else ['--settings', 'ctl.toml']
    arguments = command.replace('FOLDER', str(folder)).split()
    completed = subprocess.run(
        [sys.executable, '-m', 'waxwingsaddle.ui.ctl', *arguments, *settings],
        capture_output=True,
        check=False,
        cwd=folder,
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        text=True,
        timeout=60,
    )
    output = f'{completed.stdout}{completed.stderr}'.replace(
        str(folder), 'FOLDER'
    )
    return f'$ waxwingctl {command}\n{output}exit {completed.returncode}\n'


def test_session_is_as_recorded():
    """Guards against unintended changes of output and exit codes."""
    assert _session() == GOLDEN.read_text()


if __name__ == '__main__':
    GOLDEN.parent.mkdir(exist_ok=True)
    GOLDEN.write_text(_session())
