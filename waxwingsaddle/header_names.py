"""Names of the header fields of requests by callers and to upstreams."""

from dataclasses import dataclass
from functools import cached_property

from waxwingsaddle.calls import DEADLINE_HEADER, OUTCOME_HEADER


@dataclass(frozen=True)
class HeaderNames:
    """Names of header fields; an empty name disables the field.

    Attributes:
        deadline_ms: Timeout of the caller, in milliseconds.
        request_id: Identifier of a request, repeated in its answer.
        caller_service: Service of the host that received the call.
        expected_upstream: Name of the upstream that a request is sent to; any
            other upstream refuses it without running it.
        not_run: Field in an answer of an upstream that did not run the request.
        signature: Field in every successful answer of an upstream.
        account: Name of the client account, set for upstreams; callers can't
            set it.
    """

    deadline_ms: str = DEADLINE_HEADER
    request_id: str = ''
    caller_service: str = ''
    expected_upstream: str = ''
    not_run: str = ''
    signature: str = ''
    account: str = ''

    @cached_property
    def not_forwarded(self) -> frozenset[str]:
        """Fields of callers that are not forwarded, in lower case."""
        names = (
            self.deadline_ms,
            self.caller_service,
            self.expected_upstream,
            self.account,
        )
        return frozenset(name.lower() for name in names if name)

    @cached_property
    def once_in_answers(self) -> frozenset[str]:
        """Fields that an answer of an upstream has at most once, in lower case.

        Repeated ones come from two answers, of which the first broke off.
        """
        names = (self.request_id, self.not_run, self.signature, OUTCOME_HEADER)
        return frozenset(name.lower() for name in names if name)

    @cached_property
    def request_id_key(self) -> str:
        """Name of the request identifier field in lower case."""
        return self.request_id.lower()

    @cached_property
    def not_run_key(self) -> str:
        """Name of the field that marks a request as not run, in lower case."""
        return self.not_run.lower()

    @cached_property
    def signature_key(self) -> str:
        """Name of the signature field in lower case."""
        return self.signature.lower()
