"""Measures how long edits fail after a lost disk and a second lost host.

Run with `python -m test.measure_repair`. Three control hosts are connected by
links with 5 ms of delay and 1% loss and have several megabytes of state. One
host loses its disk, then a second host is killed. In "learner", the normal
repair, the new replica catches up before it gets the vote; in "at once", it
gets the vote while it is still empty.
"""

import random
import sys
import time
from contextlib import suppress
from itertools import permutations

from test.clusters import edit, linked_cluster
from test.processes import wait_until

VERSIONS = 12
NOISE_BYTES = 400_000
TIMEOUT_S = 120
OUTAGE_S = 20
DELAY_MS = 5
LOSS_PERCENT = 1
AT_ONCE = {'caught_up_entries': 1_000_000_000}
EARLY_S = 3


def _noisy_edit(version):
    noise = random.Random(version).randbytes(NOISE_BYTES).hex()
    noisy = edit(version)
    noisy['overlays']['north'] = f'# {noise}\n'
    return noisy


def _accept(cluster, submitted_edit):
    started_s = time.monotonic()
    while time.monotonic() < started_s + TIMEOUT_S:
        for host in cluster.running():
            with suppress(OSError):
                if cluster.submit(host, submitted_edit)['kind'] == 'accepted':
                    return time.monotonic() - started_s
    raise AssertionError('never accepted')


def _votes_by_leader(cluster, leader, host, old_voters):
    voters = cluster.status(leader)['members'][1]
    return any(
        voter[1] == host and voter[0] not in old_voters for voter in voters
    )


def measure(is_second_lost_early=False, **settings):
    """Runs one repair.

    Returns:
        Seconds until the new replica has the vote, and seconds until an edit
        is accepted after the second host is lost.
    """
    small_log = {'log_compact_bytes': 1_000_000, 'log_kept_entries': 1}
    with linked_cluster(**small_log, **settings) as (cluster, links):
        for version in range(1, VERSIONS + 1):
            _accept(cluster, _noisy_edit(version))
        cluster.wait_version(VERSIONS)
        for pair in permutations(cluster.processes, 2):
            links.set_condition(
                '-'.join(pair),
                delay_ms=DELAY_MS,
                loss_percent=LOSS_PERCENT,
            )
        leader = cluster.leader()
        wiped, second = (host for host in cluster.processes if host != leader)
        old_voters = {
            voter[0] for voter in cluster.status(leader)['members'][1]
        }
        started_s = time.monotonic()
        cluster.wipe(wiped)
        if is_second_lost_early:
            time.sleep(EARLY_S)
        else:
            wait_until(
                lambda: _votes_by_leader(cluster, leader, wiped, old_voters),
                'the vote moves',
                TIMEOUT_S,
            )
        repair_s = time.monotonic() - started_s
        cluster.processes[second].kill()
        if is_second_lost_early:
            started_s = time.monotonic()
            time.sleep(OUTAGE_S)
            cluster.processes[second].start()
            return repair_s, OUTAGE_S + _accept(cluster, edit(VERSIONS + 1))
        return repair_s, _accept(cluster, edit(VERSIONS + 1))


def main():
    """Prints the durations of several runs of each kind."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    kinds = {
        'learner': {},
        'at once': AT_ONCE,
        f'learner, second lost after {EARLY_S} s, back after {OUTAGE_S} s': {
            'is_second_lost_early': True
        },
    }
    for name, options in kinds.items():
        for _ in range(runs):
            repair_s, unavailable_s = measure(**options)
            print(
                f'{name}: second host lost {repair_s:.1f} s after the disk, '
                f'{unavailable_s:.1f} s without acceptance',
                flush=True,
            )


if __name__ == '__main__':
    main()
