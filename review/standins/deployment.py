"""Stand-in for the platform: settings files, processes and signals.

It starts the programs of `deploy/system.toml` with the commands of that file,
each "machine" with a loopback address of its own.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parents[2]
_BLOCK_PORTS = 24
_INTERNAL_PORTS = 16
_POLL_S = 0.05
_STARTUP_S = 30
_DEPLOY = tomllib.loads((ROOT / 'deploy/system.toml').read_text())


@dataclass
class Machine:
    """One machine with one process of the system."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ''
    has_bootstrap: bool = True
    process: subprocess.Popen | None = None
    starts: int = 0
    exits: list = field(default_factory=list)


@dataclass(frozen=True)
class Bounds:
    """Bounds of a site, as in `timing.bounds`."""

    contact: str = '3000ms'
    ack: str = '4000ms'
    catch_up: str = '4s'
    drain: str = '2000ms'
    grace: str = '6s'
    propagation: str = '2000ms'
    stretch: str = '5000ms'
    budget_slack: int = 62


class Deployment:
    """Machines of a deployment on loopback addresses."""

    def __init__(
        self,
        record,
        zones: tuple[str, ...],
        tolerated_machines: int = 1,
        bounds: Bounds | None = None,
    ) -> None:
        self.record = record
        self.zones = zones
        self.bounds = bounds or Bounds()
        self.tolerated_machines = tolerated_machines
        self.machines: dict[str, Machine] = {}
        self.seeds: list[str] = []
        self.folder = Path(tempfile.mkdtemp(prefix='waxwing-review-'))
        self._net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self._last_ip = 10
        self._first_port = 0

    def add(
        self, name: str, role: str, zone: str, service: str = ''
    ) -> Machine:
        """Adds a machine; call it before `choose_ports`."""
        self._last_ip += 1
        ip = f'{self._net}.{self._last_ip}'
        machine = Machine(name, role, ip, zone, service)
        self.machines[name] = machine
        return machine

    def choose_ports(self) -> None:
        """Chooses a block of ports that is free on all machines."""
        for _ in range(200):
            first = random.randint(20_000, 32_000)
            if all(
                _is_free(machine.ip, first + offset)
                for machine in self.machines.values()
                for offset in range(_BLOCK_PORTS)
            ):
                self._first_port = first
                return
        raise RuntimeError('no block of free ports')

    def port(self, what: str) -> int:
        """Returns the port of a listener, the same on all machines."""
        names = ('inbound', 'app', 'ready', 'outbound', 'control')
        return self._first_port + _INTERNAL_PORTS + names.index(what)

    def address(self, name: str, what: str) -> tuple[str, int]:
        """Returns the address of a listener of a machine."""
        return self.machines[name].ip, self.port(what)

    def start(self, name: str) -> None:
        """Writes the settings of a machine and starts its process."""
        machine = self.machines[name]
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        settings = folder / 'boot.toml'
        settings.write_text(self._settings(machine))
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'WAXWINGSADDLE_NODE_FILE': str(settings),
        }
        command = _DEPLOY['roles'][machine.role]['run'].split()
        with (folder / 'log').open('ab') as log:
            machine.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        machine.starts += 1
        self.record(f'start {name} pid={machine.process.pid}')

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to the process of a machine."""
        process = self.machines[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)
            self.record(f'signal {signal.Signals(number).name} {name}')

    def kill(self, name: str) -> None:
        """Ends the process of a machine with SIGKILL."""
        self.signal(name, signal.SIGKILL)
        self.machines[name].process.wait()

    def wipe(self, name: str) -> None:
        """Empties the disk of a machine whose process has ended."""
        shutil.rmtree(self.data_folder(name), ignore_errors=True)
        self.record(f'wipe {name}')

    def data_folder(self, name: str) -> Path:
        """Returns the folder with the durable data of a machine."""
        return self.folder / name / 'data'

    def end_bootstrap(self) -> None:
        """Sets `bootstrap` to false for all later starts."""
        for machine in self.machines.values():
            machine.has_bootstrap = False

    def wait_ready(self, names, timeout_s: float = _STARTUP_S) -> bool:
        """Waits until the nodes answer 200 at their ready address."""
        deadline_s = time.monotonic() + timeout_s
        waiting = set(names)
        while waiting and time.monotonic() < deadline_s:
            waiting = {name for name in waiting if not self.is_ready(name)}
            time.sleep(_POLL_S)
        return not waiting

    def is_ready(self, name: str) -> bool:
        """Returns whether a node says that it is ready."""
        reply = http(self.address(name, 'ready'), 'GET', '/v1/ready')
        return reply is not None and reply[0] == 200

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, machine: Machine) -> str:
        bounds = self.bounds
        control = self.port('control')
        seeds = [f'{self.machines[seed].ip}:{control}' for seed in self.seeds]
        is_core = machine.role == 'control'
        own = {
            'nodeName': machine.name,
            'role': machine.role,
            'nodeClass': 'core' if is_core else 'sidecar',
            'serves': ['control' if is_core else 'sidecar'],
            'ip': machine.ip,
            'zone': machine.zone,
            'region': 'region-1',
            'lossCounts': is_core,
            'bootstrap': machine.has_bootstrap,
        }
        listen = {'control': f'{machine.ip}:{control}'}
        if is_core:
            own['dataDir'] = str(self.data_folder(machine.name))
        else:
            own['appAddr'] = f'{machine.ip}:{self.port("app")}'
            own['service'] = machine.service
            for what in ('inbound', 'outbound', 'ready'):
                listen[what] = f'{machine.ip}:{self.port(what)}'
        last = self._first_port + _INTERNAL_PORTS - 1
        tables = {
            'self': own,
            'self.limits': {
                'cpuShare': 0.86,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 256 if is_core else 0,
            },
            'network': {
                'internalPortRange': [self._first_port, last],
                'seeds': seeds,
            },
            'network.listen': listen,
            'network.zones': dict.fromkeys(self.zones, 'region-1'),
            'platform': {
                'discovery': 'local',
                'entry': 'local',
                'heartbeatInterval': '1500ms',
            },
            'timing': {
                'contracts': [
                    'base',
                    'drain',
                    'config',
                    'cost',
                    'retry',
                    'recover',
                ],
            },
            'timing.faultTolerance': {
                'machines': self.tolerated_machines,
                'zones': 1,
                'regions': 0,
            },
            'timing.bounds': {
                'seedLag': '3s',
                'addrReuse': '2s',
                'contact': bounds.contact,
                'ack': bounds.ack,
                'catchUp': bounds.catch_up,
                'drain': bounds.drain,
                'grace': bounds.grace,
                'lossSlack': '200ms',
                'configPropagation': bounds.propagation,
                'rollbackSlack': '250ms',
                'stretchMax': bounds.stretch,
                'retryBudgetRatio': 0.2,
                'budgetWindow': '10s',
                'budgetSlack': bounds.budget_slack,
                'recover': '15s',
            },
        }
        return ''.join(
            f'[{name}]\n'
            + ''.join(
                f'{key} = {json.dumps(entry)}\n' for key, entry in table.items()
            )
            for name, table in tables.items()
        )


class Operator:
    """Stand-in for the operator, who sends and reads configurations."""

    def __init__(self, deployment: Deployment, hosts: list[str]) -> None:
        self._deployment = deployment
        self._hosts = hosts
        self._record = deployment.record

    def put(
        self,
        version: int,
        base: int,
        resources: list,
        timeout_s: float,
        hosts: list[str] | None = None,
    ) -> str | None:
        """Sends a configuration, again after each unclear answer.

        Returns:
            The machine that acknowledged it; None if nobody did in time.
        """
        body = json.dumps(
            {'version': f'{version:08x}', 'resources': resources}
        ).encode()
        deadline_s = time.monotonic() + timeout_s
        order = list(hosts or self._hosts)
        while time.monotonic() < deadline_s:
            host = order.pop(0)
            order.append(host)
            reply = http(
                self._deployment.address(host, 'control'),
                'POST',
                '/v1/config/put',
                body,
                {'X-Waxwingsaddle-Base-Version': f'{base:08x}'},
                timeout_s=4.5,
            )
            status = reply and reply[0]
            self._record(f'put {version:08x} to {host}: {status}')
            if status == 200:
                return host
            time.sleep(0.2)
        return None

    def read(self, host: str) -> tuple[int | None, str]:
        """Reads the configuration from a machine; returns status, version."""
        reply = http(
            self._deployment.address(host, 'control'),
            'GET',
            '/v1/config/get',
            timeout_s=4.5,
        )
        if reply is None:
            return None, ''
        version = json.loads(reply[2])['version'] if reply[0] == 200 else ''
        return reply[0], version


def http(
    address,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
):
    """Sends one request; returns status, headers and body, or None."""
    import http.client

    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        with closing(connection):
            connection.request(
                method,
                path,
                body or None,
                {'Content-Type': 'application/json', **(headers or {})},
            )
            response = connection.getresponse()
            return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return None


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Writes what was sent, answered and run into `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._start_s = time.monotonic()

    def __call__(self, line: str) -> None:
        """Writes one line with the time since the start, in seconds."""
        elapsed_s = time.monotonic() - self._start_s
        self._file.write(f'{elapsed_s:8.3f} {line}\n')
        self._file.flush()


def route(
    name: str, host: str, prefix: str, kind: str, service: str, **fields
) -> dict:
    """Returns a route for a configuration."""
    spec = {
        'host': host,
        'pathPrefix': prefix,
        'routeType': kind,
        'timeout': '1000ms',
        'targetLatency': '300ms',
        'priority': 1,
        'service': service,
        'attempts': 2,
        **fields,
    }
    return {'resourceType': 'routes', 'metadata': {'name': name}, 'spec': spec}


def service(name: str) -> dict:
    """Returns a service for a configuration."""
    spec = {
        'healthCheckPath': '/health',
        'maxConnections': 130,
        'protocol': 'h1',
        'tls': False,
    }
    return {
        'resourceType': 'services',
        'metadata': {'name': name},
        'spec': spec,
    }


def limits() -> dict:
    """Returns the limits for a configuration."""
    spec = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 67108864,
        'headerTimeout': '3000ms',
        'idleTimeout': '15000ms',
    }
    return {'resourceType': 'limits', 'metadata': {}, 'spec': spec}


def run_case(main) -> int:
    """Runs a case; an error of the case itself gives the exit status 2."""
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return 2
