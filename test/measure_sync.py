"""Measures synced appends, and delays of green threads during edits.

`python -m test.measure_sync FOLDER` measures the disk that contains FOLDER.
"""

import os
import sys
import tempfile
import time
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from unittest import mock

import eventlet

from test.test_raft_driver import _running_driver, _wait_for
from waxwingsaddle.config import SourceSet
from waxwingsaddle.convergence import percentiles
from waxwingsaddle.distribution_rig import base_file
from waxwingsaddle.leader_requests import LeaderRequests
from waxwingsaddle.outcomes import Accepted, Edit
from waxwingsaddle.raft_messages import Command, Entry
from waxwingsaddle.storage import Storage
from waxwingsaddle.util.clock import MS_PER_S

APPENDS = 500
EDITS = 100
# Approximate size of the log entry of a one-line edit.
ENTRY_BYTES = 230
SERVICES = 62
BUDGET_S = 10
TICK_S = 0.002


def _measure_appends(folder):
    storage = Storage(Path(folder), 'c0')
    durations_ms = []
    for index in range(1, APPENDS + 1):
        entry = Entry(index, 1, Command(os.urandom(ENTRY_BYTES)))
        started_s = time.perf_counter()
        storage.append((entry,))
        durations_ms.append((time.perf_counter() - started_s) * MS_PER_S)
    storage.close()
    return durations_ms


def _sample_delays(delays_ms):
    while True:
        due_s = time.perf_counter() + TICK_S
        eventlet.sleep(TICK_S)
        delays_ms.append((time.perf_counter() - due_s) * MS_PER_S)


def _timed_sync(durations_ms, sync, descriptor):
    started_s = time.perf_counter()
    sync(descriptor)
    durations_ms.append((time.perf_counter() - started_s) * MS_PER_S)


@contextmanager
def _recorded_delays():
    """Yields the delays of a green thread that wakes every `TICK_S`."""
    delays_ms = []
    watcher = eventlet.spawn(_sample_delays, delays_ms)
    try:
        yield delays_ms
    finally:
        watcher.kill()


def _measure_edits(folder):
    overlays = {f'site-{number}': '' for number in range(6)}
    with _running_driver(folder) as driver:
        _wait_for(lambda: driver.raft.is_established_leader)
        leader_requests = LeaderRequests(driver)
        with _recorded_delays() as delays_ms:
            for version in range(1, EDITS + 1):
                sources = SourceSet(
                    base=base_file(version, SERVICES),
                    overlays=overlays,
                )
                edit = Edit(sources=sources, author='ann')
                assert isinstance(
                    leader_requests.decide_edit(edit, BUDGET_S), Accepted
                )
        return delays_ms


def _print_percentiles(name, durations_ms):
    figures = percentiles(name, sorted(durations_ms))
    text = ', '.join(f'{key} {figure:.2f}' for key, figure in figures.items())
    print(f'{len(durations_ms)} {text}, sum_ms {sum(durations_ms):.0f}')


def _in_folder(parent, measure):
    with tempfile.TemporaryDirectory(dir=parent) as folder:
        return measure(folder)


def _measure(parent):
    _print_percentiles('append', _in_folder(parent, _measure_appends))
    syncs_ms = []
    timed = partial(_timed_sync, syncs_ms, os.fsync)
    with mock.patch('os.fsync', timed):
        _print_percentiles('delay', _in_folder(parent, _measure_edits))
    _print_percentiles('sync_during_edits', syncs_ms)
    with mock.patch('os.fsync'):
        _print_percentiles(
            'append_unsynced', _in_folder(parent, _measure_appends)
        )
        _print_percentiles('delay_unsynced', _in_folder(parent, _measure_edits))


if __name__ == '__main__':
    _measure(sys.argv[1])
