"""Status lines and header fields of the answers to callers of the node API."""

from waxwingsaddle.calls import (
    OUTCOME_HEADER,
    REASON_HEADER,
    RETRY_AFTER_HEADER,
    Answer,
    not_run,
    unknown,
)
from waxwingsaddle.http_heads import STATUS_LINES
from waxwingsaddle.quota_stock import Refused
from waxwingsaddle.retry import RETRIED_HEADER
from waxwingsaddle.stop_schedule import stopping
from waxwingsaddle.util.outcome import Outcome

_STATUS_BY_REASON = {
    'no-route': 404,
    'unknown-key': 401,
    'quota': 429,
    'bad-deadline': 400,
    'bad-body': 400,
    'bad-key': 400,
    'body-too-large': 413,
    'deadline': 504,
}
_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_OUTCOME_HEADERS = frozenset(
    name.lower()
    for name in (
        OUTCOME_HEADER,
        REASON_HEADER,
        RETRY_AFTER_HEADER,
        RETRIED_HEADER,
    )
)


def status_line(answer: Answer) -> str:
    """Returns the status line of an answer."""
    status = answer.status
    if answer.outcome is Outcome.NOT_RUN:
        status = _STATUS_BY_REASON.get(answer.reason, _NOT_RUN_STATUS)
    elif answer.outcome is not Outcome.RAN:
        status = _UNKNOWN_STATUS
    return STATUS_LINES.get(status) or f'{status} Status'


def header_fields(answer: Answer) -> list[tuple[str, str]]:
    """Returns the header fields of an answer, with those of its outcome."""
    headers = [
        pair
        for pair in answer.headers
        if pair[0].lower() not in _OUTCOME_HEADERS
    ]
    headers.append((OUTCOME_HEADER, answer.outcome.value))
    if answer.reason:
        headers.append((REASON_HEADER, answer.reason))
    if answer.retry_after_ms:
        headers.append((RETRY_AFTER_HEADER, str(answer.retry_after_ms)))
    if answer.was_retried:
        headers.append((RETRIED_HEADER, '1'))
    if answer.length is not None:
        headers.append(('Content-Length', str(answer.length)))
    return headers


def refuse_unclaimed(reason: str, key: str) -> Answer:
    """Refuses a call before the claim of its idempotency key is checked.

    With a key the outcome is unknown: a resend's earlier attempt may have run
    through another node. This one may lack configuration or route just for now.
    """
    return unknown(reason) if key else not_run(reason)


def refuse_stopping(key: str) -> Answer:
    """Refuses a call because the stop of the node ends before its deadline.

    Args:
        key: Idempotency key of the call; empty without one.
    """
    return unknown('stopping') if key else stopping()


def refuse_quota(refused: Refused, key: str) -> Answer:
    """Refuses a call without a token of its account.

    Args:
        refused: The decision.
        key: Idempotency key of the call; empty without one.
    """
    answer = refuse_unclaimed(refused.reason, key)
    answer.retry_after_ms = refused.retry_after_ms
    return answer
