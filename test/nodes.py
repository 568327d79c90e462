"""Node processes with a fixed configuration, and upstreams, for tests."""

import json
import subprocess
import sys
import tempfile
from contextlib import contextmanager
from http.client import HTTPConnection
from pathlib import Path

from test.processes import Process, is_ready, wait_until
from waxwingsaddle import green
from waxwingsaddle.util.ports import free_address

# Some tests serve messages of nodes while their threads wait for answers.
green.patch_subprocess()

BASE = """
version = 1
[services.orders]
timeout_ms = 5000
hedge_percent = 0
[services.plans]
timeout_ms = 5000
hedge_percent = 0
[routes.order]
path_prefix = "/orders"
service = "orders"
methods = ["POST"]
work = "short"
[routes.look]
path_prefix = "/orders"
service = "orders"
methods = ["GET", "HEAD"]
idempotent = true
work = "short"
[routes.plan]
path_prefix = "/plans"
service = "orders"
idempotent = true
work = "long"
"""


class ModuleProcess(Process):
    """A process that runs a module of the tests."""

    def start(self):
        """Starts the module with its arguments."""
        with self.log_file.open('ab') as log:
            self.popen = subprocess.Popen(
                [sys.executable, '-m', self.program, *self.arguments],
                stdout=log,
                stderr=log,
            )
        return self


class FakeUpstream:
    """Process of an upstream that records its calls in a journal."""

    def __init__(self, folder, name, slots=6):
        self.name = name
        self.slots = slots
        self.address = free_address()
        self.journal = folder / f'{name}.journal'
        self.process = ModuleProcess(
            'test.fake_upstream',
            folder,
            folder / f'{name}.log',
            (self.address, str(self.journal)),
        )

    def start(self):
        """Starts the upstream and waits until it answers."""
        self.process.start()
        wait_until(lambda: call(self.address, 'GET', '/')[0] == 200, self.name)
        return self

    def lines(self):
        """Returns the lines of the journal."""
        return self.journal.read_text('utf-8').split('\n')[:-1]

    def count(self, kind, identifier):
        """Returns how often a call has an entry of a kind in the journal."""
        return self.lines().count(f'{kind} {identifier}')


class FixedNode:
    """Process of a node, by default with a fixed configuration."""

    def __init__(self, folder, host, **settings):
        self.host = host
        self.folder = folder / host
        self.folder.mkdir()
        self.http_address = free_address()
        self.call_address = free_address()
        self.settings = {
            'host': host,
            'availability_zone': 'zone-1',
            'availability_zones': ['zone-1'],
            'site': 'north',
            'http_address': self.http_address,
            'call_address': self.call_address,
            'log_form': 'text',
            'hop_heartbeat_ms': 200,
            # These upstreams announce themselves only once.
            'upstream_ttl_ms': 600_000,
            **settings,
        }
        settings_file = self.folder / 'node.toml'
        self.process = ModuleProcess(
            'test.fixed_node',
            settings_file,
            self.folder / 'node.log',
            ('--settings', str(settings_file)),
        )

    def start_program(self, control):
        """Starts `waxwing-node` with one control host and waits until ready."""
        lines = [
            f'{key} = {json.dumps(value)}'
            for key, value in self.settings.items()
        ]
        fields = ('host', 'availability_zone', 'node_address')
        control_lines = [
            f'{name} = {json.dumps(getattr(control, name))}' for name in fields
        ]
        text = '\n'.join(
            ['[node]', *lines, '[[node.controls]]', *control_lines],
        )
        self.process.settings_file.write_text(text, 'utf-8')
        Process.start(self.process)
        wait_until(lambda: is_ready(self.http_address), self.host)

    def entry(self, upstream, call_address=''):
        """Returns the directory entry of an upstream behind this node."""
        return {
            'name': upstream.name,
            'service': 'orders',
            'host': self.host,
            'availability_zone': self.settings['availability_zone'],
            'call_address': call_address or self.call_address,
            'slots': upstream.slots,
            'state': 'ready',
            'started_ms_ago': 3_600_000,
        }

    def node_entry(self, call_address=''):
        """Returns the directory entry of this node."""
        return {
            'host': self.host,
            'availability_zone': self.settings['availability_zone'],
            'call_address': call_address or self.call_address,
            'incarnation': 1,
        }

    def start(self, remote_upstreams=(), nodes=(), base=BASE):
        """Writes the files, starts the node and waits until it is ready."""
        listed = [node.node_entry() for node in nodes or (self,)]
        self.launch(remote_upstreams, listed, base)
        wait_until(lambda: is_ready(self.http_address), self.host)
        return self

    def launch(self, remote_upstreams, listed, base=BASE):
        """Starts the node with these directory entries without waiting."""
        lines = [
            f'{key} = {json.dumps(value)}'
            for key, value in self.settings.items()
        ]
        text = '\n'.join(['[node]', *lines, 'controls = []'])
        (self.folder / 'node.toml').write_text(text, 'utf-8')
        fixed = {
            'base': base,
            'others': list(remote_upstreams),
            'nodes': listed,
        }
        (self.folder / 'fixed.json').write_text(json.dumps(fixed), 'utf-8')
        self.process.start()

    def announce(self, upstream, state='ready', address=''):
        """Announces an upstream to this node."""
        body = {
            'service': 'orders',
            'address': address or upstream.address,
            'slots': upstream.slots,
            'state': state,
        }
        status, _, answer = call(
            self.http_address,
            'PUT',
            f'/v1/upstreams/{upstream.name}',
            json.dumps(body),
        )
        assert status == 200, answer

    def metric(self, name):
        """Returns the sum of the metric lines that start with a name, or 0."""
        text = call(self.http_address, 'GET', '/metrics')[2].decode()
        return sum(
            float(line.rpartition(' ')[2])
            for line in text.splitlines()
            if line.startswith(name)
        )


class NodeEnvironment:
    """Processes that a test has started."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []

    def new_node(self, host, **settings):
        """Returns a node that is not yet started."""
        node = FixedNode(self.folder, host, **settings)
        self.processes.append(node.process)
        return node

    def node(self, host='host-1', remote_upstreams=(), base=BASE, **settings):
        """Starts a node."""
        return self.new_node(host, **settings).start(
            remote_upstreams, base=base
        )

    def upstream(self, name='up-1', slots=6):
        """Starts an upstream process."""
        upstream = FakeUpstream(self.folder, name, slots)
        self.processes.append(upstream.process)
        return upstream.start()

    def pair(self, slots=6, **settings):
        """Starts an entry node, and a guarding node with one upstream."""
        upstream = self.upstream(slots=slots)
        guard = self.new_node('guard', **settings)
        entry = self.new_node('entry', **settings)
        guard.start(nodes=(entry, guard))
        guard.announce(upstream)
        entry.start([guard.entry(upstream)], nodes=(entry, guard))
        return entry, guard, upstream


@contextmanager
def node_environment():
    """Yields an environment and kills its processes at the end of the test."""
    with tempfile.TemporaryDirectory() as folder:
        environment = NodeEnvironment(Path(folder))
        try:
            yield environment
        finally:
            for process in environment.processes:
                process.kill()


def call(address, method, target, body=None, headers=None, timeout_s=20):
    """Makes an HTTP call and returns its status, headers and body."""
    connection = HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()
