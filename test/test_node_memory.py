"""Modules imported by a node, which determine most of its memory."""

import json
import os
import subprocess
import sys

from test.processes import ROOT

# Modules that use much memory and that only other programs need.
HEAVY = (
    'argparse',
    'bz2',
    'cleo',
    'crashtest',
    'dns',
    'hdrh',
    'honcho',
    'html',
    'locale',
    'lzma',
    'mimetypes',
    'shutil',
    'ssl',
    'subprocess',
    'typing_extensions',
    'urllib3',
    '_hashlib',
    '_ssl',
)
PROGRAM = """
import json, sys
import waxwingsaddle.ui.node
print(json.dumps([name for name in sys.modules if sys.modules[name]]))
"""


def test_node_imports_little():
    """Guards against an import that raises the memory use of every node."""
    completed = subprocess.run(
        [sys.executable, '-W', 'ignore', '-c', PROGRAM],
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        check=True,
    )
    loaded = {name.partition('.')[0] for name in json.loads(completed.stdout)}
    assert not loaded & set(HEAVY), loaded & set(HEAVY)
