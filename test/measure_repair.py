"""Measures the time without acceptance after a repair and a second loss.

Run with `python -m test.measure_repair`. Three control hosts over links of
5 ms and 1% loss hold a state of some megabytes; the disk of one is lost, and
then a second host. "learner" is the normal repair; "at once" gives the vote
to the empty replica without waiting until it has caught up.
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
LIMIT_S = 120
BACK_AFTER_S = 20
DELAY_MS = 5
LOSS_PERCENT = 1
AT_ONCE = {'caught_up_entries': 1_000_000_000}
EARLY_S = 3


def _noisy_edit(version):
    noise = random.Random(version).randbytes(NOISE_BYTES).hex()
    noisy = edit(version)
    noisy['overlays']['north'] = f'# {noise}\n'
    return noisy


def _accept(cluster, wanted):
    started_s = time.monotonic()
    while time.monotonic() < started_s + LIMIT_S:
        for host in cluster.running():
            with suppress(OSError):
                if cluster.submit(host, wanted)['kind'] == 'accepted':
                    return time.monotonic() - started_s
    raise AssertionError('never accepted')


def _votes_by_leader(cluster, leader, host, before):
    voters = cluster.status(leader)['members'][1]
    return any(one[1] == host and one[0] not in before for one in voters)


def measure(is_second_lost_early=False, **settings):
    """Returns seconds until the vote moved and without acceptance."""
    small_log = {'log_compact_bytes': 1_000_000, 'log_kept_entries': 1}
    with linked_cluster(**small_log, **settings) as (cluster, proxied):
        for version in range(1, VERSIONS + 1):
            _accept(cluster, _noisy_edit(version))
        cluster.wait_version(VERSIONS)
        for pair in permutations(cluster.processes, 2):
            proxied.set_condition(
                '-'.join(pair),
                delay_ms=DELAY_MS,
                loss_percent=LOSS_PERCENT,
            )
        leader = cluster.leader()
        wiped, second = (one for one in cluster.processes if one != leader)
        before = {one[0] for one in cluster.status(leader)['members'][1]}
        started_s = time.monotonic()
        cluster.wipe(wiped)
        if is_second_lost_early:
            time.sleep(EARLY_S)
        else:
            wait_until(
                lambda: _votes_by_leader(cluster, leader, wiped, before),
                'the vote moves',
                LIMIT_S,
            )
        moved_s = time.monotonic() - started_s
        cluster.processes[second].kill()
        if is_second_lost_early:
            started_s = time.monotonic()
            time.sleep(BACK_AFTER_S)
            cluster.processes[second].start()
            return moved_s, BACK_AFTER_S + _accept(cluster, edit(VERSIONS + 1))
        return moved_s, _accept(cluster, edit(VERSIONS + 1))


def main():
    """Prints the figures of some runs of each kind."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    kinds = {
        'learner': {},
        'at once': AT_ONCE,
        f'learner, second lost after {EARLY_S} s, back after '
        f'{BACK_AFTER_S} s': {'is_second_lost_early': True},
    }
    for name, options in kinds.items():
        for _ in range(runs):
            moved_s, blocked_s = measure(**options)
            print(
                f'{name}: second host lost {moved_s:.1f} s after the disk, '
                f'{blocked_s:.1f} s without acceptance',
                flush=True,
            )


if __name__ == '__main__':
    main()
