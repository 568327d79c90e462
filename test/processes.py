"""Processes for integration tests: start, wait, suspend and kill."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.request import urlopen

ROOT = Path(__file__).parents[1]
WAIT_S = 20
POLL_S = 0.05


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s=WAIT_S
) -> Any:
    """Polls a condition until it is true and returns its value.

    An OSError or ValueError in the condition counts as false.

    Raises:
        AssertionError: The condition was not true in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        with suppress(OSError, ValueError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_S)
    raise AssertionError(f'not within {timeout_s} s: {what}')


def get_json(address: str, path: str) -> Any:
    """Fetches a JSON document from a server."""
    with urlopen(f'http://{address}{path}', timeout=5) as response:
        return json.load(response)


def is_ready(address: str) -> bool:
    """Returns whether a program reports that it is ready."""
    return bool(get_json(address, '/readyz')['ready'])


@dataclass
class Process:
    """Process of a program under test."""

    program: str
    settings_file: Path
    log_file: Path
    arguments: tuple[str, ...] = ()
    popen: subprocess.Popen | None = None

    def start(self) -> 'Process':
        """Starts the program with its settings file."""
        command = [
            sys.executable,
            '-m',
            f'waxwingsaddle.ui.{self.program}',
            *self.arguments,
            '--settings',
            str(self.settings_file),
        ]
        environment = {
            **os.environ,
            'PYTHONPATH': str(ROOT),
            'EVENTLET_NO_GREENDNS': 'yes',
        }
        with self.log_file.open('ab') as log:
            self.popen = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env=environment,
            )
        return self

    def signal(self, number: int) -> None:
        """Sends a signal, such as SIGSTOP or SIGCONT."""
        if self.popen and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits until it has ended."""
        self.signal(signal.SIGKILL)
        if self.popen:
            self.popen.wait(WAIT_S)

    def terminate(self, timeout_s: float = WAIT_S) -> int:
        """Stops the process with SIGTERM and returns its exit status."""
        self.signal(signal.SIGTERM)
        return self.popen.wait(timeout_s)

    def log_text(self) -> str:
        """Returns the log of the program."""
        return self.log_file.read_text(encoding='utf-8', errors='replace')
