"""Notices callers that close their connection while a call runs."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass

import eventlet
from eventlet.patcher import original

from waxwingsaddle.util.clock import MS_PER_S

_GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


@dataclass(slots=True)
class Watched:
    """One call and the connection of its caller.

    Attributes:
        sock: The connection.
        on_gone: Called once when the caller closed it.
        rounds: Checks that this call has lived through.
    """

    sock: socket.socket
    on_gone: Callable[[], None]
    rounds: int = 0


class DisconnectWatch:
    """Checks the connections of all running calls at an interval.

    One poll over the calls that last longer than an interval costs less than
    an event listener for every call.

    Args:
        interval_ms: Interval of the checks.
    """

    def __init__(self, interval_ms: int) -> None:
        self._interval_s = interval_ms / MS_PER_S
        self._watched: dict[int, Watched] = {}

    def start(self) -> None:
        """Begins to check."""
        eventlet.spawn(self._check_all)

    def watch(
        self,
        sock: socket.socket,
        on_gone: Callable[[], None],
    ) -> Watched:
        """Calls `on_gone` when the peer of a socket closes it."""
        watched = Watched(sock, on_gone)
        self._watched[id(watched)] = watched
        return watched

    def forget(self, watched: Watched) -> None:
        """Ends a watch."""
        self._watched.pop(id(watched), None)

    def check(self) -> None:
        """Checks the calls that were there at the last check, too."""
        old = [one for one in self._watched.values() if one.rounds]
        for watched in self._watched.values():
            watched.rounds += 1
        if not old:
            return
        poller = original('select').poll()
        by_descriptor = {one.sock.fileno(): one for one in old}
        by_descriptor.pop(-1, None)
        for descriptor in by_descriptor:
            poller.register(descriptor, _GONE)
        for descriptor, events in poller.poll(0):
            gone = by_descriptor[descriptor]
            if events & _GONE and self._watched.pop(id(gone), None):
                gone.on_gone()

    def _check_all(self) -> None:
        while True:
            eventlet.sleep(self._interval_s)
            self.check()
