"""Connections to one upstream, with separate pools for long work."""

import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle.call_class import Lane
from waxwingsaddle.heads import AnswerHead
from waxwingsaddle.upstream_connection import BODYLESS, Connection
from waxwingsaddle.web import split_address

_KEEP_ALIVE = re.compile('timeout=([0-9]{1,9})')
# The time that the upstream keeps a connection is cut by this, so that no
# request crosses its close.
_IDLE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class NoConnection:
    """There is no connection for a request.

    Attributes:
        reason: Why, as in the reasons of answers.
    """

    reason: str


class ConnectionPool:
    """Connections to one upstream.

    Args:
        address: IP number and port of the upstream.
        most: Most open connections.
        connect_timeout_s: Longest wait for a new connection.
        idle_limit_s: Idle connections older than this are not used again.
        clock: Monotonic seconds.

    Attributes:
        most: Most open connections.
    """

    def __init__(
        self,
        address: str,
        most: int,
        connect_timeout_s: float,
        idle_limit_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.most = most
        self._target = split_address(address)
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._clock = clock
        self._idle: dict[Lane, list[Connection]] = defaultdict(list)
        self._open = 0
        self._is_closed = False

    def close(self) -> None:
        """Closes the idle connections, and the others when they are idle."""
        self._is_closed = True
        self.discard_idle()

    def take(self, lane: Lane, left_s: float) -> Connection | NoConnection:
        """Returns a connection for a request; may block its green thread.

        Args:
            lane: Kind of work.
            left_s: Longest wait.
        """
        idle = self._idle[lane]
        while idle:
            connection = idle.pop()
            if self._is_usable(connection):
                return connection
            self.discard(connection)
        if self._open >= self.most:
            return NoConnection('connections')
        self._open += 1
        try:
            return Connection(
                self._target,
                min(left_s, self._connect_timeout_s),
            )
        except OSError:
            self._open -= 1
            return NoConnection('upstream-refused')

    def release(
        self,
        connection: Connection,
        head: AnswerHead,
        lane: Lane,
    ) -> None:
        """Takes a connection back whose answer was read to its end."""
        framing = head.framing
        is_delimited = (
            framing.is_chunked
            or framing.length is not None
            or head.status in BODYLESS
        )
        is_sound = connection.is_sound and not connection.reader.has_buffered
        if framing.is_kept and is_delimited and is_sound:
            self._keep(connection, head, lane)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection."""
        self._open -= 1
        connection.close()

    def discard_idle(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                self.discard(connection)
            idle.clear()

    def _keep(
        self,
        connection: Connection,
        head: AnswerHead,
        lane: Lane,
    ) -> None:
        if self._is_closed:
            self.discard(connection)
            return
        connection.idle_limit_s = min(self._idle_limit_s, _kept_s(head))
        connection.idle_since_s = self._clock()
        self._idle[lane].append(connection)

    def _is_usable(self, connection: Connection) -> bool:
        idle_s = self._clock() - connection.idle_since_s
        return idle_s < connection.idle_limit_s and connection.is_idle()


def _kept_s(head: AnswerHead) -> float:
    """Returns how long the upstream keeps a connection, if it says so."""
    hint = head.fields.get('keep-alive', '')
    found = _KEEP_ALIVE.search(hint) if hint else None
    if found is None:
        return float('inf')
    return int(found.group(1)) - _IDLE_MARGIN_S
