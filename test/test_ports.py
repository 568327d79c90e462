"""Allocation of free loopback ports."""

import subprocess
import sys

from test.processes import ROOT
from waxwingsaddle.util.ports import free_address

COUNT = 2000
PROGRAM = """
import sys
from waxwingsaddle.util.ports import free_address
print(*(free_address() for _ in range(2000)), flush=True)
sys.stdin.read()
"""


def test_no_address_twice():
    """Guards against one port for two programs of a deployment."""
    addresses = [free_address() for _ in range(COUNT)]
    assert len(set(addresses)) == COUNT


def test_processes_get_different_addresses():
    """Guards against one port for two measurements that run at a time."""
    command = [sys.executable, '-c', PROGRAM]
    running = [
        subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    lines = [process.stdout.readline().split() for process in running]
    for process in running:
        process.communicate()
    assert len(set(lines[0]) | set(lines[1])) == 2 * COUNT
