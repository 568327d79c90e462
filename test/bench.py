"""Stand-in upstreams and fault proxies as processes of a test."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from urllib.request import Request, urlopen

from test.processes import Process, is_ready, wait_until
from waxwingsaddle.deployment import toml_text
from waxwingsaddle.util.ports import free_address


def start_upstream(folder: Path, host: str, **settings) -> Process:
    """Starts a stand-in upstream and waits until it serves."""
    return _start(folder, 'upstream', host, settings)


@contextmanager
def fault_proxy(folder: Path, links: dict[str, str]) -> Iterator['Links']:
    """Runs a fault proxy.

    Args:
        folder: Folder for its files.
        links: Target address by link name.

    Yields:
        The links, with the address to use for each name.
    """
    listening = {name: free_address() for name in links}
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
                    'listen_address': listening[name],
                    'target_address': target,
                }
                for name, target in links.items()
            ],
        },
    )
    try:
        yield Links(http_address, listening)
    finally:
        process.kill()


class Links:
    """Addresses and conditions of a running fault proxy."""

    def __init__(self, http_address: str, listening: dict[str, str]) -> None:
        self._http_address = http_address
        self.addresses = listening

    def set_condition(self, name: str, **condition: object) -> None:
        """Changes the condition of a link; what is not named is undisturbed."""
        request = Request(
            f'http://{self._http_address}/links/{name}',
            data=json.dumps(condition).encode(),
            method='PUT',
        )
        urlopen(request, timeout=5).close()

    def counters(self) -> dict:
        """Returns bytes and connections by link name."""
        with urlopen(f'http://{self._http_address}/links', timeout=5) as got:
            return json.load(got)


def _start(folder: Path, command: str, host: str, settings: dict) -> Process:
    file = folder / f'{host}.toml'
    file.write_text(toml_text(command, {'host': host, **settings}))
    log_file = folder / f'{host}.log'
    process = Process('load', file, log_file, (command,)).start()
    address = settings['http_address']
    wait_until(lambda: is_ready(address), f'{host} is ready')
    return process
