"""Header fields of requests of plain HTTP callers."""

from dataclasses import dataclass

from waxwingsaddle.account_access import AccountAccess
from waxwingsaddle.account_directory import AccountDirectory, KnownAccount
from waxwingsaddle.calls import HeaderPairs, end_to_end_headers
from waxwingsaddle.config_models import MAX_TIMEOUT_MS
from waxwingsaddle.header_names import HeaderNames
from waxwingsaddle.http_heads import RequestHead
from waxwingsaddle.routing import Match

# Longer numbers in the deadline field are ignored like any malformed value.
_MAX_TIMEOUT_DIGITS = 9


@dataclass(frozen=True, slots=True)
class CallerFields:
    """Reads the header fields of callers and writes those for upstreams.

    Attributes:
        names: Names of the header fields.
        service: Service of this host, named to upstreams as the caller.
        access: Writes the account of a request.
    """

    names: HeaderNames
    service: str
    access: AccountAccess

    def forwarded_headers(
        self,
        head: RequestHead,
        accounts: AccountDirectory,
        known: KnownAccount | None,
    ) -> HeaderPairs:
        """Returns the header fields for an upstream.

        Args:
            head: Head of the request.
            accounts: Accounts of the configuration in force.
            known: Account of the request, if any.
        """
        names = self.names
        kept = tuple(
            pair
            for pair in end_to_end_headers(head.headers)
            if pair[0].lower() not in names.not_forwarded
        )
        forwarded = self.access.forwarded_headers(accounts, kept, known)
        if names.caller_service and self.service:
            return (*forwarded, (names.caller_service, self.service))
        return forwarded

    def request_id(self, head: RequestHead) -> str:
        """Returns the identifier of a request; empty without one."""
        return head.fields.get(self.names.request_id_key, '')

    def repeated_id(self, head: RequestHead | None) -> HeaderPairs:
        """Returns the field that repeats the request identifier, if any."""
        key = self.names.request_id_key
        if head is None or not key or key not in head.fields:
            return ()
        return ((self.names.request_id, head.fields[key]),)

    def timeout_ms(self, head: RequestHead, match: Match) -> float:
        """Returns the timeout of a call, in milliseconds."""
        route = match.route
        max_ms = route.timeout_ms or MAX_TIMEOUT_MS
        text = head.fields.get(self.names.deadline_ms.lower(), '')
        is_number = text.isascii() and text.isdecimal()
        if is_number and len(text) <= _MAX_TIMEOUT_DIGITS:
            return min(int(text), max_ms)
        return route.timeout_ms or match.service.timeout_ms
