"""Measures propagation time, traffic, processor time and memory.

For each number of nodes, starts a stand-in control host and stand-in nodes as
separate processes, and prints a line of figures of the distribution.
"""

import statistics
import time

from waxwingsaddle.distribution_rig import (
    Plan,
    Rig,
    base_file,
    post_json,
    run_rig,
    wait_for,
)
from waxwingsaddle.util.clock import MS_PER_S

# TCP (with timestamps) and IP headers of a segment and of its acknowledgement.
HEADER_BYTES = 104
# For each edit a push and its acknowledgement; for the lease a renewal and its
# answer every 2 s.
MESSAGES_PER_EDIT = 2
MESSAGES_PER_S = 1
MEGABYTE = 1_000_000
# Measurements start after this time, when the control host has settled and has
# sent the directory again.
SETTLE_S = 14


def measure(plan: Plan, nodes: int) -> dict[str, float]:
    """Measures the distribution to one number of nodes.

    Returns:
        Figures by name, with the unit in the name. Bytes are counted in both
        directions, with framing and an estimate of the headers.
    """
    with run_rig(plan, nodes) as rig:
        time.sleep(SETTLE_S)
        before = rig.usage()
        time.sleep(plan.idle_s)
        idle = rig.usage().since(before)
        before = rig.usage()
        propagations_ms = [
            propagation_ms(rig, plan, nodes) for _ in range(plan.edits)
        ]
        edits = rig.usage().since(before)
        rss_bytes = rig.usage().rss_bytes
        node_rss_bytes = post_json(rig.fleets[0], '/v1/usage')
        file_bytes = len(base_file(rig.version, plan.services))
    idle_ratio = edits.at_s / idle.at_s
    edit_bytes = edits.link_bytes - idle.link_bytes * idle_ratio
    edit_cpu_s = edits.cpu_s - idle.cpu_s * idle_ratio
    node_edits = nodes * plan.edits
    return {
        'nodes': nodes,
        'p50_ms': statistics.median(propagations_ms),
        'max_ms': max(propagations_ms),
        'edit_bytes': edit_bytes / node_edits
        + MESSAGES_PER_EDIT * HEADER_BYTES,
        'edit_cpu_ms': edit_cpu_s * MS_PER_S / node_edits,
        'idle_bytes_per_s': idle.link_bytes / idle.at_s / nodes
        + MESSAGES_PER_S * HEADER_BYTES,
        'idle_cpu_ms_per_s': idle.cpu_s * MS_PER_S / idle.at_s / nodes,
        'control_rss_mb': rss_bytes / MEGABYTE,
        'node_rss_mb': node_rss_bytes / MEGABYTE,
        'file_bytes': file_bytes,
    }


def propagation_ms(rig: Rig, plan: Plan, nodes: int) -> float:
    """Makes an edit and returns the time until all nodes have it in force."""
    accepted_s = rig.accept(plan)
    wait_for(lambda: len(rig.in_force_times_s()) == nodes)
    return (max(rig.in_force_times_s()) - accepted_s) * MS_PER_S


def report(plan: Plan) -> None:
    """Measures all numbers of nodes and prints a line for each."""
    for number, nodes in enumerate(plan.sizes):
        row = measure(plan, nodes)
        if number == 0:
            print(' '.join(f'{name:>17}' for name in row), flush=True)
        print(' '.join(f'{part:17.2f}' for part in row.values()), flush=True)
