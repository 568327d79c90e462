"""Decides to which client account a request belongs, if it may be served."""

from collections.abc import Callable
from functools import cached_property

from waxwingsaddle.account_directory import (
    AUTHORIZATION_KEY,
    AccountDirectory,
    KnownAccount,
    bearer_key,
)
from waxwingsaddle.calls import Answer, HeaderPairs, not_run
from waxwingsaddle.config_models import Route

UNKNOWN_KEY = 'unknown-key'
UNCONFIRMED = 'configuration-unconfirmed'
# Nodes renew their lease about once in this time, which confirms the version.
_UNCONFIRMED_RETRY_MS = 1000


class AccountAccess:
    """Checks the keys of requests and writes the account for upstreams.

    Args:
        field_name: Name of the header field with the account; empty for none.
        is_confirmed: Returns whether the configuration in force was recently
            the newest one.
    """

    def __init__(
        self, field_name: str, is_confirmed: Callable[[], bool]
    ) -> None:
        self._field_name = field_name
        self._is_confirmed = is_confirmed

    def resolve(
        self, accounts: AccountDirectory, route: Route, headers: HeaderPairs
    ) -> KnownAccount | Answer | None:
        """Returns the account of a request.

        Args:
            accounts: Accounts of the configuration in force.
            route: Route of the request.
            headers: Header fields as received.

        Returns:
            The account, None for a request that needs none, or the answer that
            refuses the request.
        """
        if not accounts.has_accounts:
            return None
        key = bearer_key(headers)
        if key and not self._is_confirmed():
            # The key may have been revoked, or added, since.
            return not_run(UNCONFIRMED, _UNCONFIRMED_RETRY_MS)
        known = accounts.find(key) if key else None
        if known is None and route.needs_key:
            return not_run(UNKNOWN_KEY)
        return known

    def forwarded_headers(
        self,
        accounts: AccountDirectory,
        headers: HeaderPairs,
        known: KnownAccount | None,
    ) -> HeaderPairs:
        """Returns header fields with the account and without the key.

        Args:
            accounts: Accounts of the configuration in force.
            headers: Header fields of the request; a field of the caller with
                the name of the account field is dropped.
            known: Account of the request, if any.
        """
        dropped = (
            self._dropped_with_accounts
            if accounts.has_accounts
            else self._dropped
        )
        kept = tuple(pair for pair in headers if pair[0].lower() not in dropped)
        if known is None or not self._field_name:
            return kept
        return (*kept, (self._field_name, known.call_account.name))

    @cached_property
    def _dropped(self) -> frozenset[str]:
        return frozenset(filter(None, (self._field_name.lower(),)))

    @cached_property
    def _dropped_with_accounts(self) -> frozenset[str]:
        return self._dropped | {AUTHORIZATION_KEY}
