"""Detects callers that close their connection while their call runs."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.patcher import original

from waxwingsaddle.util.clock import MS_PER_S

_CLOSE_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@dataclass(slots=True)
class Watch:
    """A running call and the connection of its caller.

    Attributes:
        sock: The connection.
        on_disconnect: Called once when the caller has closed the connection.
        checks: Number of checks since the call began.
    """

    sock: socket.socket
    on_disconnect: Callable[[], None]
    checks: int = 0


class DisconnectWatch:
    """Checks the connections of all running calls at a fixed interval.

    Calls that end within one interval are never polled. One poll over the
    remaining ones costs less than an event listener for every call.

    Args:
        interval_ms: Interval between checks, in milliseconds.
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_s = interval_ms / MS_PER_S
        self._watches: dict[int, Watch] = {}

    def start(self) -> None:
        """Starts the green thread that checks the connections."""
        eventlet.spawn(self._check_all)

    def watch(
        self,
        sock: socket.socket,
        on_disconnect: Callable[[], None],
    ) -> Watch:
        """Calls `on_disconnect` when the peer closes its connection."""
        new_watch = Watch(sock, on_disconnect)
        self._watches[id(new_watch)] = new_watch
        return new_watch

    def unwatch(self, watch: Watch) -> None:
        """Stops watching a connection."""
        self._watches.pop(id(watch), None)

    def check(self) -> None:
        """Polls the calls that were already running at the last check."""
        polled = [watch for watch in self._watches.values() if watch.checks]
        for current in self._watches.values():
            current.checks += 1
        if not polled:
            return
        poller = original('select').poll()
        by_descriptor = {watch.sock.fileno(): watch for watch in polled}
        by_descriptor.pop(-1, None)
        for descriptor in by_descriptor:
            poller.register(descriptor, _CLOSE_EVENTS)
        for descriptor, events in poller.poll(0):
            ready = by_descriptor[descriptor]
            if events & _CLOSE_EVENTS and self._watches.pop(id(ready), None):
                ready.on_disconnect()

    def _check_all(self) -> None:
        while True:
            eventlet.sleep(self._interval_s)
            self.check()
