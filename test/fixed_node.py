"""Node program with a fixed configuration and directory, for tests.

The file `fixed.json` beside the settings file has the base file of the
configuration and the directory entries of other nodes' upstreams.
"""

from waxwingsaddle import ui  # noqa: F401  isort:skip

import json
import sys
from pathlib import Path
from types import SimpleNamespace

from waxwingsaddle import config, program
from waxwingsaddle.node import build
from waxwingsaddle.node_settings import NodeSettings


class FixedDirectory:
    """Own announcements, and fixed upstreams of other nodes."""

    def __init__(self, settings, kernel, others, nodes):
        self._settings = settings
        self._nodes = {}
        for one in nodes:
            zone = one['availability_zone']
            listed = (*self._nodes.get(zone, ()), SimpleNamespace(**one))
            self._nodes[zone] = listed
        self._kernel = kernel
        self._others = others
        self._entries = {}
        kernel.subscribe('upstreams-changed', self._entries.clear)

    def upstreams_of(self, service):
        """Returns the entries of a service; the same tuple until a change."""
        if service not in self._entries:
            own = (
                SimpleNamespace(
                    name=one.name,
                    service=one.service,
                    host=self._settings.host,
                    availability_zone=self._settings.availability_zone,
                    call_address=self._settings.call_address,
                    slots=one.slots,
                    state=one.state,
                    started_ms_ago=3_600_000,
                )
                for one in self._kernel.find('upstreams').announcements()
            )
            others = (SimpleNamespace(**one) for one in self._others)
            self._entries[service] = tuple(
                one for one in (*own, *others) if one.service == service
            )
        return self._entries[service]

    def nodes_of(self, zone):
        """Returns the nodes of a zone; the same tuple each time."""
        return self._nodes.get(zone, ())


def subscribe(kernel, settings):
    """Provides `configuration` and `directory` from the file."""
    path = Path(sys.argv[sys.argv.index('--settings') + 1])
    fixed = json.loads(path.with_name('fixed.json').read_text('utf-8'))
    checked = config.check_sources(
        config.SourceSet(base=fixed['base'], overlays={settings.site: ''}),
    )
    current = config.snapshot(settings.site, 1, checked.sites[settings.site])
    kernel.provide(
        'configuration', SimpleNamespace(current=current, problem='')
    )
    kernel.provide(
        'directory',
        FixedDirectory(settings, kernel, fixed['others'], fixed['nodes']),
    )


if __name__ == '__main__':
    sys.exit(
        program.run(
            'node',
            NodeSettings,
            lambda settings: build(settings, subscribe),
        ),
    )
