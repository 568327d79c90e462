"""Calls with an idempotency key: claimed first, then run at most once."""

import msgspec

from waxwingsaddle.calls import Answer, HeaderPairs, not_run, unknown
from waxwingsaddle.claim_service import ClaimService
from waxwingsaddle.claims import Absent, Granted, Stored
from waxwingsaddle.dispatch import CallTask, Dispatcher
from waxwingsaddle.util.codec import pack
from waxwingsaddle.util.outcome import Outcome

_ANSWER_LOST_STATUS = 502


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """What keepers store of an answer.

    Attributes:
        status: HTTP status.
        headers: Fields of the answer.
        body: The whole body.
    """

    status: int
    headers: HeaderPairs
    body: bytes


class IdempotentCalls:
    """Runs calls, those with a key at most once.

    Args:
        dispatch: Runs calls.
        keepers: Claims keys.
    """

    def __init__(self, dispatch: Dispatcher, keepers: ClaimService) -> None:
        self._dispatch = dispatch
        self._keepers = keepers

    def run(self, task: CallTask, key: str) -> Answer:
        """Runs a call; blocks its green thread.

        Args:
            task: The call.
            key: Idempotency key; empty for a call without one.
        """
        if not key or task.match.route.idempotent:
            return self._dispatch.run(task)
        claimed = self._keepers.claim(
            task.match.route.service,
            key,
            task.deadline_s,
        )
        if isinstance(claimed, Granted):
            task.claim = pack(claimed)
            return self._run_claimed(task, claimed)
        if isinstance(claimed, Stored):
            return _stored(claimed)
        if isinstance(claimed, Absent):
            return not_run(claimed.reason, claimed.retry_after_ms)
        return unknown(claimed.reason)

    def cancel(self, task: CallTask) -> None:
        """Withdraws a call whose caller is gone."""
        self._dispatch.cancel(task)

    def _run_claimed(self, task: CallTask, granted: Granted) -> Answer:
        answer = self._dispatch.run(task)
        if answer.outcome is not Outcome.NOT_RUN:
            return answer
        # Without a certain release a resend may still meet the claim.
        if self._keepers.release(granted):
            return answer
        return unknown('claim-not-released')


def record_execution(
    keepers: ClaimService, claim: bytes, answer: Answer
) -> None:
    """Tells the keepers of a key that its call ran."""
    granted = msgspec.msgpack.decode(claim, type=Granted)
    stored = None
    if answer.stream is None:
        stored = pack(StoredAnswer(answer.status, answer.headers, answer.body))
    keepers.done(granted, stored)


def _stored(claimed: Stored) -> Answer:
    if claimed.answer is None:
        return Answer(
            Outcome.RAN,
            _ANSWER_LOST_STATUS,
            reason='answer-lost',
        )
    stored = msgspec.msgpack.decode(claimed.answer, type=StoredAnswer)
    return Answer(Outcome.RAN, stored.status, stored.headers, stored.body)
