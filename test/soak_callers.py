"""Callers of soaks: they use kept connections until the node closes them."""

import random
import threading
import time
from itertools import count

from test.soak_requests import KeptConnection, SoakRequest

SERVERS = ('ingress', 'api')
# Longer than a whole stop of the soak.
MAX_WORK_MS = 2500
WORK_MS = (5, 5, 20, 20, 100, 100, 300, 700, 1200, MAX_WORK_MS)
DEADLINE_MS = (250, 800, 1400, 5000, 5000)
BODY_BYTES = (0, 0, 10, 2000, 20_000, 100_000)
ANSWER_BYTES = (50_000, 400_001, 2_000_000)
PAUSE_S = (0, 0.01, 0.1, 0.3, 0.6, 0.9, 1.3)
BODY_PAUSE_S = (0.05, 0.3, 0.8)
PIPELINE = 'pipeline'
KINDS = ('post', 'post', 'get', 'slow', 'chunked', 'stream', PIPELINE)


class SoakCaller(threading.Thread):
    """Sends requests on one connection after another until told to end.

    Args:
        number: Number, unique in the run.
        soak: The run.

    Attributes:
        requests: All requests, also those without an answer.
    """

    def __init__(self, number, soak):
        super().__init__(name=f'{soak.seed}-{number}', daemon=True)
        self.requests = []
        self._soak = soak
        self._rng = random.Random(self.name)
        self._server = self._rng.choice(SERVERS)
        self._hosts = [node.host for node in soak.nodes]
        self._rng.shuffle(self._hosts)
        self._numbers = count()

    def run(self):
        """Connects to the next node whenever one does not listen."""
        while not self._soak.is_ending.is_set():
            host = self._hosts[0]
            try:
                connection = KeptConnection(
                    self._soak.addresses[host, self._server]
                )
            except OSError:
                self._hosts.append(self._hosts.pop(0))
                time.sleep(0.05)
                continue
            self._use(connection, host)

    def _use(self, connection, host):
        try:
            while connection.is_open and not self._soak.is_ending.is_set():
                requests = self._draw(host)
                self.requests.extend(requests)
                connection.exchange(requests)
                time.sleep(self._rng.choice(PAUSE_S))
        finally:
            connection.close()

    def _draw(self, host):
        kind = self._rng.choice(KINDS)
        if kind == PIPELINE and self._server == 'ingress':
            methods = self._rng.choices(
                ('GET', 'GET', 'POST'), k=self._rng.randint(2, 6)
            )
            return [self._new(host, method) for method in methods]
        if kind in {'get', PIPELINE}:
            return [self._new(host, 'GET')]
        if kind == 'stream':
            return [self._new_streamed(host)]
        body = self._rng.randbytes(self._rng.choice(BODY_BYTES))
        pause_s = self._rng.choice(BODY_PAUSE_S) if kind == 'slow' else 0
        return [
            self._new(
                host,
                'POST',
                body=body,
                is_chunked=kind == 'chunked',
                pause_s=pause_s if body else 0,
            )
        ]

    def _new_streamed(self, host):
        size_bytes = self._rng.choice(ANSWER_BYTES)
        request = self._new(host, 'GET', answer_bytes=size_bytes)
        if not request.is_sized:
            # Such an answer may not last much longer than the deadline.
            request.deadline_ms = max(DEADLINE_MS)
        return request

    def _new(self, host, method, **fields):
        return SoakRequest(
            f'{self.name}-{next(self._numbers)}',
            host,
            self._server,
            method,
            self._rng.choice(WORK_MS),
            self._rng.choice(DEADLINE_MS),
            **fields,
        )
