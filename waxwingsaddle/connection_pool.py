"""Connection pool of one upstream, with idle connections per lane."""

import re
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from waxwingsaddle.call_class import Lane
from waxwingsaddle.http_heads import ResponseHead
from waxwingsaddle.upstream_connection import BODYLESS, Connection
from waxwingsaddle.web import split_address

_KEEP_ALIVE_TIMEOUT = re.compile('timeout=([0-9]{1,9})')
# Subtracted from the keep-alive timeout of the upstream, so that no request is
# sent while the upstream closes the connection.
_IDLE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class NoConnection:
    """No connection is available for a request.

    Attributes:
        reason: Reason for the `reason` field of the answer.
    """

    reason: str


class ConnectionPool:
    """Open connections to one upstream.

    Args:
        address: IP number and port of the upstream.
        max_connections: Maximum number of open connections.
        connect_timeout_s: Longest wait for a new connection.
        idle_limit_s: Connections idle for longer are not reused.
        clock: Returns the monotonic time, in seconds.

    Attributes:
        max_connections: Maximum number of open connections; may be changed.
        open_count: Number of open connections.
    """

    def __init__(
        self,
        address: str,
        max_connections: int,
        connect_timeout_s: float,
        idle_limit_s: float,
        clock: Callable[[], float],
    ) -> None:
        self.max_connections = max_connections
        self._target = split_address(address)
        self._connect_timeout_s = connect_timeout_s
        self._idle_limit_s = idle_limit_s
        self._clock = clock
        self._idle: dict[Lane, list[Connection]] = defaultdict(list)
        self.open_count = 0
        self._is_closed = False

    def close(self) -> None:
        """Closes idle connections now and the others on release."""
        self._is_closed = True
        self.discard_idle()

    def acquire(
        self, lane: Lane, wait_s: float, *, must_be_new: bool = False
    ) -> Connection | NoConnection:
        """Returns a connection for a request; may block the green thread.

        Args:
            lane: Lane of the call; idle connections are kept per lane.
            wait_s: Longest wait for a new connection, in seconds.
            must_be_new: Whether to pass over idle connections.
        """
        idle = self._idle[lane]
        if must_be_new and self.open_count >= self.max_connections:
            self.discard_idle()
        while idle and not must_be_new:
            connection = idle.pop()
            if self._is_usable(connection):
                return connection
            self.discard(connection)
        if self.open_count >= self.max_connections:
            return NoConnection('connections')
        self.open_count += 1
        try:
            return Connection(
                self._target,
                min(wait_s, self._connect_timeout_s),
            )
        except OSError:
            self.open_count -= 1
            return NoConnection('upstream-refused')

    def release(
        self,
        connection: Connection,
        head: ResponseHead,
        lane: Lane,
    ) -> None:
        """Returns a connection whose answer was read in full to the pool."""
        framing = head.framing
        is_delimited = (
            framing.is_chunked
            or framing.length is not None
            or head.status in BODYLESS
        )
        is_reusable = (
            connection.is_reusable and not connection.reader.has_buffered
        )
        if framing.is_persistent and is_delimited and is_reusable:
            self._keep_idle(connection, head, lane)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Closes a connection."""
        self.open_count -= 1
        connection.close()

    def reset(self, connection: Connection) -> None:
        """Resets a connection whose answer was not read in full."""
        self.open_count -= 1
        connection.reset()

    def discard_idle(self) -> None:
        """Closes all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                self.discard(connection)
            idle.clear()

    def _keep_idle(
        self,
        connection: Connection,
        head: ResponseHead,
        lane: Lane,
    ) -> None:
        if self._is_closed:
            self.discard(connection)
            return
        connection.idle_limit_s = min(self._idle_limit_s, _keep_alive_s(head))
        connection.idle_since_s = self._clock()
        self._idle[lane].append(connection)

    def _is_usable(self, connection: Connection) -> bool:
        idle_s = self._clock() - connection.idle_since_s
        return idle_s < connection.idle_limit_s and connection.is_idle()


def _keep_alive_s(head: ResponseHead) -> float:
    """Returns how long an idle connection may be reused, in seconds.

    Infinite if the answer has no keep-alive timeout.
    """
    hint = head.fields.get('keep-alive', '')
    match = _KEEP_ALIVE_TIMEOUT.search(hint) if hint else None
    if match is None:
        return float('inf')
    return int(match.group(1)) - _IDLE_MARGIN_S
