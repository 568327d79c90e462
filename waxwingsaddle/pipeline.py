"""Connections of callers that send further calls before the first answer.

One green thread reads ahead, and each call runs in its own, which also writes
the answers that are due, in the order of the calls. Reading ahead shows at once
when the caller leaves.
"""

import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from eventlet import greenthread
from greenlet import GreenletExit, getcurrent

from waxwingsaddle import logs
from waxwingsaddle.calls import Answer, BrokenBodyError, not_run, unknown
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.pipelined_call import PipelinedCall
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
        self._calls: deque[PipelinedCall] = deque()
        self._changed = Wake()
        self._is_all_read = False
        self._is_closing = False
        self._is_over = False
        self._is_polite = False
        self._reader: Any = None
        self._writer: Any = None

    @property
    def pending(self) -> int:
        """The number of calls that are not answered yet."""
        return len(self._calls)

    def stop_reading(self) -> None:
        """Closes the connection once all calls that were read are answered."""
        self._is_closing = True
        if not self._calls:
            self._stop(is_polite=True)

    def serve(self) -> None:
        """Serves the connection to its end; blocks its green thread."""
        self._reader = getcurrent()
        try:
            # The caller left, or the last answer is written.
            with suppress(OSError, GreenletExit):
                self._read_all()
        finally:
            self._end()

    def _end(self) -> None:
        self._is_over = True
        if self._writer is not None:
            greenthread.kill(self._writer)
        self._withdraw_all()
        if self._is_polite:
            self._linger()
        self._sock.close()

    def _stop(self, *, is_polite: bool) -> None:
        """Ends the reading green thread, and with it the connection."""
        if self._is_over:
            return
        self._is_polite = is_polite
        if self._reader is getcurrent():
            raise GreenletExit
        if self._reader is not None:
            greenthread.kill(self._reader)

    def _read_all(self) -> None:
        while self._read_one():
            self._wait_room()
        self._is_all_read = True
        if self._calls:
            # Shows when the caller leaves; the last answer ends it.
            self._requests.wait_end()
        else:
            self._is_polite = self._requests.is_idle_out or self._is_closing

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
        is_last = not head.framing.is_persistent
        if isinstance(decided, Answer):
            is_read = self._requests.skip_body(head, limits)
            self._add_refused(head, decided, is_last or not is_read)
            return is_read and not is_last
        return self._take(PipelinedCall(head, decided, is_last), limits)

    def _take(self, call: PipelinedCall, limits: ConnectionLimits) -> bool:
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
        except BaseException:
            call.admitted.held.release()
            raise
        call.admitted.set_body(body)
        self._calls.append(call)
        greenthread.spawn_n(self._run, call)
        return not call.is_last

    def _add_refused(
        self,
        head: RequestHead | None,
        answer: Answer,
        is_last: bool,
    ) -> None:
        self._calls.append(PipelinedCall(head, is_last=is_last, answer=answer))
        self._write_due()

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

    def _run(self, call: PipelinedCall) -> None:
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

    def _finish(self, call: PipelinedCall, answer: Answer) -> None:
        call.admitted.held.release()
        call.answer = answer
        if call in self._calls:
            self._write_due()
        elif answer.stream is not None:
            answer.stream.close()

    def _wait_alone(self, call: PipelinedCall) -> bool:
        """Waits until the calls before one that must not run twice are over.

        When an answer before it closes the connection, its caller counts it
        as not read and sends it again.
        """
        while self._calls and self._calls[0] is not call:
            self._wait_change()
        return not self._is_closing and call in self._calls

    def _write_due(self) -> None:
        """Writes the answers that are due, unless another thread does."""
        if self._writer is not None:
            return
        self._writer = getcurrent()
        is_done, is_polite = True, False
        try:
            is_done = self._write_ready()
            is_polite = True
        except (OSError, BrokenBodyError) as error:
            # The caller left, or an answer broke off in the middle.
            logs.logger().debug('answer not written', error=repr(error))
        except Exception:
            # Without the end of the connection its caller would wait for ever.
            logs.logger().exception('writing an answer failed')
        finally:
            self._writer = None
        if is_done:
            self._stop(is_polite=is_polite)

    def _write_ready(self) -> bool:
        """Writes answers in order; says whether the connection is done."""
        while self._calls and self._calls[0].answer is not None:
            call = self._calls[0]
            is_persistent = self._write(call, call.answer)
            if self._calls:
                self._calls.popleft()
            if not is_persistent:
                self._is_closing = True
                return True
            self._changed.set()
        is_last = self._is_closing or self._is_all_read
        return is_last and not self._calls

    def _write(self, call: PipelinedCall, answer: Answer) -> bool:
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
            if call.answer is None:
                self._ingress.cancel(call.admitted)
            elif call.answer.stream is not None:
                call.answer.stream.close()
        self._changed.set()

    def _linger(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
            self._requests.wait_end(time.monotonic() + _LINGER_S)
        except OSError:
            # The caller closed first, or keeps the connection open.
            return
