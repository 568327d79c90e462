"""Source program, backup and restore with a real control host."""

from msgspec import structs

from test.clusters import control_cluster
from test.fake_control import BASE, files, sources, write_files
from test.processes import Process, wait_until
from waxwingsaddle.client import Client
from waxwingsaddle.util.ports import free_address


def test_restore_after_all_disks_are_lost():
    """Guards against a restored log that is behind the nodes."""
    with control_cluster(count=1) as cluster:
        client = Client([cluster.address('c0')])
        for version in (1, 2, 3):
            base = BASE.replace('1500', str(1500 + version))
            entry = client.submit(sources(version, base), 'ann')
            assert entry.version == version, entry
        backup = client.backup()
        cluster.wipe('c0')
        cluster.wait_ready('c0')
        wait_until(lambda: client.history().version == 0, 'an empty log')
        later = structs.replace(backup, versions=backup.versions[1:])
        assert client.restore(later).submitted == 2
        assert client.restore(later).submitted == 0
        assert client.version(3).base == backup.versions[-1].base
        assert client.submit(sources(4), 'ann').version == 4


def test_source_submits_through_a_restart_of_the_control_host():
    """Guards against losing an edit during an outage of the control host."""
    with control_cluster(count=1) as cluster, files(sources()) as folder:
        client = Client([cluster.address('c0')])
        settings = folder / 'settings.toml'
        settings.write_text(
            '[source]\nhost = "s"\n'
            f'http_address = "{free_address()}"\n'
            f'controls = ["{cluster.address("c0")}"]\n'
            f'base_file = "{folder}/base.toml"\n'
            f'overlay_folder = "{folder}/overlays"\n',
        )
        source = Process('source', settings, folder / 'log').start()
        try:
            wait_until(lambda: client.history().version == 1, 'version 1')
            cluster.processes['c0'].kill()
            base = BASE.replace('1500', '1600')
            write_files(folder, sources(2, base))
            wait_until(lambda: 'no answer' in source.log_text(), 'an outage')
            cluster.processes['c0'].start()
            cluster.wait_ready('c0')
            wait_until(lambda: client.history().version == 2, 'version 2')
        finally:
            source.kill()
