"""`waxwing-node` with a simulated control host and a real directory."""

import threading
import time
from functools import partial

from test.distribution_fakes import control_hosts
from test.nodes import BASE, call, node_environment
from test.processes import Process, wait_until
from test.test_distribution_processes import host_tables
from test.test_node_failures import LoadWorker
from waxwingsaddle.distribution_bench import post_json

CONTROL_FIELDS = (
    'host',
    'availability_zone',
    'peer_address',
    'node_address',
    'http_address',
)


def _start_control(environment):
    host = control_hosts(('zone-1',))[0]
    text = (
        f'[control]\nhost = "{host.host}"\n'
        f'data_folder = "{environment.folder}"\n'
        f'{host_tables("control.hosts", (host,), CONTROL_FIELDS)}'
    )
    settings_file = environment.folder / 'control.toml'
    settings_file.write_text(text, 'utf-8')
    process = Process(
        'standin_control', settings_file, environment.folder / 'control.log'
    )
    environment.processes.append(process)
    process.start()
    accepted = {'base': BASE, 'overlays': {'north': ''}}
    wait_until(
        lambda: post_json(host.http_address, '/v1/accept', accepted), 'control'
    )
    return host


def _start(node, control, upstream):
    node.process.program = 'node'
    node.start_program(control)
    node.announce(upstream)


def _call_succeeds(node, identifier):
    target = f'/orders?id={identifier}'
    return call(node.http_address, 'POST', target)[0] == 200


def test_rolling_restart_fails_no_call():
    """Guards against calls that fail during a rolling restart.

    Calls run continuously while each node stops gracefully and starts again.
    """
    with node_environment() as environment:
        control = _start_control(environment)
        nodes = [environment.new_node(f'host-{number}') for number in range(3)]
        upstreams = [
            environment.upstream(f'up-{number}', slots=64)
            for number in range(3)
        ]
        for node, upstream in zip(nodes, upstreams, strict=True):
            _start(node, control, upstream)
        for node in nodes:
            wait_until(partial(_call_succeeds, node, 'warm'), node.host)
        # All nodes receive the directory within its batch interval.
        time.sleep(1)
        done = threading.Event()
        workers = [
            LoadWorker(f'r{number}', [nodes[0], nodes[1]], done)
            for number in range(4)
        ]
        try:
            for node, upstream in zip(nodes, upstreams, strict=True):
                assert node.process.terminate() == 0
                _start(node, control, upstream)
                time.sleep(1)
        finally:
            done.set()
        for worker in workers:
            worker.join()
            assert not worker.failures, worker.failures[:3]
            assert worker.calls > 10, worker.calls
        executed = {name for fake in upstreams for name in fake.lines()}
        assert sum(worker.calls for worker in workers) <= len(executed)
