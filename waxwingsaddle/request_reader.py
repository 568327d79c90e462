"""Reads requests of one connection within the limits in force."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from waxwingsaddle import metrics
from waxwingsaddle.config_models import Limits
from waxwingsaddle.entry_bound import Held
from waxwingsaddle.http_bodies import Body
from waxwingsaddle.http_heads import (
    HeadLimits,
    HeadTooLargeError,
    MalformedError,
    RequestHead,
    parse_request,
    read_head,
)
from waxwingsaddle.socket_reader import SocketReader
from waxwingsaddle.util.clock import MS_PER_S

_PIECE_BYTES = 65_536
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

_unreadable = metrics.counter(
    'waxwing_ingress_unreadable',
    'Requests that could not be read.',
    ('reason',),
)


class UnreadableError(Exception):
    """A request that could not be read, so that it has not run.

    Args:
        reason: Why, as in the reasons of answers.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
        _unreadable.labels(reason).inc()


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_limits: Largest accepted head.
        body_bytes: Largest accepted body.
        head_timeout_s: Longest time a head may take to arrive, and longest
            pause within a body.
        idle_timeout_s: Longest time without a call.
    """

    head_limits: HeadLimits
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float

    def with_overrides(self, given: Limits) -> 'ConnectionLimits':
        """Returns the limits with those that a configuration sets."""
        head_bytes = given.head_bytes or self.head_limits.most_bytes
        return ConnectionLimits(
            HeadLimits(head_bytes, self.head_limits.most_lines),
            given.body_bytes or self.body_bytes,
            given.head_timeout_ms / MS_PER_S or self.head_timeout_s,
            given.idle_timeout_ms / MS_PER_S or self.idle_timeout_s,
        )


class RequestReader:
    """Reads the requests of a connection in order.

    Args:
        sock: The connection.

    Attributes:
        is_idle_out: Whether the idle timeout ended the connection.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self.is_idle_out = False

    def next_head(
        self,
        limits: ConnectionLimits,
        is_idle: Callable[[], bool],
    ) -> RequestHead | None:
        """Waits for a request and returns its head.

        Args:
            limits: Limits in force.
            is_idle: Says whether all calls are answered; the idle timeout
                counts only then.

        Returns:
            None when the caller closed the connection or was idle too long.

        Raises:
            OSError: The caller broke the connection off.
            UnreadableError: The head is malformed, too large or too slow.
        """
        if not self._await_first(limits, is_idle):
            return None
        self._reader.deadline_s = time.monotonic() + limits.head_timeout_s
        try:
            raw = read_head(self._reader, limits.head_limits)
            return parse_request(raw) if raw else None
        except TimeoutError:
            raise UnreadableError('head-timeout') from None
        except HeadTooLargeError:
            raise UnreadableError('head-too-large') from None
        except MalformedError:
            raise UnreadableError('malformed') from None
        finally:
            self._reader.deadline_s = None

    def body(
        self,
        head: RequestHead,
        limits: ConnectionLimits,
        held: Held,
        wait_turn: Callable[[], None],
    ) -> bytes:
        """Reads the whole body of a request.

        Args:
            head: Head of the request.
            limits: Limits in force.
            held: Counts the bytes.
            wait_turn: Waits until all calls before are answered, because an
                interim answer must not overtake theirs.

        Raises:
            OSError: The caller broke the connection off.
            UnreadableError: The body is malformed, too large or too slow, or
                there is no room for it.
        """
        body = Body(self._reader, head.framing)
        if body.is_complete:
            return b''
        if (body.length or 0) > limits.body_bytes:
            raise UnreadableError('body-too-large')
        if head.fields.get('expect', '').lower() == '100-continue':
            wait_turn()
            self._sock.sendall(_CONTINUE)
        piece_bytes = min(_PIECE_BYTES, body.length or _PIECE_BYTES)
        pieces: list[bytes] = []
        while not body.is_complete:
            if not held.grow(piece_bytes):
                raise UnreadableError('entry-full')
            pieces.append(self._piece(body, limits))
            if held.body_bytes > limits.body_bytes + _PIECE_BYTES:
                raise UnreadableError('body-too-large')
        return b''.join(pieces)

    def skip_body(self, head: RequestHead, limits: ConnectionLimits) -> bool:
        """Reads the body of a refused request, and says whether it could.

        A long body is not read: the connection closes in its place.
        """
        body = Body(self._reader, head.framing)
        if body.is_complete:
            return True
        is_long = body.length is None or body.length > _PIECE_BYTES
        if is_long or 'expect' in head.fields:
            return False
        try:
            self._piece(body, limits)
        except UnreadableError:
            return False
        return body.is_complete

    def wait_end(self, limit_s: float | None = None) -> None:
        """Reads and drops all bytes until the caller closes.

        Raises:
            OSError: The caller broke the connection off, or the time passed.
        """
        self._reader.deadline_s = limit_s
        if limit_s is None:
            self._sock.settimeout(None)
        while self._reader.peek():
            self._reader.drop()

    def _piece(self, body: Body, limits: ConnectionLimits) -> bytes:
        self._reader.deadline_s = time.monotonic() + limits.head_timeout_s
        try:
            return body.read(_PIECE_BYTES)
        except TimeoutError:
            raise UnreadableError('body-timeout') from None
        except MalformedError:
            raise UnreadableError('bad-body') from None
        finally:
            self._reader.deadline_s = None

    def _await_first(
        self,
        limits: ConnectionLimits,
        is_idle: Callable[[], bool],
    ) -> bool:
        while True:
            self._reader.deadline_s = time.monotonic() + limits.idle_timeout_s
            try:
                return bool(self._reader.peek())
            except TimeoutError:
                self.is_idle_out = is_idle()
            if self.is_idle_out:
                return False
