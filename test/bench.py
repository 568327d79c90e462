"""Starts stand-in upstreams and fault proxies for tests."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from urllib.request import Request, urlopen

from test.processes import Process, is_ready, wait_until
from waxwingsaddle.deployment import toml_text
from waxwingsaddle.util.ports import free_address


def start_upstream(folder: Path, host: str, **settings) -> Process:
    """Starts a stand-in upstream and waits until it is ready.

    Args:
        folder: Folder for its settings and log.
        host: Name of the upstream.
        settings: Other settings of the upstream.
    """
    return _start(folder, 'upstream', host, settings)


@contextmanager
def fault_proxy(folder: Path, links: dict[str, str]) -> Iterator['Links']:
    """Runs a fault proxy.

    Args:
        folder: Folder for its settings and log.
        links: Target address by link name.

    Yields:
        Addresses and conditions of the links.
    """
    listen_addresses = {name: free_address() for name in links}
    http_address = free_address()
    process = _start(
        folder,
        'faults',
        'faults',
        {
            'http_address': http_address,
            'links': [
                {
                    'name': name,
                    'listen_address': listen_addresses[name],
                    'target_address': target,
                }
                for name, target in links.items()
            ],
        },
    )
    try:
        yield Links(http_address, listen_addresses)
    finally:
        process.kill()


class Links:
    """Links of a running fault proxy.

    Attributes:
        addresses: Address to connect to by link name.
    """

    def __init__(
        self, http_address: str, listen_addresses: dict[str, str]
    ) -> None:
        self._http_address = http_address
        self.addresses = listen_addresses

    def set_condition(self, name: str, **condition: object) -> None:
        """Sets the condition of a link; fields not named get their defaults."""
        request = Request(
            f'http://{self._http_address}/links/{name}',
            data=json.dumps(condition).encode(),
            method='PUT',
        )
        urlopen(request, timeout=5).close()

    def counters(self) -> dict:
        """Returns conditions and counters by link name."""
        with urlopen(
            f'http://{self._http_address}/links', timeout=5
        ) as response:
            return json.load(response)


def _start(folder: Path, command: str, host: str, settings: dict) -> Process:
    file = folder / f'{host}.toml'
    file.write_text(toml_text(command, {'host': host, **settings}))
    log_file = folder / f'{host}.log'
    process = Process('load', file, log_file, (command,)).start()
    address = settings['http_address']
    wait_until(lambda: is_ready(address), f'{host} is ready')
    return process
