"""A small deployment: three control machines and three nodes with backends."""

import os
import signal
import sys
import time
import traceback
from pathlib import Path

from standins2.backend import Backend
from standins2.client import wait_ready
from standins2.machines import Platform
from standins2.operator import configuration, put

SERVICES = ('orders', 'gallery', 'gallery')
ROUTES = (('/order/', 'unsafe', 'orders'), ('/browse/', 'safe', 'gallery'))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
START_TIMEOUT_S = 25


def first_configuration():
    """Returns the configuration that the operator sends first."""
    return configuration(1, ROUTES, ('orders', 'gallery'))


def new_backends(platform, work_s, body=None):
    """Starts one backend beside each node."""
    backends = [
        Backend(platform, node, f'i-{node.name}', work_s, body)
        for node in platform.nodes
    ]
    for backend in backends:
        backend.start()
    return backends


def start_shop(platform, work_s, body=None, services=SERVICES, document=None):
    """Starts all machines and backends, and sends the first configuration.

    Args:
        platform: The platform.
        work_s: Function that returns the work of a request, in seconds.
        body: Function that returns the body of the response to a request.
        services: Service of each node.
        document: Configuration to send; by default the usual first one.

    Returns:
        The backends; None if the deployment does not become ready.
    """
    for node, service in zip(platform.nodes, services, strict=True):
        node.service = service
    for machine in platform.machines:
        machine.start()
    document = document or first_configuration()
    status = put(platform, document, 0, START_TIMEOUT_S)
    if status != 200:
        return None
    backends = new_backends(platform, work_s, body)
    if not wait_ready(platform, platform.nodes, START_TIMEOUT_S):
        return None
    # Heartbeats and the directory reach all nodes.
    time.sleep(3)
    return backends


def run_case(folder, case):
    """Runs a case and ends the process with its verdict.

    Args:
        folder: Folder of the case, for its record.
        case: Called with the platform and whether there is a disruption;
            returns whether the rule held, and None if the case could not run.
    """
    # Ended from outside, a case still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    is_troubled = os.environ.get('TROUBLE', '1') != '0'
    with (
        (Path(folder) / 'record.txt').open('w') as record,
        Platform(record, SERVICES) as platform,
    ):
        platform.note('case', disruption=is_troubled)
        try:
            verdict = case(platform, is_troubled)
        except Exception:
            # A traceback alone would look like a broken rule.
            traceback.print_exc()
            verdict = None
        status = {True: HELD, False: BROKEN, None: COULD_NOT_RUN}[verdict]
        platform.note('verdict', status=status)
    sys.exit(status)
