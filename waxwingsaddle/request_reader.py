"""Reads the HTTP requests of one connection within the current limits."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from waxwingsaddle import metrics
from waxwingsaddle.config_models import Limits
from waxwingsaddle.entry_bound import Reservation
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

_BLOCK_BYTES = 65_536
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'

_unreadable_requests = metrics.counter(
    'waxwing_ingress_unreadable',
    'Requests that could not be read.',
    ('reason',),
)


class UnreadableError(Exception):
    """A request could not be read and has therefore not run.

    Args:
        reason: Reason code, as in `Answer.reason`.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
        _unreadable_requests.labels(reason).inc()


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of one connection.

    Attributes:
        head_limits: Largest accepted head.
        body_bytes: Largest accepted body, in bytes.
        head_timeout_s: Longest time in which a head must arrive, in seconds;
            also the longest time for each block of a body.
        idle_timeout_s: Longest time without a call, in seconds.
    """

    head_limits: HeadLimits
    body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float

    def with_overrides(self, limits: Limits) -> 'ConnectionLimits':
        """Returns these limits, with those replaced that are set in `limits`.

        Args:
            limits: Limits from the configuration; 0 means not set.
        """
        head_bytes = limits.head_bytes or self.head_limits.max_bytes
        return ConnectionLimits(
            HeadLimits(head_bytes, self.head_limits.max_lines),
            limits.body_bytes or self.body_bytes,
            limits.head_timeout_ms / MS_PER_S or self.head_timeout_s,
            limits.idle_timeout_ms / MS_PER_S or self.idle_timeout_s,
        )


class RequestReader:
    """Reads the requests of a connection in order.

    Args:
        sock: Socket of the connection.

    Attributes:
        is_idle_expired: Whether the connection ended by the idle timeout.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._reader = SocketReader(sock)
        self.is_idle_expired = False

    def next_head(
        self,
        limits: ConnectionLimits,
        has_no_calls: Callable[[], bool],
    ) -> RequestHead | None:
        """Waits for a request and returns its head.

        Args:
            limits: Current limits.
            has_no_calls: Returns whether all calls are answered; the idle
                timeout applies only then.

        Returns:
            The head; None if the caller closed the connection or the idle
            timeout expired.

        Raises:
            OSError: The caller broke the connection off.
            UnreadableError: The head is malformed, too large or took too long.
        """
        if not self._wait_for_request(limits, has_no_calls):
            return None
        self._reader.deadline_s = time.monotonic() + limits.head_timeout_s
        try:
            raw_head = read_head(self._reader, limits.head_limits)
            return parse_request(raw_head) if raw_head else None
        except TimeoutError:
            raise UnreadableError('head-timeout') from None
        except HeadTooLargeError:
            raise UnreadableError('head-too-large') from None
        except MalformedError:
            raise UnreadableError('malformed') from None
        finally:
            self._reader.deadline_s = None

    def read_body(
        self,
        head: RequestHead,
        limits: ConnectionLimits,
        reservation: Reservation,
        wait_for_earlier_answers: Callable[[], None],
    ) -> bytes:
        """Reads the complete body of a request.

        Args:
            head: Head of the request.
            limits: Current limits.
            reservation: Reservation of the call, extended by the body bytes.
            wait_for_earlier_answers: Waits until all earlier calls are
                answered, because a `100 Continue` must not be sent before
                their answers.

        Raises:
            OSError: The caller broke the connection off.
            UnreadableError: The body is malformed, too large or took too long,
                or the bound on body bytes is reached.
        """
        body = Body(self._reader, head.framing)
        if body.is_complete:
            return b''
        if (body.length or 0) > limits.body_bytes:
            raise UnreadableError('body-too-large')
        if head.fields.get('expect', '').lower() == '100-continue':
            wait_for_earlier_answers()
            self._sock.sendall(_CONTINUE_RESPONSE)
        block_bytes = min(_BLOCK_BYTES, body.length or _BLOCK_BYTES)
        blocks: list[bytes] = []
        while not body.is_complete:
            if not reservation.reserve_body(block_bytes):
                raise UnreadableError('entry-full')
            blocks.append(self._read_block(body, limits))
            if reservation.body_bytes > limits.body_bytes + _BLOCK_BYTES:
                raise UnreadableError('body-too-large')
        return b''.join(blocks)

    def skip_body(self, head: RequestHead, limits: ConnectionLimits) -> bool:
        """Reads and drops the body of a refused request.

        Returns:
            Whether the body was read completely. A long body, or one that the
            caller sends only after `100 Continue`, is not read; the connection
            must then be closed.
        """
        body = Body(self._reader, head.framing)
        if body.is_complete:
            return True
        is_long = body.length is None or body.length > _BLOCK_BYTES
        if is_long or 'expect' in head.fields:
            return False
        try:
            self._read_block(body, limits)
        except UnreadableError:
            return False
        return body.is_complete

    def wait_for_close(self) -> None:
        """Reads and drops all bytes until the caller closes the connection.

        Raises:
            OSError: The caller broke the connection off.
        """
        self._reader.deadline_s = None
        self._sock.settimeout(None)
        while self._reader.peek():
            self._reader.discard()

    def _read_block(self, body: Body, limits: ConnectionLimits) -> bytes:
        self._reader.deadline_s = time.monotonic() + limits.head_timeout_s
        try:
            return body.read(_BLOCK_BYTES)
        except TimeoutError:
            raise UnreadableError('body-timeout') from None
        except MalformedError:
            raise UnreadableError('bad-body') from None
        finally:
            self._reader.deadline_s = None

    def _wait_for_request(
        self,
        limits: ConnectionLimits,
        has_no_calls: Callable[[], bool],
    ) -> bool:
        while True:
            self._reader.deadline_s = time.monotonic() + limits.idle_timeout_s
            try:
                return bool(self._reader.peek())
            except TimeoutError:
                self.is_idle_expired = has_no_calls()
            if self.is_idle_expired:
                return False
