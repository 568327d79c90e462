"""A heartbeat names a service that does not exist, beside a sound backend."""

import time
from pathlib import Path

from standins2.client import call
from standins2.http11 import exchange_json
from standins2.operator import configuration, put
from standins2.shop import ROUTES, run_case, start_shop

SERVICES = ('orders', 'gallery')
# Requests are sent this long after the odd heartbeat; `contact` is 3 s.
CALM_S = 8.0
WATCHED_S = 12.0
MIN_REQUESTS = 20


def case(platform, is_troubled):
    """Adds a route, sends the odd heartbeat, then requests on both routes."""
    backends = start_shop(
        platform,
        lambda _path: 0.02,
        document=configuration(1, ROUTES[1:], SERVICES),
    )
    if backends is None:
        return None
    if put(platform, configuration(2, ROUTES, SERVICES), 1, 10) != 200:
        return None
    if is_troubled:
        _send_odd_heartbeat(platform, backends[0])
    time.sleep(CALM_S)
    acknowledged = backends[0].beat()
    sent, first, later = 0, 0, 0
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        for node in platform.nodes:
            sent += 1
            first += _is_served(platform, node, 'GET', '/browse/x')
            later += _is_served(platform, node, 'POST', '/order/x')
        time.sleep(0.4)
    platform.note(
        'result',
        sent_on_each=sent,
        served_on_first_route=first,
        served_on_later_route=later,
        heartbeat_acknowledged=acknowledged,
    )
    return None if sent < MIN_REQUESTS else later * 4 >= first


def _is_served(platform, node, method, path):
    _, response = call(platform, node, method, path)
    return response is not None and response.status == 200


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
    reply = exchange_json(
        backend.machine.address('control'),
        'POST',
        '/v1/instances/i-elsewhere/heartbeat',
        document,
    )
    platform.note('odd-heartbeat', document=document, status=reply.status)


run_case(Path(__file__).parent, case)
