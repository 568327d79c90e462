"""Stand-in for the operator: sends and reads configurations."""

import json
import time

from standins2.http11 import exchange

HOST = 'shop.example'


def configuration(version, routes, services):
    """Returns a configuration.

    Args:
        version: Its number.
        routes: Path prefix, type and service of each route.
        services: Names of the services.
    """
    resources = [
        {
            'resourceType': 'routes',
            'metadata': {'name': f'r-{prefix.strip("/")}'},
            'spec': {
                'host': HOST,
                'pathPrefix': prefix,
                'routeType': kind,
                'timeout': '3000ms',
                'targetLatency': '1000ms',
                'priority': 1,
                'service': service,
                'attempts': 2,
            },
        }
        for prefix, kind, service in routes
    ]
    resources += [
        {
            'resourceType': 'services',
            'metadata': {'name': name},
            'spec': {
                'healthCheckPath': '/health',
                'maxConnections': 130,
                'protocol': 'h1',
                'tls': False,
            },
        }
        for name in services
    ]
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
    }
    resources.append({'resourceType': 'limits', 'metadata': {}, 'spec': limits})
    return {'version': f'{version:08x}', 'resources': resources}


def put(platform, document, base, timeout_s, controls=None):
    """Sends a configuration to the control machines in turn until an answer.

    Returns:
        Its status; None without a clear answer within the time.
    """
    body = json.dumps(document).encode()
    deadline_s = time.monotonic() + timeout_s
    wait_s = 0.1
    asked = list(controls or platform.controls)
    while time.monotonic() < deadline_s:
        machine = asked.pop(0)
        asked.append(machine)
        status = _put_once(machine, body, base)
        platform.note(
            'put', version=document['version'], to=machine.name, status=status
        )
        if status is not None and status < 500 and status not in {408, 429}:
            return status
        time.sleep(wait_s)
        wait_s = min(1, wait_s * 2)
    return None


def _put_once(machine, body, base):
    fields = [
        ('Content-Type', 'application/json'),
        ('X-Waxwingsaddle-Base-Version', f'{base:08x}'),
    ]
    try:
        reply = exchange(
            machine.address('control'), 'POST', '/v1/config/put', fields, body
        )
    except OSError:
        return None
    return reply.status


def get(machine):
    """Reads the configuration at a machine; None if it does not tell it."""
    try:
        reply = exchange(machine.address('control'), 'GET', '/v1/config/get')
    except OSError:
        return None
    return json.loads(reply.body) if reply.status == 200 else None
