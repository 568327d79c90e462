"""Names of the header fields that the legs of a call read and write."""

from dataclasses import dataclass
from functools import cached_property

from waxwingsaddle.calls import DEADLINE_HEADER


@dataclass(frozen=True)
class HeaderNames:
    """Names of header fields; an empty name switches a field off.

    Attributes:
        deadline_ms: Time that the caller waits, in milliseconds.
        request_id: Identifier of a request, which its answer repeats.
        caller_service: Service of the host at which the request began.
        expected_upstream: Name of the upstream that a request is meant for;
            any other one refuses it without running it.
        not_run: Field of an answer of an upstream that did not run the request.
        signature: Field that each success of an upstream bears.
    """

    deadline_ms: str = DEADLINE_HEADER
    request_id: str = ''
    caller_service: str = ''
    expected_upstream: str = ''
    not_run: str = ''
    signature: str = ''

    @cached_property
    def not_forwarded(self) -> frozenset[str]:
        """Fields of callers that are not passed on, in lower case."""
        names = (self.deadline_ms, self.caller_service, self.expected_upstream)
        return frozenset(name.lower() for name in names if name)

    @cached_property
    def request_id_key(self) -> str:
        """Name of the request identifier in lower case."""
        return self.request_id.lower()

    @cached_property
    def not_run_key(self) -> str:
        """Name of the field of answers that did not run, in lower case."""
        return self.not_run.lower()

    @cached_property
    def signature_key(self) -> str:
        """Name of the signature in lower case."""
        return self.signature.lower()
