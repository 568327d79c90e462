"""Memory and imports of the node side of distribution."""

import json
import os
import subprocess
import sys

from test.processes import ROOT

# Modules that cost memory and belong to other programs.
HEAVY = ('cleo', 'crashtest', 'dns', 'hdrh', 'honcho', 'urllib3')
PROGRAM = """
import json, sys
import waxwingsaddle.ui
import waxwingsaddle.subscription
print(json.dumps(sorted(sys.modules)))
"""


def test_subscription_imports_little():
    """Guards against an import that takes up the memory of every node."""
    ran = subprocess.run(
        [sys.executable, '-W', 'ignore', '-c', PROGRAM],
        env={**os.environ, 'PYTHONPATH': str(ROOT)},
        capture_output=True,
        check=True,
    )
    loaded = {name.partition('.')[0] for name in json.loads(ran.stdout)}
    assert not loaded & set(HEAVY), loaded & set(HEAVY)
