"""Calls with an idempotency key, which run at most once."""

import eventlet
import msgspec
from greenlet import getcurrent, greenlet

from waxwingsaddle.calls import Answer, HeaderPairs, not_run, unknown
from waxwingsaddle.claim_service import ClaimService
from waxwingsaddle.claims import Absent, ClaimResult, Granted, Stored
from waxwingsaddle.dispatch import CallTask, Dispatcher
from waxwingsaddle.util.codec import msgpack_decoder, pack
from waxwingsaddle.util.outcome import Outcome

_ANSWER_LOST_STATUS = 502


class _CancelledError(Exception):
    """The call was cancelled while it waited for its claim."""


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer as keepers store it.

    Attributes:
        status: HTTP status.
        headers: Header fields.
        body: Complete body.
    """

    status: int
    headers: HeaderPairs
    body: bytes


_decode_granted = msgpack_decoder(Granted)
_decode_stored = msgpack_decoder(StoredAnswer)


class IdempotentCalls:
    """Runs calls; a call with an idempotency key runs at most once.

    Args:
        dispatch: Runs calls without regard to keys.
        claim_service: Claims and releases keys.
    """

    def __init__(
        self, dispatch: Dispatcher, claim_service: ClaimService
    ) -> None:
        self._dispatch = dispatch
        self._claim_service = claim_service
        # Green threads that wait for a claim, by the identity of their calls.
        self._claiming: dict[int, greenlet] = {}

    def run(self, task: CallTask, key: str) -> Answer:
        """Runs a call; blocks its green thread.

        Args:
            task: The call.
            key: Idempotency key; empty for a call without one.
        """
        if not key or task.match.route.idempotent:
            return self._dispatch.run(task)
        try:
            claim_result = self._claim(task, key)
        except _CancelledError:
            return unknown('cancelled')
        if isinstance(claim_result, Granted):
            task.claim = pack(claim_result)
            return self._run_claimed(task, claim_result)
        if isinstance(claim_result, Stored):
            return _stored(claim_result)
        if isinstance(claim_result, Absent):
            return not_run(claim_result.reason, claim_result.retry_after_ms)
        return unknown(claim_result.reason)

    def cancel(self, task: CallTask) -> None:
        """Cancels a call, because its caller has left or the node stops."""
        self._dispatch.cancel(task)
        claiming = self._claiming.get(id(task))
        if claiming is not None:
            eventlet.kill(claiming, _CancelledError())

    def _claim(self, task: CallTask, key: str) -> ClaimResult:
        if task.account:
            # Accounts choose their keys independently, and must not get each
            # other's answers. No header field contains a NUL.
            key = f'{key}\0{task.account.name}'
        self._claiming[id(task)] = getcurrent()
        try:
            return self._claim_service.claim(
                task.match.route.service, key, task.deadline_s
            )
        finally:
            del self._claiming[id(task)]

    def _run_claimed(self, task: CallTask, granted: Granted) -> Answer:
        answer = self._dispatch.run(task)
        if answer.outcome is not Outcome.NOT_RUN:
            return answer
        # Unless the release is confirmed, a resend may find the key claimed.
        if self._claim_service.release(granted):
            return answer
        return unknown('claim-not-released')


def record_execution(
    claim_service: ClaimService, claim: bytes, answer: Answer
) -> None:
    """Records at the keepers of a key that its call ran.

    Args:
        claim_service: Claim service of this node.
        claim: Packed `Granted` that the call carried.
        answer: Answer of the call; only a complete, not a streamed one is
            stored.
    """
    granted = _decode_granted(claim)
    stored = None
    if answer.stream is None:
        stored = pack(StoredAnswer(answer.status, answer.headers, answer.body))
    claim_service.store_outcome(granted, stored)


def _stored(claim_result: Stored) -> Answer:
    if claim_result.answer is None:
        return Answer(
            Outcome.RAN,
            _ANSWER_LOST_STATUS,
            reason='answer-lost',
        )
    stored = _decode_stored(claim_result.answer)
    return Answer(Outcome.RAN, stored.status, stored.headers, stored.body)
