"""Announcements of the stand-in upstream to the node on its host."""

import itertools
import json
from http import HTTPStatus
from typing import Protocol

import urllib3
from eventlet import greenthread, sleep

from waxwingsaddle import logs
from waxwingsaddle.standin_settings import StandinSettings
from waxwingsaddle.strict_client import pool_manager
from waxwingsaddle.util.clock import monotonic_s, wall_ms

POLL_INTERVAL_S = 0.02
ANNOUNCE_TIMEOUT_S = 1


class AnnouncedUpstream(Protocol):
    """The stand-in, as its announcements show it.

    Attributes:
        state: `ready` or `draining`.
        in_flight: Number of running calls.
    """

    state: str

    @property
    def in_flight(self) -> int:
        """Number of running calls."""


class Announcer:
    """Announces the upstream periodically to the node on its host."""

    def __init__(
        self, settings: StandinSettings, standin: AnnouncedUpstream
    ) -> None:
        self._settings = settings
        self._standin = standin
        self._pool = pool_manager(retries=False)
        self._thread: greenthread.GreenThread | None = None
        self._url = (
            f'http://{settings.node_http_address}/v1/upstreams/{settings.host}'
        )
        self._announced_state = ''
        self._started_at_ms = wall_ms()
        self._sequence = itertools.count(1)

    def start(self) -> None:
        """Starts the announcements."""
        self._thread = greenthread.spawn(self._run)

    def stop(self) -> None:
        """Announces the drain, waits for calls in flight, then deregisters."""
        self._standin.state = 'draining'
        self._announce()
        while self._standin.in_flight:
            sleep(POLL_INTERVAL_S)
        if self._thread is not None:
            self._thread.kill()
        self._request('DELETE')

    def _run(self) -> None:
        due_s = 0.0
        while True:
            has_changed = self._announced_state != self._standin.state
            if has_changed or monotonic_s() >= due_s:
                self._announce()
                due_s = monotonic_s() + self._settings.announce_interval_s
            sleep(POLL_INTERVAL_S)

    def _announce(self) -> None:
        state = self._standin.state
        announcement = {
            'service': self._settings.service,
            'address': self._settings.http_address,
            'slots': self._settings.slots,
            'state': state,
            'started_at_ms': self._started_at_ms,
            'sequence': next(self._sequence),
        }
        if self._request('PUT', json.dumps(announcement).encode()):
            self._announced_state = state

    def _request(self, method: str, body: bytes | None = None) -> bool:
        try:
            response = self._pool.request(
                method,
                self._url,
                body=body,
                timeout=ANNOUNCE_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            logs.logger().debug('announcement failed', error=str(error))
            return False
        return response.status < HTTPStatus.MULTIPLE_CHOICES
