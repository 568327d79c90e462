"""Edits and calls through a full deployment of real processes."""

import json
from functools import partial
from urllib.request import Request, urlopen

from test.meshes import mesh
from test.processes import wait_until
from waxwingsaddle.standin import is_complete_answer


def _call(address, method, path, call_id, key=''):
    headers = {'X-Call-Id': call_id, 'Waxwing-Deadline-Ms': '3000'}
    if key:
        headers['Idempotency-Key'] = key
    url = f'http://{address}{path}?work_ms=2&size_bytes=500'
    request = Request(url, method=method, headers=headers)
    with urlopen(request, timeout=10) as answer:
        body = answer.read()
        # The Date field of the upstream must not be added a second time.
        assert len(answer.headers.get_all('Date')) == 1
        return answer.headers['Waxwing-Outcome'], body


def _runs(address, method, path, call_id, key=''):
    outcome, body = _call(address, method, path, call_id, key)
    return outcome == 'ran' and is_complete_answer(call_id, 500, body)


def test_edits_and_calls_pass_through_a_full_deployment():
    """Guards against parts that work in isolation but not together."""
    with mesh() as running:
        running.wait_version(1, nodes=6)
        for address in running.deployment.http_addresses('node'):
            for call in (('GET', '/gallery/a'), ('POST', '/orders')):
                wait_until(partial(_runs, address, *call, 'c1'), str(call))
        assert running.submit(2, timeout_ms=1500)
        running.wait_version(2, nodes=6)


def test_keyed_call_runs_once_through_any_node():
    """Guards against a second booking by a resend through another node."""
    with mesh() as running:
        nodes = running.deployment.http_addresses('node')
        for address in nodes:
            wait_until(
                partial(_runs, address, 'POST', '/orders', 'k1', key='k1'),
                f'keyed call through {address}',
            )
        journals = running.folder.glob('upstream-*.jsonl')
        lines = [
            json.loads(line)
            for journal in journals
            for line in journal.read_text().splitlines()
        ]
        started = [line for line in lines if line['event'] == 'start']
        assert len(started) == 1, started
