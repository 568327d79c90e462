"""Fault-injecting TCP proxy: delay, loss, one-way cuts and refusal.

A lost segment has the effect that TCP applications see: its bytes arrive after
a retransmission timeout, and later bytes wait behind them. A cut direction
holds its bytes back until the cut ends, as a network partition without resets
does.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec
from eventlet import convenience, event, greenthread, queue, sleep
from eventlet.green import socket

from waxwingsaddle import web
from waxwingsaddle.fault_proxy_settings import (
    Condition,
    FaultsSettings,
    LinkSettings,
)
from waxwingsaddle.kernel import Kernel
from waxwingsaddle.util.clock import MS_PER_S, monotonic_s
from waxwingsaddle.util.codec import json_decoder

READ_BYTES = 65_536
SEGMENT_BYTES = 1448
# Smallest retransmission timeout of common TCP stacks.
RETRANSMISSION_TIMEOUT_S = 0.2
MAX_BUFFERED_CHUNKS = 256
CUT_POLL_S = 0.02


@dataclass(slots=True)
class Link:
    """State of a proxied address.

    Attributes:
        settings: Name and addresses of the link.
        condition: Current condition.
        rng: Random numbers for delays and losses.
        forward_bytes: Bytes read from clients so far.
        backward_bytes: Bytes read from the server so far.
        connections: Connections accepted so far.
    """

    settings: LinkSettings
    condition: Condition
    rng: random.Random
    forward_bytes: int = 0
    backward_bytes: int = 0
    connections: int = 0

    def is_cut(self, is_forward: bool) -> bool:
        """Returns whether a direction is cut."""
        if is_forward:
            return self.condition.is_forward_cut
        return self.condition.is_backward_cut

    def count_bytes(self, is_forward: bool, size_bytes: int) -> None:
        """Adds to the byte counter of a direction."""
        if is_forward:
            self.forward_bytes += size_bytes
        else:
            self.backward_bytes += size_bytes

    def draw_delay_s(self, size_bytes: int) -> float:
        """Draws the delay for the bytes of one read.

        The delay includes one retransmission timeout if any of the segments
        is lost.
        """
        condition = self.condition
        delay_ms = condition.delay_ms + self.rng.uniform(0, condition.jitter_ms)
        segments = size_bytes // SEGMENT_BYTES + 1
        loss = condition.loss_percent / 100
        is_lost = any(self.rng.random() < loss for _ in range(segments))
        retransmission_s = RETRANSMISSION_TIMEOUT_S if is_lost else 0
        return delay_ms / MS_PER_S + retransmission_s


@dataclass(slots=True)
class _Direction:
    """One direction of a proxied connection."""

    link: Link
    source: socket.socket
    sink: socket.socket
    is_forward: bool
    chunks: queue.Queue = field(
        default_factory=lambda: queue.Queue(MAX_BUFFERED_CHUNKS),
    )

    def receive_chunks(self) -> None:
        """Reads until the end of the stream and sets when each chunk is due."""
        due_s = 0.0
        while True:
            chunk = _receive(self.source)
            due_s = max(
                due_s, monotonic_s() + self.link.draw_delay_s(len(chunk))
            )
            self.link.count_bytes(self.is_forward, len(chunk))
            self.chunks.put((due_s, chunk))
            if not chunk:
                return

    def deliver_chunks(self) -> None:
        """Writes each chunk when it is due, unless the direction is cut."""
        while True:
            due_s, chunk = self.chunks.get()
            sleep(max(0, due_s - monotonic_s()))
            while self.link.is_cut(self.is_forward):
                sleep(CUT_POLL_S)
            if not chunk or not _send(self.sink, chunk):
                return


class Proxy:
    """The links of the proxy, and the WSGI application that controls them.

    Args:
        settings: Settings of the proxy.
    """

    def __init__(self, settings: FaultsSettings) -> None:
        rng = random.Random(settings.seed)
        self.links = {
            link.name: Link(link, link.condition, random.Random(rng.random()))
            for link in settings.links
        }
        self._threads: list[greenthread.GreenThread] = []

    def start(self) -> None:
        """Starts to listen on the address of every link."""
        for link in self.links.values():
            listener = convenience.listen(
                web.split_address(link.settings.listen_address),
            )
            self._threads.append(
                greenthread.spawn(_accept_loop, link, listener)
            )

    def stop(self) -> None:
        """Stops accepting connections."""
        for thread in self._threads:
            thread.kill()

    def __call__(
        self,
        environ: web.Environ,
        start_response: web.StartResponse,
    ) -> Iterable[bytes]:
        """Serves `GET /links`, and `PUT /links/NAME` with a new condition."""
        name = environ['PATH_INFO'].removeprefix('/links').strip('/')
        if environ['REQUEST_METHOD'] == 'PUT':
            if name not in self.links:
                return web.reply_json(
                    start_response,
                    '404 Not Found',
                    {'error': f'unknown link {name!r}'},
                )
            body = environ['wsgi.input'].read()
            try:
                condition = json_decoder(Condition)(body)
            except msgspec.MsgspecError as error:
                return web.reply_json(
                    start_response,
                    '400 Bad Request',
                    {'error': str(error)},
                )
            self.links[name].condition = condition
        return web.reply_json(
            start_response,
            '200 OK',
            {
                link.settings.name: {
                    'condition': link.condition,
                    'forward_bytes': link.forward_bytes,
                    'backward_bytes': link.backward_bytes,
                    'connections': link.connections,
                }
                for link in self.links.values()
            },
        )


def build(settings: FaultsSettings) -> Kernel:
    """Returns the kernel of the proxy."""
    kernel = Kernel()
    proxy = Proxy(settings)
    probes = web.Probes(proxy, is_ready=lambda: True)
    kernel.provide('proxy', proxy)
    kernel.provide('http', web.Server(settings.http_address, probes))
    return kernel


def _accept_loop(link: Link, listener: socket.socket) -> None:
    while True:
        client, _ = listener.accept()
        greenthread.spawn(_proxy_connection, link, client)


def _proxy_connection(link: Link, client: socket.socket) -> None:
    link.connections += 1
    if link.condition.is_refusing:
        client.close()
        return
    try:
        server = convenience.connect(
            web.split_address(link.settings.target_address),
        )
    except OSError:
        client.close()
        return
    for connection in (client, server):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    _forward(link, client, server)
    for endpoint in (client, server):
        endpoint.close()


def _forward(link: Link, client: socket.socket, server: socket.socket) -> None:
    """Forwards bytes in both directions until one of them has ended."""
    ended = event.Event()
    threads = []
    for direction in (
        _Direction(link, client, server, is_forward=True),
        _Direction(link, server, client, is_forward=False),
    ):
        threads.append(greenthread.spawn(direction.receive_chunks))
        threads.append(greenthread.spawn(direction.deliver_chunks))
        threads[-1].link(_signal_end, ended)
    ended.wait()
    # Threads are killed before the sockets are closed, since eventlet may wake
    # another green thread when a descriptor is closed under a reader.
    for thread in threads:
        thread.kill()


def _signal_end(_thread: greenthread.GreenThread, ended: event.Event) -> None:
    if not ended.ready():
        ended.send()


def _receive(connection: socket.socket) -> bytes:
    try:
        return connection.recv(READ_BYTES)
    except OSError:
        return b''


def _send(connection: socket.socket, chunk: bytes) -> bool:
    try:
        connection.sendall(chunk)
    except OSError:
        return False
    return True
