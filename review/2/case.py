"""A configuration adds a route below another one."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parents[1]))

from standins.caller import call
from standins.deployment import (
    Deployment,
    Operator,
    Record,
    limits,
    route,
    run_case,
    service,
)
from standins.upstream import Upstream

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ('tunis-a', 'tunis-b', 'ariana-c')
HOST = 'shop.example'
# Begins with `/shop/` and not with `/shop/orders/`.
PATH = '/shop/orders'
# `configPropagation` and a second.
PROPAGATION_S = 3
ROUNDS = 10


def resources(has_added_route: bool) -> list:
    """Returns the configuration, with or without the added route."""
    added = [route('r-list', HOST, '/shop/orders/', 'safe', 'svc-lists')]
    return [
        route('r-shop', HOST, '/shop/', 'unsafe', 'svc-shop'),
        # The second route keeps `svc-lists` in use in both versions.
        route('r-lists', HOST, '/lists/', 'safe', 'svc-lists'),
        *(added if has_added_route else ()),
        service('svc-shop'),
        service('svc-lists'),
        limits(),
    ]


def main() -> int:
    """Runs the case and returns its exit status."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(__file__).with_name('record.txt'))
    deployment = Deployment(record, ZONES)
    cores = [f'core-{zone}' for zone in ZONES]
    for name, zone in zip(cores, ZONES, strict=True):
        deployment.add(name, 'control', zone)
    sides = {}
    for number, zone in enumerate(ZONES):
        name = f'sidecar-{zone}'
        sides[name] = 'svc-lists' if number else 'svc-shop'
        deployment.add(name, 'node', zone, sides[name])
    deployment.seeds = cores
    deployment.choose_ports()
    try:
        return run(deployment, cores, sides, record, has_trouble)
    finally:
        deployment.close()


def run(deployment, cores, sides, record, has_trouble: bool) -> int:
    """Runs the steps of the case."""
    for name in (*cores, *sides):
        deployment.start(name)
    upstreams = [Upstream(deployment, name, sides[name]) for name in sides]
    operator = Operator(deployment, cores)
    if operator.put(1, 0, resources(False), 30) is None:
        return NOT_RUN
    if not deployment.wait_ready(sides):
        return NOT_RUN
    time.sleep(PROPAGATION_S)
    send_round(deployment, sides)
    if not any(upstream.runs for upstream in upstreams):
        return NOT_RUN
    if operator.put(2, 1, resources(has_trouble), 10) is None:
        return NOT_RUN
    time.sleep(PROPAGATION_S)
    for _ in range(ROUNDS):
        send_round(deployment, sides)
    wrong = [
        run
        for upstream in upstreams
        if upstream.service != 'svc-shop'
        for run in upstream.runs
        if run[2] == PATH
    ]
    right = sum(
        len(upstream.runs)
        for upstream in upstreams
        if upstream.service == 'svc-shop'
    )
    record(f'{PATH}: run {right} times by svc-shop, {len(wrong)} by svc-lists')
    record('RULE BROKEN: ROUTE' if wrong else 'RULE HELD')
    return BROKEN if wrong else HELD


def send_round(deployment, sides) -> None:
    """Sends an unsafe request to each node."""
    for name in sides:
        call(deployment, name, 'POST', HOST, PATH, b'order')


if __name__ == '__main__':
    sys.exit(run_case(main))
