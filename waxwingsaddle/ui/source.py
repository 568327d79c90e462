"""Program `waxwing-source`: submits source files when they change."""

import sys
from pathlib import Path

from waxwingsaddle import program
from waxwingsaddle.access import Authenticator
from waxwingsaddle.api import Api, BodyLimits
from waxwingsaddle.api_fleet import events_endpoint
from waxwingsaddle.client import Client
from waxwingsaddle.edit_watcher import EditWatcher
from waxwingsaddle.events import Timeline
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.settings import SettingsError
from waxwingsaddle.source import Source
from waxwingsaddle.source_settings import SourceSettings
from waxwingsaddle.util.backoff import Backoff
from waxwingsaddle.util.clock import MS_PER_S
from waxwingsaddle.web import Probes, Server

NO_BODIES = BodyLimits(0, 0)


def build(settings: SourceSettings) -> Kernel | SettingsError:
    """Creates the kernel with all services of the program."""
    try:
        token = _read_token(settings)
    except (OSError, UnicodeDecodeError) as error:
        return SettingsError('settings', 'source.token_file', str(error))
    kernel = Kernel()
    timeline = Timeline('source', settings.host, settings.events_kept)
    source = Source(
        EditWatcher(
            Path(settings.base_file),
            Path(settings.overlay_folder),
            settings.settle_ms / MS_PER_S,
        ),
        Client(
            settings.controls,
            token,
            settings.answer_limit_ms,
        ),
        settings.author,
        timeline,
        Backoff(
            settings.retry_first_ms / MS_PER_S,
            settings.retry_limit_ms / MS_PER_S,
        ),
        settings.poll_ms / MS_PER_S,
    )
    api = Api((events_endpoint(kernel),), Authenticator(()), NO_BODIES)
    probes = Probes(api, source.is_ready, source.detail)
    kernel.provide('events', timeline)
    kernel.provide('source', source)
    kernel.provide('http', Server(settings.http_address, probes))
    return kernel


def main() -> int:
    """Runs the program until a stop signal and returns its exit status."""
    return program.run('source', SourceSettings, build)


def _read_token(settings: SourceSettings) -> str:
    if not settings.token_file:
        return ''
    return Path(settings.token_file).read_text(encoding='utf-8').strip()


if __name__ == '__main__':
    sys.exit(main())
