"""Stand-in upstream with slots, cold start, shedding, slowdowns and drain.

Measurements and failure tests use it. The query of a call sets the execution
time (`work_ms`) and the size of the answer (`size_bytes`). The answer is a
function of the call id, so that a caller can check that it received the
complete answer to its own call.
"""

import hashlib
import socket
from collections import deque
from collections.abc import Iterable
from urllib.parse import parse_qsl

import msgspec
from eventlet import semaphore, sleep

from waxwingsaddle import metrics, web
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.standin_announcer import Announcer
from waxwingsaddle.standin_settings import StandinSettings
from waxwingsaddle.standin_state import Journal, SimulatedCall, Slowdown, Speed
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import json_decoder

CALL_ID_HEADER = 'X-Call-Id'
POLL_INTERVAL_S = 0.02
MAX_ANSWER_BYTES = 268_435_456
CHUNK_BYTES = 65_536
DIGEST_BYTES = 32
MAX_LOAD_SAMPLES = 4096

_executions = metrics.counter(
    'waxwing_standin_executions',
    'Calls that the stand-in upstream ran, by end.',
    ('end',),
)


def answer_block(call_id: str) -> bytes:
    """Returns the block that the answer to a call repeats."""
    digest = hashlib.sha256(call_id.encode()).digest()
    return digest * (CHUNK_BYTES // DIGEST_BYTES)


def is_complete_answer(call_id: str, size_bytes: int, body: bytes) -> bool:
    """Returns whether a body is the complete answer to the call of this id."""
    block = answer_block(call_id)
    repeats = size_bytes // len(block) + 1
    return len(body) == size_bytes and body == (block * repeats)[:size_bytes]


class Standin:
    """WSGI application of the stand-in upstream.

    Attributes:
        speed: Current factor of the execution times.
        state: Announced state, `ready` or `draining`.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._slots = semaphore.Semaphore(settings.slots)
        self._journal = Journal(settings)
        self._in_flight = 0
        self._load_samples: deque[tuple[float, int]] = deque(
            maxlen=MAX_LOAD_SAMPLES
        )
        self.speed = Speed(settings)
        self.state = 'ready'

    @property
    def in_flight(self) -> int:
        """Number of calls that run or wait for a slot."""
        return self._in_flight

    def __call__(
        self,
        environ: web.Environ,
        start_response: web.StartResponse,
    ) -> Iterable[bytes]:
        """Serves a call, or a request to `/standin/`."""
        if environ['PATH_INFO'].startswith('/standin/'):
            return self._handle_control_request(environ, start_response)
        _discard_body(environ)
        settings = self._settings
        if self._in_flight >= settings.slots + settings.queue:
            _executions.labels('shed').inc()
            return web.reply_json(
                start_response,
                '503 Service Unavailable',
                {'error': 'upstream sheds load'},
                (('Waxwing-Outcome', 'not-run'),),
            )
        self._change_in_flight(1)
        try:
            return self._execute(environ, start_response, _parse_call(environ))
        finally:
            self._change_in_flight(-1)

    def _execute(
        self,
        environ: web.Environ,
        start_response: web.StartResponse,
        call: SimulatedCall,
    ) -> Iterable[bytes]:
        with self._slots:
            self._journal.write('start', call)
            is_completed = _wait_unless_cancelled(
                call.work_s * self.speed.factor,
                _client_socket(environ),
            )
            end = 'end' if is_completed else 'cancelled'
            self._journal.write(end, call)
            _executions.labels(end).inc()
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/octet-stream'),
                ('Content-Length', str(call.size_bytes)),
                (CALL_ID_HEADER, call.call_id),
                ('X-Upstream', self._settings.host),
            ],
        )
        return _answer_chunks(call)

    def _handle_control_request(
        self,
        environ: web.Environ,
        start_response: web.StartResponse,
    ) -> Iterable[bytes]:
        action = environ['PATH_INFO'].removeprefix('/standin/')
        body = environ['wsgi.input'].read()
        if action == 'slow':
            try:
                slowdown = json_decoder(Slowdown)(body)
            except msgspec.MsgspecError as error:
                return web.reply_json(
                    start_response,
                    '400 Bad Request',
                    {'error': str(error)},
                )
            self.speed.slow_down(slowdown)
        elif action == 'drain':
            self.state = 'draining'
        elif action != 'load':
            return web.reply_json(
                start_response,
                '404 Not Found',
                {'error': f'action {action!r} is not slow, drain or load'},
            )
        return web.reply_json(
            start_response, '200 OK', self._delayed_load_report()
        )

    def _change_in_flight(self, change: int) -> None:
        self._in_flight += change
        self._load_samples.append((monotonic_s(), self._in_flight))

    def _delayed_load_report(self) -> dict[str, object]:
        horizon_s = monotonic_s() - self._settings.report_lag_s
        reportable = [
            count for at_s, count in self._load_samples if at_s <= horizon_s
        ]
        return {
            'state': self.state,
            'in_flight': reportable[-1] if reportable else 0,
        }


def build(settings: StandinSettings) -> Kernel:
    """Returns the kernel of a stand-in upstream."""
    kernel = Kernel()
    standin = Standin(settings)
    probes = web.Probes(standin, is_ready=lambda: True)
    kernel.provide('http', web.Server(settings.http_address, probes))
    kernel.provide('announcer', Announcer(settings, standin))
    return kernel


def _parse_call(environ: web.Environ) -> SimulatedCall:
    query = dict(parse_qsl(environ.get('QUERY_STRING', '')))
    return SimulatedCall(
        call_id=environ.get('HTTP_X_CALL_ID', ''),
        key=environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        path=environ['PATH_INFO'],
        work_s=float(query.get('work_ms', 0)) / MS_PER_S,
        size_bytes=min(int(query.get('size_bytes', 0)), MAX_ANSWER_BYTES),
    )


def _discard_body(environ: web.Environ) -> None:
    stream = environ['wsgi.input']
    is_open = True
    while is_open:
        is_open = bool(stream.read(CHUNK_BYTES))


def _answer_chunks(call: SimulatedCall) -> Iterable[bytes]:
    block = answer_block(call.call_id)
    full_blocks, remainder_bytes = divmod(call.size_bytes, len(block))
    yield from (block for _ in range(full_blocks))
    if remainder_bytes:
        yield block[:remainder_bytes]


def _client_socket(environ: web.Environ) -> socket.socket:
    return environ['wsgi.input'].get_socket()


def _wait_unless_cancelled(
    duration_s: float, connection: socket.socket
) -> bool:
    """Waits for the execution time and says whether the call completed.

    A caller cancels a call by closing the connection.
    """
    end_s = monotonic_s() + duration_s
    while (remaining_s := end_s - monotonic_s()) > 0:
        sleep(min(remaining_s, POLL_INTERVAL_S))
        if _is_closed(connection):
            return False
    return True


def _is_closed(connection: socket.socket) -> bool:
    try:
        peeked = connection.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return not peeked
