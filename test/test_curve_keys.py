"""CurveZMQ keys of the sockets between processes."""

import time
from pathlib import Path
from tempfile import TemporaryDirectory

import zmq

from test.meshes import mesh
from test.processes import Process, is_ready, wait_until
from waxwingsaddle import curve_keys

# A node with the key becomes ready well within this time.
REFUSED_FOR_S = 4


def test_bad_key_file_is_named():
    """Guards against a deployment that silently runs without keys."""
    with TemporaryDirectory() as name:
        file = Path(name, 'mesh.key_secret')
        missing = curve_keys.load_key_file('node', str(file))
        assert 'node.key_file' in str(missing)
        file.write_text('too short')
        assert '40 characters' in str(
            curve_keys.load_key_file('node', str(file))
        )


def test_only_processes_with_the_key_take_part():
    """Guards against a process without the key that can join."""
    with TemporaryDirectory() as name:
        file = Path(name, 'mesh.key_secret')
        file.write_bytes(zmq.curve_keypair()[1])
        key = {'key_file': str(file)}
        with mesh(control=key, node=key) as running:
            running.wait_version(1, nodes=6)
            member = running.deployment.members_of('node')[0]
            running.processes[member.host].kill()
            stranger = _without_key(running, member.host)
            try:
                time.sleep(REFUSED_FOR_S)
                assert not _says_ready(member.http_address)
            finally:
                stranger.kill()
            running.processes[member.host].start()
            wait_until(lambda: is_ready(member.http_address), member.host)


def _without_key(running, host):
    file = running.folder / f'{host}.toml'
    lines = file.read_text().splitlines()
    plain = running.folder / 'stranger.toml'
    kept = [line for line in lines if not line.startswith('key_file')]
    plain.write_text('\n'.join(kept))
    return Process('node', plain, running.folder / 'stranger.log').start()


def _says_ready(address):
    try:
        return is_ready(address)
    except OSError:
        return False
