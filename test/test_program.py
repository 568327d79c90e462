"""Life cycle of a program."""

import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from test.bench import start_upstream
from test.processes import ROOT
from waxwingsaddle.util.ports import free_address


def test_taken_address_is_one_readable_line():
    """Guards against a traceback for an address that is in use.

    The error must be readable and name the address.
    """
    address = free_address()
    with TemporaryDirectory() as name:
        folder = Path(name)
        process = start_upstream(
            folder,
            'u1',
            service='s',
            http_address=address,
            node_http_address=free_address(),
        )
        try:
            second = subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'waxwingsaddle.ui.load',
                    'upstream',
                    '--settings',
                    str(folder / 'u1.toml'),
                ],
                check=False,
                capture_output=True,
                text=True,
                timeout=30,
                cwd=ROOT,
            )
        finally:
            process.kill()
    assert second.returncode == 2, second.stderr
    assert f'can not listen on {address}' in second.stderr
    assert 'Traceback' not in second.stderr
