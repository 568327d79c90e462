"""Case 14: after a kill of all processes, a backend that has left comes back.

A backend deregisters and serves on for a while. All processes of the system
are killed and started again. Then a heartbeat arrives that the backend sent
before it deregistered.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins3'))

from mesh3 import (
    Mesh,
    configuration,
    fetch,
    limits,
    route,
    send,
    service,
)

DRAIN_S = 2.0
CONTACT_S = 3.0
# Time from the kill until the processes are started again.
DOWN_S = 0.3
# How late the heartbeat is.
LATE_S = 4.0
# How long the backend serves after its deregistration.
SERVES_S = 12.0
REQUESTS_PER_S = 60
# A few requests more would be within the measuring error of the script.
MAX_LATE = 3

IS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


async def place_order(backend, request, _reader, writer):
    """Runs an order."""
    request_id = request['fields']['x-waxwingsaddle-request-id']
    await asyncio.sleep(0.02)
    seal = {'X-Waxwingsaddle-Response-Seal': f'seal-{request_id}'}
    await send(writer, 200, request_id, b'ordered', seal)
    return True


async def send_orders(mesh, sent_s, answers):
    """Sends unsafe requests to all nodes at a steady rate."""
    rng = random.Random(3)
    tasks = set()

    async def send_one(node, number):
        request_id = f'order-{number}'
        sent_s[request_id] = mesh.now()
        headers = {
            'Host': 'a.example',
            'X-Waxwingsaddle-Request-Id': request_id,
            'X-Waxwingsaddle-Deadline-Ms': '1000',
        }
        try:
            status, _, _ = await fetch(
                node.ip, 8304, 'POST', '/orders/new', b'order', headers
            )
        except (OSError, EOFError, TimeoutError) as error:
            status = type(error).__name__
        answers[status] += 1

    number = 0
    while True:
        number += 1
        task = asyncio.create_task(send_one(rng.choice(mesh.nodes), number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))


async def deregister(mesh, backend):
    """Ends the heartbeats and deregisters; returns whether that is acked."""
    backend.beats.cancel()
    body = json.dumps({'born': backend.born}).encode()
    path = f'/v1/instances/{backend.name}/deregister'
    status, _, _ = await fetch(backend.node.ip, 8306, 'POST', path, body)
    mesh.note(f'{backend.name} deregisters: {status}')
    return status == 200


async def kill_all(mesh):
    """Kills all processes of the system and starts them again."""
    programs = (*mesh.controls, *mesh.nodes)
    for program in programs:
        program.signal(signal.SIGKILL)
    for program in programs:
        program.process.wait()
    await asyncio.sleep(DOWN_S)
    for program in programs:
        program.start()


async def deliver_late(mesh, backend, left_s):
    """Delivers a heartbeat that was sent just before the deregistration."""
    await asyncio.sleep(max(0, left_s + LATE_S - mesh.now()))
    # Its number is the next one; the backend has sent none since.
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        status = await backend.beat()
        mesh.note(f'a heartbeat of {backend.name}, {LATE_S} s late: {status}')


async def play(mesh):
    """Plays the case; returns whether DRAIN was broken, None if unclear."""
    for backend in mesh.backends:
        backend.handler = place_order
    await mesh.start(
        configuration(
            1,
            route('orders', '/orders/', 'unsafe', 'orders'),
            service('orders'),
            limits(),
        )
    )
    sent_s, answers = {}, Counter()
    orders = asyncio.create_task(send_orders(mesh, sent_s, answers))
    await asyncio.sleep(5)
    leaving = mesh.backends[0]
    if not await deregister(mesh, leaving):
        return None
    left_s = stable_s = mesh.now()
    if IS_TROUBLE:
        await kill_all(mesh)
        stable_s = mesh.now() + CONTACT_S
    await deliver_late(mesh, leaving, left_s)
    await asyncio.sleep(max(0, left_s + SERVES_S - mesh.now()))
    orders.cancel()
    late = [
        run_s
        for run_s, request_id, _ in leaving.runs
        if run_s > left_s + DRAIN_S and sent_s[request_id] > stable_s
    ]
    mesh.note(f'answers to clients: {dict(answers)}')
    mesh.note(
        f'{len(late)} orders reached {leaving.name} later than drain after the'
        ' acknowledgement, all machines in touch'
        + (f', the last one after {late[-1] - left_s:.1f} s' if late else '')
    )
    return len(late) > MAX_LATE


async def main():
    """Runs the case and writes its record."""
    mesh = Mesh(['orders'] * 3, net='127.217')
    result = 2
    try:
        is_broken = await play(mesh)
        result = 2 if is_broken is None else int(is_broken)
    except (OSError, RuntimeError) as error:
        mesh.note(f'the case could not run: {error!r}')
    finally:
        await mesh.stop()
        mesh.note(f'TROUBLE={int(IS_TROUBLE)}: exit {result}')
        record = Path(__file__).with_name('record.txt')
        record.write_text('\n'.join(mesh.lines) + '\n')
    return result


sys.exit(asyncio.run(main()))
