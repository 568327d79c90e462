"""A heartbeat names a service that does not exist, beside each backend."""

import time
from pathlib import Path

from standins2.client import call
from standins2.http11 import exchange_json
from standins2.shop import run_case, start_shop

# Requests are sent from this time after the odd heartbeats: `contact` is 3 s,
# and a backend without heartbeats counts as gone after about four of 1.5 s.
CALM_S = 10.0
WATCHED_S = 20.0


def case(platform, is_troubled):
    """Sends one odd heartbeat to each node before the first request."""
    backends = start_shop(platform, lambda _path: 0.02)
    if backends is None:
        return None
    if is_troubled:
        for backend in backends:
            _send_odd_heartbeat(platform, backend)
    time.sleep(CALM_S)
    acknowledged = [backend.beat() for backend in backends]
    served, sent = 0, 0
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        for node in platform.nodes:
            for method, path in (('GET', '/browse/x'), ('POST', '/order/x')):
                _, response = call(platform, node, method, path)
                sent += 1
                served += response is not None and response.status == 200
        time.sleep(0.5)
    platform.note(
        'result',
        heartbeats_acknowledged=acknowledged,
        served=f'{served}/{sent}',
    )
    return served > 0


def _send_odd_heartbeat(platform, backend):
    """Sends a heartbeat whose service is not in the configuration."""
    document = backend.document(
        born=int(time.time() * 1000),
        info={
            'service': 'elsewhere',
            'version': 'v1',
            'zone': backend.machine.zone,
            'slots': 13,
        },
        status={'state': 'ready', 'sequence': 1, 'warmupLeft': '0ms'},
    )
    path = f'/v1/instances/i-elsewhere-{backend.machine.name}/heartbeat'
    reply = exchange_json(
        backend.machine.address('control'), 'POST', path, document
    )
    platform.note('odd-heartbeat', document=document, status=reply.status)


run_case(Path(__file__).parent, case)
