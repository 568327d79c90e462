"""Finds the client account of a request by its key.

The key is hashed and looked up in one dictionary, so that the time does not
depend on the number of keys.
"""

from collections.abc import Mapping
from statistics import fmean
from typing import NamedTuple

from waxwingsaddle.account_keys import MAX_KEY_CHARACTERS, key_digest
from waxwingsaddle.call_class import CallAccount
from waxwingsaddle.calls import HeaderPairs
from waxwingsaddle.config_models import Account

AUTHORIZATION_KEY = 'authorization'
_SCHEME = 'bearer'


class KnownAccount(NamedTuple):
    """An account that was found by a key.

    Attributes:
        call_account: What calls carry of the account.
        settings: The account in the configuration in force.
    """

    call_account: CallAccount
    settings: Account


class AccountDirectory:
    """Accounts of one configuration by the digests of their keys.

    Args:
        accounts: Accounts by name.

    Attributes:
        has_accounts: Whether the configuration has any accounts.
    """

    def __init__(self, accounts: Mapping[str, Account]) -> None:
        self.has_accounts = bool(accounts)
        default_weight = _mean_rate(accounts)
        known_accounts = [
            _known_account(name, account, default_weight)
            for name, account in accounts.items()
        ]
        self._by_digest = {
            digest: known
            for known in known_accounts
            for digest in known.settings.keys
        }

    def find(self, key: str) -> KnownAccount | None:
        """Returns the account of a key; None if it has none."""
        return self._by_digest.get(key_digest(key))


def bearer_key(headers: HeaderPairs) -> str:
    """Returns the key in the `Authorization` field of a request.

    Args:
        headers: Header fields as received.

    Returns:
        The key; empty if the field is missing, malformed or repeated.
    """
    found = [
        text for name, text in headers if name.lower() == AUTHORIZATION_KEY
    ]
    if len(found) != 1:
        return ''
    scheme, _, padded = found[0].partition(' ')
    key = padded.strip(' ')
    is_plain = key.isascii() and len(key) <= MAX_KEY_CHARACTERS
    return key if scheme.lower() == _SCHEME and is_plain else ''


def _known_account(
    name: str, account: Account, default_weight: float
) -> KnownAccount:
    weight = account.rate_per_s or default_weight
    return KnownAccount(CallAccount(name, account.priority, weight), account)


def _mean_rate(accounts: Mapping[str, Account]) -> float:
    """Returns the weight of accounts without a rate.

    They share like an average account, since a fixed weight would be far above
    or below the rates of the others.
    """
    rates = [
        account.rate_per_s
        for account in accounts.values()
        if account.rate_per_s
    ]
    return fmean(rates) if rates else 1
