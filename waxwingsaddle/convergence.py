"""Measures convergence over links with delay and loss.

Edits are made one after another, through each control host in turn. All
connections between control hosts, and between nodes and control hosts, have
delay and loss.
"""

import math
import os
import time
from dataclasses import dataclass

from waxwingsaddle.convergence_links import ZONES, Links, Plan
from waxwingsaddle.convergence_rig import run_deployment

QUANTILES = {'p50': 0.5, 'p99': 0.99, 'max': 1.0}


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes so far in both directions, without TCP and IP headers.

    Attributes:
        peer_bytes: Bytes between control hosts.
        node_bytes: Bytes between nodes and control hosts.
        at_s: Monotonic time of the reading.
    """

    peer_bytes: float
    node_bytes: float
    at_s: float

    def since(self, earlier: 'Traffic') -> 'Traffic':
        """Returns the traffic since an earlier reading."""
        return Traffic(
            self.peer_bytes - earlier.peer_bytes,
            self.node_bytes - earlier.node_bytes,
            self.at_s - earlier.at_s,
        )

    def above_idle(self, idle: 'Traffic') -> 'Traffic':
        """Returns the traffic above the idle traffic of the same duration."""
        quantile = self.at_s / idle.at_s
        return Traffic(
            self.peer_bytes - idle.peer_bytes * quantile,
            self.node_bytes - idle.node_bytes * quantile,
            self.at_s,
        )


def measure(
    plan: Plan,
    nodes: int,
    is_full_only: bool = False,
) -> dict[str, float]:
    """Measures one number of nodes.

    Args:
        plan: Parameters of the measurement.
        nodes: Number of nodes.
        is_full_only: Whether full configurations are sent instead of deltas.

    Returns:
        Figures by name, with the unit in the name. The bytes of an edit are
        those above the idle traffic, which has figures of its own.
    """
    with run_deployment(plan, nodes, is_full_only) as deployment:
        time.sleep(plan.settle_s)
        before = _traffic(deployment.links)
        time.sleep(plan.idle_s)
        idle = _traffic(deployment.links).since(before)
        before = _traffic(deployment.links)
        edit_times = [
            deployment.measure_edit(
                deployment.controls[number % len(ZONES)], nodes
            )
            for number in range(plan.edits)
        ]
        total = _traffic(deployment.links).since(before)
        links = len(deployment.links.peer_addresses)
    edits = total.above_idle(idle)
    from_submit = sorted(times.from_submit_ms for times in edit_times)
    from_answer = sorted(times.from_answer_ms for times in edit_times)
    return {
        'nodes': nodes,
        **percentiles('submit', from_submit),
        **percentiles('answer', from_answer),
        'edit_bytes_per_node': edits.node_bytes / plan.edits / nodes,
        'edit_bytes_per_link': edits.peer_bytes / plan.edits / links,
        'idle_node_bytes_per_s': idle.node_bytes / idle.at_s / nodes,
        'idle_link_bytes_per_s': idle.peer_bytes / idle.at_s / links,
        'load_average': os.getloadavg()[0],
    }


def compare(plan: Plan, nodes: int) -> dict[str, tuple[float, float]]:
    """Measures with deltas, then with full configurations.

    Returns:
        Pairs of figures by name: with deltas, with full configurations.
    """
    delta_figures = measure(plan, nodes)
    full_figures = measure(plan, nodes, is_full_only=True)
    return {
        name: (delta_figures[name], full_figures[name])
        for name in delta_figures
    }


def percentiles(name: str, ordered: list[float]) -> dict[str, float]:
    """Returns percentiles of ascending times by the nearest-rank method.

    Args:
        name: Prefix of the names of the figures.
        ordered: Times in milliseconds, in ascending order.
    """
    return {
        f'{name}_{label}_ms': ordered[math.ceil(quantile * len(ordered)) - 1]
        for label, quantile in QUANTILES.items()
    }


def _traffic(links: Links) -> Traffic:
    return Traffic(
        links.peer_bytes(),
        links.node_bytes(),
        time.monotonic(),
    )
