"""Digests and checks of the keys by which callers name their account.

Operators submit keys as text. The merged sites, which nodes, logs and commands
show, contain only a digest of each key.
"""

import re
from collections.abc import Iterable, Iterator, Mapping
from hashlib import sha256
from typing import Any

from waxwingsaddle.config_models import Account
from waxwingsaddle.util.codec import Tree

MAX_KEY_CHARACTERS = 256
_DIGEST_CHARACTERS = 32
_TABLE = 'accounts'
_FIELD = 'keys'
_VISIBLE = re.compile('[!-~]*')


def key_digest(key: str) -> str:
    """Returns the first 128 bits of the SHA-256 of a key, in hexadecimal."""
    raw = key.encode('utf-8', 'surrogatepass')
    return sha256(raw).hexdigest()[:_DIGEST_CHARACTERS]


def hash_keys(tree: Tree) -> Tree:
    """Returns the merged tree of a site with digests in place of keys.

    Args:
        tree: The merged tree, not checked yet. Entries of the wrong type are
            left for the check of the models.
    """
    accounts = tree.get(_TABLE)
    if not isinstance(accounts, dict):
        return tree
    hashed = {name: _hash_entry(entry) for name, entry in accounts.items()}
    return {**tree, _TABLE: hashed}


def key_problems(tree: Tree) -> Iterator[str]:
    """Yields the problems of the keys of a merged tree, without the keys.

    Args:
        tree: The merged tree with the keys as submitted.
    """
    accounts = tree.get(_TABLE)
    if not isinstance(accounts, dict):
        return
    for name, entry in accounts.items():
        yield from (
            f'{_TABLE}.{name}.{_FIELD}[{index}]: {problem}'
            for index, key in enumerate(_keys_of(entry))
            if (problem := _find_problem(key))
        )


def shared_key_problems(accounts: Mapping[str, Account]) -> Iterator[str]:
    """Yields a problem for each account that has a key of an earlier one."""
    owners: dict[str, str] = {}
    for name, account in sorted(accounts.items()):
        others = {owners.setdefault(digest, name) for digest in account.keys}
        yield from (
            f'{_TABLE}.{other} and {_TABLE}.{name} have the same key'
            for other in sorted(others - {name})
        )


def _find_problem(key: Any) -> str:
    if not isinstance(key, str):
        # The check of the models names its type.
        return ''
    if not key:
        return 'the key is empty'
    if len(key) > MAX_KEY_CHARACTERS:
        return f'{len(key)} characters, at most {MAX_KEY_CHARACTERS}'
    if _VISIBLE.fullmatch(key) is None:
        return 'the key contains other characters than visible ASCII'
    return ''


def _keys_of(entry: Any) -> Iterable[Any]:
    keys = entry.get(_FIELD) if isinstance(entry, dict) else None
    return keys if isinstance(keys, list) else ()


def _hash_entry(entry: Any) -> Any:
    keys = _keys_of(entry)
    if not keys:
        return entry
    digests = [key_digest(key) if isinstance(key, str) else key for key in keys]
    return {**entry, _FIELD: digests}
