"""Connections of callers that send further calls before the first answer.

One green thread reads ahead, each call runs in its own, and one writes the
answers in the order of the calls. Reading ahead also shows at once when the
caller leaves.
"""

import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from eventlet import greenthread
from eventlet.event import Event
from greenlet import GreenletExit

from waxwingsaddle import logs
from waxwingsaddle.calls import Answer, BrokenBodyError, not_run, unknown
from waxwingsaddle.heads import RequestHead
from waxwingsaddle.ingress import Admitted, Ingress
from waxwingsaddle.reply_writer import Reply, write_reply
from waxwingsaddle.request_reader import (
    ConnectionLimits,
    RequestReader,
    UnreadableError,
)
from waxwingsaddle.util.wake import Wake

# Calls of one connection that are read and not answered; the caller's own
# window is far smaller, and reading stops at this one.
_MOST_AHEAD = 32
# Longest time an answer may wait for a caller that does not read.
_WRITE_TIMEOUT_S = 10
# After the last answer, bytes still under way are read for so long: a close
# with unread bytes resets the connection and takes the answer with it.
_LINGER_S = 1.0


@dataclass(slots=True, eq=False)
class _Call:
    """One request of a connection.

    Attributes:
        head: Its head; absent when it could not be read.
        admitted: What the ingress made of it; absent for a refused one.
        is_last: Whether the connection closes after its answer.
        answered: Gets the answer.
    """

    head: RequestHead | None
    admitted: Admitted | None = None
    is_last: bool = False
    answered: Event = field(default_factory=Event)

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run beside calls that came before it."""
        return self.admitted.task.match.route.idempotent


class CallerConnection:
    """Serves one connection.

    Args:
        sock: The connection.
        ingress: Runs the calls.
        limits: Returns the limits in force.
        is_draining: Says whether connections are to be closed.
    """

    def __init__(
        self,
        sock: Any,
        ingress: Ingress,
        limits: Callable[[], ConnectionLimits],
        is_draining: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._ingress = ingress
        self._limits = limits
        self._is_draining = is_draining
        self._requests = RequestReader(sock)
        self._calls: deque[_Call] = deque()
        self._changed = Wake()
        self._is_all_read = False
        self._is_closing = False
        self._is_gone = False
        self._serving: Any = None

    @property
    def pending(self) -> int:
        """The number of calls that are not answered yet."""
        return len(self._calls)

    def stop_reading(self) -> None:
        """Closes the connection once all calls that were read are answered."""
        self._is_closing = True
        self._changed.set()

    def serve(self) -> None:
        """Serves the connection to its end; blocks its green thread."""
        self._serving = greenthread.getcurrent()
        reading = greenthread.spawn(self._read_all)
        is_polite = False
        try:
            is_polite = self._write_all()
        except (OSError, BrokenBodyError, GreenletExit):
            # The caller left, or an answer broke off in the middle.
            is_polite = False
        finally:
            self._end(reading, is_polite)

    def _end(
        self,
        reading: greenthread.GreenThread,
        is_polite: bool,
    ) -> None:
        self._is_closing = True
        self._withdraw_all()
        if not self._is_gone:
            reading.kill()
        if is_polite:
            self._linger()
        self._sock.close()

    def _read_all(self) -> None:
        try:
            while self._read_one():
                self._wait_room()
            self._is_all_read = True
            self._changed.set()
            self._requests.wait_end()
        except OSError:
            # The caller broke the connection off.
            self._is_all_read = True
        if self._calls:
            self._is_gone = True
            self._withdraw_all()
            greenthread.kill(self._serving)
        self._changed.set()

    def _read_one(self) -> bool:
        """Reads one call and starts it; False when there is no other one."""
        limits = self._limits()
        try:
            head = self._requests.next_head(limits, self._is_idle)
        except UnreadableError as error:
            self._add_refused(None, not_run(error.reason), is_last=True)
            return False
        # A call that crosses the close is not passed on; its caller sends it
        # again.
        if head is None or self._is_closing:
            return False
        decided = self._ingress.admit(head)
        is_last = not head.framing.is_kept
        if isinstance(decided, Answer):
            is_read = self._requests.skip_body(head, limits)
            self._add_refused(head, decided, is_last or not is_read)
            return is_read and not is_last
        return self._take(_Call(head, decided, is_last), limits)

    def _take(self, call: _Call, limits: ConnectionLimits) -> bool:
        try:
            body = self._requests.body(
                call.head,
                limits,
                call.admitted.held,
                self._wait_turn,
            )
        except UnreadableError as error:
            call.admitted.held.release()
            self._add_refused(call.head, not_run(error.reason), is_last=True)
            return False
        except OSError:
            call.admitted.held.release()
            raise
        call.admitted.set_body(body)
        self._calls.append(call)
        self._changed.set()
        greenthread.spawn_n(self._run, call)
        return not call.is_last

    def _add_refused(
        self,
        head: RequestHead | None,
        answer: Answer,
        is_last: bool,
    ) -> None:
        call = _Call(head, is_last=is_last)
        call.answered.send(answer)
        self._calls.append(call)
        self._changed.set()

    def _is_idle(self) -> bool:
        return not self._calls

    def _wait_room(self) -> None:
        while len(self._calls) >= _MOST_AHEAD:
            self._wait_change()

    def _wait_turn(self) -> None:
        """Waits until all calls before this one are answered."""
        while self._calls:
            self._wait_change()

    def _wait_change(self) -> None:
        self._changed.clear()
        self._changed.wait(_WRITE_TIMEOUT_S)

    def _run(self, call: _Call) -> None:
        answer = not_run('cancelled')
        try:
            if call.is_idempotent or self._wait_alone(call):
                answer = self._ingress.run(call.admitted)
        except Exception:
            # A fault in one call must not leave its caller without an answer;
            # it may have run.
            logs.logger().exception('call failed')
            answer = unknown('fault')
        finally:
            self._finish(call, answer)

    def _finish(self, call: _Call, answer: Answer) -> None:
        call.admitted.held.release()
        if call not in self._calls and answer.stream is not None:
            answer.stream.close()
        call.answered.send(answer)

    def _wait_alone(self, call: _Call) -> bool:
        """Waits until the calls before one that must not run twice are over.

        When an answer before it closes the connection, its caller counts it
        as not read and sends it again.
        """
        while self._calls and self._calls[0] is not call:
            self._wait_change()
        return not self._is_closing and call in self._calls

    def _write_all(self) -> bool:
        """Writes the answers; says whether to close politely at the end."""
        while True:
            while not self._calls:
                if self._is_closing:
                    return True
                if self._is_all_read:
                    return self._requests.is_idle_out
                self._wait_change()
            call = self._calls[0]
            is_kept = self._write(call, call.answered.wait())
            if not is_kept:
                self._is_closing = True
            if self._calls:
                self._calls.popleft()
            self._changed.set()
            if not is_kept:
                return True

    def _write(self, call: _Call, answer: Answer) -> bool:
        status, headers = self._ingress.reply(answer, call.head)
        is_last = call.is_last or self._is_draining()
        self._sock.settimeout(_WRITE_TIMEOUT_S)
        try:
            return write_reply(
                self._sock,
                call.head,
                Reply(answer, status, headers, is_last),
            )
        finally:
            if answer.stream is not None:
                answer.stream.close()
                answer.stream = None

    def _withdraw_all(self) -> None:
        """Cancels what runs and gives up what is answered and not written."""
        calls = tuple(self._calls)
        self._calls.clear()
        for call in calls:
            if not call.answered.ready():
                self._ingress.cancel(call.admitted)
                continue
            stream = call.answered.wait().stream
            if stream is not None:
                stream.close()
        self._changed.set()

    def _linger(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
            self._requests.wait_end(time.monotonic() + _LINGER_S)
        except OSError:
            # The caller closed first, or keeps the connection open.
            return
