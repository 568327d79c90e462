"""A node is stopped while an upstream sends an answer without a length."""

import os
import signal
import sys
import threading
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
from standins.upstream import Upstream, id_field

HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ('tunis-a', 'tunis-b', 'ariana-c')
HOST = 'plans.example'
TIMEOUT_MS = 10_000
PROPAGATION_S = 3
CALLS = 5
PIECES = 85
PIECE = b'0123456789' * 10
PIECE_GAP_S = 0.1
WHOLE_BODY = PIECE * PIECES
# The answer is under way when the stop begins.
STOP_AFTER_S = 1.0


def send_slowly(upstream, connection, request) -> bool:
    """Answers without a length; the end of the connection ends the body."""
    request_id = request['fields']['x-waxwingsaddle-request-id']
    fields = {
        **id_field(request_id),
        'X-Waxwingsaddle-Response-Seal': f'seal-{request_id}',
        'Connection': 'close',
    }
    lines = ''.join(f'{name}: {text}\r\n' for name, text in fields.items())
    connection.sendall(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())
    try:
        for _ in range(PIECES):
            connection.sendall(PIECE)
            time.sleep(PIECE_GAP_S)
    except OSError as error:
        upstream.record(f'{request_id} cut off by its caller: {error!r}')
        return False
    upstream.record(f'{request_id} sent whole: {len(WHOLE_BODY)} bytes')
    return False


def main() -> int:
    """Runs the case and returns its exit status."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(__file__).with_name('record.txt'))
    deployment = Deployment(record, ZONES)
    cores = [f'core-{zone}' for zone in ZONES]
    for name, zone in zip(cores, ZONES, strict=True):
        deployment.add(name, 'control', zone)
    sides = [f'sidecar-{zone}' for zone in ZONES]
    for name, zone in zip(sides, ZONES, strict=True):
        deployment.add(name, 'node', zone, 'svc-plans')
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
    for name in sides[1:]:
        Upstream(deployment, name, 'svc-plans', answer=send_slowly)
    resources = [
        route(
            'r-plans',
            HOST,
            '/plans/',
            'download',
            'svc-plans',
            timeout=f'{TIMEOUT_MS}ms',
        ),
        service('svc-plans'),
        limits(),
    ]
    if Operator(deployment, cores).put(1, 0, resources, 30) is None:
        return NOT_RUN
    if not deployment.wait_ready(sides):
        return NOT_RUN
    time.sleep(PROPAGATION_S)
    answers: list[tuple] = []
    clients = [
        threading.Thread(
            target=lambda number=number: answers.append(
                call(
                    deployment,
                    sides[0],
                    'GET',
                    HOST,
                    f'/plans/{number}',
                    deadline_ms=TIMEOUT_MS,
                )
            )
        )
        for number in range(CALLS)
    ]
    for client in clients:
        client.start()
    time.sleep(STOP_AFTER_S)
    if has_trouble:
        deployment.signal(sides[0], signal.SIGTERM)
    for client in clients:
        client.join()
    broken = 0
    whole = 0
    for request_id, status, fields, body in answers:
        record(
            f'client got {request_id}: {status}, {len(body)} of '
            f'{len(WHOLE_BODY)} bytes, {fields}'
        )
        if status == 200 and body == WHOLE_BODY:
            whole += 1
        elif status is not None and status < 300:
            broken += 1
    record(f'{whole} whole, {broken} ended early and look complete')
    if broken:
        record('RULE BROKEN: MIXED')
        return BROKEN
    record('RULE HELD')
    return HELD if has_trouble or whole == CALLS else NOT_RUN


if __name__ == '__main__':
    sys.exit(run_case(main))
