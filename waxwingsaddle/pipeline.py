"""Connections of callers with HTTP pipelining.

A caller may send further calls before the first one is answered. One green
thread per connection reads ahead, which also detects at once that the caller
has closed the connection. Each call runs in a green thread of its own. When it
ends, that thread writes all answers that are due, in the order of the calls.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any

from eventlet import greenthread
from greenlet import GreenletExit, getcurrent

from waxwingsaddle import logs
from waxwingsaddle.call_queue import CallQueue
from waxwingsaddle.calls import Answer, BrokenBodyError, not_run, unknown
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.ingress import Ingress
from waxwingsaddle.lingering_close import linger
from waxwingsaddle.pipelined_call import PipelinedCall
from waxwingsaddle.reply_writer import Reply, write_reply
from waxwingsaddle.request_reader import (
    ConnectionLimits,
    RequestReader,
    UnreadableError,
)
from waxwingsaddle.stop_schedule import StoppingError, stopping

# Timeout for writing to a caller that does not read.
_WRITE_TIMEOUT_S = 10


class CallerConnection:
    """Serves the calls of one connection.

    Args:
        sock: Socket of the connection.
        ingress: Admits and runs the calls.
        limits: Returns the current limits.
        is_draining: Returns whether each connection is to be closed as soon
            as all calls in flight on it are answered.
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
        self._calls = CallQueue()
        self._is_reading_body = False
        self._is_input_ended = False
        self._is_closing = False
        self._is_ended = False
        self._should_linger = False
        self._reader: Any = None
        self._writer: Any = None

    @property
    def pending(self) -> int:
        """Number of calls with a complete head that are not answered yet."""
        return len(self._calls) + self._is_reading_body

    def stop_reading(self) -> None:
        """Closes the connection as soon as all pending calls are answered."""
        self._is_closing = True
        if not self.pending:
            self._end_reading(should_linger=True)

    def serve(self) -> None:
        """Serves the connection until it closes; blocks the green thread."""
        self._reader = getcurrent()
        try:
            # The caller broke the connection off, or `_end_reading` was called.
            with suppress(OSError, GreenletExit):
                self._read_all()
        finally:
            self._close()

    def _close(self) -> None:
        self._is_ended = True
        if self._writer is not None:
            greenthread.kill(self._writer)
        self._cancel_all()
        if self._should_linger:
            linger(self._sock)
        self._sock.close()

    def _end_reading(self, *, should_linger: bool) -> None:
        """Ends the reading green thread, which then closes the connection."""
        if self._is_ended:
            return
        self._should_linger = should_linger
        if self._reader is getcurrent():
            raise GreenletExit
        if self._reader is not None:
            greenthread.kill(self._reader)

    def _read_all(self) -> None:
        while self._read_call():
            self._calls.wait_for_room()
        self._is_input_ended = True
        if self._calls:
            # Detects that the caller closes the connection; the thread that
            # writes the last answer ends this wait.
            self._requests.wait_for_close()
        else:
            self._should_linger = (
                self._requests.is_idle_expired or self._is_closing
            )

    def _read_call(self) -> bool:
        """Reads and starts a call; returns whether another one may follow."""
        limits = self._limits()
        try:
            head = self._requests.next_head(limits, lambda: not self._calls)
        except UnreadableError as error:
            self._queue_refusal(None, not_run(error.reason), is_last=True)
            return False
        # The caller sees the close without an answer and sends the call again.
        if head is None or self._is_closing:
            return False
        decision = self._ingress.admit(head)
        is_last = not head.framing.is_persistent
        if isinstance(decision, Answer):
            is_body_read = self._skip_body(head, limits)
            self._queue_refusal(head, decision, is_last or not is_body_read)
            return is_body_read and not is_last
        return self._start_call(PipelinedCall(head, decision, is_last), limits)

    def _start_call(
        self, call: PipelinedCall, limits: ConnectionLimits
    ) -> bool:
        refusal = None
        try:
            self._read_body(call, limits)
        except UnreadableError as error:
            refusal = not_run(error.reason)
        except StoppingError:
            refusal = stopping()
        except BaseException:
            self._ingress.release(call.admitted, not_run('cancelled'))
            raise
        if refusal is not None:
            self._ingress.release(call.admitted, refusal)
            self._queue_refusal(call.head, refusal, is_last=True)
            return False
        self._calls.append(call)
        greenthread.spawn_n(self._run_call, call)
        return not call.is_last

    def _read_body(self, call: PipelinedCall, limits: ConnectionLimits) -> None:
        if not call.head.framing.has_body:
            return
        with self._reading(call.head):
            body = self._requests.read_body(
                call.head,
                limits,
                call.admitted.reservation,
                self._calls.wait_until_empty,
            )
        call.admitted.set_body(body)

    def _skip_body(self, head: RequestHead, limits: ConnectionLimits) -> bool:
        if not head.framing.has_body:
            return True
        try:
            with self._reading(head):
                return self._requests.skip_body(head, limits)
        except StoppingError:
            return False

    @contextmanager
    def _reading(self, head: RequestHead) -> Iterator[None]:
        self._is_reading_body = True
        try:
            with self._ingress.reading(head):
                yield
        finally:
            self._is_reading_body = False

    def _queue_refusal(
        self,
        head: RequestHead | None,
        answer: Answer,
        is_last: bool,
    ) -> None:
        self._calls.append(PipelinedCall(head, is_last=is_last, answer=answer))
        self._write_due()

    def _run_call(self, call: PipelinedCall) -> None:
        answer = not_run('cancelled')
        try:
            if call.is_idempotent or self._wait_for_earlier_calls(call):
                answer = self._ingress.run(call.admitted)
        except Exception:
            # The caller must get an answer even if the program has a bug here.
            # The call may have run.
            logs.logger().exception('call failed')
            answer = unknown('fault')
        finally:
            self._finish_call(call, answer)

    def _finish_call(self, call: PipelinedCall, answer: Answer) -> None:
        self._ingress.release(call.admitted, answer)
        call.answer = answer
        if call in self._calls:
            self._write_due()
        elif answer.stream is not None:
            answer.stream.close()

    def _wait_for_earlier_calls(self, call: PipelinedCall) -> bool:
        """Waits for all earlier answers; returns whether the call may start.

        If an earlier answer closes the connection, the caller sends all later
        calls again, and one that had started by then would run twice.
        """
        self._calls.wait_until_first(call)
        return not self._is_closing and call in self._calls

    def _write_due(self) -> None:
        """Writes the answers that are due, unless another thread does so."""
        if self._writer is not None:
            return
        self._writer = getcurrent()
        is_finished, should_linger = True, False
        try:
            is_finished = self._write_answers()
            should_linger = True
        except (OSError, BrokenBodyError) as error:
            # The caller closed the connection, or the upstream broke its
            # answer off.
            logs.logger().debug('answer not written', error=repr(error))
        except Exception:
            # The connection must close, or the caller waits for the rest of
            # the answer forever.
            logs.logger().exception('writing an answer failed')
        finally:
            self._writer = None
        if is_finished:
            self._end_reading(should_linger=should_linger)

    def _write_answers(self) -> bool:
        """Writes answers in order; returns whether the connection ends."""
        while call := self._calls.due():
            stays_open = self._write_answer(call, call.answer)
            self._calls.pop()
            if not stays_open:
                self._is_closing = True
                return True
        is_last = self._is_closing or self._is_input_ended
        return is_last and not self.pending

    def _write_answer(self, call: PipelinedCall, answer: Answer) -> bool:
        status, headers = self._ingress.reply(answer, call.head)
        # Its caller gives up all calls behind an answer that asks to close.
        is_last = call.is_last or (self._is_draining() and self.pending == 1)
        if is_last:
            self._is_closing = True
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

    def _cancel_all(self) -> None:
        """Cancels running calls and closes answers that were not written."""
        for call in self._calls.clear():
            if call.answer is None:
                self._ingress.cancel(call.admitted)
            elif call.answer.stream is not None:
                call.answer.stream.close()
