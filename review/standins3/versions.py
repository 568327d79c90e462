"""Backends of two versions of one service, their clients and an operator."""

import asyncio
import contextlib
import json
import random
from collections import Counter

from mesh3 import configuration, fetch, limits, route, send, service

# Terms of the site samhlid-mesh-grown.
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
CONTACT_S = 3.0
ACK_S = 4.0
BOUNDS = f"""exposeShare = {EXPOSE_SHARE}
exposeSlack = {EXPOSE_SLACK}
rollback = "5000ms"
"""
DURATION_S = 12
REQUESTS_PER_S = 100
OLD, NEW = 'v1', 'v2'


class Service:
    """Backends of two versions, and what reached them.

    From `bad_from_s` on, half of the answers of the new version are failures.
    """

    def __init__(self, mesh):
        self.mesh = mesh
        self.arrivals = []
        self.sent_s = {}
        self.bad_from_s = float('inf')
        self.answers = Counter()
        self._rng = random.Random(1)
        for backend in mesh.backends:
            backend.handler = self._handle
        self.new = mesh.backends[1::2]
        for backend in self.new:
            backend.version = NEW
        # The new ones are started later.
        mesh.backends = mesh.backends[::2]
        self.old = list(mesh.backends)

    async def start_new(self):
        """Starts the backends of the new version."""
        for backend in self.new:
            await backend.start()
        self.mesh.backends = [*self.old, *self.new]
        self.mesh.note(f'{len(self.new)} backends of {NEW} are started')

    async def _handle(self, backend, request, _reader, writer):
        request_id = request['fields']['x-waxwingsaddle-request-id']
        self.arrivals.append((self.sent_s[request_id], backend.version))
        await asyncio.sleep(0.02)
        is_bad = backend.version == NEW and self.mesh.now() > self.bad_from_s
        status = 500 if is_bad and self._rng.random() < 0.5 else 200
        seal = {'X-Waxwingsaddle-Response-Seal': f'seal-{request_id}'}
        await send(writer, status, request_id, b'quote', seal)
        return True

    def count(self, first_s, last_s):
        """Counts the arrivals by version, by the time of their sending."""
        return Counter(
            version
            for sent_s, version in self.arrivals
            if first_s <= sent_s <= last_s
        )

    async def note_counts(self, first_s, seconds, what):
        """Notes the arrivals of each of the next seconds."""
        for second in range(1, seconds + 1):
            await asyncio.sleep(max(0, first_s + second - self.mesh.now()))
            counts = dict(self.count(self.mesh.now() - 1, self.mesh.now()))
            self.mesh.note(f'{second} s after {what}, in that second: {counts}')


def quotes_configuration():
    """Returns a configuration with one route."""
    return configuration(
        1,
        route('quotes', '/quotes/', 'safe', 'quotes'),
        service('quotes'),
        limits(),
    )


async def send_requests(mesh, served):
    """Sends requests to all nodes at a steady rate."""
    rng = random.Random(2)
    tasks = set()

    async def send_one(node, number):
        request_id = f'request-{number}'
        served.sent_s[request_id] = mesh.now()
        headers = {
            'Host': 'a.example',
            'X-Waxwingsaddle-Request-Id': request_id,
            'X-Waxwingsaddle-Deadline-Ms': '1000',
        }
        try:
            status, _, _ = await fetch(
                node.ip, 8304, 'GET', '/quotes/1', b'', headers
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        served.answers[status] += 1

    number = 0
    while True:
        number += 1
        task = asyncio.create_task(send_one(rng.choice(mesh.nodes), number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))


async def order(mesh):
    """Sends the order until it is acknowledged, to one host after the other.

    The operator picks the first control host of its list first.
    """
    body = {
        'service': 'quotes',
        'targetVersion': NEW,
        'duration': f'{DURATION_S}s',
    }
    first_s = mesh.now()
    pause_s = 0.05
    turn = 0
    # Orders may be sent again for `ack`.
    while mesh.now() < first_s + ACK_S:
        ip = mesh.control_ips[turn % len(mesh.control_ips)]
        turn += 1
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            status, _, answer = await fetch(
                ip,
                8306,
                'POST',
                '/v1/rollouts/start',
                json.dumps(body).encode(),
                timeout_s=1,
            )
            mesh.note(f'order at {ip}: {status} {answer.decode()}')
            if status == 200:
                return True
        await asyncio.sleep(pause_s)
        pause_s = min(0.4, pause_s * 1.5)
    mesh.note('the order was not accepted within ack')
    return False
